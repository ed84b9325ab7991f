package proxy

import (
	"context"
	"errors"
	"net/http"

	"nutmegstand.example/nutmegstand/pkg/quota"
)

// Limiter keeps the requests of workspaces within their limits. *quota.Limiter
// implements it.
type Limiter interface {
	// Acquire waits for a permit to run a request of a workspace. It returns a
	// *quota.LimitError if the workspace is over its limit. A workspace without a limit
	// needs no permit.
	Acquire(ctx context.Context, workspace string) (quota.Permit, error)
	// Release returns the permit of a request that did not run.
	Release(permit quota.Permit)
}

// acquire obtains the permit of a request. It reports false if the request is refused,
// which it then has answered.
func (s *requestState) acquire(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	limiter, workspace := s.ingress.Limiter, s.call.Workspace
	if limiter == nil || workspace == "" || s.call.Inner {
		return true
	}
	var err error
	if s.permit, err = limiter.Acquire(ctx, workspace); err == nil {
		return true
	}
	var limited *quota.LimitError
	switch {
	case r.Context().Err() != nil:
		s.finish("caller_gone", 0)
		panic(http.ErrAbortHandler)
	case errors.As(err, &limited):
		s.finish(reasonLimited, http.StatusTooManyRequests)
		writeRefusal(w, http.StatusTooManyRequests, limited.RetryAfter)
	default:
		s.finish("unaccounted", http.StatusServiceUnavailable)
		writeRetryAfter(w, defaultRetryAfter)
	}
	return false
}

// releaseUnused returns the permit of a request that did not run.
func (s *requestState) releaseUnused(result *AttemptResult) {
	if s.permit.Workspace != "" && result == nil && !s.mayHaveRun {
		s.ingress.Limiter.Release(s.permit)
	}
}
