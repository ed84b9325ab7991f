package proxy

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

func newCall(priority int, deadline time.Duration, inner bool) *Call {
	return &Call{
		Route: "r", Kind: routing.Idempotent, Priority: priority, Objective: time.Second, Inner: inner, Deadline: time.Now().Add(deadline),
	}
}

// TestAdmissionOrder guards against inner calls, calls with a higher priority
// and calls with an earlier deadline waiting behind others.
func TestAdmissionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission(1)
		assert.Equal(t, a.acquire(t.Context(), newCall(0, time.Second, false)), "")
		waiting := []struct {
			name string
			call *Call
		}{
			{"late deadline", newCall(2, 5*time.Second, false)},
			{"earlier deadline", newCall(2, 3*time.Second, false)},
			{"high priority", newCall(1, 5*time.Second, false)},
			{"inner", newCall(3, 5*time.Second, true)},
		}
		order := make(chan string, len(waiting))
		a.serviceTime = 10 * time.Millisecond // short enough to queue all of them
		for _, w := range waiting {
			go func() {
				if a.acquire(context.Background(), w.call) == "" {
					order <- w.name
				}
			}()
			synctest.Wait()
		}
		for _, want := range []string{"inner", "high priority", "earlier deadline", "late deadline"} {
			a.release("r", 0)
			assert.Equal(t, <-order, want)
		}
	})
}

// TestEarlyRefusal guards against queueing calls that would wait too long, and
// against refusing inner calls as early as others.
func TestEarlyRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission(2)
		a.serviceTime = 500 * time.Millisecond
		for range 2 {
			assert.Equal(t, a.acquire(t.Context(), newCall(1, 2*time.Second, false)), "")
		}
		started := time.Now()
		assert.Equal(t, a.acquire(t.Context(), newCall(1, 2*time.Second, false)), ReasonQueueFull)
		assert.Equal(t, time.Since(started), time.Duration(0))
		time.AfterFunc(400*time.Millisecond, func() { a.release("r", 0) })
		assert.Equal(t, a.acquire(t.Context(), newCall(1, 2*time.Second, true)), "")
	})
}

// TestSlotsAreNotExceeded guards against granting a slot twice when a caller
// cancels while its slot is being granted.
func TestSlotsAreNotExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission(1)
		a.serviceTime = time.Millisecond
		for range 50 {
			assert.Equal(t, a.acquire(t.Context(), newCall(1, time.Second, false)), "")
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan string)
			go func() { done <- a.acquire(ctx, newCall(1, time.Second, false)) }()
			synctest.Wait()
			go cancel()
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
		all = append(all, &Endpoint{Target: string(rune('a' + i)), Service: "s", Slots: 4, SameDomain: true, Available: true})
	}
	return all
}

// chooseRepeatedly makes n calls and returns how often each target was chosen.
// took returns the response time of an endpoint.
func chooseRepeatedly(b *Balancer, call *Call, all []*Endpoint, n int, took func(*Endpoint) time.Duration) map[string]int {
	chosen := make(map[string]int)
	for range n {
		e := b.Choose(call, all)
		chosen[e.Target]++
		load := &Load{Slots: 4, ServiceTime: took(e)}
		b.Done(e, call, &AttemptResult{Outcome: Answered, Status: 200, Ran: took(e), Load: load}, took(e), false)
	}
	return chosen
}

// TestTargetsAreComparedByRoute guards against comparing targets across routes.
// A target that had served mostly short requests had a low average and
// attracted more of them: one of four targets got nine tenths of the short
// requests.
func TestTargetsAreComparedByRoute(t *testing.T) {
	b := NewBalancer(zap.NewNop())
	all := endpoints(4)
	long, short := &Call{Route: "long", Objective: time.Second}, &Call{Route: "short", Objective: time.Second}
	// All targets but the first have served long requests before the first short one.
	chooseRepeatedly(b, long, all[1:], 60, func(*Endpoint) time.Duration { return 200 * time.Millisecond })
	chosen := chooseRepeatedly(b, short, all, 400, func(*Endpoint) time.Duration { return 30 * time.Millisecond })
	for _, e := range all {
		assert.Assert(t, chosen[e.Target] >= 20, "%s got %d of 400", e.Target, chosen[e.Target])
	}
}

// TestSlowTargetGetsFewerCalls guards against an even distribution over targets
// of different speed.
func TestSlowTargetGetsFewerCalls(t *testing.T) {
	b := NewBalancer(zap.NewNop())
	chosen := chooseRepeatedly(b, &Call{Route: "r", Objective: time.Second}, endpoints(2), 300, func(e *Endpoint) time.Duration {
		if e.Target == "a" {
			return 300 * time.Millisecond
		}
		return 100 * time.Millisecond
	})
	assert.Assert(t, chosen["a"] < chosen["b"]/4, "%v", chosen)
}

