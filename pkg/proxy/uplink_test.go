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

// TestTransfersTakeTurns guards against too many concurrent transfers on a slow
// link, which delay each other and all small responses.
func TestTransfersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUplink(10)
		first, second := u.Acquire(t.Context(), 100<<10), u.Acquire(t.Context(), 100<<10)
		third := make(chan func(), 1)
		go func() { third <- u.Acquire(t.Context(), 100<<10) }()
		synctest.Wait()
		assert.Equal(t, len(third), 0, "a third transfer started")
		assert.Equal(t, u.PendingKB(), 300.0)
		started := time.Now()
		u.Acquire(t.Context(), 1<<10)()
		assert.Equal(t, time.Since(started), time.Duration(0), "a small response waited")
		first()
		(<-third)()
		second()
		assert.Equal(t, u.PendingKB(), 0.0)
	})
}

// TestStuckTransfersDoNotBlock guards against responses that wait without limit
// for transfers to daemons that stopped reading.
func TestStuckTransfersDoNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUplink(10)
		u.Acquire(t.Context(), 100<<10)
		u.Acquire(t.Context(), 100<<10)
		started := time.Now()
		u.Acquire(t.Context(), 100<<10)()
		assert.Equal(t, time.Since(started), maxTransferWait)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		u.Acquire(ctx, 100<<10)()
		assert.Equal(t, time.Since(started), maxTransferWait, "a cancelled call waited")
	})
}

// TestTransfersLeaveRoom guards against transfers that saturate the link of the
// sender or of a slower receiver, so that small responses and fleet state
// updates queue behind them.
func TestTransfersLeaveRoom(t *testing.T) {
	const size = 1 << 20
	for _, links := range [][2]float64{{10, 0}, {10, 1000}, {1000, 10}} {
		synctest.Test(t, func(t *testing.T) {
			u := NewUplink(links[0])
			started := time.Now()
			body := u.Pace(t.Context(), io.NopCloser(bytes.NewReader(make([]byte, size))), links[1])
			n, err := io.Copy(io.Discard, body)
			assert.NilError(t, err)
			assert.Equal(t, n, int64(size))
			full := time.Duration(size * 8 / 10e6 * float64(time.Second)) // at 10 Mbit/s
			assert.Assert(t, time.Since(started) > full, "%s", time.Since(started))
			assert.Assert(t, time.Since(started) < full*3/2, "%s", time.Since(started))
		})
	}
}

// TestFastLinksAreNotPaced guards against pacing responses that take only
// milliseconds to send.
func TestFastLinksAreNotPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := NewUplink(1000)
		started := time.Now()
		_, err := io.Copy(io.Discard, u.Pace(t.Context(), io.NopCloser(bytes.NewReader(make([]byte, 90<<10))), 1000))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), time.Duration(0))
	})
}

// TestUnknownLinkSpeed guards against limiting transfers when the link speed is
// unknown.
func TestUnknownLinkSpeed(t *testing.T) {
	u := NewUplink(0)
	for range 100 {
		u.Acquire(t.Context(), 1<<20)
	}
	assert.Equal(t, u.PendingKB(), 0.0)
}
