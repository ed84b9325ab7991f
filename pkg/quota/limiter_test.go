package quota

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// bubbleClock reads the time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Instant { return clock.Instant(time.Since(c.start)) }

// pair is a source with two members.
type pair struct{}

func (pair) Version() uint64       { return 1 }
func (pair) Expected() (int, bool) { return 2, true }
func (pair) Members() []Member {
	return []Member{
		{Candidate: fleet.Candidate{Name: "a"}, Live: true}, {Candidate: fleet.Candidate{Name: "b"}, Live: true},
	}
}

const (
	testTrip = 5 * time.Millisecond
	// otherWorkspace is one that b accounts for.
	otherWorkspace = "w-1"
)

// limiterPair returns the limiters of two daemons that are connected until cut.
func limiterPair(limit Limit) (a, b *Limiter, cut *atomic.Bool) {
	cut = new(atomic.Bool)
	c := bubbleClock{time.Now()}
	limiters := make(map[string]*Limiter)
	for _, self := range []string{"a", "b"} {
		limiters[self] = NewLimiter(Options{
			Self: self, Clock: c, Bounds: testBounds, Members: NewMembers(self, pair{}, c.Now()), Logger: zap.NewNop(),
			Limit: func(workspace string) (Limit, bool) {
				if workspace == "no rate" {
					return Limit{}, true
				}
				return limit, workspace != "unlimited"
			},
			Send: func(to string, requests []*pb.PermitRequest) {
				if cut.Load() {
					return
				}
				time.AfterFunc(testTrip, func() {
					grants := limiters[to].HandleRequests(self, requests)
					time.AfterFunc(testTrip, func() { limiters[self].HandleGrants(to, grants) })
				})
			},
		})
		limiters[self].Members.Observe(c.Now())
	}
	time.Sleep(20 * time.Second)
	return limiters["a"], limiters["b"], cut
}

// TestLimiter guards against requests that wait for more than one round trip, refusals
// of the wrong kind, and permits that are lost although their request did not run.
func TestLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{Rate: 1, Burst: 1}
		a, _, cut := limiterPair(limit)
		accountants := a.Members.Accountants(a.Clock.Now(), otherWorkspace)
		assert.Equal(t, accountants[0], "b")
		acquire := func(workspace string) (Permit, time.Duration, error) {
			started := time.Now()
			p, err := a.Acquire(t.Context(), workspace)
			return p, time.Since(started), err
		}
		for _, workspace := range []string{"unlimited", "no rate"} {
			p, took, err := acquire(workspace)
			assert.NilError(t, err)
			assert.Equal(t, p, Permit{})
			assert.Equal(t, took, time.Duration(0))
			a.Release(p)
		}
		p, took, err := acquire(otherWorkspace)
		assert.NilError(t, err)
		assert.Equal(t, took, 2*testTrip)
		a.Release(p)
		again, took, err := acquire(otherWorkspace)
		assert.NilError(t, err)
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, again, p)

		var limited *LimitError
		for err == nil {
			_, _, err = acquire(otherWorkspace)
		}
		assert.Assert(t, errors.As(err, &limited), "%v", err)
		time.Sleep(limited.RetryAfter)
		_, _, err = acquire(otherWorkspace)
		assert.NilError(t, err, "after %v", limited.RetryAfter)

		cut.Store(true)
		time.Sleep(time.Second)
		_, took, err = acquire("w-3")
		assert.NilError(t, err)
		assert.Equal(t, took, 2*resendAfter, "the next daemon of the ranking grants from its reserve")
		for err == nil {
			_, took, err = acquire("w-3")
		}
		var unaccounted *UnaccountedError
		assert.Assert(t, errors.As(err, &unaccounted), "%v", err)
		assert.Assert(t, took <= answerWait)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = a.Acquire(ctx, otherWorkspace)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}
