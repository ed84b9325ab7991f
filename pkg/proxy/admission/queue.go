// Package admission decides which requests run on a target at the same time: it assigns
// the slots of the target, queues the requests that have to wait, and refuses those that
// would wait too long.
package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
	"nutmegstand.example/nutmegstand/pkg/proxy/cost"
)

// Reasons of a refusal.
const (
	ReasonQueueFull  = "queue_full"  // the request would wait too long for a slot
	ReasonCallerGone = "caller_gone" // the caller disconnected
)

const (
	// innerShare is the fraction of its remaining time that an inner call may
	// wait. It is larger than waitShare because refusing an inner call wastes
	// the work of the request that makes it.
	innerShare = 0.5
	// serviceTimeWeight is the weight of the newest request in the moving
	// averages of the service time.
	serviceTimeWeight = 0.1
	// defaultSlots is used for a target that does not announce a number of
	// slots.
	defaultSlots = 8
)

// waiter is a call that waits in the queue of a target.
type waiter struct {
	request   *attempt.Request
	class     cost.Class
	late      bool
	waitUntil time.Time   // latest time at which a slot is granted
	ready     chan string // receives the reason of a refusal, empty if a slot is granted
	turn      float64     // service of its workspace before it is its turn
}

// sameGroup reports whether the order of two calls depends on their workspaces and
// deadlines only.
func (w *waiter) sameGroup(other *waiter) bool {
	a, b := w.request, other.request
	return a.Inner == b.Inner && a.Priority == b.Priority && w.late == other.late
}

// before defines the queue order: inner calls first, since refusing them wastes
// the work of the requests that make them, then by priority. Requests that have
// missed their latency objective come after those that can still meet it: in an
// overload they would otherwise take the slots in which new requests would be in
// time, and most responses would be late. The rest is ordered by deadline.
func (w *waiter) before(other *waiter) bool {
	a, b := w.request, other.request
	if a.Inner != b.Inner {
		return a.Inner
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if w.late != other.late {
		return other.late
	}
	return a.Deadline.Before(b.Deadline)
}

// Queue assigns the slots of one target to calls and queues the calls that
// have to wait.
type Queue struct {
	mu            sync.Mutex
	slots         int
	busy          int
	running       []running // the calls that have the slots, oldest first
	costs         *cost.Estimator
	shares        shares
	waiting       []*waiter
	serviceTime   time.Duration            // moving average of the time of a request in the target
	routeTimes    map[string]time.Duration // serviceTime by route
	closeReason   string                   // reason of every refusal once closed, empty while open
	rate          *rate.Limiter            // of the limit that the target names, nil while it names none
	rateNamed     bool                     // a response of the target has told whether it names a limit
	coldRate      *rate.Limiter            // of the limit that holds while the target is cold, nil before it was cold
	cold          bool                     // coldRate holds
	isolated      bool                     // no request gets a slot: one that may crash the target runs alone
	nextIsolation time.Time                // earliest start of an isolation
	rateTimer     *time.Timer              // grants the next slot when the rate allows it, nil if none is needed
}

// NewQueue returns a queue that knows no run times.
func NewQueue(slots int) *Queue { return NewQueueWithCosts(slots, cost.NewEstimator()) }

// NewQueueWithCosts returns a queue that uses and extends the given estimates of run times.
func NewQueueWithCosts(slots int, costs *cost.Estimator) *Queue {
	if slots <= 0 {
		slots = defaultSlots
	}
	return &Queue{slots: slots, costs: costs, serviceTime: attempt.DefaultRunTime, routeTimes: make(map[string]time.Duration)}
}

// Acquire waits for a slot. It returns an empty string if the call got one, and
// otherwise the reason of the refusal.
func (q *Queue) Acquire(ctx context.Context, request *attempt.Request) string {
	q.mu.Lock()
	if q.closeReason != "" {
		defer q.mu.Unlock()
		return q.closeReason
	}
	class := cost.ClassOf(request)
	if q.busy < q.slots && len(q.waiting) == 0 && !q.isolated && q.takeRate() {
		q.start(request, class)
		q.mu.Unlock()
		return ""
	}
	maxWait := q.maxWait(request)
	w := &waiter{
		request: request, class: class, late: request.Late(q.workOf(request)), waitUntil: time.Now().Add(maxWait),
		ready: make(chan string, 1),
	}
	q.waiting = append(q.waiting, w)
	q.arrange(time.Now())
	at := slices.Index(q.waiting, w)
	if q.expectedWait(at) > maxWait {
		q.waiting = slices.Delete(q.waiting, at, at+1)
		q.mu.Unlock()
		return ReasonQueueFull
	}
	q.grantLocked()
	q.mu.Unlock()
	return q.wait(ctx, w, maxWait)
}

func (q *Queue) wait(ctx context.Context, w *waiter, maxWait time.Duration) string {
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
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		return reason
	}
	// The waiter was granted a slot or refused concurrently.
	if granted := <-w.ready; granted != "" || ctx.Err() == nil {
		return granted
	}
	q.finishLocked(w.request, 0)
	return ReasonCallerGone
}

// maxWait returns how long a call may wait for a slot: for a share of its
// latency objective, or of its remaining time if it is an inner call, and only
// as long as the target can still execute it before its deadline.
func (q *Queue) maxWait(request *attempt.Request) time.Duration {
	work := q.workOf(request)
	left := time.Until(request.Deadline)
	if request.Inner {
		return min(time.Duration(innerShare*float64(left)), left-work)
	}
	return min(request.MaxQueueWait(work), left-work)
}

// workOf returns the expected time that a call takes in the target.
func (q *Queue) workOf(request *attempt.Request) time.Duration {
	if average := q.routeTimes[request.Route]; average > 0 {
		return average
	}
	return q.serviceTime
}

// grantLocked grants free slots to waiting calls, as far as the rate allows it.
func (q *Queue) grantLocked() {
	now := time.Now()
	for len(q.waiting) > 0 && q.busy < q.slots && !q.isolated {
		w := q.waiting[0]
		expired := now.After(w.waitUntil)
		if !expired && !q.takeRate() {
			q.grantAfter(q.rateWait(0))
			return
		}
		q.waiting = q.waiting[1:]
		if expired {
			w.ready <- ReasonQueueFull
			continue
		}
		q.start(w.request, w.class)
		w.ready <- ""
	}
}

// Close refuses all waiting and later calls with the given reason.
func (q *Queue) Close(reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closeReason = reason
	q.stopRateTimer()
	for _, w := range q.waiting {
		w.ready <- reason
	}
	q.waiting = nil
}

func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if slots > 0 {
		q.slots = slots
	}
}

func (q *Queue) Load() *attempt.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := &attempt.Load{
		Busy: q.busy, Queued: len(q.waiting), Slots: q.slots, ServiceTime: q.serviceTime, Wait: q.expectedWait(len(q.waiting)),
		Backlog: q.outstanding(time.Now()),
	}
	if limit := q.lowestRate(); limit > 0 {
		load.RateLimit, load.RateWait = limit, q.rateWait(len(q.waiting))
	}
	return load
}
