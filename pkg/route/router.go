package route

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// defaultDeadline applies to routes without one.
	defaultDeadline = 5 * time.Second
	// defaultAttempts applies to routes without a retry setting. The second attempt
	// is made only if the first provably did not run or the route is idempotent.
	defaultAttempts = 2
	// minRemainingTime is the minimum time until the deadline for starting an attempt.
	// The deadline is sent in whole milliseconds.
	minRemainingTime = time.Millisecond
	// maxSubscribeRounds limits the route lookups of one call, which are repeated after
	// subscribing to the services of a host because the configuration may have changed
	// in the meantime.
	maxSubscribeRounds = 3
	// defaultRetryAfter is sent to callers if no more specific time is available.
	defaultRetryAfter = time.Second
	// publishInterval is the interval between publications of usage.
	publishInterval = time.Second
	// serviceIdleTimeout is the time after which the state of an unused service is
	// removed.
	serviceIdleTimeout = 10 * time.Minute
	// warmQueueSize limits the queue of connections to open in advance. Connections
	// that do not fit are opened on first use.
	warmQueueSize = 256
	// warmTimeout limits the time to open one connection in advance.
	warmTimeout = time.Second
)

// Options are the settings and dependencies of a router. Warmer and Usage may be nil.
type Options struct {
	Name      string // name of the local daemon
	Domain    string
	Config    ConfigSource
	Endpoints EndpointSource
	Versions  VersionChooser
	Sender    Sender
	Homes     HomeFinder
	Warmer    Warmer
	Usage     UsageSink
	Meter     metric.Meter
	Logger    *zap.Logger
	// Seed makes random choices repeatable; 0 selects a random seed.
	Seed uint64
	// MaxBuckets limits the token buckets of members; 0 selects the default.
	MaxBuckets int
}

// Router routes calls. It is safe for concurrent use.
type Router struct {
	options  Options
	balancer *balancer
	budget   *budget
	limits   *limits
	counters *counters
	warmUps  chan string
}

// New returns a router. Its periodic work is done by Run.
func New(options Options) (*Router, error) {
	counters, err := newCounters(options.Meter)
	if err != nil {
		return nil, err
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	if options.MaxBuckets == 0 {
		options.MaxBuckets = maxBuckets
	}
	r := &Router{
		options: options, counters: counters, budget: newBudget(),
		limits: newLimits(options.MaxBuckets, time.Now()), warmUps: make(chan string, warmQueueSize),
	}
	r.balancer = newBalancer(options.Name, options.Domain, options.Seed, r.queueWarmUp)
	return r, nil
}

// Run publishes usage, opens connections in advance and removes unused state until
// ctx is done. It blocks.
func (r *Router) Run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-r.warmUps:
			r.warmUp(ctx, address)
		case <-ticker.C:
			r.publishUsage()
			r.balancer.removeUnused(time.Now().Add(-serviceIdleTimeout))
		}
	}
}

func (r *Router) queueWarmUp(address string) {
	if r.options.Warmer == nil {
		return
	}
	select {
	case r.warmUps <- address:
	default:
	}
}

func (r *Router) warmUp(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	if err := r.options.Warmer.Warm(ctx, address); err != nil {
		eventWarmFailed.Log(r.options.Logger, zap.String("address", address), zap.Error(err))
	}
}

func (r *Router) publishUsage() {
	for service, usage := range r.limits.usage(time.Now()) {
		if r.options.Usage != nil {
			r.options.Usage.PublishUsage(service, usage)
		}
	}
}

// ApplyShares applies the shares of member allowances that a distributor assigned to
// this daemon.
func (r *Router) ApplyShares(service string, shares []*pb.Usage) {
	r.limits.applyShares(service, shares, time.Now())
}

// Route routes one call. The type of the error tells whether the call may have run:
// see NotRunError, UnknownError and the other errors of this package.
func (r *Router) Route(ctx context.Context, call *Call) (*Answer, error) {
	start := time.Now()
	e := &execution{router: r, call: call}
	e.decision.Member = call.Chain.Member
	e.decision.CallID = call.Chain.CallID
	if e.decision.CallID == "" {
		e.decision.CallID = newCallID()
	}
	answer, err := e.run(ctx)
	e.decision.Elapsed = time.Since(start)
	status, outcome := Classify(err)
	if answer != nil {
		status = answer.Status
		answer.Decision = e.decision
	}
	r.counters.call(ctx, &e.decision, call.Inner, outcome)
	r.logDecision(call, &e.decision, outcome, status, err)
	return answer, err
}

