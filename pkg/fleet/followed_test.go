package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// TestFollowedAfterSuspension guards against a daemon that takes its peers for silent
// because it was suspended itself, also before its first round after the return.
func TestFollowedAfterSuspension(t *testing.T) {
	c := &clock.Manual{}
	table := NewTable("vm", 1, State{}, c)
	rounds := func(n int) {
		for range n {
			c.Advance(exchangeInterval)
			assert.Equal(t, table.AdvanceHeartbeat(), time.Duration(0))
		}
	}
	assert.Equal(t, table.Followed(), time.Duration(0), "a daemon that has just started")
	rounds(6)
	assert.Equal(t, table.Followed(), SilentAfter)
	c.Advance(4 * time.Second)
	assert.Equal(t, table.Followed(), time.Duration(0), "before the first round after the suspension")
	assert.Equal(t, table.AdvanceHeartbeat(), 4*time.Second)
	assert.Equal(t, table.Followed(), time.Duration(0))
	rounds(4)
	assert.Equal(t, table.Followed(), 4*exchangeInterval)
	c.Advance(maxRoundGap)
	assert.Equal(t, table.AdvanceHeartbeat(), time.Duration(0), "a late round")
	assert.Equal(t, table.Followed(), 4*exchangeInterval+maxRoundGap)
}
