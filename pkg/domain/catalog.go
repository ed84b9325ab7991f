package domain

import (
	"maps"
	"slices"
	"sync"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// maxHistory is the number of earlier manifests kept as bases of deltas. At
// 0.12 changes/s they cover four minutes.
const maxHistory = 32

// catalog is a distributor's copy of the configuration: the manifest with the
// content of every bundle. Its version never goes back.
type catalog struct {
	mu       sync.Mutex
	manifest *config.Manifest
	content  map[string][]byte
	decoded  map[string]*config.Bundle // by digest; rollout controllers ask every second
	history  map[uint64]*config.Manifest
	deltas   map[uint64]*pb.ConfigDelta // to the current version, by base
}

func newCatalog() *catalog {
	return &catalog{
		content: map[string][]byte{}, decoded: map[string]*config.Bundle{}, history: map[uint64]*config.Manifest{},
		deltas: map[uint64]*pb.ConfigDelta{},
	}
}

func (c *catalog) version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versionLocked()
}

func (c *catalog) versionLocked() uint64 {
	if c.manifest == nil {
		return 0
	}
	return c.manifest.Version
}

func (c *catalog) current() *config.Manifest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.manifest
}

// seed takes the manifest and the bundles of a member daemon's snapshot.
func (c *catalog) seed(s *config.Snapshot) {
	if s.Version() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version() <= c.versionLocked() {
		return
	}
	c.setLocked(s.Manifest(), s.Content())
}

// apply takes a delta from an accepting daemon or another distributor. It
// reports whether the version grew. Content may be missing; see missing.
func (c *catalog) apply(delta *pb.ConfigDelta) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delta.GetVersion() < c.versionLocked() {
		return false, &config.OldVersionError{Version: delta.GetVersion(), Held: c.versionLocked()}
	}
	for digest, content := range delta.GetBundles() {
		if got := config.Digest(content); got != digest {
			return false, &config.DigestError{What: "bundle", Want: digest, Got: got}
		}
	}
	if delta.GetVersion() == c.versionLocked() {
		c.addContentLocked(delta.GetBundles())
		return false, nil
	}
	next, err := c.manifest.Apply(delta)
	if err != nil {
		return false, err
	}
	c.setLocked(next, delta.GetBundles())
	return true, nil
}

// set takes a manifest read from the store and reports whether it is newer.
func (c *catalog) set(manifest *config.Manifest, content map[string][]byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if manifest.Version < c.versionLocked() {
		return false
	}
	grew := manifest.Version > c.versionLocked()
	if grew {
		c.setLocked(manifest, content)
	} else {
		c.addContentLocked(content)
	}
	return grew
}

func (c *catalog) setLocked(manifest *config.Manifest, content map[string][]byte) {
	if c.manifest != nil {
		c.history[c.manifest.Version] = c.manifest
	}
	for len(c.history) > maxHistory {
		oldest := manifest.Version
		for version := range c.history {
			oldest = min(oldest, version)
		}
		delete(c.history, oldest)
	}
	c.manifest = manifest
	clear(c.deltas)
	c.addContentLocked(content)
}

// addContentLocked adds the content that the manifest names and drops the rest.
func (c *catalog) addContentLocked(content map[string][]byte) {
	next := make(map[string][]byte, len(c.manifest.Entries))
	for _, e := range c.manifest.Entries {
		if data, ok := content[e.Digest]; ok {
			next[e.Digest] = data
		} else if data, ok := c.content[e.Digest]; ok {
			next[e.Digest] = data
		}
	}
	c.content = next
	maps.DeleteFunc(c.decoded, func(digest string, _ *config.Bundle) bool { return next[digest] == nil })
}

// missing returns the digests of the manifest whose content is not held. With
// a nil manifest it looks at the version in force.
func (c *catalog) missing(manifest *config.Manifest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if manifest == nil {
		manifest = c.manifest
	}
	if manifest == nil {
		return nil
	}
	var digests []string
	for _, e := range manifest.Entries {
		if _, ok := c.content[e.Digest]; !ok {
			digests = append(digests, e.Digest)
		}
	}
	slices.Sort(digests)
	return slices.Compact(digests)
}

// deltaFrom returns the entries that lead from base to the current version.
// Several receivers share it; it has no bundles and must not be changed.
func (c *catalog) deltaFrom(base uint64) *pb.ConfigDelta {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manifest == nil {
		return nil
	}
	from := c.history[base]
	if base == c.manifest.Version {
		from = c.manifest
	}
	if from == nil {
		base = 0
	}
	delta := c.deltas[base]
	if delta == nil {
		delta = c.manifest.Delta(from)
		c.deltas[base] = delta
	}
	return delta
}

// withBundles returns delta with the content of the given services, as far as
// held says that the receiver lacks it. It
// returns an error if this daemon does not hold the content itself.
func (c *catalog) withBundles(delta *pb.ConfigDelta, services []string, held map[string]bool) (*pb.ConfigDelta, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delta.GetVersion() != c.versionLocked() {
		return nil, &config.OldVersionError{Version: delta.GetVersion(), Held: c.versionLocked()}
	}
	full := &pb.ConfigDelta{
		BaseVersion: delta.GetBaseVersion(), Version: delta.GetVersion(), Changed: delta.GetChanged(),
		Removed: delta.GetRemoved(), ManifestDigest: delta.GetManifestDigest(), Bundles: map[string][]byte{},
	}
	for _, service := range services {
		e, ok := c.manifest.Entries[service]
		if !ok || held[e.Digest] {
			continue
		}
		content, ok := c.content[e.Digest]
		if !ok {
			return nil, &StaleContentError{Version: delta.GetVersion(), Digest: e.Digest}
		}
		full.Bundles[e.Digest] = content
	}
	return full, nil
}

// withChanged returns the delta from base with the content of every changed
// entry, as one distributor sends it to another.
func (c *catalog) withChanged(base uint64) (*pb.ConfigDelta, error) {
	delta := c.deltaFrom(base)
	services := make([]string, 0, len(delta.GetChanged()))
	for _, e := range delta.GetChanged() {
		services = append(services, e.GetService())
	}
	return c.withBundles(delta, services, nil)
}

// bundle decodes the bundle of a service, or returns nil.
func (c *catalog) bundle(service string) *config.Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manifest == nil {
		return nil
	}
	e, ok := c.manifest.Entries[service]
	if !ok {
		return nil
	}
	if b, ok := c.decoded[e.Digest]; ok {
		return b
	}
	b, err := config.DecodeBundle(c.content[e.Digest], e.Digest)
	if err != nil {
		return nil
	}
	c.decoded[e.Digest] = b
	return b
}
