package admission

import (
	"math"
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
	"nutmegstand.example/nutmegstand/pkg/proxy/cost"
)

// maxSimulated bounds the number of waiting calls whose costs are considered one by one. At a
// target with 9 slots an estimate takes 17 microseconds for 10 of them and 80 for 32.
const maxSimulated = 32

// running is a call that has a slot.
type running struct {
	request *attempt.Request
	class   cost.Class
	started time.Time
	charged time.Duration // service that its workspace was charged with at the start
}

// start gives a slot to a call.
func (q *Queue) start(request *attempt.Request, class cost.Class) {
	now := time.Now()
	charged := q.restOf(class, 0, now)
	q.shares.add(request.Workspace, charged, now)
	q.busy++
	q.running = append(q.running, running{request: request, class: class, started: now, charged: charged})
}

// Finish frees the slot of the given request, for which Acquire was called. ran is the
// time that it spent in the target, 0 if it must not count towards the service time.
func (q *Queue) Finish(request *attempt.Request, ran time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finishLocked(request, ran)
}

func (q *Queue) finishLocked(request *attempt.Request, ran time.Duration) {
	if ran > 0 {
		q.recordRun(request.Route, ran)
	}
	if i := slices.IndexFunc(q.running, func(r running) bool { return r.request == request }); i >= 0 {
		ended, now := q.running[i], time.Now()
		q.costs.Observe(ended.class, ran, now)
		q.shares.add(ended.request.Workspace, now.Sub(ended.started)-ended.charged, now)
		q.running = slices.Delete(q.running, i, i+1)
	}
	q.busy--
	q.grantLocked()
}

// recordRun adds a run to the averages of the service time.
func (q *Queue) recordRun(route string, ran time.Duration) {
	q.serviceTime += time.Duration(serviceTimeWeight * float64(ran-q.serviceTime))
	if average, ok := q.routeTimes[route]; ok {
		q.routeTimes[route] = average + time.Duration(serviceTimeWeight*float64(ran-average))
	} else {
		q.routeTimes[route] = ran
	}
}

// restOf returns the expected rest of a run of a class that has taken the given time. It
// is the average service time while too few runs of the class and its route are known.
func (q *Queue) restOf(class cost.Class, elapsed time.Duration, now time.Time) time.Duration {
	if rest, ok := q.costs.Rest(class, elapsed, now); ok {
		return rest
	}
	return q.serviceTime
}

// rests returns the expected rests of the running calls.
func (q *Queue) rests(now time.Time) []time.Duration {
	rests := make([]time.Duration, 0, len(q.running)+1)
	for _, r := range q.running {
		rests = append(rests, q.restOf(r.class, now.Sub(r.started), now))
	}
	return rests
}

// outstanding returns the time that the running and waiting calls still need in the
// target, added up.
func (q *Queue) outstanding(now time.Time) time.Duration {
	var work time.Duration
	for _, rest := range q.rests(now) {
		work += rest
	}
	for _, w := range q.waiting {
		work += q.restOf(w.class, 0, now)
	}
	return work
}

// expectedWait returns the expected time until a slot is free for a call with n
// calls ahead of it in the queue.
func (q *Queue) expectedWait(n int) time.Duration {
	wait := q.rateWait(n)
	if q.busy+n < q.slots {
		return wait
	}
	return max(wait, q.slotWait(n, time.Now()))
}

// slotWait returns the expected time until the running calls and the first n waiting ones
// leave a slot. Each call stands for several equally likely ends. A slot becomes free
// when the ends up to then weigh as much as a call; the next waiting call takes it.
func (q *Queue) slotWait(n int, now time.Time) time.Duration {
	simulated := min(n, maxSimulated)
	ends := make([]time.Duration, 0, (len(q.running)+simulated)*cost.Quantiles)
	for _, r := range q.running {
		ends = q.appendEnds(ends, 0, r.class, now.Sub(r.started), now)
	}
	slices.Sort(ends)
	needed := len(q.running) + simulated - q.slots + 1 // calls that must end
	excess := len(q.running) - q.slots                 // ends that free no slot, after a reduction of the slots
	for ended := max(1, excess+1); ended < needed && ended-1-excess < simulated; ended++ {
		// The share of a call that ends is replaced half a call early and late in turn, so
		// that on average the target is fully used.
		start := endOf(ends, float64(ended)-0.5)
		ends = q.appendEnds(ends, start, q.waiting[ended-1-excess].class, 0, now)
		slices.Sort(ends)
	}
	rest := q.serviceTime * time.Duration(n-simulated) / time.Duration(q.slots)
	return rest + endOf(ends, float64(needed-1)+firstEnd(min(len(q.running), q.slots)))
}

// firstEnd returns the number of ends, as an expected value, at the mean time until the
// first of n runs ends, if their rests are exponentially distributed.
func firstEnd(n int) float64 {
	return float64(n) * (1 - math.Exp(-1/float64(max(n, 1))))
}

// appendEnds adds the ends of a call that starts after the given time, or that has run
// for elapsed.
func (q *Queue) appendEnds(ends []time.Duration, start time.Duration, class cost.Class, elapsed time.Duration, now time.Time) []time.Duration {
	rests, ok := q.costs.RestQuantiles(class, elapsed, now)
	for i, rest := range rests {
		if !ok {
			rest = time.Duration(float64(q.serviceTime) * exponential[i])
		}
		ends = append(ends, start+rest)
	}
	return ends
}

// exponential has the quantiles of the exponential distribution with mean 1. It stands for
// calls of which nothing is known but the average service time.
var exponential = func() (q [cost.Quantiles]float64) {
	for i := range q {
		q[i] = -math.Log(1 - (float64(i)+0.5)/cost.Quantiles)
	}
	return q
}()

// endOf returns the time at which the expected number of ended calls reaches a value.
func endOf(ends []time.Duration, ended float64) time.Duration {
	if len(ends) == 0 {
		return 0
	}
	position := max(0, ended*cost.Quantiles-0.5)
	i := int(position)
	if i+1 >= len(ends) {
		return ends[len(ends)-1]
	}
	return ends[i] + time.Duration((position-float64(i))*float64(ends[i+1]-ends[i]))
}
