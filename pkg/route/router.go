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
	// defaultAttempts applies to routes without a retry setting. The second
	// attempt follows only a proved "not run" or an idempotent call.
	defaultAttempts = 2
	// minTimeLeft is the least time in which an attempt is started; the deadline
	// travels in whole milliseconds.
	minTimeLeft = time.Millisecond
	// maxSubscribeRounds bounds the look-ups of one call after it subscribed to
	// a host's services, in case the configuration changes in between.
	maxSubscribeRounds = 3
	// defaultRetryAfter is suggested to callers when nothing better is known.
	defaultRetryAfter = time.Second
	// publishInterval is the interval of usage records.
	publishInterval = time.Second
	// serviceIdle is the time after which the state of an unused service is
	// forgotten.
	serviceIdle = 10 * time.Minute
	// warmQueue bounds the connections that wait to be opened in advance; what
	// does not fit is opened on use.
	warmQueue = 256
	// warmTimeout bounds one connection opened in advance.
	warmTimeout = time.Second
)

// Options are the parts of a router. Warmer and Usage may be nil.
type Options struct {
	Name      string // the daemon's own name
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
	// Seed makes the choices repeatable; 0 draws one.
	Seed uint64
	// MaxBuckets bounds the token buckets of members, 0 for the default.
	MaxBuckets int
}

// Router routes calls. It is safe for concurrent use.
type Router struct {
	options  Options
	balancer *balancer
	budget   *budget
	limits   *limits
	counters *counters
	warm     chan string
}

// New returns a router. Run must be called for its periodic work.
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
		limits: newLimits(options.MaxBuckets, time.Now()), warm: make(chan string, warmQueue),
	}
	r.balancer = newBalancer(options.Name, options.Domain, options.Seed, r.queueWarm)
	return r, nil
}

// Run publishes usage, opens connections in advance and forgets unused state
// until ctx ends. It is one task.
func (r *Router) Run(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-r.warm:
			r.warmUp(ctx, address)
		case <-ticker.C:
			r.publishUsage()
			r.balancer.sweep(time.Now().Add(-serviceIdle))
		}
	}
}

func (r *Router) queueWarm(address string) {
	if r.options.Warmer == nil {
		return
	}
	select {
	case r.warm <- address:
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

// ApplyShares takes the shares of the allowances of members that a distributor
// returned for this daemon.
func (r *Router) ApplyShares(service string, shares []*pb.Usage) {
	r.limits.applyShares(service, shares, time.Now())
}

// Route routes one call. An error says what is known about the call: see
// NotRunError, UnknownError and the other errors of this package.
func (r *Router) Route(ctx context.Context, call *Call) (*Answer, error) {
	start := time.Now()
	f := &flight{router: r, call: call}
	f.decision.Member = call.Chain.Member
	f.decision.CallID = call.Chain.CallID
	if f.decision.CallID == "" {
		f.decision.CallID = newCallID()
	}
	answer, err := f.run(ctx)
	f.decision.Elapsed = time.Since(start)
	status, outcome := Classify(err)
	if answer != nil {
		status = answer.Status
		answer.Decision = f.decision
	}
	r.counters.call(ctx, &f.decision, call.Inner, outcome)
	r.logDecision(call, &f.decision, outcome, status, err)
	return answer, err
}

func newCallID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return "" // no random numbers: the call goes on without an ID
	}
	return id.String()
}

// match finds the route, after subscribing to the services of a host that was
// not asked for before.
func (f *flight) match(ctx context.Context) error {
	source := f.router.options.Config
	for range maxSubscribeRounds {
		snapshot := source.Current()
		m := snapshot.Match(f.call.Host, f.call.Path, f.call.Method)
		f.decision.Config = snapshot.Version()
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
			return &NoRouteError{Host: f.call.Host, Path: f.call.Path, Method: f.call.Method, MethodMismatch: m.MethodMismatch}
		}
		f.bundle, f.route = m.Bundle, m.Route
		f.decision.Service, f.decision.Route = m.Bundle.Service.Name, m.Route.Name
		return nil
	}
	return &NotRunError{Reason: "the host's services changed too often", RetryAfter: defaultRetryAfter}
}

// admit checks the depth of the chain and the member's allowance.
func (f *flight) admit(now time.Time) error {
	if f.call.Chain.Depth >= maxDepth {
		return &DepthError{Depth: f.call.Chain.Depth}
	}
	limits := f.route.Limits
	if f.call.Inner || limits == nil || limits.PerMember == nil {
		return nil
	}
	wait, ok := f.router.limits.take(f.bundle.Service.Name, f.route.Name, f.call.Chain.Member, *limits.PerMember, now)
	if !ok {
		return &LimitError{Member: f.call.Chain.Member, Route: f.route.Name, RetryAfter: wait}
	}
	return nil
}

// deadline is the earlier of the caller's and the route's.
func deadline(route *config.Route, inherited, now time.Time) time.Time {
	own := time.Duration(route.Deadline)
	if own <= 0 {
		own = defaultDeadline
	}
	end := now.Add(own)
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

// Classify returns the HTTP status and the outcome of an error of Route.
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
