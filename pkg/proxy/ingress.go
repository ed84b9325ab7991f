package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	// maxRefusals is the number of target sides that may refuse a request before
	// the caller is told to come back; more would hold it for long.
	maxRefusals = 6
	// searchShare is the part of the latency objective for which a request waits
	// for a target to appear; refusals that come later are priced as held.
	searchShare = 0.1
	// searchInterval is the time between looks for a target.
	searchInterval = 15 * time.Millisecond
	// configWait bounds the wait for a configuration that a target side has.
	configWait = 150 * time.Millisecond
	// noConfigRetry is the time to come back while no configuration is known.
	noConfigRetry = 300 * time.Millisecond
	// retryTimeShare is the part of the average time in the target that must be
	// left for a repeat to make sense.
	retryTimeShare = 0.6
)

// VersionChooser spreads requests over the versions of a service.
type VersionChooser interface {
	// Choose returns the endpoints whose version gets the next request.
	Choose(service string, endpoints []*Endpoint) []*Endpoint
}

// Evidence takes the results of attempts, by which moves are judged.
type Evidence interface {
	Attempt(service, version, route string, bad bool, took time.Duration)
}

// IngressOptions configure an Ingress.
type IngressOptions struct {
	Names     HeaderNames
	Service   string // of the target on this machine, told as the caller's
	LinkMbps  float64
	Config    *routing.Current
	Directory Directory
	Versions  VersionChooser
	Evidence  Evidence
	Balancer  *Balancer
	Budget    *RetryBudget
	Gate      *Gate
	Peers     *Peers
	Leaving   func() bool // the daemon is about to stop
	Refusing  func() bool // new requests could not end before the stop
	Logger    *zap.Logger
	Metrics   *Metrics
}

// Ingress is the caller side of a daemon.
type Ingress struct{ IngressOptions }

// NewIngress returns an Ingress.
func NewIngress(options IngressOptions) *Ingress { return &Ingress{IngressOptions: options} }

// flight is one request on the caller side.
type flight struct {
	ingress *Ingress
	call    *Call
	route   *routing.Route
	table   *routing.Table

	tried    map[string]bool // targets whose side was asked
	reached  map[string]bool // targets that may have got the request
	trail    []string
	arrivals int // attempts that may have reached a target
	refusals int
	mayRun   bool // the request may have run
	retryIn  time.Duration
	fallback *Answer // a target's failure, delivered if nothing better comes
}

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	allowEarlyAnswer(w)
	if i.Leaving() {
		w.Header().Set("Connection", "close")
	}
	stripHopHeaders(r.Header)
	id := r.Header.Get(i.Names.RequestID)
	table := i.Config.Load()
	if table == nil {
		i.refuse(w, id, "no_config", noConfigRetry, received)
		return
	}
	if i.Refusing() {
		i.refuse(w, id, "stopping", refusedRetry, received)
		return
	}
	route := table.Match(r.Host, r.URL.Path)
	if route == nil {
		i.reject(w, r, http.StatusNotFound, "no_route", received)
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
	i.serve(w, r, i.newFlight(r, table, route, received))
}

func (i *Ingress) newFlight(r *http.Request, table *routing.Table, route *routing.Route, received time.Time) *flight {
	call := &Call{
		ID: r.Header.Get(i.Names.RequestID), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header,
		Body: requestBody(r), CallerService: i.Service, CallerMbps: i.LinkMbps, Received: received,
	}
	f := &flight{ingress: i, call: call, tried: make(map[string]bool), reached: make(map[string]bool)}
	f.use(table, route)
	return f
}

// use takes the route of a configuration.
func (f *flight) use(table *routing.Table, route *routing.Route) {
	f.table, f.route = table, route
	c := f.call
	c.Route, c.Kind, c.Priority, c.Objective = route.Name, route.Kind, route.Priority, route.Objective
	c.ConfigVersion = table.Version()
	c.Deadline = c.Received.Add(route.Timeout)
	if left, err := strconv.ParseFloat(c.Header.Get(f.ingress.Names.TimeLeft), 64); err == nil {
		if end := c.Received.Add(time.Duration(left * float64(time.Millisecond))); route.Timeout <= 0 || end.Before(c.Deadline) {
			c.Deadline = end
		}
	}
	c.Service = pickShare(route.Split)
}

