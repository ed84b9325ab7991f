package accept

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// maxParallelReads is the maximum number of concurrent store reads of one load.
	maxParallelReads = 8
	// maxLoadAttempts is the maximum number of attempts of a load when blobs of the
	// head that it read are collected in the meantime.
	maxLoadAttempts = 3
)

// storedConfig is the current configuration in the store.
type storedConfig struct {
	head     config.Head
	revision int64 // of the head object, 0 if there is none
	current  *config.Configuration
	manifest *config.Manifest
}

// loader reads whole configurations. It caches the blobs of the latest version, so
// that a load costs one read of the head and one read for each changed blob.
type loader struct {
	store store.Store
	local func(digest string) ([]byte, bool)

	mu      sync.Mutex
	version uint64
	cache   map[string][]byte // blobs of that version by digest
}

// head reads the head and its revision. The version and the revision are 0 if
// there is no head object.
func (l *loader) head(ctx context.Context) (config.Head, int64, error) {
	object, err := l.store.Get(ctx, config.HeadKey)
	if store.IsNotFound(err) {
		return config.Head{}, 0, nil
	}
	if err != nil {
		return config.Head{}, 0, err
	}
	var head config.Head
	if err := json.Unmarshal(object.Value, &head); err != nil {
		return config.Head{}, 0, &CorruptError{Key: config.HeadKey, Cause: err}
	}
	return head, object.Revision, nil
}

// load reads the head and all blobs that it references.
func (l *loader) load(ctx context.Context) (*storedConfig, error) {
	for attempt := 1; ; attempt++ {
		head, revision, err := l.head(ctx)
		if err != nil {
			return nil, err
		}
		stored := &storedConfig{head: head, revision: revision}
		err = l.loadContent(ctx, stored)
		if store.IsNotFound(err) && attempt < maxLoadAttempts {
			continue // the head was updated and the blobs of the old one were collected
		}
		if err != nil {
			return nil, err
		}
		return stored, nil
	}
}

func (l *loader) loadContent(ctx context.Context, stored *storedConfig) error {
	stored.current = &config.Configuration{Version: stored.head.Version, Bundles: map[string]*config.Bundle{}}
	stored.manifest = &config.Manifest{Version: stored.head.Version, Entries: map[string]config.Entry{}}
	if stored.revision == 0 {
		return nil
	}
	data, err := l.blob(ctx, stored.head.Manifest)
	if err != nil {
		return err
	}
	if stored.manifest, err = config.DecodeManifest(data, stored.head.Manifest); err != nil {
		return &CorruptError{Key: config.BlobPrefix + stored.head.Manifest, Cause: err}
	}
	content, err := l.fetch(ctx, stored.manifest)
	if err != nil {
		return err
	}
	for name, entry := range stored.manifest.Entries {
		if err := decodeEntry(stored.current, name, entry.Digest, content[entry.Digest]); err != nil {
			return &CorruptError{Key: config.BlobPrefix + entry.Digest, Cause: err}
		}
	}
	content[stored.head.Manifest] = data
	l.setCache(stored.head.Version, content)
	return nil
}

func decodeEntry(target *config.Configuration, name, digest string, data []byte) error {
	var err error
	if name == config.TeamsEntry {
		target.Teams, err = config.DecodeTeams(data, digest)
		return err
	}
	target.Bundles[name], err = config.DecodeBundle(data, digest)
	return err
}

// fetch returns all blobs that a manifest references, by digest.
func (l *loader) fetch(ctx context.Context, manifest *config.Manifest) (map[string][]byte, error) {
	pool, err := ants.NewPool(maxParallelReads)
	if err != nil {
		return nil, err
	}
	defer pool.Release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := fetchResults{content: map[string][]byte{}, cancel: cancel}
	var running sync.WaitGroup
	for _, name := range slices.Sorted(maps.Keys(manifest.Entries)) {
		digest := manifest.Entries[name].Digest
		running.Add(1)
		task := func() {
			defer running.Done()
			data, err := l.blob(ctx, digest)
			results.add(digest, data, err)
		}
		if err := pool.Submit(task); err != nil {
			results.add(digest, nil, err)
			running.Done()
		}
	}
	running.Wait()
	return results.content, results.err
}

// fetchResults collects the results of concurrent reads. The first error cancels
// the remaining reads.
type fetchResults struct {
	mu      sync.Mutex
	content map[string][]byte
	err     error
	cancel  context.CancelFunc
}

func (f *fetchResults) add(digest string, data []byte, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil && f.err == nil {
		f.err = err
		f.cancel()
	}
	f.content[digest] = data
}

// blob returns verified content by digest from the cache, the local daemon or the
// store.
func (l *loader) blob(ctx context.Context, digest string) ([]byte, error) {
	if data, ok := l.cached(digest); ok {
		return data, nil
	}
	if l.local != nil {
		if data, ok := l.local(digest); ok && config.Digest(data) == digest {
			return data, nil
		}
	}
	object, err := l.store.Get(ctx, config.BlobPrefix+digest)
	if err != nil {
		return nil, err
	}
	if got := config.Digest(object.Value); got != digest {
		return nil, &CorruptError{Key: object.Key, Cause: &config.DigestError{Kind: "blob", Want: digest, Got: got}}
	}
	return object.Value, nil
}

func (l *loader) cached(digest string) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, ok := l.cache[digest]
	return data, ok
}

// setCache replaces the cached blobs unless they belong to a newer version.
func (l *loader) setCache(version uint64, content map[string][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version >= l.version {
		l.version, l.cache = version, content
	}
}

// referencedDigests returns the digests of the blobs of a version.
func referencedDigests(manifestDigest string, manifest *config.Manifest) map[string]bool {
	used := map[string]bool{manifestDigest: true}
	for _, entry := range manifest.Entries {
		used[entry.Digest] = true
	}
	return used
}

// Current is the current configuration with the time and operation that produced it.
type Current struct {
	Configuration *config.Configuration
	AcceptedAt    time.Time
	Last          config.Operation
}

// Get reads the current configuration from the store.
func (a *Acceptor) Get(ctx context.Context) (Current, error) {
	stored, err := a.loader.load(ctx)
	if err != nil {
		return Current{}, &NotAppliedError{Step: "reading the configuration", Cause: err}
	}
	return newCurrent(stored), nil
}

func newCurrent(stored *storedConfig) Current {
	current := Current{Configuration: stored.current, AcceptedAt: stored.head.AcceptedAt}
	if n := len(stored.head.Operations); n > 0 {
		current.Last = stored.head.Operations[n-1]
	}
	return current
}
