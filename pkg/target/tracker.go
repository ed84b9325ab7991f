package target

import (
	"context"
	"sync"
)

// tracker counts calls in progress and lets a drain wait for their end.
type tracker struct {
	mu     sync.Mutex
	active int
	closed bool
	idle   chan struct{} // closed when active falls to 0; nil while nobody waits
}

// add counts a call unless the tracker is closed.
func (t *tracker) add() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.active++
	return true
}

func (t *tracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.active == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// setClosed decides whether new calls are counted. No call is added after it
// returned for closing.
func (t *tracker) setClosed(closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = closed
}

// wait waits until no call is in progress, or ctx ends, and returns the number
// still in progress.
func (t *tracker) wait(ctx context.Context) int {
	t.mu.Lock()
	if t.active == 0 {
		t.mu.Unlock()
		return 0
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return 0
	case <-ctx.Done():
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.active
	}
}
