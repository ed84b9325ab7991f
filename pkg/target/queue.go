package target

import (
	"context"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// queuePerSlot is the maximum number of queued calls per slot. A full queue of
	// 8 calls per slot already takes 8 service times, so a longer queue would only
	// add waiting time.
	queuePerSlot = 8
	// minCost is the minimum cost of a call in the fair queue, so that calls
	// without an estimated service time are charged to their member too.
	minCost = 100 * time.Microsecond
	// exclusiveRestFactor is the time between two exclusive calls, as a multiple of
	// the time for which the last one delayed other calls. It limits the capacity
	// used by suspect requests to a fifth.
	exclusiveRestFactor = 4
	// While an exclusive call waits for the running calls to end, it delays other
	// calls for at most exclusiveDrainFactor mean service times, or
	// minExclusiveDrain if that is longer.
	minExclusiveDrain    = 50 * time.Millisecond
	exclusiveDrainFactor = 4
)

// Work is a call that requests a slot.
type Work struct {
	Member   string
	Route    string
	Deadline time.Time
	// Exclusive reports whether the call must be the only one running on the
	// target. It is called again whenever the call could start; nil means no.
	Exclusive func() bool
}

// Scheduler assigns the slots of a target to calls.
type Scheduler interface {
	// Acquire waits for a slot. Errors are of type RefusedError.
	Acquire(ctx context.Context, work *Work) (*Slot, error)
	// Load returns the current load, which is sent with every response.
	Load() *pb.Load
	// Close refuses the waiting calls and all further ones with err until Open is
	// called.
	Close(err *RefusedError)
	// Open accepts calls. The slots function returns the number of slots at a
	// given time.
	Open(slots func(now time.Time) int)
}

// Slot is the right to run one call.
type Slot struct {
	queue     *FairQueue
	route     string
	started   time.Time
	exclusive bool
	release   func(ran bool) // set by a scheduler other than FairQueue
	Waited    time.Duration
}

// NewSlot returns a slot of a scheduler other than FairQueue.
func NewSlot(release func(ran bool)) *Slot { return &Slot{release: release} }

// Done returns the slot. If ran is true, the time since the slot was granted is
// recorded as a service time of the target.
func (s *Slot) Done(ran bool) {
	if s.release != nil {
		s.release(ran)
		return
	}
	s.queue.done(s, ran)
}

// waiter is a queued call.
type waiter struct {
	work     *Work
	member   *memberQueue // nil for an exclusive call
	cost     time.Duration
	arrived  time.Time
	result   chan *Slot // receives nil if the call is refused with err
	err      *RefusedError
	resolved bool
}

// memberQueue holds the waiting calls of one member in order of arrival.
type memberQueue struct {
	name    string
	waiting []*waiter
	deficit time.Duration
}

// FairQueue is a Scheduler that assigns slots by deficit round robin over the
// members, with the estimated service time as the cost of a call. It refuses a
// call as soon as the call is not expected to finish by its deadline.
type FairQueue struct {
	mu           sync.Mutex
	closed       *RefusedError
	slots        func(now time.Time) int
	inUse        int
	members      map[string]*memberQueue
	ring         []*memberQueue // members with waiting calls; the first is served next
	quantumAdded bool           // whether the first member of the ring has received its quantum
	queued       int
	estimate     *estimator

	exclusiveWaiting []*waiter
	exclusiveRunning bool
	nextExclusive    time.Time // earliest start of the next exclusive call
	drainStart       time.Time // when an exclusive call started to delay others; zero while none does
	dispatchTimer    *time.Timer
}

// NewFairQueue returns a closed queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{
		closed:   newRefusedError(pb.Refusal_REFUSAL_NO_TARGET, "no target is announced", 0),
		members:  make(map[string]*memberQueue),
		estimate: newEstimator(),
		slots:    func(time.Time) int { return 1 },
	}
}

// Open implements Scheduler.
func (q *FairQueue) Open(slots func(now time.Time) int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed, q.slots = nil, slots
}

// Close implements Scheduler.
func (q *FairQueue) Close(err *RefusedError) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = err
	for _, m := range q.ring {
		for _, w := range m.waiting {
			q.resolve(w, nil, err)
		}
	}
	for _, w := range q.exclusiveWaiting {
		q.resolve(w, nil, err)
	}
	clear(q.members)
	q.ring, q.exclusiveWaiting, q.queued, q.drainStart = nil, nil, 0, time.Time{}
}

// Load implements Scheduler.
func (q *FairQueue) Load() *pb.Load {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	mean, _ := q.estimate.overall.decayed(now)
	return &pb.Load{
		Slots:         int32(q.slots(now)),
		InUse:         int32(q.inUse),
		Queued:        int32(q.queued + len(q.exclusiveWaiting)),
		ServiceTimeUs: int32(min(mean.Microseconds(), 1<<31-1)),
	}
}

