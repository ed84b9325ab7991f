package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// checker validates a change together with the configuration that results from
// it.
type checker struct {
	change   *Change
	next     *Configuration
	problems []Problem
}

func (c *checker) report(p Problem) { c.problems = append(c.problems, p) }

// checkNames reports teams and services that the files define more than once, and
// services that the files both define and remove, or remove more than once.
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
		if location, ok := services[name.Value]; ok {
			c.report(name.problem("", name.Value, "service is removed and defined at "+location, "one of the two"))
		}
		if removed[name.Value] {
			c.report(name.problem("", name.Value, "removal is repeated", "each service once"))
		}
		removed[name.Value] = true
	}
}

func (c *checker) checkName(locations map[string]string, name, itemType string, problem func(string, any, string, string) Problem) {
	definition := problem(".name", name, "", "")
	if location, ok := locations[name]; ok {
		definition.Message, definition.Allowed = itemType+" is also defined at "+location, "each "+itemType+" once"
		c.report(definition)
		return
	}
	locations[name] = definition.File + " " + strings.TrimSuffix(definition.Path, ".name")
}

// checkReferences reports teams and dependencies that do not exist. It reports
// nothing if a part of the files could not be decoded, since that part may define
// them.
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
			c.report(service.problem(".team", service.Value.Team, "team does not exist", listNames(slices.Sorted(maps.Keys(teams)))))
		}
		for i, name := range service.Value.DependsOn {
			if _, ok := c.next.Bundles[name]; !ok {
				c.report(service.problem(itemPath(".dependsOn", i), name, "service does not exist", "a service of the configuration or of these files"))
			}
		}
	}
}

// checkRemovals reports removed services that remaining services depend on.
func (c *checker) checkRemovals() {
	if c.change.incomplete || len(c.change.Removed) == 0 {
		return
	}
	dependentsByService := map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(c.next.Bundles)) {
		for _, dependency := range c.next.Bundles[name].Service.DependsOn {
			dependentsByService[dependency] = append(dependentsByService[dependency], name)
		}
	}
	for _, name := range c.change.Removed {
		if dependents := dependentsByService[name.Value]; len(dependents) > 0 {
			c.report(name.problem("", name.Value, "service is needed by "+truncate(strings.Join(dependents, ", ")), "a service that no other depends on"))
		}
	}
}

// checkRouteOverlap reports routes with the same host and path and a common
// method, since a call could then match both.
func (c *checker) checkRouteOverlap() {
	type routeName struct{ service, route string }
	type routeKey struct{ host, path, method string }
	assigned := map[routeKey]routeName{}
	assign := func(service string, route *Route) (routeName, string, bool) {
		methods := route.Methods
		if len(methods) == 0 {
			methods = allMethods
		}
		for _, method := range methods {
			key := routeKey{route.Host, route.Path, method}
			if existing, ok := assigned[key]; ok {
				return existing, method, false
			}
			assigned[key] = routeName{service, route.Name}
		}
		return routeName{}, "", true
	}
	changed := map[string]bool{}
	for _, service := range c.change.Services {
		changed[service.Value.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(c.next.Bundles)) {
		routes := c.next.Bundles[name].Service.Routes
		for i := range routes {
			if !changed[name] {
				assign(name, &routes[i])
			}
		}
	}
	for _, service := range c.change.Services {
		for i := range service.Value.Routes {
			route := &service.Value.Routes[i]
			if existing, method, ok := assign(service.Value.Name, route); !ok {
				c.report(service.problem(itemPath(".routes", i), route.Host+route.Path,
					fmt.Sprintf("%s calls also match route %q of service %q", method, existing.route, existing.service),
					"another host or path, or other methods"))
			}
		}
	}
}

// allMethods are the HTTP methods that the schema accepts.
var allMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Size limits of stored values. A bundle is also sent as part of a drpc message
// of at most 4 MB, and every daemon that joins receives the whole manifest.
const (
	maxBundleBytes   = 256 << 10
	maxManifestBytes = 512 << 10
)

// checkSizes reports bundles and a manifest that exceed their size limits.
func (c *checker) checkSizes() {
	for _, service := range c.change.Services {
		if bundle, ok := c.next.Bundles[service.Value.Name]; ok {
			if n := len(bundle.Encode()); n > maxBundleBytes {
				c.report(service.problem("", service.Value.Name, fmt.Sprintf("service has %d bytes", n), fmt.Sprintf("at most %d bytes", maxBundleBytes)))
			}
		}
	}
	manifest, _ := c.next.Manifest()
	if n := len(manifest.Encode()); n > maxManifestBytes {
		c.report(Problem{File: "-", Path: "$", Message: fmt.Sprintf("manifest of the configuration has %d bytes", n), Allowed: fmt.Sprintf("at most %d bytes", maxManifestBytes)})
	}
}

func listNames(names []string) string {
	if len(names) == 0 {
		return "no team is defined"
	}
	return truncate(strings.Join(names, ", "))
}
