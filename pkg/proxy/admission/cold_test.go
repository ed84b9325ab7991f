package admission

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// mostInWindow returns the highest number of grants within any window.
func mostInWindow(granted []time.Duration, window time.Duration) int {
	most := 0
	for i, first := range granted {
		count := 0
		for _, at := range granted[i:] {
			if at-first < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestColdRateInEachSecond guards against a cold target that gets more in some second than
// the operator allows, and against one that gets far less than it tolerates.
func TestColdRateInEachSecond(t *testing.T) {
	for _, limit := range []float64{0.4, 1, 3, 7.5, 20, 60} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := NewQueue(9)
				q.SetColdRate(limit)
				granted := grantTimes(t, q, 20*time.Second, func() {})
				most := mostInWindow(granted, time.Second)
				assert.Assert(t, float64(most) <= 1.25*limit+2, "%d requests in a second", most)
				assert.Assert(t, float64(len(granted)) >= 0.8*limit*20, "%d requests in 20 s", len(granted))
			})
		})
	}
}

// TestLowerRateCounts guards against a cold rate and a named rate of which only one holds,
// and against a cold phase whose end lifts the named rate, too.
func TestLowerRateCounts(t *testing.T) {
	for _, rates := range [][2]float64{{4, 30}, {30, 4}, {4, 0}, {0, 4}} {
		synctest.Test(t, func(t *testing.T) {
			q := NewQueue(9)
			q.SetRate(rates[0])
			q.SetColdRate(rates[1])
			assert.Equal(t, q.Load().RateLimit, 4.0)
			granted := grantTimes(t, q, 20*time.Second, func() {})
			assert.Assert(t, len(granted) >= 70 && len(granted) <= 90, "%v: %d requests in 20 s", rates, len(granted))
			q.SetColdRate(0)
			assert.Equal(t, q.Load().RateLimit, rates[0])
		})
	}
}

// TestColdWhileCallsWait guards against queued calls that are granted at the rate of a warm
// target after it has become cold, and against calls that wait on once it is warm.
func TestColdWhileCallsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(50)
		q.SetColdRate(2)
		granted := grantTimes(t, q, 10*time.Second, func() { q.SetColdRate(0) })
		before := 0
		for _, at := range granted {
			if at < 5*time.Second {
				before++
			}
		}
		assert.Assert(t, before <= 12, "%d requests in 5 s of the cold phase", before)
		assert.Assert(t, len(granted)-before > 300, "%d requests in 5 s after the cold phase", len(granted)-before)
	})
}
