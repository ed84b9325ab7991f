package accept

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// CollectGracePeriod is the minimum time between reading a head and removing the
// blobs that it does not reference. A distributor that read an older head has
// fetched its blobs long before that, even if each store call takes 5 s.
const CollectGracePeriod = 10 * time.Minute

// Collector removes blobs that no version in use references. At 10,000 changes a
// day, one step every ten minutes lists about 70 unused manifests and bundles (2 MB)
// and costs two reads and one list, and one delete for each unused blob.
//
// A blob is removed only if all of these conditions hold:
//   - Neither the head of the previous step (at least CollectGracePeriod ago) nor
//     the current head references it.
//   - It was last written before the head of the previous step, so it does not
//     belong to an apply in progress: such an apply either has read that head or a
//     later one and rewrites each older blob (see writeBlob), or its conditional
//     update of the head will fail.
//   - Its revision in the store is still the one that was listed.
//
// Several collectors may run concurrently, but one is enough.
type Collector struct {
	acceptor *Acceptor

	mu     sync.Mutex
	marked *mark // from the previous step
}

// mark is a head with the digests of the blobs that it references.
type mark struct {
	at       time.Time
	revision int64
	used     map[string]bool
}

// NewCollector returns a Collector for the acceptor's store.
func NewCollector(a *Acceptor) *Collector { return &Collector{acceptor: a} }

// Collect removes the blobs that neither the head of the previous step nor the current
// head references, and marks the current head for the next step. It returns the
// number of removed blobs. A step before CollectGracePeriod has elapsed does
// nothing.
func (c *Collector) Collect(ctx context.Context) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.acceptor.options.Now()
	if c.marked != nil && now.Sub(c.marked.at) < CollectGracePeriod {
		return 0, nil
	}
	next, err := c.markHead(ctx, now)
	if err != nil || next == nil {
		return 0, err
	}
	removed := 0
	if c.marked != nil {
		removed, err = c.sweep(ctx, next)
		eventCollected.Log(c.acceptor.options.Logger, zap.Int("removed", removed), zap.Error(err))
	}
	c.marked = next
	return removed, err
}

// markHead reads the current head. It returns nil if the store has no head.
func (c *Collector) markHead(ctx context.Context, now time.Time) (*mark, error) {
	head, revision, err := c.acceptor.loader.head(ctx)
	if err != nil || revision == 0 {
		return nil, err
	}
	data, err := c.acceptor.loader.blob(ctx, head.Manifest)
	if err != nil {
		return nil, err
	}
	manifest, err := config.DecodeManifest(data, head.Manifest)
	if err != nil {
		return nil, &CorruptError{Key: config.BlobPrefix + head.Manifest, Cause: err}
	}
	return &mark{at: now, revision: revision, used: referencedDigests(head.Manifest, manifest)}, nil
}

func (c *Collector) sweep(ctx context.Context, current *mark) (int, error) {
	objects, _, err := c.acceptor.options.Store.List(ctx, config.BlobPrefix)
	if err != nil {
		return 0, err
	}
	used := maps.Clone(c.marked.used)
	maps.Copy(used, current.used)
	removed := 0
	for _, object := range objects {
		digest := strings.TrimPrefix(object.Key, config.BlobPrefix)
		if used[digest] || object.Revision >= c.marked.revision {
			continue
		}
		err := c.acceptor.options.Store.Delete(ctx, object.Key, object.Revision)
		if store.IsConflict(err) {
			continue // rewritten in the meantime, or removed by another collector
		}
		if err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
