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
	// wholeState is the prefix of everything.
	wholeState = ""
)

// watcher is a daemon of the baseline: it watches the store and reads the
// whole state at each change. Its endpoint is an object in the store.
type watcher struct {
	name  string
	store store.Store

	mu      sync.Mutex
	bytes   int64
	reached []domaintest.Reached
}

func (w *watcher) run(ctx context.Context, endpoint []byte) {
	if _, err := w.store.Create(ctx, "endpoint/"+w.name, endpoint); err != nil && !store.IsConflict(err) {
		pause(ctx, baselineRetry)
	}
	var from int64
	known := false
	for ctx.Err() == nil {
		if !known {
			objects, revision, err := w.store.List(ctx, wholeState)
			if err != nil {
				pause(ctx, baselineRetry)
				continue
			}
			w.take(objects)
			from, known = revision, true
		}
		watchCtx, cancel := context.WithTimeout(ctx, watchWait)
		events, next, err := w.store.Watch(watchCtx, wholeState, from)
		cancel()
		if err != nil {
			known = false
			pause(ctx, baselineRetry)
			continue
		}
		w.count(events)
		from, known = next, len(events) == 0
	}
}

func (w *watcher) count(events []store.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events {
		w.bytes += int64(len(e.Object.Key) + len(e.Object.Value))
	}
}

func (w *watcher) take(objects []store.Object) {
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

// baseline is a fleet of watchers on a fleet's store.
type baseline struct {
	watchers []*watcher
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

func startBaseline(f *domaintest.Fleet) *baseline {
	b := &baseline{}
	for _, n := range f.Nodes {
		b.watchers = append(b.watchers, &watcher{name: n.Name, store: f.Platform})
	}
	b.restart(f)
	return b
}

// restart runs every watcher as a fresh process.
func (b *baseline) restart(f *domaintest.Fleet) {
	if b.stop != nil {
		b.stop()
		b.tasks.Wait()
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
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

func (b *baseline) end() {
	b.stop()
	b.tasks.Wait()
}

func (b *baseline) received() int64 {
	var total int64
	for _, w := range b.watchers {
		total += w.received()
	}
	return total
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
