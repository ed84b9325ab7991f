package admission

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFairnessBetweenWorkspaces guards against a workspace that sends 7.5 times its usual
// demand and takes the slots of the others: a third of their requests were served.
func TestFairnessBetweenWorkspaces(t *testing.T) {
	var sent, served [5]atomic.Int32 // the first workspace sends most, the last one has no name
	names := [5]string{"flood", "b", "c", "d", ""}
	synctest.Test(t, func(t *testing.T) {
		q, random := NewQueue(4), rand.New(rand.NewPCG(1, 2))
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
			from := max(0, random.IntN(19)-14) // 15 of 19 requests
			ran := time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))
			request := newRequest(1, 2*time.Second, false)
			request.Workspace = names[from]
			sent[from].Add(1)
			go func() {
				if q.Acquire(t.Context(), request) == "" {
					time.Sleep(ran)
					q.Finish(request, max(ran, 1))
					served[from].Add(1)
				}
			}()
			time.Sleep(time.Duration(random.ExpFloat64() * float64(10*time.Millisecond))) // 2.5 times the capacity
		}
		time.Sleep(5 * time.Second)
	})
	for i, name := range names {
		share := float64(served[i].Load()) / float64(sent[i].Load())
		t.Logf("%q: %d sent, %.3f served", name, sent[i].Load(), share)
		assert.Assert(t, share > 0.15, "%q", name)
		if i > 0 {
			assert.Assert(t, share > 0.8, "%q", name)
		}
	}
}

// TestSharesAreBounded guards against memory for each workspace ever seen, and against
// service that counts for ever.
func TestSharesAreBounded(t *testing.T) {
	var s shares
	now := time.Unix(1_700_000_000, 0)
	s.add("first", time.Hour, now)
	for i := range 3 * maxShares {
		s.add(strconv.Itoa(i), time.Second, now)
	}
	assert.Assert(t, len(s.service) <= maxShares)
	assert.Equal(t, s.service["first"], float64(time.Hour))
	s.add("last", time.Second, now.Add(time.Hour))
	assert.Equal(t, len(s.service), 1)
}
