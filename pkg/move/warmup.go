package move

import (
	"sync"
	"time"
)

// Warmup tells which targets are past their cold start. The time counts from
// when this daemon first heard of the target's start, on its own clock, and not
// from its first call: at a few calls a minute each caller's first call to
// each target would otherwise be lost as evidence.
type Warmup struct {
	mu      sync.RWMutex
	targets map[string]warmTarget
}

type warmTarget struct {
	incarnation uint64
	since       time.Time
}

// Seen notes that a target is announced. It is called for each endpoint record
// with the target's incarnation or start count.
func (w *Warmup) Seen(target string, incarnation uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.targets == nil {
		w.targets = map[string]warmTarget{}
	}
	if held, ok := w.targets[target]; !ok || held.incarnation < incarnation {
		w.targets[target] = warmTarget{incarnation: incarnation, since: now}
	}
}

// Forget drops a departed target.
func (w *Warmup) Forget(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.targets, target)
}

// Warm reports whether the target's cold start is over.
func (w *Warmup) Warm(target string, coldStart time.Duration, now time.Time) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	held, ok := w.targets[target]
	return ok && now.Sub(held.since) >= coldStart
}
