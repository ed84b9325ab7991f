package route

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route/chain"
)

// maxCuts is the number of attempts that may end with the target. Target sides
// refuse a request after two crashes, but the retries of one call are faster
// than the records that tell of them.
const maxCuts = 2

// flight is one call on its way.
type flight struct {
	router   *Router
	call     *Call
	bundle   *config.Bundle
	route    *config.Route
	decision Decision
	deadline time.Time

	tried     []string // endpoints tried
	uncertain error    // an earlier attempt may have run
	failed    *Answer  // an earlier attempt's answer, which says failure
	refused   error    // an earlier attempt's refusal
	cuts      int      // attempts in which the target ended before its answer
	// key is kept over attempts; it is the caller's or the one assigned.
	key       string
	createdMS int64
}

func (f *flight) run(ctx context.Context) (*Answer, error) {
	if err := f.match(ctx); err != nil {
		return nil, err
	}
	now := time.Now()
	if err := f.admit(now); err != nil {
		return nil, err
	}
	f.deadline = deadline(f.route, f.call.Chain.Deadline, now)
	ctx, cancel := context.WithDeadline(ctx, f.deadline)
	defer cancel()
	f.router.budget.first()
	for {
		answer, err := f.attempt(ctx)
		if err == nil && !f.retryable(answer) {
			return answer, nil
		}
		if !f.mayRetry(ctx, answer, err) {
			return f.conclude(answer, err)
		}
		f.note(answer, err)
	}
}

// note keeps what a failed attempt means for the outcome of the call.
func (f *flight) note(answer *Answer, err error) {
	var unknown *UnknownError
	switch {
	case answer != nil:
		f.failed = answer
	case errors.As(err, &unknown):
		f.uncertain = err
	default:
		f.refused = err
	}
}

// conclude turns the last attempt into the outcome of the call. A call is "not
// run" only if no attempt ran.
func (f *flight) conclude(answer *Answer, err error) (*Answer, error) {
	switch {
	case answer != nil:
		return answer, nil
	case f.failed != nil:
		return f.failed, nil
	case f.uncertain != nil:
		return nil, f.uncertain
	}
	var none *NoEndpointError
	if f.refused != nil && errors.As(err, &none) {
		return nil, f.refused // it says more than that no other endpoint is left
	}
	return nil, err
}

// attempt makes one attempt, from the choice of its version to the report of
// its result.
func (f *flight) attempt(ctx context.Context) (*Answer, error) {
	if left := time.Until(f.deadline); left < minTimeLeft || ctx.Err() != nil {
		return nil, &NotRunError{Reason: "the deadline has passed or the caller has gone", Refusal: pb.Refusal_REFUSAL_DEADLINE, Cause: ctx.Err()}
	}
	p, version, err := f.plan()
	if err != nil {
		return nil, err
	}
	f.decision.Attempts++
	f.decision.Version, f.decision.Endpoint, f.decision.Reason = version, p.target.endpoint.GetName(), p.reason
	f.decision.Key = f.key
	f.tried = append(f.tried, f.decision.Endpoint)
	f.router.counters.attempt(ctx, &f.decision, f.decision.Attempts > 1)

	start := time.Now()
	reply, err := f.router.options.Sender.Send(ctx, p.target.endpoint.GetAddress(), f.head(version), f.call.Body)
	now := time.Now()
	result := f.result(ctx, reply, err, now.Sub(start))
	if err == nil && (result.Crashed || result.Outcome == pb.Outcome_OUTCOME_UNKNOWN) {
		f.cuts++
	}
	verdict := judge(&result, err)
	if p.target.endpoint.GetVersion() != version && verdict != verdictGone {
		verdict = verdictNeutral // the home sent the call on to another target
	}
	result.Warm = p.done(verdict, result.Latency, reply.load(), now, time.Duration(f.bundle.Service.ColdStart))
	f.router.options.Versions.Report(f.bundle, f.route, result)
	if newer := reply.configVersion(); newer > f.decision.Config {
		f.router.options.Config.Newer(newer)
	}
	if result.Outcome != pb.Outcome_OUTCOME_ANSWERED {
		eventSetAside.Log(f.router.options.Logger, zap.String("call", f.decision.CallID), zap.String("endpoint", f.decision.Endpoint),
			zap.Stringer("outcome", result.Outcome), zap.Stringer("refusal", result.Refusal), zap.Error(err))
	}
	return f.convert(ctx, reply, err)
}

