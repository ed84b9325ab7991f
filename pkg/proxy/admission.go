package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// waitShare is the fraction of a request's latency objective that it may
	// spend waiting for a slot. A short queue is enough to keep the slots in
	// use; a longer one only delays responses.
	waitShare = 0.2
	// objectiveShare is the fraction of the latency objective that queueing and
	// execution may use together. The rest covers network time and variance.
	objectiveShare = 0.9
	// lateWaitShare is the fraction of its latency objective that a request waits for a
	// slot after it has missed that objective.
	lateWaitShare = 0.1
	// innerShare is the fraction of its remaining time that an inner call may
	// wait. It is larger than waitShare because refusing an inner call wastes
	// the work of the request that makes it.
	innerShare = 0.5
	// minWait lets a request with a short latency objective still wait for a
	// slot that is about to be released.
	minWait = 20 * time.Millisecond
	// serviceTimeWeight is the weight of the newest request in the moving
	// averages of the service time.
	serviceTimeWeight = 0.1
	// defaultServiceTime is assumed until the first request has completed.
	defaultServiceTime = 100 * time.Millisecond
	// defaultSlots is used for a target that does not announce a number of
	// slots.
	defaultSlots = 8
)

// waiter is a call that waits in the queue of a target.
type waiter struct {
	inner     bool
	priority  int
	late      bool
	deadline  time.Time   // of the call
	waitUntil time.Time   // latest time at which a slot is granted
	ready     chan string // receives the reason of a refusal, empty if a slot is granted
}

// before defines the queue order: inner calls first, since refusing them wastes
// the work of the requests that make them, then by priority. Requests that have
// missed their latency objective come after those that can still meet it: in an
// overload they would otherwise take the slots in which new requests would be in
// time, and most responses would be late. The rest is ordered by deadline.
func (w *waiter) before(other *waiter) bool {
	if w.inner != other.inner {
		return w.inner
	}
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	if w.late != other.late {
		return other.late
	}
	return w.deadline.Before(other.deadline)
}

// late reports whether a call that returns after a refusal can no longer be answered
// within its latency objective, if its execution takes the given time.
func (c *Call) late(work time.Duration) bool {
	return c.Age > 0 && c.Age+work > c.Objective
}

// admission assigns the slots of one target to calls and queues the calls that
// have to wait.
type admission struct {
	mu            sync.Mutex
	slots         int
	busy          int
	queue         []*waiter
	serviceTime   time.Duration            // moving average of the time of a request in the target
	routeTimes    map[string]time.Duration // serviceTime by route
	closeReason   string                   // reason of every refusal once closed, empty while open
	rate          *rate.Limiter            // of the limit that the target names, nil while it names none
	rateNamed     bool                     // a response of the target has told whether it names a limit
	isolated      bool                     // no call gets a slot: a suspect runs alone
	nextIsolation time.Time                // earliest time
	rateTimer     *time.Timer              // grants the next slot when the rate allows it, nil if none is needed
}

func newAdmission(slots int) *admission {
	if slots <= 0 {
		slots = defaultSlots
	}
	return &admission{slots: slots, serviceTime: defaultServiceTime, routeTimes: make(map[string]time.Duration)}
}

// acquire waits for a slot. It returns an empty string if the call got one, and
// otherwise the reason of the refusal.
func (a *admission) acquire(ctx context.Context, call *Call) string {
	a.mu.Lock()
	if a.closeReason != "" {
		defer a.mu.Unlock()
		return a.closeReason
	}
	if a.busy < a.slots && len(a.queue) == 0 && !a.isolated && a.takeRate() {
		a.busy++
		a.mu.Unlock()
		return ""
	}
	maxWait := a.maxWait(call)
	w := &waiter{inner: call.Inner, priority: call.Priority, late: call.late(a.workOf(call)), deadline: call.Deadline, waitUntil: time.Now().Add(maxWait), ready: make(chan string, 1)}
	at := slices.IndexFunc(a.queue, w.before)
	if at < 0 {
		at = len(a.queue)
	}
	if a.expectedWait(at) > maxWait {
		defer a.mu.Unlock()
		return ReasonQueueFull
	}
	a.queue = slices.Insert(a.queue, at, w)
	a.grantLocked()
	a.mu.Unlock()
	return a.wait(ctx, w, maxWait)
}

