package proxy

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// waitShare is the part of a request's latency objective that it may wait
	// for a slot; the rest is needed for the work itself.
	waitShare = 0.4
	// minWait lets a request wait out a slot that is about to become free, even
	// with a short objective.
	minWait = 20 * time.Millisecond
	// serviceWeight is the weight of the newest request in the average time of
	// a request in the target.
	serviceWeight = 0.1
	// defaultService is assumed before the first request has ended.
	defaultService = 100 * time.Millisecond
	// defaultSlots is used for a target that states none.
	defaultSlots = 8
)

// waiter is a call in the queue of a target.
type waiter struct {
	priority int
	deadline time.Time // of its wait
	ready    chan string
}

// admission gives out the slots of one target. Waiting calls are ordered by
// priority, then by arrival.
type admission struct {
	mu      sync.Mutex
	slots   int
	busy    int
	queue   []*waiter
	service time.Duration // average time of a request in the target
	closed  string        // reason, if no slot is given out any more
}

func newAdmission(slots int) *admission {
	if slots <= 0 {
		slots = defaultSlots
	}
	return &admission{slots: slots, service: defaultService}
}

// acquire waits for a slot. It returns the reason of a refusal, empty if the
// call holds a slot.
func (a *admission) acquire(ctx context.Context, call *Call) string {
	a.mu.Lock()
	if a.closed != "" {
		defer a.mu.Unlock()
		return a.closed
	}
	if a.busy < a.slots && len(a.queue) == 0 {
		a.busy++
		a.mu.Unlock()
		return ""
	}
	patience := a.patience(call)
	if a.expectedWait(a.ahead(call.Priority)) > patience {
		defer a.mu.Unlock()
		return ReasonQueueFull
	}
	w := &waiter{priority: call.Priority, deadline: time.Now().Add(patience), ready: make(chan string, 1)}
	at, _ := slices.BinarySearchFunc(a.queue, w, func(x, y *waiter) int {
		if x.priority <= y.priority {
			return -1
		}
		return 1
	})
	a.queue = slices.Insert(a.queue, at, w)
	a.mu.Unlock()
	return a.wait(ctx, w, patience)
}

func (a *admission) wait(ctx context.Context, w *waiter, patience time.Duration) string {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	reason := ReasonQueueFull
	select {
	case reason = <-w.ready:
		return reason
	case <-ctx.Done():
		reason = ReasonGone
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.queue, w); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
		return reason
	}
	// The slot was given at the same moment.
	if given := <-w.ready; given != "" || ctx.Err() == nil {
		return given
	}
	a.releaseLocked()
	return ReasonGone
}

// patience is the time that a call may wait.
func (a *admission) patience(call *Call) time.Duration {
	wait := max(time.Duration(float64(call.Objective)*waitShare), minWait)
	return min(wait, time.Until(call.Deadline)-a.service)
}

func (a *admission) ahead(priority int) int {
	n := 0
	for _, w := range a.queue {
		if w.priority <= priority {
			n++
		}
	}
	return n
}

// expectedWait is the time until a slot is free for a call behind n others.
func (a *admission) expectedWait(n int) time.Duration {
	if a.busy+n < a.slots {
		return 0
	}
	return a.service * time.Duration(a.busy+n-a.slots+1) / time.Duration(a.slots)
}

// release gives a slot back. ran is the time in the target, 0 if it is no
// measure of it.
func (a *admission) release(ran time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ran > 0 {
		a.service += time.Duration(serviceWeight * float64(ran-a.service))
	}
	a.releaseLocked()
}

func (a *admission) releaseLocked() {
	a.busy--
	now := time.Now()
	for len(a.queue) > 0 && a.busy < a.slots {
		w := a.queue[0]
		a.queue = a.queue[1:]
		if now.After(w.deadline) {
			w.ready <- ReasonQueueFull
			continue
		}
		a.busy++
		w.ready <- ""
	}
}

// close refuses the waiting calls and all later ones.
func (a *admission) close(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = reason
	for _, w := range a.queue {
		w.ready <- reason
	}
	a.queue = nil
}

func (a *admission) resize(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slots > 0 {
		a.slots = slots
	}
}

func (a *admission) load() *Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &Load{
		Busy: a.busy, Queued: len(a.queue), Slots: a.slots, ServiceMS: float64(a.service) / float64(time.Millisecond),
		Wait: a.expectedWait(len(a.queue)),
	}
}