// plan chooses the version and the endpoint of the next attempt.
func (f *flight) plan() (*pick, string, error) {
	r, service, now := f.router, &f.bundle.Service, time.Now()
	endpoints := r.options.Endpoints.Endpoints(service.Name)
	if f.route.Idempotent {
		choice := r.options.Versions.Choose(f.bundle, f.route, f.call)
		p, err := r.balancer.choose(service, endpoints, choice, f.tried, now)
		return p, choice.Version, err
	}
	var plan *keyedPlan
	var err error
	if f.call.Key != "" {
		plan, err = r.planKey(service, endpoints, f.call.Key, now)
	} else {
		choice := r.options.Versions.Choose(f.bundle, f.route, f.call)
		plan, err = r.planNewKey(service, endpoints, choice.Version, f.tried, now)
	}
	if err != nil {
		return nil, "", err
	}
	f.key, f.createdMS = plan.key, plan.createdMS
	if f.call.Key == "" {
		return plan.pick, plan.pick.target.endpoint.GetVersion(), nil
	}
	// The caller's key decides the home and not the version: the home keeps the
	// record, and sends the call on when its own target has another version.
	choice := r.options.Versions.Choose(f.bundle, f.route, f.call)
	return plan.pick, choice.Version, nil
}

// head describes the attempt to the target side.
func (f *flight) head(version string) *pb.CallHead {
	call := f.call
	return &pb.CallHead{
		CallId: f.decision.CallID, Service: f.decision.Service, Route: f.decision.Route, TargetVersion: version,
		Method: call.Method, Path: call.Target, Host: call.Host, Headers: call.Headers, Member: call.Chain.Member,
		Key: f.key, KeyCreatedMs: f.createdMS, Idempotent: f.route.Idempotent,
		DeadlineMs: time.Until(f.deadline).Milliseconds(),
		Depth:      call.Chain.Depth + 1, Attempts: call.Chain.Attempts + int32(f.decision.Attempts),
		ConfigVersion: f.decision.Config, CallerDomain: f.router.options.Domain, BodyHash: bodyHash(call.Body),
	}
}

// result describes an ended attempt.
func (f *flight) result(ctx context.Context, reply *Reply, err error, latency time.Duration) Attempt {
	a := Attempt{
		Service: f.decision.Service, Route: f.decision.Route, Version: f.decision.Version, Endpoint: f.decision.Endpoint,
		Idempotent: f.route.Idempotent, Latency: latency,
	}
	var notSent *NotSentError
	switch {
	case err == nil:
		head := reply.Head
		a.Outcome, a.Refusal, a.Status = head.GetOutcome(), head.GetRefusal(), int(head.GetStatus())
		a.TargetTime = time.Duration(head.GetTargetTimeUs()) * time.Microsecond
		a.Crashed, a.Explained = head.GetCrashed(), head.GetExplained()
	case errors.As(err, &notSent):
		a.Outcome, a.Refusal = pb.Outcome_OUTCOME_NOT_RUN, pb.Refusal_REFUSAL_UNSPECIFIED
	default:
		a.Outcome = pb.Outcome_OUTCOME_UNKNOWN
	}
	a.Cancelled = err != nil && (errors.Is(ctx.Err(), context.Canceled) || f.impatient(ctx, latency))
	return a
}

// impatient reports whether the caller's own deadline ended an attempt early.
// A caller that waits for 1 ms must not have endpoints set aside.
func (f *flight) impatient(ctx context.Context, latency time.Duration) bool {
	own := time.Duration(f.route.Deadline)
	if own <= 0 {
		own = defaultDeadline
	}
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && latency < own/2
}

// judge says what an attempt tells about its endpoint.
func judge(a *Attempt, err error) verdict {
	if a.Cancelled {
		return verdictNeutral
	}
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent):
		return verdictGone
	case err != nil || a.Outcome == pb.Outcome_OUTCOME_UNKNOWN:
		return verdictBad
	case a.Outcome == pb.Outcome_OUTCOME_ANSWERED && isFailure(a.Status):
		return verdictBad
	case a.Outcome == pb.Outcome_OUTCOME_ANSWERED:
		return verdictGood
	}
	switch a.Refusal {
	case pb.Refusal_REFUSAL_OVERLOAD, pb.Refusal_REFUSAL_DEADLINE:
		return verdictFull
	case pb.Refusal_REFUSAL_NO_TARGET, pb.Refusal_REFUSAL_WRONG_VERSION, pb.Refusal_REFUSAL_LEAVING,
		pb.Refusal_REFUSAL_TAKEN_BACK, pb.Refusal_REFUSAL_STALE_CONFIG:
		return verdictGone
	}
	return verdictNeutral
}

