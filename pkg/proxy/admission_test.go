package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

func callOf(priority int, deadline time.Duration, inner bool) *Call {
	return &Call{
		Route: "r", Kind: routing.Idempotent, Priority: priority, Objective: time.Second, Inner: inner, Deadline: time.Now().Add(deadline),
	}
}

// TestOrderOfTheQueue guards against urgent calls, calls of running requests and
// requests that came back that wait behind others.
func TestOrderOfTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission(1)
		assert.Equal(t, a.acquire(t.Context(), callOf(0, time.Second, false)), "")
		waiting := []struct {
			name string
			call *Call
		}{
			{"later", callOf(2, 5*time.Second, false)},
			{"came back", callOf(2, 3*time.Second, false)},
			{"urgent", callOf(1, 5*time.Second, false)},
			{"inner", callOf(3, 5*time.Second, true)},
		}
		order := make(chan string, len(waiting))
		a.service = 10 * time.Millisecond // so that all of them fit
		for _, w := range waiting {
			go func() {
				if a.acquire(context.Background(), w.call) == "" {
					order <- w.name
				}
			}()
			synctest.Wait()
		}
		for _, want := range []string{"inner", "urgent", "came back", "later"} {
			a.release("r", 0)
			assert.Equal(t, <-order, want)
		}
	})
}

// TestEarlyRefusal guards against calls that are held although they would wait
// too long, and against calls of running requests that are refused like others.
func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission(2)
		a.service = 500 * time.Millisecond
		for range 2 {
			assert.Equal(t, a.acquire(t.Context(), callOf(1, 2*time.Second, false)), "")
		}
		began := time.Now()
		assert.Equal(t, a.acquire(t.Context(), callOf(1, 2*time.Second, false)), ReasonQueueFull)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.AfterFunc(400*time.Millisecond, func() { a.release("r", 0) })
		assert.Equal(t, a.acquire(t.Context(), callOf(1, 2*time.Second, true)), "")
	})
}

// TestSlotsAreNeverExceeded guards against a slot that is given twice when a
// caller leaves at the moment it gets one.
func TestSlotsAreNeverExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission(1)
		a.service = time.Millisecond
		for range 50 {
			assert.Equal(t, a.acquire(t.Context(), callOf(1, time.Second, false)), "")
			ctx, leave := context.WithCancel(t.Context())
			done := make(chan string)
			go func() { done <- a.acquire(ctx, callOf(1, time.Second, false)) }()
			synctest.Wait()
			go leave()
			a.release("r", 0)
			if <-done == "" {
				a.release("r", 0)
			}
			synctest.Wait()
			assert.Equal(t, a.busy, 0)
		}
	})
}

func endpoints(n int) []*Endpoint {
	var all []*Endpoint
	for i := range n {
		all = append(all, &Endpoint{Target: string(rune('a' + i)), Service: "s", Slots: 4, Near: true, Available: true})
	}
	return all
}

// share returns how often each target is chosen while answers take the time
// that took returns.
func share(b *Balancer, call *Call, all []*Endpoint, n int, took func(*Endpoint) time.Duration) map[string]int {
	chosen := make(map[string]int)
	for range n {
		e := b.Choose(call, all)
		chosen[e.Target]++
		load := &Load{Slots: 4, Service: took(e)}
		b.Done(e, call, &Answer{Outcome: Answered, Status: 200, Ran: took(e), Load: load}, took(e), false)
	}
	return chosen
}

// TestTargetsAreComparedByRoute guards against a target that gets all calls of a
// short route since its average is short by them: one of four targets of
// archives took nine tenths of the look-ups (lumretour trouble-1).
func TestTargetsAreComparedByRoute(t *testing.T) {
	b := NewBalancer(zap.NewNop())
	all := endpoints(4)
	long, short := &Call{Route: "long", Objective: time.Second}, &Call{Route: "short", Objective: time.Second}
	// Before any look-up, the first target has served long answers only.
	share(b, long, all[1:], 60, func(*Endpoint) time.Duration { return 200 * time.Millisecond })
	chosen := share(b, short, all, 400, func(*Endpoint) time.Duration { return 30 * time.Millisecond })
	for _, e := range all {
		assert.Assert(t, chosen[e.Target] >= 20, "%s got %d of 400", e.Target, chosen[e.Target])
	}
}

