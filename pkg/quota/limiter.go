package quota

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Options configure a Limiter.
type Options struct {
	Self    string
	Bounds  Bounds
	Clock   clock.Clock
	Members *Members
	// Limit returns the limit of a workspace. It reports false if it has none.
	Limit func(workspace string) (Limit, bool)
	// Send sends requests to the accountant with the given name.
	Send    func(to string, requests []*pb.PermitRequest)
	Logger  *zap.Logger
	Metrics *Metrics
	// FirstSequence is above the sequence numbers of earlier processes of the daemon.
	FirstSequence uint64
}

// Limiter obtains permits for the requests of the local daemon, and grants permits to
// all daemons as an accountant. It is safe for concurrent use.
type Limiter struct {
	Options
	accountant *Accountant

	mu       sync.Mutex
	stock    *Stock
	outbox   map[string][]*pb.PermitRequest // by destination, until the next flush
	refusals map[string]*refusals
}

// refusals counts the refusals of a workspace since they were last logged.
type refusals struct {
	loggedAt           clock.Instant
	limited, unaccount int
}

// NewLimiter returns a Limiter. It starts no goroutines.
func NewLimiter(options Options) *Limiter {
	return &Limiter{
		Options: options, accountant: NewAccountant(options.Bounds, options.Members),
		stock:  NewStock(options.Members.Accountants, options.FirstSequence),
		outbox: make(map[string][]*pb.PermitRequest), refusals: make(map[string]*refusals),
	}
}

// LimitError reports a request that is over the limit of its workspace.
type LimitError struct {
	Workspace  string
	RetryAfter time.Duration // expected time until a permit is available
}

func (e *LimitError) Error() string {
	return "quota: workspace " + e.Workspace + " is over its limit, retry after " + e.RetryAfter.String()
}

// UnaccountedError reports a request for which no accountant answered.
type UnaccountedError struct{ Workspace string }

func (e *UnaccountedError) Error() string {
	return "quota: no accountant of workspace " + e.Workspace + " answered"
}

// Acquire waits for a permit to run a request of a workspace. It returns a *LimitError,
// an *UnaccountedError, or the error of ctx.
func (l *Limiter) Acquire(ctx context.Context, workspace string) (Permit, error) {
	if _, limited := l.limit(workspace); !limited {
		return Permit{}, nil
	}
	l.mu.Lock()
	result, waiter, asks := l.stock.Acquire(l.Clock.Now(), workspace)
	l.enqueue(asks)
	l.mu.Unlock()
	outcome := outcomeStock
	if waiter != nil {
		outcome = outcomeGranted
		select {
		case result = <-waiter.done:
		case <-ctx.Done():
			l.mu.Lock()
			defer l.mu.Unlock()
			l.stock.Cancel(l.Clock.Now(), workspace, waiter)
			return Permit{}, ctx.Err()
		}
	}
	switch {
	case result.Granted:
		l.Metrics.outcome(workspace, outcome)
		return result.Permit, nil
	case result.RetryAfter > 0:
		l.recordRefusal(workspace, true)
		return Permit{}, &LimitError{workspace, result.RetryAfter}
	}
	l.recordRefusal(workspace, false)
	return Permit{}, &UnaccountedError{workspace}
}

// limit returns the limit of a workspace. A rate of 0 is no limit.
func (l *Limiter) limit(workspace string) (Limit, bool) {
	limit, limited := l.Limit(workspace)
	return limit, limited && limit.Rate > 0
}

// Release returns the permit of a request that did not run.
func (l *Limiter) Release(p Permit) {
	if p.Workspace == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stock.Release(l.Clock.Now(), p)
}

// enqueue adds requests to the outbox and schedules their repetition. The caller holds
// mu.
func (l *Limiter) enqueue(asks []Ask) {
	for _, a := range asks {
		if len(l.outbox) == 0 {
			go l.flush()
		}
		l.outbox[a.To] = append(l.outbox[a.To], a.Request)
		time.AfterFunc(resendAfter, func() { l.resend(a.Request.GetWorkspace(), a.Request.GetSequence(), a.To) })
	}
}

// flush sends the outbox, all requests for one destination together.
func (l *Limiter) flush() {
	l.mu.Lock()
	outbox := l.outbox
	l.outbox = make(map[string][]*pb.PermitRequest)
	l.mu.Unlock()
	for to, requests := range outbox {
		if to == l.Self {
			l.HandleGrants(to, l.HandleRequests(to, requests))
			continue
		}
		l.Metrics.asked(len(requests))
		l.Send(to, requests)
	}
}

// resend continues an ask whose message to an accountant was not answered.
func (l *Limiter) resend(workspace string, sequence uint64, to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(l.stock.Resend(l.Clock.Now(), workspace, sequence, to))
}

// HandleRequests grants permits to a daemon.
func (l *Limiter) HandleRequests(from string, requests []*pb.PermitRequest) []*pb.PermitGrant {
	now := l.Clock.Now()
	grants := make([]*pb.PermitGrant, 0, len(requests))
	for _, r := range requests {
		limit, limited := l.limit(r.GetWorkspace())
		if !limited {
			// The two daemons have different configurations.
			grants = append(grants, &pb.PermitGrant{Workspace: r.GetWorkspace(), Sequence: r.GetSequence()})
			continue
		}
		if grant := l.accountant.Grant(now, from, r, limit); grant != nil {
			grants = append(grants, grant)
		}
	}
	return grants
}

// HandleGrants applies the answers of an accountant.
func (l *Limiter) HandleGrants(from string, grants []*pb.PermitGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range grants {
		l.enqueue(l.stock.Receive(l.Clock.Now(), from, g))
	}
}

// refusalLogInterval is the interval at which the refusals of a workspace are logged.
const refusalLogInterval = time.Second

// recordRefusal counts a refused request, and logs the count once a second.
func (l *Limiter) recordRefusal(workspace string, limited bool) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.refusals[workspace]
	if r == nil {
		r = &refusals{loggedAt: now.Add(-refusalLogInterval)}
		l.refusals[workspace] = r
	}
	if limited {
		r.limited++
		l.Metrics.outcome(workspace, outcomeLimited)
	} else {
		r.unaccount++
		l.Metrics.outcome(workspace, outcomeUnknown)
	}
	if now.Sub(r.loggedAt) < refusalLogInterval {
		return
	}
	if r.limited > 0 {
		eventLimited.Log(l.Logger, zap.String("workspace", workspace), zap.Int("refused", r.limited))
	}
	if r.unaccount > 0 {
		eventNoAccountant.Log(l.Logger, zap.String("workspace", workspace), zap.Int("refused", r.unaccount))
	}
	*r = refusals{loggedAt: now}
}
