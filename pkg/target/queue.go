package target

import (
	"context"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// queuePerSlot bounds the queue: a longer one only adds waiting, because a
	// full queue of 8 calls a slot already takes 8 service times.
	queuePerSlot = 8
	// minCost is the least cost of a call in the fair queue, so that a member
	// with calls of no known cost is counted too.
	minCost = 100 * time.Microsecond
	// aloneRest is the time between two runs of suspects alone, as a multiple of
	// the time that the last one kept other calls waiting. It bounds the
	// capacity that suspects take to a fifth.
	aloneRest = 4
	// aloneMinDrain bounds below the time that a suspect may wait for the calls
	// that are running; it stops waiting after aloneDrainFactor service times.
	aloneMinDrain    = 50 * time.Millisecond
	aloneDrainFactor = 4
)

// Work is a call that asks for a slot.
type Work struct {
	Member   string
	Route    string
	Deadline time.Time
	// Alone reports whether the call must run with no other on the target. It
	// is asked again whenever the call could start.
	Alone func() bool
}

// Scheduler hands out the slots of a target.
type Scheduler interface {
	// Acquire waits for a slot. The error is a RefusedError.
	Acquire(ctx context.Context, work *Work) (*Slot, error)
	// Load returns the load for answers.
	Load() *pb.Load
	// Close refuses the waiting calls and all later ones with err until Open.
	Close(err *RefusedError)
	// Open accepts calls with the slots that the function returns.
	Open(slots func(now time.Time) int)
}

// Slot is the right to run one call.
type Slot struct {
	queue   *FairQueue
	route   string
	started time.Time
	alone   bool
	release func(ran bool) // of another scheduler
	Waited  time.Duration
}

// NewSlot returns a slot of a scheduler other than FairQueue.
func NewSlot(release func(ran bool)) *Slot { return &Slot{release: release} }

// Done returns the slot. Ran says that the target did the work, so that the
// time taken counts as a service time.
func (s *Slot) Done(ran bool) {
	if s.release != nil {
		s.release(ran)
		return
	}
	s.queue.done(s, ran)
}

// waiter is a queued call.
type waiter struct {
	work    *Work
	member  *memberQueue // nil for a call that runs alone
	cost    time.Duration
	arrived time.Time
	result  chan *Slot // closed without a slot when err is set
	err     *RefusedError
	settled bool
}

// memberQueue holds the waiting calls of one member in order of arrival.
type memberQueue struct {
	name    string
	waiting []*waiter
	deficit time.Duration
}

// FairQueue hands out slots by deficit round robin over the members, weighted
// by the expected service times. It refuses calls that cannot finish by their
// deadline as soon as that is foreseeable.
type FairQueue struct {
	mu       sync.Mutex
	closed   *RefusedError
	slots    func(now time.Time) int
	inUse    int
	members  map[string]*memberQueue
	ring     []*memberQueue // members with waiting calls; the first is served next
	fresh    bool           // the first member of the ring got its quantum
	queued   int
	estimate *estimator

	alone      []*waiter
	aloneRuns  bool
	aloneNext  time.Time // earliest next run alone
	drainStart time.Time // zero while no call waits for the running calls to end
	kick       *time.Timer
}

// NewFairQueue returns a closed queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{
		closed:   refuse(pb.Refusal_REFUSAL_NO_TARGET, "no target is announced", 0),
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
			q.settle(w, nil, err)
		}
	}
	for _, w := range q.alone {
		q.settle(w, nil, err)
	}
	clear(q.members)
	q.ring, q.alone, q.queued, q.drainStart = nil, nil, 0, time.Time{}
}

// Load implements Scheduler.
func (q *FairQueue) Load() *pb.Load {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	mean, _ := q.estimate.all.aged(now)
	return &pb.Load{
		Slots:         int32(q.slots(now)),
		InUse:         int32(q.inUse),
		Queued:        int32(q.queued + len(q.alone)),
		ServiceTimeUs: int32(min(mean.Microseconds(), 1<<31-1)),
	}
}

