package config

import (
	"slices"
	"strings"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Snapshot is one complete and verified version at one daemon: the whole manifest
// and the bundles of the subscribed services. It is immutable; a call uses the
// snapshot that was current at its start.
type Snapshot struct {
	manifest *Manifest
	bundles  map[string]*Bundle  // by service name
	content  map[string][]byte   // bundle content by digest
	routes   map[string][]match  // by host, longest path first
	hosts    map[string][]string // service names by host
}

type match struct {
	bundle *Bundle
	route  *Route
}

// Match is the result of a route lookup.
type Match struct {
	Bundle *Bundle
	Route  *Route
	// MethodMismatch is set when host and path match but no route has the method.
	MethodMismatch bool
	// Unsubscribed names the services that have a route for the host but whose
	// bundles are not in the snapshot; the caller subscribes to them and repeats
	// the lookup.
	Unsubscribed []string
}

// Version returns the configuration version; a nil snapshot has version 0.
func (s *Snapshot) Version() uint64 {
	if s == nil {
		return 0
	}
	return s.manifest.Version
}

// Manifest returns the manifest, or nil for a nil snapshot.
func (s *Snapshot) Manifest() *Manifest {
	if s == nil {
		return nil
	}
	return s.manifest
}

// Bundle returns the bundle of a subscribed service.
func (s *Snapshot) Bundle(service string) (*Bundle, bool) {
	if s == nil {
		return nil, false
	}
	b, ok := s.bundles[service]
	return b, ok
}

// Content returns the encoded bundles by digest. The caller must not modify the
// map.
func (s *Snapshot) Content() map[string][]byte {
	if s == nil {
		return nil
	}
	return s.content
}

// Next applies a delta and returns the resulting snapshot with the bundles of the
// subscribed services. Unchanged bundles are reused. The version of the delta must
// be newer than the version of s, or equal to it if the delta only adds bundles.
func (s *Snapshot) Next(delta *pb.ConfigDelta, subscriptions []string) (*Snapshot, error) {
	if delta.GetVersion() < s.Version() {
		return nil, &OldVersionError{Version: delta.GetVersion(), Current: s.Version()}
	}
	manifest, err := s.Manifest().Apply(delta)
	if err != nil {
		return nil, err
	}
	next := &Snapshot{manifest: manifest, bundles: map[string]*Bundle{}, content: map[string][]byte{}}
	for _, service := range subscriptions {
		if err := next.addBundle(s, delta, service); err != nil {
			return nil, err
		}
	}
	if err := next.checkReferences(); err != nil {
		return nil, err
	}
	next.buildIndexes()
	return next, nil
}

func (s *Snapshot) addBundle(previous *Snapshot, delta *pb.ConfigDelta, service string) error {
	entry, ok := s.manifest.Entries[service]
	if !ok {
		return nil // not yet defined, or removed in this version
	}
	if cached, ok := previous.Bundle(service); ok && previous.manifest.Entries[service].Digest == entry.Digest {
		s.bundles[service] = cached
		s.content[entry.Digest] = previous.content[entry.Digest]
		return nil
	}
	content, ok := delta.GetBundles()[entry.Digest]
	if !ok {
		return &MissingBundleError{Service: service, Digest: entry.Digest}
	}
	bundle, err := DecodeBundle(content, entry.Digest)
	if err != nil {
		return err
	}
	s.bundles[service] = bundle
	s.content[entry.Digest] = content
	return nil
}

// checkReferences returns an error if a bundle depends on a service that is not
// in the manifest, in case a version was published without validation.
func (s *Snapshot) checkReferences() error {
	for name, bundle := range s.bundles {
		for _, dependency := range bundle.Service.DependsOn {
			if _, ok := s.manifest.Entries[dependency]; !ok {
				return &MissingServiceError{Service: name, Missing: dependency}
			}
		}
	}
	return nil
}

func (s *Snapshot) buildIndexes() {
	s.routes = map[string][]match{}
	for _, bundle := range s.bundles {
		for i := range bundle.Service.Routes {
			route := &bundle.Service.Routes[i]
			s.routes[route.Host] = append(s.routes[route.Host], match{bundle: bundle, route: route})
		}
	}
	for _, matches := range s.routes {
		slices.SortFunc(matches, func(a, b match) int {
			if d := len(b.route.Path) - len(a.route.Path); d != 0 {
				return d
			}
			return strings.Compare(a.route.Name, b.route.Name)
		})
	}
	s.hosts = map[string][]string{}
	for name, entry := range s.manifest.Entries {
		for _, host := range entry.Hosts {
			s.hosts[host] = append(s.hosts[host], name)
		}
	}
}

// Match returns the route for a call. The host must not contain a port.
func (s *Snapshot) Match(host, path, method string) Match {
	var result Match
	if s == nil {
		return result
	}
	host = strings.ToLower(host)
	for _, service := range s.hosts[host] {
		if _, ok := s.bundles[service]; !ok {
			result.Unsubscribed = append(result.Unsubscribed, service)
		}
	}
	if len(result.Unsubscribed) > 0 {
		return result // a missing bundle may define a longer matching path
	}
	for _, m := range s.routes[host] {
		if !hasPathPrefix(path, m.route.Path) {
			continue
		}
		if len(m.route.Methods) == 0 || slices.Contains(m.route.Methods, method) {
			return Match{Bundle: m.bundle, Route: m.route}
		}
		result.MethodMismatch = true
	}
	return result
}

// hasPathPrefix reports whether prefix matches whole leading segments of path.
func hasPathPrefix(path, prefix string) bool {
	if prefix == "/" || path == prefix {
		return true
	}
	prefix = strings.TrimSuffix(prefix, "/")
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}
