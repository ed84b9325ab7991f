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

// TestDarkMachineIsLeftOut guards against requests that are sent one after the
// other to a machine that went dark, each waiting for its own time-out.
func TestDarkMachineIsLeftOut(t *testing.T) {
	call := &Call{Route: "look", Kind: routing.Idempotent, Method: http.MethodGet, Objective: time.Second, Deadline: time.Now().Add(2 * time.Second)}
	dark := &Endpoint{Target: "dark", Service: "s", Near: true, Available: true, Slots: 8}
	live := &Endpoint{Target: "live", Service: "s", Available: true, Slots: 8}
	b := NewBalancer(zap.NewNop())
	b.Done(dark, call, &Answer{Outcome: Unreached, Silent: true}, dialTimeout, true)
	for range 20 {
		assert.Equal(t, b.Choose(call, []*Endpoint{dark, live}).Target, "live")
	}
}

// TestCancelledIsNotSilent guards against targets that are left out because
// callers gave up, and against silent ones that are not.
func TestCancelledIsNotSilent(t *testing.T) {
	for _, cause := range []error{syscall.ETIMEDOUT, os.ErrDeadlineExceeded} {
		err := &ConnError{Phase: "read", Cause: &net.OpError{Op: "read", Err: cause}}
		assert.Assert(t, silent(t.Context(), err))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, !silent(ctx, err))
	}
	assert.Assert(t, !silent(t.Context(), &ConnError{Phase: "read", Cause: &net.OpError{Op: "read", Err: syscall.ECONNRESET}}))
}
