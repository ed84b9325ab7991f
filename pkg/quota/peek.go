package quota

import (
	"math"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// State is what a daemon knows of a workspace with a limit.
type State struct {
	Limit      Limit
	Accountant string        // that is asked first, empty if none is known
	Permits    int           // in stock
	Demand     float64       // requests per second at this daemon, averaged over seconds
	RetryAfter time.Duration // until the accountant expects a permit, after a refusal; 0 if none is known
}

// OverLimit reports whether a request would be refused, as far as the daemon knows. After
// a refusal the accountant is asked again at least every maxHold and may decide otherwise.
func (s State) OverLimit() bool { return s.Permits == 0 && s.RetryAfter > 0 }

// Peek returns the state of a workspace. It takes no permit and asks no accountant. It
// reports false if the workspace has no limit.
func (l *Limiter) Peek(workspace string) (State, bool) {
	limit, limited := l.limit(workspace)
	if !limited {
		return State{}, false
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.stock.peek(now, workspace)
	state.Limit, state.Accountant = limit, l.Members.Accountants(now, workspace)[0]
	return state, true
}

func (s *Stock) peek(now clock.Instant, workspace string) State {
	h := s.holdings[workspace]
	if h == nil {
		return State{}
	}
	state := State{RetryAfter: max(0, h.retryAt.Sub(now))}
	state.Demand = h.demand * math.Exp(-now.Sub(h.demandAt).Seconds()/demandTime.Seconds())
	for _, l := range h.permits {
		if l.lapse > now {
			state.Permits += l.count
		}
	}
	return state
}
