package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/admission"
	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

// coldFleet has several caller sides that send to the same targets, of which the first one
// is cold.
type coldFleet struct {
	callers   []*Balancer
	endpoints []*Endpoint
	queues    map[string]*admission.Queue
	ran       map[string]int
	refused   int
}

func newColdFleet(callers, targets int, rate float64) *coldFleet {
	f := &coldFleet{endpoints: endpoints(targets), queues: make(map[string]*admission.Queue), ran: make(map[string]int)}
	for range callers {
		f.callers = append(f.callers, New(zap.NewNop()))
	}
	for _, e := range f.endpoints {
		f.queues[e.Target] = admission.NewQueue(4)
	}
	f.endpoints[0].WarmAt, f.endpoints[0].ColdRate = time.Now().Add(time.Hour), rate
	f.queues["a"].SetColdRate(rate)
	return f
}

// run sends requests at the given interval from all caller sides in turn.
func (f *coldFleet) run(t *testing.T, requests int, interval time.Duration) {
	for i := range requests {
		b := f.callers[i%len(f.callers)]
		request := &attempt.Request{Route: "r", Objective: time.Second, Deadline: time.Now().Add(2 * time.Second)}
		e := b.Choose(request, f.endpoints, nil)
		q := f.queues[e.Target]
		result := &Result{Answered: true, Took: time.Millisecond, Ran: 50 * time.Millisecond}
		if q.Acquire(t.Context(), request) == "" {
			f.ran[e.Target]++
			time.AfterFunc(result.Ran, func() { q.Finish(request, result.Ran) })
		} else {
			result = &Result{Refused: true, QueueFull: true, Neutral: true, Took: time.Millisecond}
			f.refused++
		}
		result.Load = q.Load()
		b.Done(e, request, result)
		time.Sleep(interval)
	}
}

// TestColdTargetGetsItsShare guards against a cold target that gets nothing, since warm
// ones answer sooner, and against many requests to a cold target that refuses them.
func TestColdTargetGetsItsShare(t *testing.T) {
	const rate, seconds = 3, 40
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(8, 5, rate)
		f.run(t, seconds*100, time.Second/100)
		assert.Assert(t, f.ran["a"] >= rate*seconds/3, "%d requests in %d s at %d a second", f.ran["a"], seconds, rate)
		assert.Assert(t, f.ran["a"] <= (rate+1)*seconds, "%d requests", f.ran["a"])
		assert.Assert(t, f.refused <= seconds*100/20, "%d of %d requests were refused once", f.refused, seconds*100)
	})
}

// TestAllTargetsCold guards against a cold target that is not used although all are cold.
func TestAllTargetsCold(t *testing.T) {
	const rate, seconds = 5, 20
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(3, 3, rate)
		for _, e := range f.endpoints {
			e.WarmAt, e.ColdRate = f.endpoints[0].WarmAt, rate
			f.queues[e.Target].SetColdRate(rate)
		}
		f.run(t, seconds*30, time.Second/30)
		for _, e := range f.endpoints {
			assert.Assert(t, f.ran[e.Target] >= rate*seconds*7/10, "%s got %d", e.Target, f.ran[e.Target])
		}
	})
}
