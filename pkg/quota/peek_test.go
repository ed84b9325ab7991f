package quota

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestPeek guards against a look at a workspace that takes a permit, asks an accountant
// or counts as demand, and against one that does not show a limit that is exceeded.
func TestPeek(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, _ := limiterPair(Limit{Rate: 1, Burst: 1})
		for _, workspace := range []string{"unlimited", "no rate"} {
			_, limited := a.Peek(workspace)
			assert.Assert(t, !limited)
		}
		sequence := a.stock.sequence
		state, limited := a.Peek(otherWorkspace)
		assert.Assert(t, limited)
		assert.Equal(t, state, State{Limit: Limit{Rate: 1, Burst: 1}, Accountant: "b"})
		assert.Equal(t, len(a.stock.holdings), 0)
		assert.Equal(t, a.stock.sequence, sequence)

		permit, err := a.Acquire(t.Context(), otherWorkspace)
		assert.NilError(t, err)
		a.Release(permit)
		for range 10 {
			state, _ = a.Peek(otherWorkspace)
			assert.Assert(t, state.Permits > 0 && state.Demand > 0 && !state.OverLimit(), "%+v", state)
		}
		again, err := a.Acquire(t.Context(), otherWorkspace)
		assert.NilError(t, err)
		assert.Equal(t, again, permit, "the permit is still in stock")

		var refused *LimitError
		for !errors.As(err, &refused) {
			_, err = a.Acquire(t.Context(), otherWorkspace)
		}
		state, _ = a.Peek(otherWorkspace)
		assert.Assert(t, state.OverLimit())
		assert.Equal(t, state.RetryAfter, refused.RetryAfter)
		time.Sleep(refused.RetryAfter)
		state, _ = a.Peek(otherWorkspace)
		assert.Assert(t, !state.OverLimit(), "%+v", state)
	})
}
