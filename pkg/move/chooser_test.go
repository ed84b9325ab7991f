package move

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

func testGrant(fencing, counter uint64, share float64) *pb.Grant {
	return &pb.Grant{
		Service: "orders", Move: "m", Generation: 3, Fencing: fencing, Counter: counter, Share: share,
		NonIdempotentShare: share / 2, TermMs: GrantTerm.Milliseconds(), State: pb.MoveState_MOVE_MOVING, From: "v1", To: "v2",
	}
}

func takenBackGrant(fencing, counter uint64) *pb.Grant {
	g := testGrant(fencing, counter, 0)
	g.State = pb.MoveState_MOVE_TAKEN_BACK
	return g
}

func newTestChooser(grants ...*pb.Grant) *Chooser {
	c := NewChooser(testStart)
	c.SetBundle(testBundle())
	for _, g := range grants {
		c.Apply(grantRecord("c", g), testStart)
	}
	return c
}

// share returns the fraction of evenly spaced points for which the chooser selects
// the new version.
func share(c *Chooser, idempotent bool, now time.Time) float64 {
	n := 0
	for i := range 1000 {
		if c.Choose("orders", idempotent, float64(i)/1000, now).Version == "v2" {
			n++
		}
	}
	return float64(n) / 1000
}

// TestChooserRejectsStaleGrants guards against a share raised by a controller that
// was paused past its lease, by a reordered older grant, or after a take-back.
func TestChooserRejectsStaleGrants(t *testing.T) {
	c := newTestChooser(testGrant(2, 5, 0.2))
	assert.Equal(t, share(c, true, testStart), 0.2)
	assert.Equal(t, share(c, false, testStart), 0.1)
	assert.Assert(t, !c.Apply(grantRecord("c", testGrant(1, 99, 0.9)), testStart), "lower fencing number")
	assert.Assert(t, !c.Apply(grantRecord("c", testGrant(2, 4, 0.9)), testStart), "lower counter")
	assert.Equal(t, share(c, true, testStart), 0.2)
	older := testGrant(9, 99, 0.9)
	older.Generation = 2
	assert.Assert(t, !c.Apply(grantRecord("c", older), testStart), "older generation")
	assert.Assert(t, c.Apply(grantRecord("c", takenBackGrant(1, 1)), testStart), "take-backs of any controller are accepted")
	assert.Equal(t, share(c, true, testStart), 0.0)
	assert.Assert(t, c.TakenBack("orders", "v2") && !c.TakenBack("orders", "v1"))
	c.Apply(grantRecord("c", testGrant(10, 1, 0.9)), testStart)
	assert.Equal(t, share(c, true, testStart), 0.0)
}

// TestTakenBackWinsInAnyOrder guards against a take-back that is overridden by
// grants, depending on the order in which they are received.
func TestTakenBackWinsInAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		grants := []*pb.Grant{
			testGrant(1, 1, 0.1), testGrant(1, 2, 0.5), testGrant(2, 1, 0.3), testGrant(2, 2, 1), takenBackGrant(1, 3),
		}
		rng.Shuffle(len(grants), func(i, j int) { grants[i], grants[j] = grants[j], grants[i] })
		c := newTestChooser(grants...)
		assert.Equal(t, share(c, true, testStart), 0.0)
		assert.Assert(t, c.TakenBack("orders", "v2"))
	}
}

// TestNewGenerationLiftsTakeBack guards against a version that stays blocked after
// operators define a new move to it, and against one that gets calls before the
// new generation has a grant.
func TestNewGenerationLiftsTakeBack(t *testing.T) {
	c := newTestChooser(takenBackGrant(1, 1))
	b := testBundle()
	b.Generations["m"] = 4
	c.SetBundle(b)
	assert.Assert(t, !c.TakenBack("orders", "v2"))
	assert.Equal(t, share(c, true, testStart), 0.0)
	g := testGrant(1, 2, 0.1)
	g.Generation = 4
	c.Apply(grantRecord("c", g), testStart)
	assert.Equal(t, share(c, true, testStart), 0.1)
}

// TestEditKeepsShare guards against traffic that returns to the old version
// because operators changed the set time of a move in progress.
func TestEditKeepsShare(t *testing.T) {
	c := newTestChooser(testGrant(1, 1, 0.4))
	b := testBundle()
	b.Generations["m"] = 4
	c.SetBundle(b)
	assert.Equal(t, share(c, true, testStart), 0.4)
	b = testBundle()
	b.Generations["m"], b.Service.Moves[0].To = 5, "v3"
	c.SetBundle(b)
	assert.Equal(t, share(c, true, testStart), 0.0)
}

// TestPartitionedCallerNeverRaisesShare guards against a caller that sends more
// calls to the new version after the term of its grant has expired, also when its
// local breaker has opened.
func TestPartitionedCallerNeverRaisesShare(t *testing.T) {
	c := newTestChooser(testGrant(1, 1, 0.2))
	for at := time.Duration(0); at < time.Hour; at += time.Minute {
		assert.Equal(t, share(c, true, testStart.Add(at)), 0.2)
	}
	expired := testStart.Add(time.Hour)
	for range breakerOldAttempts {
		c.Report("orders", "v1", OutcomeOK, expired)
	}
	for range breakerNewWindow {
		c.Report("orders", "v2", OutcomeFailed, expired)
	}
	for at := time.Duration(0); at < time.Hour; at += time.Minute {
		assert.Equal(t, share(c, true, expired.Add(at)), 0.0)
	}
	c.Apply(grantRecord("c", testGrant(1, 2, 0.1)), expired.Add(time.Hour))
	assert.Equal(t, share(c, true, expired.Add(time.Hour)), 0.1)
}

// TestLocalReaction guards against a daemon that keeps sending calls to a version
// with an obvious fault, and against a breaker that opens when the old version
// fails as well.
func TestLocalReaction(t *testing.T) {
	for _, oldFails := range []bool{false, true} {
		c := newTestChooser(testGrant(1, 1, 0.5))
		now := testStart.Add(time.Second)
		for range 10 {
			outcome := OutcomeOK
			if oldFails {
				outcome = OutcomeFailed
			}
			c.Report("orders", "v1", outcome, now)
			c.Report("orders", "v2", OutcomeFailed, now)
			now = now.Add(50 * time.Millisecond)
		}
		if oldFails {
			assert.Equal(t, share(c, true, now), 0.5)
			continue
		}
		assert.Equal(t, share(c, true, now), 0.0)
		now = now.Add(breakerOpenTime)
		c.Apply(grantRecord("c", testGrant(1, 2, 0.5)), now)
		assert.Equal(t, share(c, true, now), 0.5) // closed again; the controller decides
	}
}

// TestDoneAndNextMove guards against calls sent to the old version after a move is
// done.
func TestDoneAndNextMove(t *testing.T) {
	g := testGrant(1, 1, 1)
	g.State = pb.MoveState_MOVE_DONE
	c := newTestChooser(g)
	assert.Equal(t, share(c, false, testStart), 1.0)
	assert.Assert(t, !c.Active("orders")("m", 3))
}
