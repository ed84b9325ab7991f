package target

import (
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// dispatch starts queued calls while slots are free. q.mu must be locked.
func (q *FairQueue) dispatch(now time.Time) {
	q.dispatchExclusive(now)
	for q.queued > 0 && q.hasFreeSlot(now) {
		w := q.next(now)
		if w == nil {
			return
		}
		if w.work.Exclusive != nil && w.work.Exclusive() {
			w.member = nil
			q.exclusiveWaiting = append(q.exclusiveWaiting, w)
			q.dispatchExclusive(now)
			continue
		}
		q.resolve(w, q.grant(w.work, now, now.Sub(w.arrived)), nil)
	}
}

// next removes and returns the next call of the deficit round robin. It refuses
// calls that can no longer finish by their deadline.
func (q *FairQueue) next(now time.Time) *waiter {
	for len(q.ring) > 0 {
		m := q.ring[0]
		w := m.waiting[0]
		if now.Add(w.cost).After(w.work.Deadline) {
			q.remove(w)
			q.resolve(w, nil, newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, "no slot in time for the deadline", w.cost))
			continue
		}
		if !q.quantumAdded {
			m.deficit += q.quantum(now)
			q.quantumAdded = true
		}
		if m.deficit >= w.cost {
			m.deficit -= w.cost
			q.remove(w)
			return w
		}
		q.ring = append(q.ring[1:], m)
		q.quantumAdded = false
	}
	return nil
}

// quantum returns the time added to a member's deficit in each round, which is
// one mean service time.
func (q *FairQueue) quantum(now time.Time) time.Duration {
	mean, _ := q.estimate.overall.decayed(now)
	return max(mean, minCost)
}

// remove removes a waiting call from its queue.
func (q *FairQueue) remove(w *waiter) {
	if w.member == nil {
		q.exclusiveWaiting = slices.DeleteFunc(q.exclusiveWaiting, func(other *waiter) bool { return other == w })
		if len(q.exclusiveWaiting) == 0 && !q.exclusiveRunning {
			q.drainStart = time.Time{}
		}
		return
	}
	m := w.member
	m.waiting = slices.DeleteFunc(m.waiting, func(other *waiter) bool { return other == w })
	q.queued--
	if len(m.waiting) > 0 {
		return
	}
	delete(q.members, m.name)
	if i := slices.Index(q.ring, m); i >= 0 {
		if i == 0 {
			q.quantumAdded = false
		}
		q.ring = slices.Delete(q.ring, i, i+1)
	}
}

// enqueueExclusive queues a call that must be the only one running on the target.
func (q *FairQueue) enqueueExclusive(work *Work, now time.Time) (*Slot, *waiter, error) {
	if len(q.exclusiveWaiting) >= queuePerSlot*q.slots(now) {
		return nil, nil, newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, "too many suspect requests wait to run alone", minExclusiveDrain)
	}
	mean, _ := q.estimate.forRoute(work.Route, now)
	w := &waiter{work: work, cost: max(mean, minCost), arrived: now, result: make(chan *Slot, 1)}
	q.exclusiveWaiting = append(q.exclusiveWaiting, w)
	q.dispatch(now)
	return nil, w, nil
}

// dispatchExclusive starts the next exclusive call once the running calls have
// ended, and delays other calls until then. Other calls resume after each
// exclusive call, and also if the running calls do not end within a time limit.
func (q *FairQueue) dispatchExclusive(now time.Time) {
	q.requeueCleared()
	if len(q.exclusiveWaiting) == 0 || q.exclusiveRunning {
		return
	}
	if now.Before(q.nextExclusive) {
		q.dispatchAt(q.nextExclusive, now)
		return
	}
	if q.drainStart.IsZero() {
		q.drainStart = now
	}
	if q.inUse > 0 {
		mean, _ := q.estimate.overall.decayed(now)
		limit := q.drainStart.Add(max(minExclusiveDrain, exclusiveDrainFactor*mean))
		if now.Before(limit) {
			q.dispatchAt(limit, now)
			return
		}
		q.nextExclusive = now.Add(exclusiveRestFactor * now.Sub(q.drainStart))
		q.drainStart = time.Time{}
		q.dispatchAt(q.nextExclusive, now)
		return
	}
	w := q.exclusiveWaiting[0]
	q.exclusiveWaiting = q.exclusiveWaiting[1:]
	slot := q.grant(w.work, now, now.Sub(w.arrived))
	slot.exclusive, q.exclusiveRunning = true, true
	q.resolve(w, slot, nil)
}

// requeueCleared moves calls that are no longer suspect to the fair queue.
func (q *FairQueue) requeueCleared() {
	kept := q.exclusiveWaiting[:0]
	for _, w := range q.exclusiveWaiting {
		if w.work.Exclusive() {
			kept = append(kept, w)
			continue
		}
		m := q.members[w.work.Member]
		if m == nil {
			m = &memberQueue{name: w.work.Member}
			q.members[w.work.Member] = m
			q.ring = append(q.ring, m)
		}
		w.member = m
		m.waiting = append(m.waiting, w)
		q.queued++
	}
	clear(q.exclusiveWaiting[len(kept):])
	q.exclusiveWaiting = kept
	if len(q.exclusiveWaiting) == 0 && !q.exclusiveRunning {
		q.drainStart = time.Time{}
	}
}

// dispatchAt schedules a dispatch at the given time, because no running call is
// certain to end and trigger one before.
func (q *FairQueue) dispatchAt(at, now time.Time) {
	if q.dispatchTimer != nil {
		q.dispatchTimer.Stop()
	}
	q.dispatchTimer = time.AfterFunc(at.Sub(now), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.dispatch(time.Now())
	})
}
