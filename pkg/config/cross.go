package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// checker checks a change against the configuration that it leads to.
type checker struct {
	change   *Change
	next     *Configuration
	problems []Problem
}

func (c *checker) add(p Problem) { c.problems = append(c.problems, p) }

// checkNames reports teams and services that the files define twice, or define
// and remove.
func (c *checker) checkNames() {
	teams := map[string]string{}
	for _, team := range c.change.Teams {
		c.checkName(teams, team.Value.Name, "team", team.problem)
	}
	services := map[string]string{}
	for _, service := range c.change.Services {
		c.checkName(services, service.Value.Name, "service", service.problem)
	}
	removed := map[string]bool{}
	for _, name := range c.change.Removed {
		if place, ok := services[name.Value]; ok {
			c.add(name.problem("", name.Value, "service is removed and defined at "+place, "one of the two"))
		}
		if removed[name.Value] {
			c.add(name.problem("", name.Value, "removal is repeated", "each service once"))
		}
		removed[name.Value] = true
	}
}

func (c *checker) checkName(seen map[string]string, name, what string, problem func(string, any, string, string) Problem) {
	here := problem(".name", name, "", "")
	if place, ok := seen[name]; ok {
		here.Message, here.Allowed = what+" is also defined at "+place, "each "+what+" once"
		c.add(here)
		return
	}
	seen[name] = here.File + " " + strings.TrimSuffix(here.Path, ".name")
}

// checkReferences reports teams and dependencies that do not exist. It says
// nothing of them while a part of the files could not be decoded.
func (c *checker) checkReferences() {
	if c.change.incomplete {
		return
	}
	teams := map[string]bool{}
	for _, team := range c.next.Teams {
		teams[team.Name] = true
	}
	for _, service := range c.change.Services {
		if !teams[service.Value.Team] {
			c.add(service.problem(".team", service.Value.Team, "team does not exist", listNames(slices.Sorted(maps.Keys(teams)))))
		}
		for i, name := range service.Value.DependsOn {
			if _, ok := c.next.Bundles[name]; !ok {
				c.add(service.problem(itemPath(".dependsOn", i), name, "service does not exist", "a service of the configuration or of these files"))
			}
		}
	}
}

// checkRemovals reports removed services that others still depend on.
func (c *checker) checkRemovals() {
	if c.change.incomplete || len(c.change.Removed) == 0 {
		return
	}
	dependants := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(c.next.Bundles)) {
		for _, dependency := range c.next.Bundles[name].Service.DependsOn {
			dependants[dependency] = append(dependants[dependency], name)
		}
	}
	for _, name := range c.change.Removed {
		if needing := dependants[name.Value]; len(needing) > 0 {
			c.add(name.problem("", name.Value, "service is needed by "+shorten(strings.Join(needing, ", ")), "a service that no other depends on"))
		}
	}
}

// checkRouteOverlap reports calls that would match two routes: the same host
// and path with a method in common.
func (c *checker) checkRouteOverlap() {
	type place struct{ service, route string }
	type call struct{ host, path, method string }
	taken := map[call]place{}
	add := func(service string, route *Route) (place, string, bool) {
		methods := route.Methods
		if len(methods) == 0 {
			methods = allMethods
		}
		for _, method := range methods {
			key := call{route.Host, route.Path, method}
			if other, ok := taken[key]; ok {
				return other, method, false
			}
			taken[key] = place{service, route.Name}
		}
		return place{}, "", true
	}
	changed := map[string]bool{}
	for _, service := range c.change.Services {
		changed[service.Value.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(c.next.Bundles)) {
		routes := c.next.Bundles[name].Service.Routes
		for i := range routes {
			if !changed[name] {
				add(name, &routes[i])
			}
		}
	}
	for _, service := range c.change.Services {
		for i := range service.Value.Routes {
			route := &service.Value.Routes[i]
			if other, method, ok := add(service.Value.Name, route); !ok {
				c.add(service.problem(itemPath(".routes", i), route.Host+route.Path,
					fmt.Sprintf("%s calls also match route %q of service %q", method, other.route, other.service),
					"another host or path, or other methods"))
			}
		}
	}
}

// allMethods are the methods that the schema accepts.
var allMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Sizes of stored values. A bundle is also one part of a drpc message of at
// most 4 MB, and a manifest goes whole to every daemon that joins.
const (
	maxBundleBytes   = 256 << 10
	maxManifestBytes = 512 << 10
)

// checkSizes reports values that are too large to store or to distribute.
func (c *checker) checkSizes() {
	for _, service := range c.change.Services {
		if bundle, ok := c.next.Bundles[service.Value.Name]; ok {
			if n := len(bundle.Encode()); n > maxBundleBytes {
				c.add(service.problem("", service.Value.Name, fmt.Sprintf("service has %d bytes", n), fmt.Sprintf("at most %d bytes", maxBundleBytes)))
			}
		}
	}
	manifest, _ := c.next.Manifest()
	if n := len(manifest.Encode()); n > maxManifestBytes {
		c.add(Problem{File: "-", Path: "$", Message: fmt.Sprintf("manifest of the configuration has %d bytes", n), Allowed: fmt.Sprintf("at most %d bytes", maxManifestBytes)})
	}
}

func listNames(names []string) string {
	if len(names) == 0 {
		return "no team is defined"
	}
	return shorten(strings.Join(names, ", "))
}
