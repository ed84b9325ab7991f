package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// TestStandbyTakesOver guards against a fleet in which nobody reads the configuration
// while all watchers are without contact to the store.
func TestStandbyTakesOver(t *testing.T) {
	const bound = 2 * time.Second // from the confirmation of a configuration until it is in force
	watchers := []string{"a", "b", "c"}
	c := newContactLog(0)
	c.record("b", clock.Instant(10*time.Second))
	c.record("z", clock.Instant(20*time.Second))
	for position := watcherCount; position < watcherCount+standbyCount; position++ {
		soon, late := clock.Instant(10*time.Second).Add(standbyTimeout), clock.Instant(10*time.Second).Add(bound)
		assert.Assert(t, !watchesAt(position, c.age(soon, watchers)), "position %d watches beside working watchers", position)
		assert.Assert(t, watchesAt(position, c.age(late, watchers)), "position %d does not take over within %v", position, bound)
	}
	for position := range watcherCount {
		assert.Assert(t, watchesAt(position, 0), "the watcher at position %d does not watch", position)
	}
}

// TestWatchersReportInTurn guards against reports of all watchers at the same time, after
// which the standbys hear nothing for a whole period.
func TestWatchersReportInTurn(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_123)
	end := start.Add(time.Minute)
	reports := map[time.Duration]bool{}
	for position := range watcherCount {
		for now := start; now.Before(end); {
			now = now.Add(watchUntilTurn(now, position))
			reports[now.Sub(start)] = true
			now = now.Add(5 * time.Millisecond) // the response of the store
		}
	}
	for at := range reports {
		if at > time.Minute-configWatchPeriod {
			continue
		}
		next := time.Hour
		for other := range reports {
			if other > at {
				next = min(next, other-at)
			}
		}
		assert.Assert(t, next <= standbyTimeout, "no report for %v after %v", next, at)
	}
}