func (a *admission) wait(ctx context.Context, w *waiter, maxWait time.Duration) string {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	reason := ReasonQueueFull
	select {
	case reason = <-w.ready:
		return reason
	case <-ctx.Done():
		reason = ReasonCallerGone
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.queue, w); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
		return reason
	}
	// The waiter was granted a slot or refused concurrently.
	if granted := <-w.ready; granted != "" || ctx.Err() == nil {
		return granted
	}
	a.releaseLocked()
	return ReasonCallerGone
}

// maxWait returns how long a call may wait for a slot: for a share of its
// latency objective, or of its remaining time if it is an inner call, and only
// as long as the target can still execute it before its deadline.
func (a *admission) maxWait(call *Call) time.Duration {
	work := a.workOf(call)
	left := time.Until(call.Deadline)
	if call.Inner {
		return min(time.Duration(innerShare*float64(left)), left-work)
	}
	return min(call.maxQueueWait(work), left-work)
}

// workOf returns the expected time that a call takes in the target.
func (a *admission) workOf(call *Call) time.Duration {
	if average := a.routeTimes[call.Route]; average > 0 {
		return average
	}
	return a.serviceTime
}

// maxQueueWait returns how long a call of a caller may wait for a slot if its
// execution takes the given time.
func (c *Call) maxQueueWait(work time.Duration) time.Duration {
	objective := float64(c.Objective)
	wait := min(objective*waitShare, objective*objectiveShare-float64(work+c.Age))
	if c.late(work) {
		wait = objective * lateWaitShare
	}
	return max(time.Duration(wait), minWait)
}

// expectedWait returns the expected time until a slot is free for a call with n
// calls ahead of it in the queue.
func (a *admission) expectedWait(n int) time.Duration {
	wait := a.rateWait(n)
	if a.busy+n < a.slots {
		return wait
	}
	return max(wait, a.serviceTime*time.Duration(a.busy+n-a.slots+1)/time.Duration(a.slots))
}

// release frees a slot. ran is the time that the request spent in the target,
// 0 if it must not count towards the service time.
func (a *admission) release(route string, ran time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if ran > 0 {
		a.serviceTime += time.Duration(serviceTimeWeight * float64(ran-a.serviceTime))
		if average, ok := a.routeTimes[route]; ok {
			a.routeTimes[route] = average + time.Duration(serviceTimeWeight*float64(ran-average))
		} else {
			a.routeTimes[route] = ran
		}
	}
	a.releaseLocked()
}

func (a *admission) releaseLocked() {
	a.busy--
	a.grantLocked()
}

// grantLocked grants free slots to waiting calls, as far as the rate allows it.
func (a *admission) grantLocked() {
	now := time.Now()
	for len(a.queue) > 0 && a.busy < a.slots && !a.isolated {
		w := a.queue[0]
		expired := now.After(w.waitUntil)
		if !expired && !a.takeRate() {
			a.grantAfter(a.rateWait(0))
			return
		}
		a.queue = a.queue[1:]
		if expired {
			w.ready <- ReasonQueueFull
			continue
		}
		a.busy++
		w.ready <- ""
	}
}

// close refuses all waiting and later calls with the given reason.
func (a *admission) close(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeReason = reason
	a.stopRateTimer()
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
	load := &Load{
		Busy: a.busy, Queued: len(a.queue), Slots: a.slots, ServiceTime: a.serviceTime, Wait: a.expectedWait(len(a.queue)),
	}
	if a.rate != nil {
		load.RateLimit, load.RateWait = float64(a.rate.Limit()), a.rateWait(len(a.queue))
	}
	return load
}