// Acquire implements Scheduler.
func (q *FairQueue) Acquire(ctx context.Context, work *Work) (*Slot, error) {
	now := time.Now()
	q.mu.Lock()
	slot, w, err := q.enter(work, now)
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
		return q.abandon(w, refuse(pb.Refusal_REFUSAL_CANCELLED, "the caller gave up while the call was queued", 0))
	case <-timer.C:
		return q.abandon(w, refuse(pb.Refusal_REFUSAL_OVERLOAD, "no slot in time for the deadline", w.cost))
	}
}

func (w *waiter) outcome(slot *Slot) (*Slot, error) {
	if slot == nil {
		return nil, w.err
	}
	return slot, nil
}

// enter grants a slot at once, queues the call, or refuses it.
func (q *FairQueue) enter(work *Work, now time.Time) (*Slot, *waiter, error) {
	if q.closed != nil {
		return nil, nil, q.closed
	}
	if !now.Before(work.Deadline) {
		return nil, nil, refuse(pb.Refusal_REFUSAL_DEADLINE, "the deadline has passed", 0)
	}
	if work.Alone != nil && work.Alone() {
		return q.enterAlone(work, now)
	}
	// A free slot is given even when the estimate says that the call will be
	// late: only running calls can correct the estimate.
	if q.queued == 0 && q.free(now) {
		return q.take(work, now, 0), nil, nil
	}
	mean, bound := q.estimate.of(work.Route, now)
	m := q.members[work.Member]
	wait := q.expectedWait(m, mean, now)
	if now.Add(wait + bound).After(work.Deadline) {
		return nil, nil, refuse(pb.Refusal_REFUSAL_OVERLOAD, "no slot in time for the deadline", max(wait, minCost))
	}
	if q.queued >= queuePerSlot*q.slots(now) && !q.pushOut(m, wait) {
		return nil, nil, refuse(pb.Refusal_REFUSAL_OVERLOAD, "the queue is full", max(wait, minCost))
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

// free reports whether a call may start beside those that run.
func (q *FairQueue) free(now time.Time) bool {
	return q.inUse < q.slots(now) && !q.aloneRuns && q.drainStart.IsZero()
}

// expectedWait estimates the time until a new call of the member would start:
// with one more call of each other member before each of its own.
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
	// The slot that becomes free next does so after half a service time.
	return mean/2 + mean*time.Duration(ahead)/time.Duration(max(q.slots(now), 1))
}

// pushOut makes room for a call of member m by refusing the newest call of the
// member with the most waiting calls, unless m would then have more.
func (q *FairQueue) pushOut(m *memberQueue, wait time.Duration) bool {
	var longest *memberQueue
	for _, other := range q.ring {
		if longest == nil || len(other.waiting) > len(longest.waiting) {
			longest = other
		}
	}
	held := 0
	if m != nil {
		held = len(m.waiting)
	}
	if longest == nil || len(longest.waiting) <= held+1 {
		return false
	}
	w := longest.waiting[len(longest.waiting)-1]
	q.remove(w)
	q.settle(w, nil, refuse(pb.Refusal_REFUSAL_OVERLOAD, "the queue is full", max(wait, minCost)))
	return true
}

func (q *FairQueue) take(work *Work, now time.Time, waited time.Duration) *Slot {
	q.inUse++
	return &Slot{queue: q, route: work.Route, started: now, Waited: waited}
}

func (q *FairQueue) settle(w *waiter, slot *Slot, err *RefusedError) {
	w.settled, w.err = true, err
	w.result <- slot
}

// abandon takes a call out of the queue, unless it was settled meanwhile.
func (q *FairQueue) abandon(w *waiter, err *RefusedError) (*Slot, error) {
	q.mu.Lock()
	if w.settled {
		q.mu.Unlock()
		return w.outcome(<-w.result)
	}
	q.remove(w)
	w.settled = true
	q.dispatch(time.Now())
	q.mu.Unlock()
	return nil, err
}

func (q *FairQueue) done(s *Slot, ran bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inUse--
	if s.alone {
		q.aloneRuns = false
		q.aloneNext = now.Add(aloneRest * now.Sub(q.drainStart))
		q.drainStart = time.Time{}
	}
	if ran {
		q.estimate.add(s.route, now.Sub(s.started), now)
	}
	q.dispatch(now)
}
