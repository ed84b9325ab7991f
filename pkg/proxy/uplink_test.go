package proxy

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestTransfersTakeTurns guards against many large answers on a slow link at
// the same time: each of them becomes late, and small answers wait behind all.
func TestTransfersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUplink(10)
		first, second := u.Acquire(t.Context(), 100<<10), u.Acquire(t.Context(), 100<<10)
		third := make(chan func(), 1)
		go func() { third <- u.Acquire(t.Context(), 100<<10) }()
		synctest.Wait()
		assert.Equal(t, len(third), 0, "a third transfer began")
		assert.Equal(t, u.PendingKB(), 300.0)
		began := time.Now()
		u.Acquire(t.Context(), 1<<10)()
		assert.Equal(t, time.Since(began), time.Duration(0), "a small answer waited")
		first()
		(<-third)()
		second()
		assert.Equal(t, u.PendingKB(), 0.0)
	})
}

// TestStuckTransfersDoNotBlock guards against answers that are kept back by
// daemons that went silent while they were sent an answer.
func TestStuckTransfersDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUplink(10)
		u.Acquire(t.Context(), 100<<10)
		u.Acquire(t.Context(), 100<<10)
		began := time.Now()
		u.Acquire(t.Context(), 100<<10)()
		assert.Equal(t, time.Since(began), maxTransferWait)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		u.Acquire(ctx, 100<<10)()
		assert.Equal(t, time.Since(began), maxTransferWait, "a call whose caller left waited")
	})
}

// TestTransfersLeaveRoom guards against transfers that fill the link of the
// sender or of a slower receiver: small answers and news would queue behind them.
func TestTransfersLeaveRoom(t *testing.T) {
	const size = 1 << 20
	for _, links := range [][2]float64{{10, 0}, {10, 1000}, {1000, 10}} {
		synctest.Test(t, func(t *testing.T) {
			u := NewUplink(links[0])
			began := time.Now()
			body := u.Pace(t.Context(), io.NopCloser(bytes.NewReader(make([]byte, size))), links[1])
			n, err := io.Copy(io.Discard, body)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(size))
			full := time.Duration(size * 8 / 10e6 * float64(time.Second)) // at 10 Mbit/s
			assert.Assert(t, time.Since(began) > full, "%s", time.Since(began))
			assert.Assert(t, time.Since(began) < full*3/2, "%s", time.Since(began))
		})
	}
}

// TestFastLinksAreNotPaced guards against pauses in answers that take a moment.
func TestFastLinksAreNotPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUplink(1000)
		began := time.Now()
		_, err := io.Copy(io.Discard, u.Pace(t.Context(), io.NopCloser(bytes.NewReader(make([]byte, 90<<10))), 1000))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// TestUnknownLink guards against a limit where the link's speed is not known.
func TestUnknownLink(t *testing.T) {
	u := NewUplink(0)
	for range 100 {
		u.Acquire(t.Context(), 1<<20)
	}
	assert.Equal(t, u.PendingKB(), 0.0)
}

// TestBackloggedLinkIsAvoided guards against a target that is chosen for large
// answers although its link is full.
func TestBackloggedLinkIsAvoided(t *testing.T) {
	b := NewBalancer(nil)
	b.LearnSize("bulk", 90<<10)
	endpoint := func(target string) *Endpoint {
		return &Endpoint{Target: target, Service: "s", Near: true, Slots: 9, LinkMbps: 10, Available: true}
	}
	full, free := endpoint("full"), endpoint("free")
	call := &Call{Route: "bulk", Objective: time.Second}
	report := func(e *Endpoint, kb float64) {
		b.Done(e, call, &Answer{Outcome: Answered, Status: 200, Ran: 100 * time.Millisecond, Load: &Load{Slots: 9, Uplink: kb}}, 200*time.Millisecond, false)
	}
	report(full, 500)
	report(free, 0)
	for range 20 {
		assert.Equal(t, b.Choose(call, []*Endpoint{full, free}).Target, "free")
		b.Done(free, call, &Answer{Outcome: Answered, Status: 200, Ran: 100 * time.Millisecond, Load: &Load{Slots: 9}}, 200*time.Millisecond, false)
	}
}
