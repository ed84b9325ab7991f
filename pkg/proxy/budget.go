package proxy

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// ratioShare is the part of the fleet's retry ratio that daemons spend. The
	// rest is left for repeated runs whose own calls count as repeats at the
	// services that they call.
	ratioShare = 0.6
	// slackShare is the part of the fleet's fixed slack that is given out.
	slackShare = 0.7
)

// RetryBudget bounds the repeats of the whole fleet: each daemon spends a ratio
// of its own requests, and its share of a fixed slack.
type RetryBudget struct {
	ratio   float64 // of the requests to a service within window
	slack   float64 // of the whole fleet within window
	window  time.Duration
	daemons func() int

	mu       sync.Mutex
	services map[string]*serviceBudget
}

type serviceBudget struct {
	credit float64 // from own requests
	slack  *rate.Limiter
}

// NewRetryBudget returns a budget of ratio times the requests plus slack within
// each window, for a fleet whose size daemons returns.
func NewRetryBudget(ratio, slack float64, window time.Duration, daemons func() int) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, daemons: daemons, services: make(map[string]*serviceBudget)}
}

// Set changes the bounds of the fleet.
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

// Request counts the first attempt of a request to a service.
func (b *RetryBudget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.credit = min(s.credit+b.ratio*ratioShare, max(1, b.share()))
}

// share is half of the daemon's part of the slack within one window; the other
// half may be saved up as credit.
func (b *RetryBudget) share() float64 { return b.slack * slackShare / float64(max(1, b.daemons())) / 2 }

// Repeated counts a call of a repeated run, which is a repeat at the service that
// is called. It is not refused, but own repeats to that service pause for it.
func (b *RetryBudget) Repeated(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.credit = max(s.credit-1, -b.share())
}

// Spend reports whether a repeat to a service is within the budget, and counts it.
func (b *RetryBudget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	if s.credit >= 1 {
		s.credit--
		return true
	}
	if s.credit < 0 {
		return false
	}
	return s.allowSlack(b.share(), b.window)
}

// allowSlack spends the daemon's share of the slack. In a large fleet the share
// is less than one repeat; then only that part of the daemons begins with one.
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
