package target

import (
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// dispatch starts queued calls while slots are free. The lock is held.
func (q *FairQueue) dispatch(now time.Time) {
	q.dispatchAlone(now)
	for q.queued > 0 && q.free(now) {
		w := q.next(now)
		if w == nil {
			return
		}
		if w.work.Alone != nil && w.work.Alone() {
			w.member = nil
			q.alone = append(q.alone, w)
			q.dispatchAlone(now)
			continue
		}
		q.settle(w, q.take(w.work, now, now.Sub(w.arrived)), nil)
	}
}

// next takes the next call of the deficit round robin. Calls that can no
// longer finish in time are refused on the way.
func (q *FairQueue) next(now time.Time) *waiter {
	for len(q.ring) > 0 {
		m := q.ring[0]
		w := m.waiting[0]
		if now.Add(w.cost).After(w.work.Deadline) {
			q.remove(w)
			q.settle(w, nil, refuse(pb.Refusal_REFUSAL_OVERLOAD, "no slot in time for the deadline", w.cost))
			continue
		}
		if !q.fresh {
			m.deficit += q.quantum(now)
			q.fresh = true
		}
		if m.deficit >= w.cost {
			m.deficit -= w.cost
			q.remove(w)
			return w
		}
		q.ring = append(q.ring[1:], m)
		q.fresh = false
	}
	return nil
}

// quantum is what a member may spend in one round: one service time.
func (q *FairQueue) quantum(now time.Time) time.Duration {
	mean, _ := q.estimate.all.aged(now)
	return max(mean, minCost)
}

// remove takes a waiting call out of its queue.
func (q *FairQueue) remove(w *waiter) {
	if w.member == nil {
		q.alone = slices.DeleteFunc(q.alone, func(other *waiter) bool { return other == w })
		if len(q.alone) == 0 && !q.aloneRuns {
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
			q.fresh = false
		}
		q.ring = slices.Delete(q.ring, i, i+1)
	}
}

// enterAlone queues a call that must run with no other on the target.
func (q *FairQueue) enterAlone(work *Work, now time.Time) (*Slot, *waiter, error) {
	if len(q.alone) >= queuePerSlot*q.slots(now) {
		return nil, nil, refuse(pb.Refusal_REFUSAL_OVERLOAD, "too many suspect requests wait to run alone", aloneMinDrain)
	}
	mean, _ := q.estimate.of(work.Route, now)
	w := &waiter{work: work, cost: max(mean, minCost), arrived: now, result: make(chan *Slot, 1)}
	q.alone = append(q.alone, w)
	q.dispatch(now)
	return nil, w, nil
}

// dispatchAlone advances the calls that run alone: it holds back other calls
// until the running ones have ended, then starts one. Between two such runs
// and after a bounded time of holding back, other calls go on.
func (q *FairQueue) dispatchAlone(now time.Time) {
	q.releaseCleared()
	if len(q.alone) == 0 || q.aloneRuns {
		return
	}
	if now.Before(q.aloneNext) {
		q.kickAt(q.aloneNext, now)
		return
	}
	if q.drainStart.IsZero() {
		q.drainStart = now
	}
	if q.inUse > 0 {
		mean, _ := q.estimate.all.aged(now)
		limit := q.drainStart.Add(max(aloneMinDrain, aloneDrainFactor*mean))
		if now.Before(limit) {
			q.kickAt(limit, now)
			return
		}
		q.aloneNext = now.Add(aloneRest * now.Sub(q.drainStart))
		q.drainStart = time.Time{}
		q.kickAt(q.aloneNext, now)
		return
	}
	w := q.alone[0]
	q.alone = q.alone[1:]
	slot := q.take(w.work, now, now.Sub(w.arrived))
	slot.alone, q.aloneRuns = true, true
	q.settle(w, slot, nil)
}

// releaseCleared moves calls that are no longer suspect to the fair queue.
func (q *FairQueue) releaseCleared() {
	kept := q.alone[:0]
	for _, w := range q.alone {
		if w.work.Alone() {
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
	clear(q.alone[len(kept):])
	q.alone = kept
	if len(q.alone) == 0 && !q.aloneRuns {
		q.drainStart = time.Time{}
	}
}

// kickAt dispatches again at the given time, when no call may end before.
func (q *FairQueue) kickAt(at, now time.Time) {
	if q.kick != nil {
		q.kick.Stop()
	}
	q.kick = time.AfterFunc(at.Sub(now), func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.dispatch(time.Now())
	})
}