// Acquire implements Scheduler.
func (q *FairQueue) Acquire(ctx context.Context, work *Work) (*Slot, error) {
	now := time.Now()
	q.mu.Lock()
	slot, w, err := q.admit(work, now)
	q.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if slot != nil {
		return slot, nil
	}
	timer := time.NewTimer(work.Deadline.Sub(now) - w.cost)
	defer timer.Stop()
	select {
	case slot := <-w.result:
		return w.outcome(slot)
	case <-ctx.Done():
		return q.abandon(w, newRefusedError(pb.Refusal_REFUSAL_CANCELLED, "the caller gave up while the call was queued", 0))
	case <-timer.C:
		return q.abandon(w, newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, "no slot in time for the deadline", w.cost))
	}
}

func (w *waiter) outcome(slot *Slot) (*Slot, error) {
	if slot == nil {
		return nil, w.err
	}
	return slot, nil
}

// admit grants a slot immediately, queues the call or refuses it.
func (q *FairQueue) admit(work *Work, now time.Time) (*Slot, *waiter, error) {
	if q.closed != nil {
		return nil, nil, q.closed
	}
	if !now.Before(work.Deadline) {
		return nil, nil, newRefusedError(pb.Refusal_REFUSAL_DEADLINE, "the deadline has passed", 0)
	}
	if work.Exclusive != nil && work.Exclusive() {
		return q.enqueueExclusive(work, now)
	}
	// A free slot is granted even if the call is expected to be late, since only
	// running calls can correct the estimate.
	if q.queued == 0 && q.hasFreeSlot(now) {
		return q.grant(work, now, 0), nil, nil
	}
	mean, bound := q.estimate.forRoute(work.Route, now)
	m := q.members[work.Member]
	wait := q.expectedWait(m, mean, now)
	if now.Add(wait + bound).After(work.Deadline) {
		return nil, nil, newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, "no slot in time for the deadline", max(wait, minCost))
	}
	if q.queued >= queuePerSlot*q.slots(now) && !q.evictLongest(m, wait) {
		return nil, nil, newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, "the queue is full", max(wait, minCost))
	}
	if m = q.members[work.Member]; m == nil {
		m = &memberQueue{name: work.Member}
		q.members[work.Member] = m
		q.ring = append(q.ring, m)
	}
	w := &waiter{work: work, member: m, cost: max(mean, minCost), arrived: now, result: make(chan *Slot, 1)}
	m.waiting = append(m.waiting, w)
	q.queued++
	return nil, w, nil
}

// hasFreeSlot reports whether a non-exclusive call may start.
func (q *FairQueue) hasFreeSlot(now time.Time) bool {
	return q.inUse < q.slots(now) && !q.exclusiveRunning && q.drainStart.IsZero()
}

// expectedWait estimates the time until a new call of the member would start. It
// assumes that each other member starts one call before each call of this member.
func (q *FairQueue) expectedWait(m *memberQueue, mean time.Duration, now time.Time) time.Duration {
	position := 1
	if m != nil {
		position += len(m.waiting)
	}
	ahead := position - 1
	for _, other := range q.ring {
		if other != m {
			ahead += min(len(other.waiting), position)
		}
	}
	// On average, the next slot becomes free after half a service time.
	return mean/2 + mean*time.Duration(ahead)/time.Duration(max(q.slots(now), 1))
}

// evictLongest refuses the newest call of the member with the most waiting calls
// to make room for a call of member m, unless m would then have the most. It
// reports whether it did.
func (q *FairQueue) evictLongest(m *memberQueue, wait time.Duration) bool {
	var longest *memberQueue
	for _, other := range q.ring {
		if longest == nil || len(other.waiting) > len(longest.waiting) {
			longest = other
		}
	}
	count := 0
	if m != nil {
		count = len(m.waiting)
	}
	if longest == nil || len(longest.waiting) <= count+1 {
		return false
	}
	w := longest.waiting[len(longest.waiting)-1]
	q.remove(w)
	q.resolve(w, nil, newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, "the queue is full", max(wait, minCost)))
	return true
}

func (q *FairQueue) grant(work *Work, now time.Time, waited time.Duration) *Slot {
	q.inUse++
	return &Slot{queue: q, route: work.Route, started: now, Waited: waited}
}

func (q *FairQueue) resolve(w *waiter, slot *Slot, err *RefusedError) {
	w.resolved, w.err = true, err
	w.result <- slot
}

// abandon removes a call from the queue unless it was resolved in the meantime.
func (q *FairQueue) abandon(w *waiter, err *RefusedError) (*Slot, error) {
	q.mu.Lock()
	if w.resolved {
		q.mu.Unlock()
		return w.outcome(<-w.result)
	}
	q.remove(w)
	w.resolved = true
	q.dispatch(time.Now())
	q.mu.Unlock()
	return nil, err
}

func (q *FairQueue) done(s *Slot, ran bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inUse--
	if s.exclusive {
		q.exclusiveRunning = false
		q.nextExclusive = now.Add(exclusiveRestFactor * now.Sub(q.drainStart))
		q.drainStart = time.Time{}
	}
	if ran {
		q.estimate.add(s.route, now.Sub(s.started), now)
	}
	q.dispatch(now)
}
