package proxy

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

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
