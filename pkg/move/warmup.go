package move

import (
	"sync"
	"time"
)

// Warmup tracks which targets are past their cold start. The cold start begins
// when the target's start was first announced to this daemon, by the local clock.
// It does not begin with the first call, because at a few calls a minute the
// first call of each caller to each target would then be lost as evidence.
type Warmup struct {
	mu      sync.RWMutex
	targets map[string]warmTarget
}

type warmTarget struct {
	incarnation uint64
	since       time.Time
}

// Add records an announced target. It is called for each endpoint record with
// the target's incarnation or start count.
func (w *Warmup) Add(target string, incarnation uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.targets == nil {
		w.targets = map[string]warmTarget{}
	}
	if existing, ok := w.targets[target]; !ok || existing.incarnation < incarnation {
		w.targets[target] = warmTarget{incarnation: incarnation, since: now}
	}
}

// Remove removes a departed target.
func (w *Warmup) Remove(target string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.targets, target)
}

// Warm reports whether the target's cold start is over.
func (w *Warmup) Warm(target string, coldStart time.Duration, now time.Time) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	existing, ok := w.targets[target]
	return ok && now.Sub(existing.since) >= coldStart
}
