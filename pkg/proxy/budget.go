package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ratioShare is the fraction of the fleet's retry ratio that daemons may
	// spend. The rest is reserved for the inner calls of retried requests, which
	// count as retries at the services that they call.
	ratioShare = 0.7
	// savedShare is the fraction of the retry ratio that a daemon may save from the
	// requests of one window for a later failure. Together with ratioShare it stays
	// below the ratio in any window.
	savedShare = 0.2
	// reservedShare is the fraction of the savings that is kept for requests that have
	// no further chance.
	reservedShare = 0.5
	// slackShare is the fraction of the fleet's fixed slack that is distributed
	// to the daemons.
	slackShare = 0.7
)

// RetryBudget bounds the retries of the whole fleet. Each daemon may retry a
// fraction of the requests of its callers, plus its share of a fixed slack.
type RetryBudget struct {
	ratio   float64 // retries per request to a service within window
	slack   float64 // additional retries of the whole fleet within window
	window  time.Duration
	daemons func() int

	mu       sync.Mutex
	services map[string]*serviceBudget
}

// serviceBudget is the budget for retries to one service.
type serviceBudget struct {
	credit float64 // retries earned by the requests of this daemon
	slack  *rate.Limiter

	windowStart time.Time
	requests    float64 // first attempts of this daemon in the current window
	previous    float64 // and in the window before it
}

// recordRequest counts a first attempt.
func (s *serviceBudget) recordRequest(now time.Time, window time.Duration) {
	switch passed := now.Sub(s.windowStart); {
	case passed >= 2*window:
		s.windowStart, s.previous, s.requests = now, 0, 0
	case passed >= window:
		s.windowStart, s.previous, s.requests = now, s.requests, 0
	}
	s.requests++
}

// NewRetryBudget returns a budget that allows ratio times the requests plus
// slack retries within each window. daemons returns the size of the fleet.
func NewRetryBudget(ratio, slack float64, window time.Duration, daemons func() int) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, daemons: daemons, services: make(map[string]*serviceBudget)}
}

// Set changes the ratio, the slack and the window.
func (b *RetryBudget) Set(ratio, slack float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack, b.window = ratio, slack, window
}

func (b *RetryBudget) service(name string) *serviceBudget {
	s := b.services[name]
	if s == nil {
		s = &serviceBudget{}
		b.services[name] = s
	}
	return s
}

// RecordRequest records the first attempt of a request to a service.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.recordRequest(time.Now(), b.window)
	s.credit = min(s.credit+b.ratio*ratioShare, max(1, b.daemonSlack(), b.saved(s)))
}

// saved returns the credit that a daemon may save for a service.
func (b *RetryBudget) saved(s *serviceBudget) float64 { return b.ratio * savedShare * s.previous }

// daemonSlack returns half of the daemon's share of the slack within one
// window. The other half is reserved for credit that was accumulated before the
// window.
func (b *RetryBudget) daemonSlack() float64 {
	return b.slack * slackShare / float64(max(1, b.daemons())) / 2
}

// RecordRetry records an inner call of a retried request, which counts as a
// retry at the called service. Such a call is never refused, but it delays
// further retries of this daemon to that service.
func (b *RetryBudget) RecordRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.credit = max(s.credit-1, -max(b.daemonSlack(), b.saved(s)))
}

// Spend reports whether the budget allows a retry to a service, and records the
// retry if so. A part of the budget is reserved for requests with no further chance: a
// caller that is refused for the first time comes back, which costs no retry.
func (b *RetryBudget) Spend(service string, lastChance bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	needed := 1.0
	if !lastChance {
		needed += reservedShare * b.saved(s)
	}
	if s.credit >= 1 {
		if s.credit < needed {
			return false
		}
		s.credit--
		return true
	}
	if s.credit < 0 {
		return false
	}
	return s.allowSlack(b.daemonSlack(), b.window)
}

// allowSlack spends the daemon's share of the slack. In a large fleet the share
// is less than one retry; then only that fraction of the daemons starts with
// one retry.
func (s *serviceBudget) allowSlack(share float64, window time.Duration) bool {
	perSecond := rate.Limit(share / window.Seconds())
	burst := max(1, int(share))
	if s.slack == nil {
		s.slack = rate.NewLimiter(perSecond, burst)
		if rand.Float64() >= share {
			s.slack.Allow()
		}
	}
	s.slack.SetLimit(perSecond)
	s.slack.SetBurst(burst)
	return s.slack.Allow()
}
