package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

var allowance = config.Rate{PerSecond: 10, Burst: 5}

// countAllowed returns how many of n calls at the given time get a token.
func countAllowed(l *limits, member string, n int, now time.Time) int {
	ok := 0
	for range n {
		if _, granted := l.allow("s", "r", member, allowance, now); granted {
			ok++
		}
	}
	return ok
}

// TestManyMembersAreBounded guards against unbounded memory use by made-up member
// names, and against a member that refills its bucket by sending them.
func TestManyMembersAreBounded(t *testing.T) {
	l := newLimits(100, epoch)
	assert.Equal(t, countAllowed(l, "m", 10, epoch), 5)
	granted := 0
	for i := range 10000 {
		granted += countAllowed(l, fmt.Sprint("invented ", i), 1, epoch)
	}
	assert.Assert(t, len(l.buckets) <= 101, "%d buckets", len(l.buckets))
	assert.Equal(t, granted, 99+5) // one for each free bucket, then the shared bucket
	assert.Equal(t, countAllowed(l, "m", 10, epoch), 0)
	later := epoch.Add(time.Minute) // all buckets are full again and can be replaced
	assert.Equal(t, countAllowed(l, "new", 10, later), 5)
	assert.Assert(t, len(l.buckets) <= 101)
}

// TestUsageAndShares guards against missing usage reports, reports for members with
// little usage, and shares that are ignored or never expire.
func TestUsageAndShares(t *testing.T) {
	l := newLimits(100, epoch)
	countAllowed(l, "large", 8, epoch)
	countAllowed(l, "small", 4, epoch)
	now := epoch.Add(time.Second)
	usage := l.usage(now)
	assert.Equal(t, len(usage["s"]), 1)
	assert.Equal(t, usage["s"][0].GetMember(), "large")
	assert.Equal(t, usage["s"][0].GetCallsPerSecond(), 8.0)

	l.applyShares("s", []*pb.Usage{{Route: "r", Member: "large", SharePerSecond: 2}}, now)
	n := 0
	for i := range 40 { // 4 s within the share's lifetime
		n += countAllowed(l, "large", 1, now.Add(time.Duration(i)*100*time.Millisecond))
	}
	assert.Assert(t, n >= 7 && n <= 10, "%d calls in 4 s at a share of 2/s", n)
	n = 0
	for i := range 20 {
		n += countAllowed(l, "large", 1, now.Add(6*time.Second+time.Duration(i)*100*time.Millisecond))
	}
	assert.Assert(t, n >= 18, "%d of 20 calls after the share had expired", n)
}

// TestChangedAllowanceApplies guards against a member that is still limited by the
// allowance of an earlier configuration.
func TestChangedAllowanceApplies(t *testing.T) {
	l := newLimits(100, epoch)
	countAllowed(l, "m", 5, epoch)
	raised := config.Rate{PerSecond: 1000, Burst: 100}
	l.allow("s", "r", "m", raised, epoch.Add(time.Second)) // applies the new allowance
	ok := 0
	for range 200 {
		if _, granted := l.allow("s", "r", "m", raised, epoch.Add(2*time.Second)); granted {
			ok++
		}
	}
	assert.Equal(t, ok, 100)
}