func newCallID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return "" // no random numbers: continue without a call ID
	}
	return id.String()
}

// match finds the route of the call. On the first call to a host it subscribes to the
// services of the host.
func (e *execution) match(ctx context.Context) error {
	source := e.router.options.Config
	for range maxSubscribeRounds {
		snapshot := source.Current()
		m := snapshot.Match(e.call.Host, e.call.Path, e.call.Method)
		e.decision.Config = snapshot.Version()
		if len(m.Unsubscribed) > 0 {
			if err := source.Subscribe(ctx, m.Unsubscribed...); err != nil {
				return &NotRunError{Reason: "the host's services could not be subscribed to", RetryAfter: defaultRetryAfter, Cause: err}
			}
			continue
		}
		if m.Route == nil {
			if snapshot == nil {
				return &NotRunError{Reason: "no configuration is in force yet", RetryAfter: defaultRetryAfter}
			}
			return &NoRouteError{Host: e.call.Host, Path: e.call.Path, Method: e.call.Method, MethodMismatch: m.MethodMismatch}
		}
		e.bundle, e.route = m.Bundle, m.Route
		e.decision.Service, e.decision.Route = m.Bundle.Service.Name, m.Route.Name
		return nil
	}
	return &NotRunError{Reason: "the host's services changed too often", RetryAfter: defaultRetryAfter}
}

// admit checks the depth of the chain and the member's allowance.
func (e *execution) admit(now time.Time) error {
	if e.call.Chain.Depth >= maxDepth {
		return &DepthError{Depth: e.call.Chain.Depth}
	}
	limits := e.route.Limits
	if e.call.Inner || limits == nil || limits.PerMember == nil {
		return nil
	}
	wait, ok := e.router.limits.allow(e.bundle.Service.Name, e.route.Name, e.call.Chain.Member, *limits.PerMember, now)
	if !ok {
		return &LimitError{Member: e.call.Chain.Member, Route: e.route.Name, RetryAfter: wait}
	}
	return nil
}

// deadline returns the earlier of the inherited deadline and that of the route.
func deadline(route *config.Route, inherited, now time.Time) time.Time {
	routeDeadline := time.Duration(route.Deadline)
	if routeDeadline <= 0 {
		routeDeadline = defaultDeadline
	}
	end := now.Add(routeDeadline)
	if !inherited.IsZero() && inherited.Before(end) {
		return inherited
	}
	return end
}

// Outcomes as written to the decision log and the metrics.
const (
	outcomeAnswered   = "answered"
	outcomeNotRun     = "not-run"
	outcomeUnknown    = "unknown"
	outcomeLimited    = "limited"
	outcomeBadRequest = "bad-request"
	outcomeNoRoute    = "no-route"
)

// Classify returns the HTTP status and the outcome for an error returned by Route.
func Classify(err error) (status int, outcome string) {
	var (
		unknown    *UnknownError
		limited    *LimitError
		badRequest *BadRequestError
		noRoute    *NoRouteError
		tooDeep    *DepthError
	)
	switch {
	case err == nil:
		return 200, outcomeAnswered
	case errors.As(err, &unknown):
		if unknown.TimedOut {
			return 504, outcomeUnknown
		}
		return 502, outcomeUnknown
	case errors.As(err, &limited):
		return 429, outcomeLimited
	case errors.As(err, &badRequest):
		if badRequest.Status >= 400 && badRequest.Status < 500 {
			return badRequest.Status, outcomeBadRequest
		}
		return 422, outcomeBadRequest
	case errors.As(err, &noRoute):
		if noRoute.MethodMismatch {
			return 405, outcomeNoRoute
		}
		return 404, outcomeNoRoute
	case errors.As(err, &tooDeep):
		return 508, outcomeNotRun
	default:
		return 503, outcomeNotRun
	}
}