func (i *Ingress) serve(w http.ResponseWriter, r *http.Request, f *flight) {
	if f.call.Body != nil {
		if err := f.call.Body.Prefetch(); err != nil {
			f.end("caller_gone", 0)
			panic(http.ErrAbortHandler)
		}
	}
	i.Budget.Request(f.call.Service)
	inner, repeat := i.Gate.Parent(f.call.ID)
	f.call.Inner = inner
	if repeat {
		f.note("call of a repeated run")
		i.Budget.Repeated(f.call.Service)
	}
	ctx, cancel := context.WithDeadline(r.Context(), f.call.Deadline)
	defer cancel()
	answer := f.attempts(ctx)
	defer answer.Close()
	switch {
	case r.Context().Err() != nil:
		f.end("caller_gone", 0)
		panic(http.ErrAbortHandler)
	case answer != nil:
		f.end("answered", answer.Status)
		if err := deliver(w, answer); err != nil {
			eventAnswerCut.Log(i.Logger, zap.String("request", f.call.ID), zap.Error(err))
			panic(http.ErrAbortHandler)
		}
	case !f.mayRun:
		f.end("refused", http.StatusServiceUnavailable)
		writeRetryAfter(w, max(f.retryIn, refusedRetry))
	case ctx.Err() != nil:
		f.end("timeout", http.StatusGatewayTimeout)
		writeEmpty(w, http.StatusGatewayTimeout)
	default:
		f.end("failed", http.StatusBadGateway)
		writeEmpty(w, http.StatusBadGateway)
	}
}

// attempts sends the request to targets until one has answered or no further
// attempt is allowed. It returns nil without an answer to deliver.
func (f *flight) attempts(ctx context.Context) *Answer {
	i := f.ingress
	for ctx.Err() == nil {
		e := f.choose(ctx)
		if e == nil {
			break
		}
		if f.arrivals > 0 && !i.Budget.Spend(f.call.Service) {
			f.note("no retry budget")
			i.Balancer.Done(e, f.call, &Answer{Outcome: Refused}, 0, false)
			break
		}
		answer := f.send(ctx, e)
		if answer.Outcome == Answered && !f.repeatable(answer) {
			f.fallback.Close()
			return answer
		}
		if !f.next(ctx, answer) {
			break
		}
	}
	return f.fallback
}

// choose returns the next target, or nil. It waits a little for one to appear.
func (f *flight) choose(ctx context.Context) *Endpoint {
	i := f.ingress
	until := f.call.Received.Add(time.Duration(float64(f.call.Objective) * searchShare))
	for {
		endpoints := i.Versions.Choose(f.call.Service, i.Directory.Endpoints(f.call.Service))
		e := i.Balancer.Choose(f.call, without(endpoints, f.tried))
		if e == nil && f.arrivals > 0 && f.refusals > 0 {
			// Targets that were full before the last attempt may have room now.
			e = i.Balancer.Choose(f.call, without(endpoints, f.reached))
		}
		if e != nil {
			f.call.Target, f.call.Version = e.Target, e.Version
			f.tried[e.Target] = true
			return e
		}
		if len(f.tried) > 0 || time.Now().After(until) {
			f.note("no target")
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(searchInterval):
		}
	}
}

// without returns the endpoints whose target is not in a set.
func without(endpoints []*Endpoint, targets map[string]bool) []*Endpoint {
	left := make([]*Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !targets[e.Target] {
			left = append(left, e)
		}
	}
	return left
}

func (f *flight) send(ctx context.Context, e *Endpoint) *Answer {
	i := f.ingress
	f.call.Attempt++
	f.call.Repeat = f.arrivals > 0
	began := time.Now()
	var answer *Answer
	if e.Local {
		answer = i.Gate.Do(ctx, f.call)
	} else {
		answer = i.Peers.Do(ctx, e.Address, f.call)
	}
	if answer.Outcome == Answered {
		answer.hold()
	}
	if answer.held {
		i.Balancer.LearnSize(f.call.Route, answer.Length)
	}
	left := answer.Outcome == Unknown && errors.Is(ctx.Err(), context.Canceled)
	if left {
		answer.Reason = ReasonGone
	}
	bad := answer.Outcome == Unknown || answer.Outcome == Rejected || answer.Status >= http.StatusInternalServerError
	i.Balancer.Done(e, f.call, answer, time.Since(began), bad || answer.Outcome == Unreached || answer.Reason == ReasonTargetDown)
	i.Metrics.attempt(e.Service, answer.Outcome)
	if !left && (answer.Outcome == Answered || answer.Outcome == Unknown) {
		i.Evidence.Attempt(e.Service, e.Version, f.call.Route, bad, time.Since(began))
	}
	f.note(e.Target + " " + string(answer.Outcome) + " " + answer.Reason)
	return answer
}