// TestFullTargetIsAvoided guards against calls to full targets, which would
// refuse them, while a slower target has free slots.
func TestFullTargetIsAvoided(t *testing.T) {
	b := NewBalancer(zap.NewNop())
	all := endpoints(2)
	call := &Call{Route: "r", Objective: 600 * time.Millisecond}
	b.runTimes["r"] = 200 * time.Millisecond
	b.statsFor("a").load = Load{Busy: 4, Queued: 4, Slots: 4, ServiceTime: 200 * time.Millisecond, At: time.Now()}
	b.statsFor("b").load = Load{Busy: 1, Slots: 4, ServiceTime: 500 * time.Millisecond, At: time.Now()}
	b.statsFor("b").slowness = 2.5
	assert.Equal(t, b.Choose(call, all).Target, "b")
}

// TestSlowLinkIsAvoided guards against requesting large responses from a target
// whose link they would saturate.
func TestSlowLinkIsAvoided(t *testing.T) {
	b := NewBalancer(zap.NewNop())
	all := endpoints(2)
	all[0].LinkMbps, all[1].LinkMbps = 10, 200
	call := &Call{Route: "sheets", Objective: time.Second}
	b.RecordSize("sheets", 90_000)
	for range 20 {
		e := b.Choose(call, all)
		assert.Equal(t, e.Target, "b")
		b.Done(e, call, &AttemptResult{Outcome: Refused}, 0, false)
	}
}

// TestFailingTargetIsPaused guards against further calls to a failing target,
// and against a target that is never retried.
func TestFailingTargetIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBalancer(zap.NewNop())
		all, call := endpoints(1), &Call{Route: "r", Objective: time.Second}
		other := &Endpoint{Target: "z", Service: "s", Slots: 4, Available: true}
		for range failuresToPause {
			e := b.Choose(call, all)
			b.Done(e, call, &AttemptResult{Outcome: Unknown}, 0, true)
		}
		assert.Equal(t, b.Choose(call, append(all, other)).Target, "z")
		time.Sleep(2 * pauseMax)
		assert.Equal(t, b.Choose(call, all).Target, "a")
	})
}

// TestRetryBudget guards against more retries by the whole fleet than the
// configured ratio and slack allow within a window.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, daemons := range []int{1, 13, 83, 1000} {
			checkBudget(t, daemons, false)
			checkBudget(t, daemons, true)
		}
	})
}

// checkBudget spends all that the budget allows, with savings from a window without
// any retry.
func checkBudget(t *testing.T, daemons int, save bool) {
	t.Helper()
	const (
		ratio    = 0.2
		slack    = 64
		window   = 10 * time.Second
		requests = 50 // per daemon within a window
	)
	budgets := make([]*RetryBudget, 0, daemons)
	for range daemons {
		budgets = append(budgets, NewRetryBudget(ratio, slack, window, func() int { return daemons }))
	}
	for i := range 4 {
		spent := 0
		for range requests {
			for _, b := range budgets {
				b.RecordRequest("s")
				for (!save || i >= 2) && b.Spend("s", true) {
					spent++
				}
			}
			time.Sleep(window / requests)
		}
		bound := ratio*requests*float64(daemons) + slack
		assert.Assert(t, float64(spent) <= bound, "%d retries of %d daemons, %.0f allowed", spent, daemons, bound)
		assert.Assert(t, spent > 0 || save && i < 2)
	}
}

// TestRetriesAreKeptForLastChances guards against a budget that is spent on requests
// whose callers come back, and is missing for those that are refused for good.
func TestRetriesAreKeptForLastChances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 10 * time.Second
		b := NewRetryBudget(0.2, 0, window, func() int { return 1 })
		for range 200 {
			b.RecordRequest("s")
			time.Sleep(window / 100)
		}
		spent := 0
		for b.Spend("s", false) {
			spent++
		}
		assert.Assert(t, spent > 0, "some of the savings are for all")
		assert.Assert(t, b.Spend("s", true))
	})
}

// TestSlackInLargeFleet guards against a retry by each daemon of a fleet that
// has more daemons than the slack allows retries.
func TestSlackInLargeFleet(t *testing.T) {
	const daemons, slack = 1000, 64
	spent := 0
	for range daemons {
		if NewRetryBudget(0, slack, 10*time.Second, func() int { return daemons }).Spend("s", true) {
			spent++
		}
	}
	assert.Assert(t, spent <= slack, "%d retries, %d allowed", spent, slack)
}

// TestInnerRetriesUseBudget guards against a budget that ignores the inner
// calls of retried requests: a fleet made 401 retries where 354 were allowed.
func TestInnerRetriesUseBudget(t *testing.T) {
	b := NewRetryBudget(0.2, 0, 10*time.Second, func() int { return 1 })
	for range 100 {
		b.RecordRequest("s")
		b.RecordRetry("s")
	}
	assert.Assert(t, !b.Spend("s", true))
}

// TestOutcomeWithoutUTF8 guards against bytes of a target that get into the reason of
// an outcome and end the response to the caller side.
func TestOutcomeWithoutUTF8(t *testing.T) {
	r := &http.Response{Header: http.Header{}}
	r.Header.Set(outcomeHeader, (&AttemptResult{Outcome: Unknown, Reason: "read: \xff\xfe"}).encodeOutcome())
	result, err := decodeResult(r)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, Unknown)
}
