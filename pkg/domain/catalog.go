package domain

import (
	"maps"
	"slices"
	"sync"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// maxHistory is the number of previous manifests kept as bases of deltas. At
// 0.12 changes/s they cover four minutes.
const maxHistory = 32

// catalog is a distributor's copy of the configuration: the manifest and the
// content of every bundle. Its version never decreases.
type catalog struct {
	mu       sync.Mutex
	manifest *config.Manifest
	content  map[string][]byte
	decoded  map[string]*config.Bundle // by digest; cached because rollout controllers read them every second
	history  map[uint64]*config.Manifest
	deltas   map[uint64]*pb.ConfigDelta // to the current version, by base version
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

// seed installs the manifest and the bundles of a member daemon's snapshot if
// they are newer.
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

// apply applies a delta received from an accepting daemon or another
// distributor and reports whether the version advanced. Content may still be
// missing; see missing.
func (c *catalog) apply(delta *pb.ConfigDelta) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delta.GetVersion() < c.versionLocked() {
		return false, &config.OldVersionError{Version: delta.GetVersion(), Current: c.versionLocked()}
	}
	for digest, content := range delta.GetBundles() {
		if got := config.Digest(content); got != digest {
			return false, &config.DigestError{Kind: "bundle", Want: digest, Got: got}
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

// set installs a manifest read from the store unless it is older than the
// current one, and reports whether it is newer.
func (c *catalog) set(manifest *config.Manifest, content map[string][]byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if manifest.Version < c.versionLocked() {
		return false
	}
	newer := manifest.Version > c.versionLocked()
	if newer {
		c.setLocked(manifest, content)
	} else {
		c.addContentLocked(content)
	}
	return newer
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

// addContentLocked adds the content that the manifest refers to and drops
// content that it does not.
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

// missing returns the digests in the manifest whose content is not in the
// catalog. A nil manifest stands for the current one.
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

// deltaFrom returns the delta from base to the current version, without
// bundles. It is cached and shared between receivers, so it must not be changed.
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

// withBundles returns a copy of delta with the content of the given services,
// except content whose digest is in cached, which the receiver already has. It
// returns an error if the catalog lacks some of the content.
func (c *catalog) withBundles(delta *pb.ConfigDelta, services []string, cached map[string]bool) (*pb.ConfigDelta, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if delta.GetVersion() != c.versionLocked() {
		return nil, &config.OldVersionError{Version: delta.GetVersion(), Current: c.versionLocked()}
	}
	full := &pb.ConfigDelta{
		BaseVersion: delta.GetBaseVersion(), Version: delta.GetVersion(), Changed: delta.GetChanged(),
		Removed: delta.GetRemoved(), ManifestDigest: delta.GetManifestDigest(), Bundles: map[string][]byte{},
	}
	for _, service := range services {
		e, ok := c.manifest.Entries[service]
		if !ok || cached[e.Digest] {
			continue
		}
		content, ok := c.content[e.Digest]
		if !ok {
			return nil, &MissingContentError{Version: delta.GetVersion(), Digest: e.Digest}
		}
		full.Bundles[e.Digest] = content
	}
	return full, nil
}

// withChanged returns the delta from base with the content of every changed
// entry. Distributors send it to each other.
func (c *catalog) withChanged(base uint64) (*pb.ConfigDelta, error) {
	delta := c.deltaFrom(base)
	services := make([]string, 0, len(delta.GetChanged()))
	for _, e := range delta.GetChanged() {
		services = append(services, e.GetService())
	}
	return c.withBundles(delta, services, nil)
}

// bundle returns the decoded bundle of a service, or nil if it is missing or
// invalid.
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
