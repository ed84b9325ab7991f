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

// CollectGrace is the shortest time between the head that a collection is
// judged by and the removal. A distributor that read an older head has fetched
// its blobs long before, even with a store that takes 5 s for each answer.
const CollectGrace = 10 * time.Minute

// Collector removes blobs that no version in use names. At 10,000 changes a day
// one step every ten minutes lists about 70 unused manifests and bundles (2 MB)
// and costs two reads, one list and one delete for each.
//
// A blob is removed only if all of this holds:
//   - the head of the step before (at least CollectGrace ago) and the head of
//     now do not name it;
//   - it was last written before the head of the step before, so it does not
//     belong to an apply that is under way: such an apply has read that head or
//     a later one and writes each blob anew if it is older (see writeBlob), or
//     its conditional update of the head will fail;
//   - the store still holds the revision that was listed.
//
// Several collectors may run at once; one is enough.
type Collector struct {
	acceptor *Acceptor

	mu     sync.Mutex
	marked *mark
}

// mark is the head that the next step judges by.
type mark struct {
	at       time.Time
	revision int64
	used     map[string]bool
}

// NewCollector returns a Collector for the acceptor's store.
func NewCollector(a *Acceptor) *Collector { return &Collector{acceptor: a} }

// Step removes what the step before has found unused and marks the current
// head for the next. It returns the number of blobs removed. A step that comes
// before CollectGrace has passed does nothing.
func (c *Collector) Step(ctx context.Context) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.acceptor.options.Now()
	if c.marked != nil && now.Sub(c.marked.at) < CollectGrace {
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

// markHead reads the current head; it returns nil while there is none.
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
	return &mark{at: now, revision: revision, used: referenced(head.Manifest, manifest)}, nil
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
			continue // written again since, or removed by another collector
		}
		if err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
