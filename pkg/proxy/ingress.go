package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/proxy/access"
	"nutmegstand.example/nutmegstand/pkg/proxy/admission"
	"nutmegstand.example/nutmegstand/pkg/proxy/balance"
	"nutmegstand.example/nutmegstand/pkg/quota"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	// maxRefusals is the number of target sides that may refuse a request
	// before the caller gets a refusal. More would delay the refusal too long.
	maxRefusals = 6
	// targetWaitShare is the fraction of the latency objective for which a
	// request waits for a target to become available. A later refusal counts
	// like a request that was kept waiting.
	targetWaitShare = 0.1
	// returnTime is the time within which a refused caller comes back.
	returnTime = 2 * defaultRetryAfter
	// pollInterval is the interval at which a waiting request checks for a
	// target or a configuration.
	pollInterval = 15 * time.Millisecond
	// noConfigRetryAfter is the Retry-After time of refusals before the first
	// configuration has been received.
	noConfigRetryAfter = 300 * time.Millisecond
	// retryTimeShare is the fraction of the average service time in the target
	// that must remain for a retry to be worthwhile.
	retryTimeShare = 0.6
)

// Directory lists the targets of a service.
type Directory interface {
	Endpoints(service string) []*balance.Endpoint
}

// VersionChooser distributes requests over the versions of a service.
type VersionChooser interface {
	// Choose returns the endpoints of the version that gets the next request.
	Choose(service string, endpoints []*balance.Endpoint) []*balance.Endpoint
}

// AttemptRecorder records the results of attempts. They decide whether a move
// to a new version continues.
type AttemptRecorder interface {
	RecordAttempt(service, version, route string, failed bool, took time.Duration)
}

// IngressOptions configure an Ingress.
type IngressOptions struct {
	Names     HeaderNames
	Service   string  // of the local target, sent to targets as the service of the caller
	LinkMbps  float64 // of the local machine, 0 if unknown
	Config    *routing.Current
	Directory Directory
	Versions  VersionChooser
	Recorder  AttemptRecorder
	Balancer  *balance.Balancer
	Budget    *RetryBudget
	Gate      *Gate
	Peers     *Peers
	Limiter   Limiter        // nil if workspaces have no limits
	Buffers   *Buffers       // of responses, nil for no bound
	Leaving   func() bool    // reports whether the daemon is about to stop
	Refusing  func() bool    // reports whether new requests could not complete before the stop
	Random    func() float64 // returns a number in [0, 1) that decides a weighted split, nil for a random one
	Logger    *zap.Logger
	Metrics   *Metrics
}

// Ingress is the caller side of a daemon.
type Ingress struct {
	IngressOptions
	ages admission.AgeEstimator
}

// NewIngress returns an Ingress.
func NewIngress(options IngressOptions) *Ingress {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	return &Ingress{IngressOptions: options}
}

// ReadAhead reports whether a request may run before earlier requests of its
// connection have been answered: if its route allows it to run more than once.
func (i *Ingress) ReadAhead(r *http.Request) bool {
	table := i.Config.Load()
	if table == nil {
		return true // it is refused
	}
	route := table.Match(r.Host, r.URL.Path)
	return route == nil || route.Kind.Repeatable()
}

