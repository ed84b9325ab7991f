package proxy

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestFailedInnerCallIsNotRepeated guards against a second run of a request that failed
// because a service that it calls rejects calls: such runs took the retry budget of the
// calls themselves, and 1,659 of 25,098 runs of the outer service were repeats.
func TestFailedInnerCallIsNotRepeated(t *testing.T) {
	g := NewGate(GateOptions{Suspects: &Suspects{Clock: &clock.Manual{}, Logger: zap.NewNop()}})
	call := &Call{ID: "outer", Kind: routing.Idempotent}
	other := &Call{ID: "other", Kind: routing.Idempotent}
	g.track(call)
	g.track(other)
	g.RecordInnerFailure("outer.1")
	g.RecordInnerFailure("unknown.1")
	g.RecordInnerFailure("outer")
	assert.Assert(t, g.innerFailed(call))
	assert.Assert(t, !g.innerFailed(other))
	for _, failed := range []bool{false, true} {
		sent := &AttemptResult{Outcome: Answered, Status: http.StatusInternalServerError, InnerFailed: failed, Ran: time.Millisecond}
		header := http.Header{}
		header.Set(outcomeHeader, sent.encodeOutcome())
		result, err := decodeResult(&http.Response{StatusCode: sent.Status, Header: header})
		assert.NilError(t, err)
		assert.Equal(t, (&requestState{call: call}).retryable(result), !failed)
		assert.Equal(t, result.forBalancer(0, true).Neutral, failed, "the target is not at fault")
	}
}

// TestFailedInnerCallBehindRefusal guards against the same second run if the target answers
// with a status that promises that the request has not run.
func TestFailedInnerCallBehindRefusal(t *testing.T) {
	for _, failed := range []bool{false, true} {
		answered := &AttemptResult{Outcome: Answered, Status: http.StatusServiceUnavailable, InnerFailed: failed}
		s := &requestState{
			call:  &Call{Target: "a", Kind: routing.Idempotent, Deadline: time.Now().Add(time.Minute)},
			route: &routing.Route{Attempts: 2}, contacted: make(map[string]bool),
		}
		assert.Equal(t, s.canContinue(t.Context(), answered.withholdPromise()), !failed)
		assert.Assert(t, s.mayHaveRun)
	}
}