// convert turns an ended attempt into an answer or an error.
func (f *flight) convert(ctx context.Context, reply *Reply, err error) (*Answer, error) {
	var notSent *NotSentError
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case errors.As(err, &notSent):
		return nil, &NotRunError{Reason: "the target side could not be reached", RetryAfter: defaultRetryAfter, Cause: err}
	case err != nil:
		return nil, &UnknownError{Reason: "the exchange with the target side broke off", TimedOut: timedOut, Cause: err}
	}
	head := reply.Head
	switch head.GetOutcome() {
	case pb.Outcome_OUTCOME_ANSWERED:
		return &Answer{Status: int(head.GetStatus()), Headers: head.GetHeaders(), Body: reply.Body}, nil
	case pb.Outcome_OUTCOME_NOT_RUN:
		return nil, &NotRunError{Reason: head.GetReason(), Refusal: head.GetRefusal(), RetryAfter: time.Duration(head.GetRetryAfterMs()) * time.Millisecond}
	case pb.Outcome_OUTCOME_BAD_REQUEST:
		return nil, &BadRequestError{Reason: head.GetReason(), Status: int(head.GetStatus())}
	case pb.Outcome_OUTCOME_UNKNOWN:
		return nil, &UnknownError{Reason: head.GetReason(), TimedOut: timedOut}
	}
	return nil, &UnknownError{Reason: fmt.Sprintf("the target side gave outcome %s", head.GetOutcome())}
}

// isFailure reports whether a status says that the target could not do its
// work, as opposed to an answer such as 404 or 501 that another would give too.
func isFailure(status int) bool {
	return status == 500 || status == 502 || status == 503 || status == 504
}

// retryable reports whether an answer may be bettered by another attempt.
func (f *flight) retryable(answer *Answer) bool {
	if !f.route.Idempotent || !isFailure(answer.Status) {
		return false
	}
	for _, h := range answer.Headers {
		if h.GetName() == chain.NoRetry {
			return false // the attempts were spent at the hop next to the fault
		}
	}
	return true
}

// mayRetry decides on a further attempt and takes it from the budget.
func (f *flight) mayRetry(ctx context.Context, answer *Answer, err error) bool {
	if ctx.Err() != nil || time.Until(f.deadline) < minTimeLeft || !f.worthRetry(answer, err) {
		return false
	}
	allowed := defaultAttempts
	if f.route.Retry != nil {
		allowed = f.route.Retry.Attempts
	}
	retriesOfChain := int(f.call.Chain.Attempts) + f.decision.Attempts - int(f.call.Chain.Depth) - 1
	if f.decision.Attempts >= allowed || retriesOfChain >= maxChainRetries {
		return false
	}
	return f.router.budget.retry(time.Now())
}

// worthRetry reports whether another attempt is allowed by the outcome: after a
// proved "not run", or on an idempotent route.
func (f *flight) worthRetry(answer *Answer, err error) bool {
	if answer != nil {
		return true // run asks retryable first
	}
	if f.decision.Attempts == 0 {
		return false // nothing could be chosen
	}
	if f.cuts >= maxCuts {
		return false // the next target may not know yet that the request is suspect
	}
	var notRun *NotRunError
	var unknown *UnknownError
	switch {
	case errors.As(err, &notRun):
		// A suspect request crashes the next target too; a passed deadline and a
		// caller that has gone stay so.
		return notRun.Refusal != pb.Refusal_REFUSAL_SUSPECT && notRun.Refusal != pb.Refusal_REFUSAL_DEADLINE &&
			notRun.Refusal != pb.Refusal_REFUSAL_CANCELLED && !f.atHome()
	case errors.As(err, &unknown):
		return f.route.Idempotent
	}
	return false
}

// atHome reports whether every attempt has to go to the same daemon. Its
// refusal says when to come back, which is for the caller to do.
func (f *flight) atHome() bool { return f.call.Key != "" && !f.route.Idempotent }