// TestSlowTargetGetsLess guards against an even split over targets of unequal speed.
func TestSlowTargetGetsLess(t *testing.T) {
	b := NewBalancer(zap.NewNop())
	chosen := share(b, &Call{Route: "r", Objective: time.Second}, endpoints(2), 300, func(e *Endpoint) time.Duration {
		if e.Target == "a" {
			return 300 * time.Millisecond
		}
		return 100 * time.Millisecond
	})
	assert.Assert(t, chosen["a"] < chosen["b"]/4, "%v", chosen)
}

// TestFullTargetIsLeftOut guards against refusals by full targets while a slower
// one has room.
func TestFullTargetIsLeftOut(t *testing.T) {
	b := NewBalancer(zap.NewNop())
	all := endpoints(2)
	call := &Call{Route: "r", Objective: 600 * time.Millisecond}
	b.runs["r"] = 200 * time.Millisecond
	b.record("a").load = Load{Busy: 4, Queued: 4, Slots: 4, Service: 200 * time.Millisecond, At: time.Now()}
	b.record("b").load = Load{Busy: 1, Slots: 4, Service: 500 * time.Millisecond, At: time.Now()}
	b.record("b").slowness = 2.5
	assert.Equal(t, b.Choose(call, all).Target, "b")
}

// TestNarrowLink guards against large answers from a machine whose link they fill.
func TestNarrowLink(t *testing.T) {
	b := NewBalancer(zap.NewNop())
	all := endpoints(2)
	all[0].LinkMbps, all[1].LinkMbps = 10, 200
	call := &Call{Route: "sheets", Objective: time.Second}
	b.LearnSize("sheets", 90_000)
	for range 20 {
		e := b.Choose(call, all)
		assert.Equal(t, e.Target, "b")
		b.Done(e, call, &Answer{Outcome: Refused}, 0, false)
	}
}

// TestFailingTargetIsPaused guards against calls that go on to a target that
// fails, and against a target that is never tried again.
func TestFailingTargetIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBalancer(zap.NewNop())
		all, call := endpoints(1), &Call{Route: "r", Objective: time.Second}
		other := &Endpoint{Target: "z", Service: "s", Slots: 4, Available: true}
		for range failuresToPause {
			e := b.Choose(call, all)
			b.Done(e, call, &Answer{Outcome: Unknown}, 0, true)
		}
		assert.Equal(t, b.Choose(call, append(all, other)).Target, "z")
		time.Sleep(2 * pauseMax)
		assert.Equal(t, b.Choose(call, all).Target, "a")
	})
}

// TestRetryBudget guards against repeats of the whole fleet beyond the operator's
// ratio and slack within each window.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, daemons := range []int{1, 13, 83, 1000} {
			checkBudget(t, daemons)
		}
	})
}

func checkBudget(t *testing.T, daemons int) {
	t.Helper()
	const (
		ratio    = 0.2
		slack    = 64
		window   = 10 * time.Second
		requests = 50 // of each daemon within a window
	)
	budgets := make([]*RetryBudget, 0, daemons)
	for range daemons {
		budgets = append(budgets, NewRetryBudget(ratio, slack, window, func() int { return daemons }))
	}
	for range 3 {
		spent := 0
		for range requests {
			for _, b := range budgets {
				b.Request("s")
				for b.Spend("s") {
					spent++
				}
			}
			time.Sleep(window / requests)
		}
		bound := ratio*requests*float64(daemons) + slack
		assert.Assert(t, float64(spent) <= bound, "%d repeats of %d daemons, %.0f allowed", spent, daemons, bound)
		assert.Assert(t, spent > 0)
	}
}

// TestSlackOfALargeFleet guards against one repeat of each daemon where the
// slack of the whole fleet is smaller than the fleet.
func TestSlackOfALargeFleet(t *testing.T) {
	const daemons, slack = 1000, 64
	spent := 0
	for range daemons {
		if NewRetryBudget(0, slack, 10*time.Second, func() int { return daemons }).Spend("s") {
			spent++
		}
	}
	assert.Assert(t, spent <= slack, "%d repeats, %d allowed", spent, slack)
}

// TestCallsOfRepeatedRuns guards against a budget that leaves out the calls of
// repeated runs (lumretour scale-1: 401 repeats, 354 allowed).
func TestCallsOfRepeatedRuns(t *testing.T) {
	b := NewRetryBudget(0.2, 0, 10*time.Second, func() int { return 1 })
	for range 100 {
		b.Request("s")
		b.Repeated("s")
	}
	assert.Assert(t, !b.Spend("s"))
}
