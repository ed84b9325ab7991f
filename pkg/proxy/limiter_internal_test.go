package proxy

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/balance"
	"nutmegstand.example/nutmegstand/pkg/quota"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// fakeLimiter returns a fixed result. It is also a directory without targets.
type fakeLimiter struct {
	err                error
	acquired, released int
}

func (f *fakeLimiter) Acquire(_ context.Context, workspace string) (quota.Permit, error) {
	f.acquired++
	return quota.Permit{Workspace: workspace}, f.err
}

func (f *fakeLimiter) Release(quota.Permit) { f.released++ }

func (f *fakeLimiter) Endpoints(string) []*balance.Endpoint { return nil }

func (f *fakeLimiter) Choose(string, []*balance.Endpoint) []*balance.Endpoint { return nil }

// TestLimitOfWorkspace guards against requests over a limit that run or get a wrong
// status, inner calls that need a permit, and permits that are lost although their
// request did not run.
func TestLimitOfWorkspace(t *testing.T) {
	for _, c := range []struct {
		name, workspace    string
		inner              bool
		err                error
		status             int
		retryAfter         string
		acquired, released int
	}{
		{"over the limit", "w", false, &quota.LimitError{Workspace: "w", RetryAfter: 1500 * time.Millisecond}, 429, "1.500", 1, 0},
		{"no accountant", "w", false, &quota.UnaccountedError{Workspace: "w"}, 503, "0.100", 1, 0},
		{"no target", "w", false, nil, 503, "0.100", 1, 1},
		{"no workspace", "", false, nil, 503, "0.100", 0, 0},
		{"inner call", "w", true, nil, 503, "0.100", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter := &fakeLimiter{err: c.err}
			i := NewIngress(IngressOptions{
				Limiter: limiter, Directory: limiter, Versions: limiter, Balancer: balance.New(zap.NewNop()), Gate: NewGate(GateOptions{}), Logger: zap.NewNop(),
				Budget: NewRetryBudget(0.2, 60, time.Second, func() int { return 1 }),
			})
			now := time.Now()
			s := &requestState{
				ingress: i, route: &routing.Route{}, attempted: make(map[string]bool), contacted: make(map[string]bool),
				call: &Call{Workspace: c.workspace, Inner: c.inner, Received: now, Deadline: now.Add(time.Second)},
			}
			w := httptest.NewRecorder()
			i.serve(w, httptest.NewRequest(http.MethodGet, "/", nil), s)
			assert.Equal(t, w.Code, c.status)
			assert.Equal(t, w.Header().Get("Retry-After"), c.retryAfter)
			assert.Equal(t, limiter.acquired, c.acquired)
			assert.Equal(t, limiter.released, c.released)
		})
	}
}
