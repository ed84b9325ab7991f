package proxy

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// waitShare is the part of a request's latency objective that it may wait
	// for a slot. Slots stay in use with a short queue; a longer one only makes
	// the answers late.
	waitShare = 0.2
	// objectiveShare is the part of the latency objective that the wait and the
	// work together should take; the rest is left for the network and chance.
	objectiveShare = 0.9
	// innerShare is the part of the time left that a call of a running request may
	// wait: its refusal would waste the run.
	innerShare = 0.5
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
	inner    bool
	priority int
	due      time.Time // deadline of the call
	until    time.Time // end of its patience
	ready    chan string
}

// before orders waiting calls: those of running requests, whose refusal would
// waste the run, then by priority, then by deadline, so that a request that was
// refused before comes first.
func (w *waiter) before(o *waiter) bool {
	if w.inner != o.inner {
		return w.inner
	}
	if w.priority != o.priority {
		return w.priority < o.priority
	}
	return w.due.Before(o.due)
}

// admission gives out the slots of one target.
type admission struct {
	mu      sync.Mutex
	slots   int
	busy    int
	queue   []*waiter
	service time.Duration // average time of a request in the target
	routes  map[string]time.Duration
	closed  string // reason, if no slot is given out any more
}

func newAdmission(slots int) *admission {
	if slots <= 0 {
		slots = defaultSlots
	}
	return &admission{slots: slots, service: defaultService, routes: make(map[string]time.Duration)}
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
	w := &waiter{inner: call.Inner, priority: call.Priority, due: call.Deadline, until: time.Now().Add(patience), ready: make(chan string, 1)}
	at := slices.IndexFunc(a.queue, w.before)
	if at < 0 {
		at = len(a.queue)
	}
	if a.expectedWait(at) > patience {
		defer a.mu.Unlock()
		return ReasonQueueFull
	}
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
	work := a.service
	if known := a.routes[call.Route]; known > 0 {
		work = known
	}
	left := time.Until(call.Deadline)
	if call.Inner {
		return min(time.Duration(innerShare*float64(left)), left-work)
	}
	return min(patience(call.Objective, work), left-work)
}

// patience is the time that a call may wait for a slot if its work takes the
// given time.
func patience(objective, work time.Duration) time.Duration {
	wait := min(float64(objective)*waitShare, float64(objective)*objectiveShare-float64(work))
	return max(time.Duration(wait), minWait)
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
func (a *admission) release(route string, ran time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ran > 0 {
		a.service += time.Duration(serviceWeight * float64(ran-a.service))
		if known, ok := a.routes[route]; ok {
			a.routes[route] = known + time.Duration(serviceWeight*float64(ran-known))
		} else {
			a.routes[route] = ran
		}
	}
	a.releaseLocked()
}

func (a *admission) releaseLocked() {
	a.busy--
	now := time.Now()
	for len(a.queue) > 0 && a.busy < a.slots {
		w := a.queue[0]
		a.queue = a.queue[1:]
		if now.After(w.until) {
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
		Busy: a.busy, Queued: len(a.queue), Slots: a.slots, Service: a.service, Wait: a.expectedWait(len(a.queue)),
	}
}
