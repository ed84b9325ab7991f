package target

import (
	"context"
	"sync"
)

// tracker counts calls in progress and allows a drain to wait for their end.
type tracker struct {
	mu     sync.Mutex
	active int
	closed bool
	idle   chan struct{} // closed when active reaches 0; nil if there is no waiter
}

// add counts a call and returns true, or returns false if the tracker is closed.
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

// setClosed sets whether new calls are rejected. After setClosed(true) returns, no
// call is added.
func (t *tracker) setClosed(closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = closed
}

// wait waits until no call is in progress or ctx is done, and returns the number of
// calls still in progress.
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
