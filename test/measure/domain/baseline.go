package domain

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/domain/domaintest"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	watchWait     = 30 * time.Second
	baselineRetry = time.Second
	// allKeys is the prefix of all keys.
	allKeys = ""
)

// watcher is a daemon of the baseline. It watches the store and reads all objects
// after each change. Its endpoint is an object in the store.
type watcher struct {
	name  string
	store store.Store

	mu      sync.Mutex
	bytes   int64
	reached []domaintest.Reached
}

func (w *watcher) run(ctx context.Context, endpoint []byte) {
	if _, err := w.store.Create(ctx, "endpoint/"+w.name, endpoint); err != nil && !store.IsConflict(err) {
		sleepContext(ctx, baselineRetry)
	}
	var from int64
	listed := false
	for ctx.Err() == nil {
		if !listed {
			objects, revision, err := w.store.List(ctx, allKeys)
			if err != nil {
				sleepContext(ctx, baselineRetry)
				continue
			}
			w.recordState(objects)
			from, listed = revision, true
		}
		watchCtx, cancel := context.WithTimeout(ctx, watchWait)
		events, next, err := w.store.Watch(watchCtx, allKeys, from)
		cancel()
		if err != nil {
			listed = false
			sleepContext(ctx, baselineRetry)
			continue
		}
		w.countEvents(events)
		from, listed = next, len(events) == 0
	}
}

func (w *watcher) countEvents(events []store.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events {
		w.bytes += int64(len(e.Object.Key) + len(e.Object.Value))
	}
}

func (w *watcher) recordState(objects []store.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range objects {
		w.bytes += int64(len(o.Key) + len(o.Value))
		if o.Key != config.HeadKey {
			continue
		}
		var head config.Head
		if json.Unmarshal(o.Value, &head) == nil {
			w.reached = append(w.reached, domaintest.Reached{Version: head.Version, At: time.Now()})
		}
	}
}

func (w *watcher) reachedAt(version uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.reached {
		if r.Version >= version {
			return r.At, true
		}
	}
	return time.Time{}, false
}

func (w *watcher) received() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// baseline is a fleet of watchers on the store of a domaintest.Fleet.
type baseline struct {
	watchers []*watcher
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
}

func startBaseline(f *domaintest.Fleet) *baseline {
	b := &baseline{}
	for _, n := range f.Nodes {
		b.watchers = append(b.watchers, &watcher{name: n.Name, store: f.DaemonStore})
	}
	b.restart(f)
	return b
}

// restart stops all watchers and runs them again without state.
func (b *baseline) restart(f *domaintest.Fleet) {
	if b.cancel != nil {
		b.cancel()
		b.tasks.Wait()
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	for i, w := range b.watchers {
		w.mu.Lock()
		w.reached = nil
		w.mu.Unlock()
		n := f.Nodes[i]
		endpoint := domaintest.EndpointRecord(n.Name, n.Domain, n.Service, 1).GetPayload()
		b.tasks.Add(1)
		go func() { defer b.tasks.Done(); w.run(ctx, endpoint) }()
	}
}

func (b *baseline) close() {
	b.cancel()
	b.tasks.Wait()
}

func (b *baseline) received() int64 {
	var total int64
	for _, w := range b.watchers {
		total += w.received()
	}
	return total
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