// repeatable reports whether a target's failure may be replaced by the answer
// of another target.
func (f *flight) repeatable(answer *Answer) bool {
	return answer.Status >= http.StatusInternalServerError && f.call.Kind.Repeatable()
}

// next reports whether another attempt is allowed after one that gave no answer
// to deliver.
func (f *flight) next(ctx context.Context, answer *Answer) bool {
	switch answer.Outcome {
	case Refused, Unreached:
		f.refusals++
		if f.retryIn == 0 || answer.RetryAfter > 0 && answer.RetryAfter < f.retryIn {
			f.retryIn = answer.RetryAfter
		}
		if answer.Reason == ReasonStaleConfig {
			return f.rematch(ctx)
		}
		return f.refusals < maxRefusals && answer.Reason != ReasonSuspect && answer.Reason != ReasonGone
	case Rejected:
		f.retryIn = answer.RetryAfter
	case Answered:
		f.fallback.Close()
		f.fallback = answer
		f.mayRun = true
	default:
		f.mayRun = true
		if !f.call.Kind.Repeatable() {
			return false
		}
	}
	f.arrivals++
	f.reached[f.call.Target] = true
	return f.arrivals < max(1, f.route.Attempts) && f.call.Body.Replayable() && f.timeLeft(answer)
}

func (f *flight) timeLeft(answer *Answer) bool {
	needed := minTimeLeft
	if answer.Load != nil {
		needed = max(needed, time.Duration(retryTimeShare*float64(answer.Load.Service)))
	}
	return time.Until(f.call.Deadline) > needed
}

// rematch waits for the newer configuration that a target side has, and takes
// the route from it.
func (f *flight) rematch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, configWait)
	defer cancel()
	path, _, _ := strings.Cut(f.call.URI, "?")
	for f.refusals < maxRefusals {
		if table := f.ingress.Config.Load(); table.Version() > f.call.ConfigVersion {
			route := table.Match(f.call.Host, path)
			if route == nil {
				return false
			}
			f.use(table, route)
			clear(f.tried)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(searchInterval):
		}
	}
	return false
}

func (f *flight) note(what string) { f.trail = append(f.trail, strings.TrimSpace(what)) }

// end logs the request.
func (f *flight) end(result string, status int) {
	took := time.Since(f.call.Received)
	f.ingress.Metrics.request(result, took)
	eventRequest.Log(f.ingress.Logger, zap.String("request", f.call.ID), zap.String("result", result), zap.Int("status", status),
		zap.String("route", f.call.Route), zap.String("service", f.call.Service), zap.Uint64("config", f.call.ConfigVersion),
		zap.Strings("attempts", f.trail), zap.Duration("took", took),
		zap.Duration("budget", f.call.Deadline.Sub(f.call.Received)))
}

// refuse tells the caller to come back; the request has not run.
func (i *Ingress) refuse(w http.ResponseWriter, id, reason string, retryAfter time.Duration, received time.Time) {
	i.Metrics.request(reason, time.Since(received))
	eventRequest.Log(i.Logger, zap.String("request", id), zap.String("result", reason), zap.Int("status", http.StatusServiceUnavailable))
	writeRetryAfter(w, retryAfter)
}

func writeRetryAfter(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	writeEmpty(w, http.StatusServiceUnavailable)
}

// reject ends a request that no target may run.
func (i *Ingress) reject(w http.ResponseWriter, r *http.Request, status int, reason string, received time.Time) {
	i.Metrics.request(reason, time.Since(received))
	eventRequest.Log(i.Logger, zap.String("request", r.Header.Get(i.Names.RequestID)), zap.String("result", reason),
		zap.Int("status", status), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.Uint64("config", i.Config.Load().Version()))
	writeEmpty(w, status)
}
