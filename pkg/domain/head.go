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
	// blobsPerSecond limits the blob reads of one distributor, so that 24 that
	// start together stay below the store's 2,000 reads/s.
	blobsPerSecond = 50
	blobBurst      = 20
	// storeRetryMin and storeRetryMax limit the delay after a failed store call.
	storeRetryMin = 250 * time.Millisecond
	storeRetryMax = 5 * time.Second
	// entriesInterval is the interval between reads of the list of entry points,
	// and missingDomainInterval is that interval while a domain has no link.
	entriesInterval       = 30 * time.Second
	missingDomainInterval = 3 * time.Second
)

// watchHead watches the head in the store until ctx ends and puts each new
// version in force. It makes one store call at a time.
func (d *Distributor) watchHead(ctx context.Context) {
	limit := rate.NewLimiter(blobsPerSecond, blobBurst)
	retry := storeRetryMin
	var revision int64
	upToDate := false
	for ctx.Err() == nil {
		var err error
		if upToDate {
			revision, upToDate, err = d.awaitHead(ctx, revision)
		}
		if err == nil && !upToDate {
			revision, err = d.readHead(ctx, limit)
			upToDate = err == nil
		}
		d.member.recordStoreResult(err)
		if err == nil {
			retry = storeRetryMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		upToDate = false
		eventStoreUnavailable.Log(d.options.Logger, zap.String("op", "follow head"), zap.Error(err))
		sleep(ctx, retry/2+d.random.upTo(retry/2))
		retry = min(2*retry, storeRetryMax)
	}
}

// awaitHead waits for a change of the head. It returns false as upToDate if the
// head must be read.
func (d *Distributor) awaitHead(ctx context.Context, from int64) (revision int64, upToDate bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	// A newer version in a call or a push ends the watch early.
	ended := make(chan struct{})
	defer close(ended)
	if err := d.options.submit(func() {
		select {
		case <-d.headRequested:
			cancel()
		case <-ended:
		}
	}); err != nil {
		return from, true, err
	}
	events, next, err := d.options.Store.Watch(ctx, config.HeadKey, from)
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

// readHead reads the head, and the manifest and blobs that the catalog lacks. It
// returns the revision to watch from, which is the store's: the revision of the
// head itself may be older than the events that the store keeps.
func (d *Distributor) readHead(ctx context.Context, limit *rate.Limiter) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, revision, err := d.options.Store.List(callCtx, config.HeadKey)
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
	d.raiseFleetVersion(head.Version)
	if current := d.catalog.version(); head.Version <= current {
		if head.Version < current {
			eventHeadWentBack.Log(d.options.Logger, zap.Uint64("head", head.Version), zap.Uint64("held", current))
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
		return nil, &config.DigestError{Kind: "manifest", Want: head.Manifest, Got: got}
	}
	manifest := &config.Manifest{}
	if err := json.Unmarshal(object.Value, manifest); err != nil {
		return nil, &HeadError{Cause: err}
	}
	return manifest, nil
}

// fetchMissing reads the content of the manifest that the catalog lacks, and
// then puts the manifest in force.
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
			return &config.DigestError{Kind: "bundle", Want: digest, Got: got}
		}
		content[digest] = object.Value
	}
	if d.catalog.set(manifest, content) || len(content) > 0 {
		d.announceVersion(true)
	}
	return nil
}

func (d *Distributor) get(ctx context.Context, key string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return d.options.Store.Get(ctx, key)
}

// watchEntries refreshes the list of remote distributors until ctx ends.
func (d *Distributor) watchEntries(ctx context.Context) {
	for ctx.Err() == nil {
		d.listEntries(ctx)
		next := time.Now().Add(entriesInterval)
		for ctx.Err() == nil && time.Now().Before(next) {
			sleep(ctx, missingDomainInterval/2+d.random.upTo(missingDomainInterval))
			if d.hasUnlinkedDomain() {
				break
			}
		}
	}
}

func (d *Distributor) listEntries(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := d.options.Store.List(callCtx, config.EntryPrefix)
	if err != nil {
		return // watchHead logs and records failures of the store
	}
	found, err := decodeEntries(objects)
	if err != nil {
		eventStoreUnavailable.Log(d.options.Logger, zap.String("op", "list entries"), zap.Error(err))
		return
	}
	addresses := map[string]string{}
	for _, e := range found.leases {
		addresses[e.record.Address] = e.domain
	}
	d.updateRemoteDistributors(addresses, true)
}

// seedEntries adds the distributors that this daemon's Member knows, for a start
// while the store is down.
func (d *Distributor) seedEntries() {
	d.member.mu.Lock()
	addresses := map[string]string{}
	for domain, list := range d.member.domainAddresses {
		for _, address := range list {
			addresses[address] = domain
		}
	}
	d.member.mu.Unlock()
	d.updateRemoteDistributors(addresses, false)
}