// requestState is the state of one request on the caller side.
type requestState struct {
	ingress *Ingress
	call    *Call
	route   *routing.Route
	table   *routing.Table

	attempted    map[string]bool // targets to which an attempt was made
	contacted    map[string]bool // targets that may have received the request
	steps        []string        // attempts and decisions, for the log
	sentCount    int             // attempts that may have reached a target
	refusalCount int
	mayHaveRun   bool // a target may have run the request
	permit       quota.Permit
	retryAfter   time.Duration
	client       client          // what the request says about its sender
	denied       access.Decision // why a newer configuration does not allow the request, zero if it does
	fallback     *AttemptResult  // error response of a target, delivered if no later attempt gets a response
}

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	allowEarlyResponse(w)
	if i.Leaving() {
		w.Header().Set("Connection", "close")
	}
	stripReservedHeaders(r.Header)
	id := r.Header.Get(i.Names.RequestID)
	credential := i.Names.takeCredential(r.Header)
	table := i.Config.Load()
	if table == nil {
		i.refuse(w, id, reasonNoConfig, noConfigRetryAfter, received)
		return
	}
	if i.Refusing() {
		// A request that runs at the local target may need its calls to end.
		if inner, _ := i.Gate.FindParent(id); !inner {
			i.refuse(w, id, reasonStopping, defaultRetryAfter, received)
			return
		}
	}
	route := table.Match(r.Host, r.URL.Path)
	sender := i.identify(id, credential)
	decision := sender.decide(table, route)
	if !decision.Allowed() {
		i.deny(w, r, decision, received)
		return
	}
	if route == nil {
		i.reject(w, r, http.StatusNotFound, reasonNoRoute, received)
		return
	}
	if id == "" {
		i.reject(w, r, http.StatusBadRequest, "no_request_id", received)
		return
	}
	if limit := table.Config.Limits.BodyBytes; limit > 0 {
		if r.ContentLength > limit {
			i.reject(w, r, http.StatusRequestEntityTooLarge, "body_too_large", received)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	s := i.newRequestState(r, sender, received)
	s.setRoute(table, route, decision)
	i.serve(w, r, s)
}

func (i *Ingress) newRequestState(r *http.Request, sender client, received time.Time) *requestState {
	call := &Call{
		ID: r.Header.Get(i.Names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header,
		Body: requestBody(r), CallerService: i.Service, CallerMbps: i.LinkMbps, Received: received, Inner: sender.Inner,
	}
	return &requestState{
		ingress: i, call: call, attempted: make(map[string]bool), contacted: make(map[string]bool), client: sender,
	}
}

// setRoute applies a route of a configuration, and the workspace of the request in it, to
// the call.
func (s *requestState) setRoute(table *routing.Table, route *routing.Route, decision access.Decision) {
	s.table, s.route = table, route
	c := s.call
	c.Route, c.Kind, c.Priority, c.Objective = route.Name, route.Kind, route.Priority, route.Objective
	s.setWorkspace(table, decision.Workspace)
	c.ConfigVersion = table.Version()
	c.Deadline = c.Received.Add(route.Timeout)
	if left, ok := parseTimeLeft(c.Header.Get(s.ingress.Names.TimeLeft)); ok {
		if end := c.Received.Add(left); route.Timeout <= 0 || end.Before(c.Deadline) {
			c.Deadline = end
		}
		if !c.Inner {
			c.Age = s.ingress.ages.Age(route.Name, left, c.Received)
		}
	}
	c.Service = pickService(route.Split, s.ingress.Random())
}

func (i *Ingress) serve(w http.ResponseWriter, r *http.Request, s *requestState) {
	if s.call.Body != nil {
		if late := s.prefetch(w); late {
			return
		}
	}
	i.Budget.RecordRequest(s.call.Service)
	if s.client.parentRetried {
		s.addStep("call of a repeated run")
		i.Budget.RecordRetry(s.call.Service)
	}
	ctx, cancel := context.WithDeadline(r.Context(), s.call.Deadline)
	defer cancel()
	if !s.acquire(ctx, w, r) {
		return
	}
	result := s.attempts(ctx)
	defer result.Close()
	if s.call.Inner && (result == nil || result.Status >= http.StatusInternalServerError) {
		i.Gate.RecordInnerFailure(s.call.ID)
	}
	s.releaseUnused(result)
	switch {
	case r.Context().Err() != nil:
		s.finish("caller_gone", 0)
		panic(http.ErrAbortHandler)
	case result != nil:
		s.finish("answered", result.Status)
		if err := writeResponse(w, result); err != nil {
			eventAnswerCut.Log(i.Logger, zap.String("request", s.call.ID), zap.Error(err))
			panic(http.ErrAbortHandler)
		}
	case !s.mayHaveRun && !s.denied.Allowed():
		s.finish(string(s.denied.Reason), s.denied.Status())
		writeDenial(w, s.denied)
	case !s.mayHaveRun:
		s.finish("refused", http.StatusServiceUnavailable)
		writeRetryAfter(w, max(s.retryAfter, defaultRetryAfter))
	case ctx.Err() != nil:
		s.finish("timeout", http.StatusGatewayTimeout)
		writeEmpty(w, http.StatusGatewayTimeout)
	default:
		s.finish("failed", http.StatusBadGateway)
		writeEmpty(w, http.StatusBadGateway)
	}
}

// attempts makes attempts until a target has responded or no further attempt is
// allowed. It returns nil if there is no response to deliver.
func (s *requestState) attempts(ctx context.Context) *AttemptResult {
	i := s.ingress
	for ctx.Err() == nil {
		e := s.choose(ctx)
		if e == nil {
			break
		}
		if s.sentCount > 0 && !i.Budget.Spend(s.call.Service, s.lastChance()) {
			s.addStep("no retry budget")
			i.Balancer.Done(e, s.call.request(), &balance.Result{Refused: true, Neutral: true})
			break
		}
		result := s.send(ctx, e)
		if result.Outcome == Answered && !s.retryable(result) {
			s.fallback.Close()
			return result
		}
		if !s.canContinue(ctx, result) {
			break
		}
		if !s.call.Body.Rewind() {
			s.addStep("body cannot be sent again")
			break
		}
	}
	return s.fallback
}

// lastChance reports whether the request cannot be expected to be answered in time if
// it is refused now. A caller that is refused for the first time usually comes back,
// and is still in time if its objective allows a second run.
func (s *requestState) lastChance() bool {
	c := s.call
	return c.Inner || c.Age > 0 || s.mayHaveRun || c.Objective < returnTime+2*s.ingress.Balancer.RunTime(c.Route)
}

// choose returns the target of the next attempt, nil if there is none. The
// first attempt waits a short time for a target to become available.
func (s *requestState) choose(ctx context.Context) *balance.Endpoint {
	i := s.ingress
	waitUntil := s.call.Received.Add(time.Duration(float64(s.call.Objective) * targetWaitShare))
	for {
		endpoints := i.Versions.Choose(s.call.Service, i.Directory.Endpoints(s.call.Service))
		request := s.call.request()
		e := i.Balancer.Choose(request, endpoints, s.attempted)
		if e == nil && s.sentCount > 0 && s.refusalCount > 0 {
			// Targets that were full before the last attempt may have free slots now.
			e = i.Balancer.Choose(request, endpoints, s.contacted)
		}
		if e != nil {
			s.call.Target, s.call.Version, s.call.TargetLimit = e.Target, e.Version, i.Balancer.RateLimit(e.Target)
			s.attempted[e.Target] = true
			return e
		}
		if len(s.attempted) > 0 || time.Now().After(waitUntil) || balance.AllEvacuated(endpoints) {
			s.addStep("no target")
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
}

// send makes an attempt at an endpoint and records its result.
func (s *requestState) send(ctx context.Context, e *balance.Endpoint) *AttemptResult {
	i := s.ingress
	s.call.Attempt++
	s.call.Retry = s.sentCount > 0
	started := time.Now()
	var result *AttemptResult
	if e.Local {
		result = i.Gate.Do(ctx, s.call)
	} else {
		result = i.Peers.Do(ctx, e.Address, s.call)
	}
	if result.Outcome == Answered && promisesNotRun(result.Status) {
		result = result.withholdPromise()
	}
	if result.Outcome == Answered {
		result.bufferBody(i.Buffers)
	}
	if result.buffered {
		i.Balancer.RecordSize(s.call.Route, result.Length)
	}
	callerLeft := result.Outcome == Unknown && errors.Is(ctx.Err(), context.Canceled)
	if callerLeft {
		result.Reason = ReasonCallerGone
	}
	failed := result.Outcome == Unknown || result.Outcome == Rejected || result.Status >= http.StatusInternalServerError
	i.Balancer.Done(e, s.call.request(), result.forBalancer(time.Since(started), failed))
	i.Metrics.attempt(e.Service, result.Outcome)
	if !callerLeft && !result.InnerFailed && (result.Outcome == Answered || result.Outcome == Unknown) {
		i.Recorder.RecordAttempt(e.Service, e.Version, s.call.Route, failed, time.Since(started))
	}
	s.addStep(e.Target + " " + string(result.Outcome) + " " + result.Reason)
	return result
}

// retryable reports whether the error response of a target may be replaced by
// the response of another target. A run that failed with an inner call is not repeated
// here: the called service is short of room, and a second run would take the retry
// budget that its calls need. The caller may come back.
func (s *requestState) retryable(result *AttemptResult) bool {
	return result.Status >= http.StatusInternalServerError && s.call.Kind.Repeatable() && !result.InnerFailed
}

// canContinue records an attempt without a response to deliver, and reports
// whether another attempt is allowed.
func (s *requestState) canContinue(ctx context.Context, result *AttemptResult) bool {
	switch result.Outcome {
	case Refused, Unreached:
		s.refusalCount++
		if s.retryAfter == 0 || result.RetryAfter > 0 && result.RetryAfter < s.retryAfter {
			s.retryAfter = result.RetryAfter
		}
		if result.Reason == ReasonStaleConfig {
			return s.rematch(ctx)
		}
		return s.refusalCount < maxRefusals && result.Reason != ReasonSuspect && result.Reason != ReasonCallerGone
	case Rejected:
		s.retryAfter = result.RetryAfter
	case Answered:
		s.fallback.Close()
		s.fallback = result
		s.mayHaveRun = true
	default:
		s.mayHaveRun = true
		if !s.call.Kind.Repeatable() || result.Reason == ReasonSuspect || result.InnerFailed {
			return false
		}
	}
	s.sentCount++
	s.contacted[s.call.Target] = true
	return s.sentCount < max(1, s.route.Attempts) && s.hasTimeLeft(result)
}

// hasTimeLeft reports whether the remaining time is enough for a retry.
func (s *requestState) hasTimeLeft(result *AttemptResult) bool {
	needed := minTimeLeft
	if result.Load != nil {
		needed = max(needed, time.Duration(retryTimeShare*float64(result.Load.ServiceTime)))
	}
	return time.Until(s.call.Deadline) > needed
}

// addStep adds a step to the log of the request.
func (s *requestState) addStep(step string) { s.steps = append(s.steps, strings.TrimSpace(step)) }

// finish records the metrics of the request and logs it.
func (s *requestState) finish(result string, status int) {
	took := time.Since(s.call.Received)
	s.ingress.Metrics.request(result, took)
	eventRequest.Log(s.ingress.Logger, zap.String("request", s.call.ID), zap.String("result", result), zap.Int("status", status),
		zap.String("route", s.call.Route), zap.String("service", s.call.Service), zap.Uint64("config", s.call.ConfigVersion),
		zap.Strings("attempts", s.steps), zap.Duration("took", took),
		zap.Duration("budget", s.call.Deadline.Sub(s.call.Received)), s.workspaceField())
}

// refuse responds with 503 and Retry-After to a request that was not run.
func (i *Ingress) refuse(w http.ResponseWriter, id, reason string, retryAfter time.Duration, received time.Time) {
	i.Metrics.request(reason, time.Since(received))
	eventRequest.Log(i.Logger, zap.String("request", id), zap.String("result", reason), zap.Int("status", http.StatusServiceUnavailable))
	writeRetryAfter(w, retryAfter)
}

// reject responds with the given status to a request that must not be sent to
// any target.
func (i *Ingress) reject(w http.ResponseWriter, r *http.Request, status int, reason string, received time.Time) {
	i.Metrics.request(reason, time.Since(received))
	eventRequest.Log(i.Logger, zap.String("request", r.Header.Get(i.Names.RequestID)), zap.String("result", reason),
		zap.Int("status", status), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.Uint64("config", i.Config.Load().Version()))
	writeEmpty(w, status)
}
