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
	// loadParallel bounds the store reads of one load that run at a time.
	loadParallel = 8
	// maxReload bounds how often a load begins again because blobs of the head
	// it read were collected in the meantime.
	maxReload = 3
)

// state is the configuration as the store holds it.
type state struct {
	head     config.Head
	revision int64 // of the head object, 0 while there is none
	current  *config.Configuration
	manifest *config.Manifest
}

// loader reads whole configurations and keeps the blobs of the latest, so that
// a load costs one read plus one for each blob that has changed.
type loader struct {
	store store.Store
	local func(digest string) ([]byte, bool)

	mu      sync.Mutex
	version uint64
	cache   map[string][]byte // the blobs of that version by digest
}

// head reads the head. Without a head object the version is 0.
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

// load reads the head and all that it names.
func (l *loader) load(ctx context.Context) (*state, error) {
	for attempt := 1; ; attempt++ {
		head, revision, err := l.head(ctx)
		if err != nil {
			return nil, err
		}
		s := &state{head: head, revision: revision}
		err = l.fill(ctx, s)
		if store.IsNotFound(err) && attempt < maxReload {
			continue // the head has moved on and its blobs were collected
		}
		if err != nil {
			return nil, err
		}
		return s, nil
	}
}

func (l *loader) fill(ctx context.Context, s *state) error {
	s.current = &config.Configuration{Version: s.head.Version, Bundles: map[string]*config.Bundle{}}
	s.manifest = &config.Manifest{Version: s.head.Version, Entries: map[string]config.Entry{}}
	if s.revision == 0 {
		return nil
	}
	data, err := l.blob(ctx, s.head.Manifest)
	if err != nil {
		return err
	}
	if s.manifest, err = config.DecodeManifest(data, s.head.Manifest); err != nil {
		return &CorruptError{Key: config.BlobPrefix + s.head.Manifest, Cause: err}
	}
	content, err := l.fetch(ctx, s.manifest)
	if err != nil {
		return err
	}
	for name, entry := range s.manifest.Entries {
		if err := decodeEntry(s.current, name, entry.Digest, content[entry.Digest]); err != nil {
			return &CorruptError{Key: config.BlobPrefix + entry.Digest, Cause: err}
		}
	}
	content[s.head.Manifest] = data
	l.replace(s.head.Version, content)
	return nil
}

func decodeEntry(into *config.Configuration, name, digest string, data []byte) error {
	var err error
	if name == config.TeamsEntry {
		into.Teams, err = config.DecodeTeams(data, digest)
		return err
	}
	into.Bundles[name], err = config.DecodeBundle(data, digest)
	return err
}

// fetch returns every blob that a manifest names.
func (l *loader) fetch(ctx context.Context, manifest *config.Manifest) (map[string][]byte, error) {
	tasks, err := ants.NewPool(loadParallel)
	if err != nil {
		return nil, err
	}
	defer tasks.Release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := fetching{content: map[string][]byte{}, cancel: cancel}
	var running sync.WaitGroup
	for _, name := range slices.Sorted(maps.Keys(manifest.Entries)) {
		digest := manifest.Entries[name].Digest
		running.Add(1)
		task := func() {
			defer running.Done()
			data, err := l.blob(ctx, digest)
			f.add(digest, data, err)
		}
		if err := tasks.Submit(task); err != nil {
			f.add(digest, nil, err)
			running.Done()
		}
	}
	running.Wait()
	return f.content, f.err
}

// fetching collects the results of concurrent reads; the first error ends the
// others.
type fetching struct {
	mu      sync.Mutex
	content map[string][]byte
	err     error
	cancel  context.CancelFunc
}

func (f *fetching) add(digest string, data []byte, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil && f.err == nil {
		f.err = err
		f.cancel()
	}
	f.content[digest] = data
}

// blob returns verified content by digest from the cache, the daemon's own copy
// or the store.
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
		return nil, &CorruptError{Key: object.Key, Cause: &config.DigestError{What: "blob", Want: digest, Got: got}}
	}
	return object.Value, nil
}

func (l *loader) cached(digest string) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, ok := l.cache[digest]
	return data, ok
}

// replace keeps the blobs of the latest version only.
func (l *loader) replace(version uint64, content map[string][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version >= l.version {
		l.version, l.cache = version, content
	}
}

// referenced returns the digests of a version's blobs.
func referenced(manifestDigest string, manifest *config.Manifest) map[string]bool {
	used := map[string]bool{manifestDigest: true}
	for _, entry := range manifest.Entries {
		used[entry.Digest] = true
	}
	return used
}

// Held is the current configuration with its origin.
type Held struct {
	Configuration *config.Configuration
	AcceptedAt    time.Time
	Last          config.Operation
}

// Get reads the current configuration whole.
func (a *Acceptor) Get(ctx context.Context) (Held, error) {
	s, err := a.loader.load(ctx)
	if err != nil {
		return Held{}, &NotAppliedError{Step: "reading the configuration", Cause: err}
	}
	return held(s), nil
}

func held(s *state) Held {
	h := Held{Configuration: s.current, AcceptedAt: s.head.AcceptedAt}
	if n := len(s.head.Operations); n > 0 {
		h.Last = s.head.Operations[n-1]
	}
	return h
}
