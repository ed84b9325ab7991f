package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestDarkMachineIsLeftOut guards against sending requests to a machine that
// became unreachable without resetting its connections: each request would wait
// for its own timeout.
func TestDarkMachineIsLeftOut(t *testing.T) {
	call := &Call{Route: "look", Kind: routing.Idempotent, Method: http.MethodGet, Objective: time.Second, Deadline: time.Now().Add(2 * time.Second)}
	down := &Endpoint{Target: "down", Service: "s", SameDomain: true, Available: true, Slots: 8}
	up := &Endpoint{Target: "up", Service: "s", Available: true, Slots: 8}
	b := NewBalancer(zap.NewNop())
	b.Done(down, call, &AttemptResult{Outcome: Unreached, Unresponsive: true}, dialTimeout, true)
	for range 20 {
		assert.Equal(t, b.Choose(call, []*Endpoint{down, up}).Target, "up")
	}
}

// TestCancelledIsNotUnresponsive guards against pausing targets because callers
// cancelled, and against not pausing unresponsive targets.
func TestCancelledIsNotUnresponsive(t *testing.T) {
	for _, cause := range []error{syscall.ETIMEDOUT, os.ErrDeadlineExceeded} {
		err := &ConnError{Phase: "read", Cause: &net.OpError{Op: "read", Err: cause}}
		assert.Assert(t, unresponsive(t.Context(), err))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, !unresponsive(ctx, err))
	}
	assert.Assert(t, !unresponsive(t.Context(), &ConnError{Phase: "read", Cause: &net.OpError{Op: "read", Err: syscall.ECONNRESET}}))
}
