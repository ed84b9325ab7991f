package domain

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// blobsPerSecond bounds the blob reads of one distributor, so that 24 that
	// start together stay below the store's 2,000 reads/s.
	blobsPerSecond = 50
	blobBurst      = 20
	// storeRetryMin and storeRetryMax bound the wait after a failed store call.
	storeRetryMin = 250 * time.Millisecond
	storeRetryMax = 5 * time.Second
	// entriesInterval is how often the list of entry points is read, and
	// missingInterval how often while a domain has no link.
	entriesInterval = 30 * time.Second
	missingInterval = 3 * time.Second
)

// watchHead follows the head in the store until ctx ends. It makes one store
// call at a time.
func (d *Distributor) watchHead(ctx context.Context) {
	limit := rate.NewLimiter(blobsPerSecond, blobBurst)
	retry := storeRetryMin
	var revision int64
	known := false
	for ctx.Err() == nil {
		var err error
		if known {
			revision, known, err = d.awaitHead(ctx, revision)
		}
		if err == nil && !known {
			revision, err = d.readHead(ctx, limit)
			known = err == nil
		}
		d.member.noteStore(err)
		if err == nil {
			retry = storeRetryMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		known = false
		eventStoreUnavailable.Log(d.o.Logger, zap.String("op", "follow head"), zap.Error(err))
		sleep(ctx, retry/2+d.random.upTo(retry/2))
		retry = min(2*retry, storeRetryMax)
	}
}

// awaitHead waits for a change of the head. It reports known as false when the
// head is to be read.
func (d *Distributor) awaitHead(ctx context.Context, from int64) (revision int64, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	// A hint from a call or a push ends the wait early.
	ended := make(chan struct{})
	defer close(ended)
	if err := d.o.submit(func() {
		select {
		case <-d.headWanted:
			cancel()
		case <-ended:
		}
	}); err != nil {
		return from, true, err
	}
	events, next, err := d.o.Store.Watch(ctx, config.HeadKey, from)
	switch {
	case ctx.Err() == context.Canceled:
		return from, false, nil
	case store.IsExpiredWatch(err):
		return from, false, nil
	case err != nil:
		return from, false, err
	case len(events) > 0:
		return next, false, nil
	}
	return next, true, nil
}

// readHead reads the head, and the manifest and blobs that are not held. The
// revision is the one to watch from: the store's, since the head's own may be
// older than the events that the store keeps.
func (d *Distributor) readHead(ctx context.Context, limit *rate.Limiter) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, revision, err := d.o.Store.List(callCtx, config.HeadKey)
	if err != nil {
		return 0, err
	}
	if len(objects) == 0 {
		return revision, d.fetchMissing(ctx, d.catalog.current(), limit)
	}
	head, err := decodeHead(objects[0].Value)
	if err != nil {
		return 0, err
	}
	d.raiseFleet(head.Version)
	if held := d.catalog.version(); head.Version <= held {
		if head.Version < held {
			eventHeadWentBack.Log(d.o.Logger, zap.Uint64("head", head.Version), zap.Uint64("held", held))
		}
		return revision, d.fetchMissing(ctx, d.catalog.current(), limit)
	}
	manifest, err := d.readManifest(ctx, head)
	if err != nil {
		return 0, err
	}
	return revision, d.fetchMissing(ctx, manifest, limit)
}

func (d *Distributor) readManifest(ctx context.Context, head config.Head) (*config.Manifest, error) {
	object, err := d.get(ctx, config.BlobPrefix+head.Manifest)
	if err != nil {
		return nil, err
	}
	if got := config.Digest(object.Value); got != head.Manifest {
		return nil, &config.DigestError{What: "manifest", Want: head.Manifest, Got: got}
	}
	manifest := &config.Manifest{}
	if err := json.Unmarshal(object.Value, manifest); err != nil {
		return nil, &HeadError{Cause: err}
	}
	return manifest, nil
}

// fetchMissing reads the content that the manifest names and that is not
// held, and then puts the manifest in force.
func (d *Distributor) fetchMissing(ctx context.Context, manifest *config.Manifest, limit *rate.Limiter) error {
	if manifest == nil {
		return nil
	}
	content := map[string][]byte{}
	for _, digest := range d.catalog.missing(manifest) {
		if err := limit.Wait(ctx); err != nil {
			return &store.UnavailableError{Op: "get", Cause: err}
		}
		object, err := d.get(ctx, config.BlobPrefix+digest)
		if err != nil {
			return err
		}
		if got := config.Digest(object.Value); got != digest {
			return &config.DigestError{What: "bundle", Want: digest, Got: got}
		}
		content[digest] = object.Value
	}
	if d.catalog.set(manifest, content) || len(content) > 0 {
		d.versionGrew(true)
	}
	return nil
}

func (d *Distributor) get(ctx context.Context, key string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return d.o.Store.Get(ctx, key)
}

// watchEntries keeps the list of distributors up to date until ctx ends.
func (d *Distributor) watchEntries(ctx context.Context) {
	for ctx.Err() == nil {
		d.listEntries(ctx)
		next := time.Now().Add(entriesInterval)
		for ctx.Err() == nil && time.Now().Before(next) {
			sleep(ctx, missingInterval/2+d.random.upTo(missingInterval))
			if d.missesDomain() {
				break
			}
		}
	}
}

func (d *Distributor) listEntries(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := d.o.Store.List(callCtx, config.EntryPrefix)
	if err != nil {
		return // the head's task reports the store's state
	}
	found, err := decodeEntries(objects)
	if err != nil {
		eventStoreUnavailable.Log(d.o.Logger, zap.String("op", "list entries"), zap.Error(err))
		return
	}
	addresses := map[string]string{}
	for _, e := range found.leases {
		addresses[e.record.Address] = e.domain
	}
	d.knowOthers(addresses, true)
}

// seedEntries takes the distributors that the own member daemon knows, for a
// start while the store is down.
func (d *Distributor) seedEntries() {
	d.member.mu.Lock()
	addresses := map[string]string{}
	for domain, list := range d.member.entries {
		for _, address := range list {
			addresses[address] = domain
		}
	}
	d.member.mu.Unlock()
	d.knowOthers(addresses, false)
}
