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

// maxInterruptedAttempts limits the attempts of a call for which the target side
// reports a crash of the target or an unknown outcome. Target sides refuse a request
// after it has crashed two targets, but the retries of one call can be faster than
// the propagation of the crash records.
const maxInterruptedAttempts = 2

// execution is the state of one call while it is routed.
type execution struct {
	router   *Router
	call     *Call
	bundle   *config.Bundle
	route    *config.Route
	decision Decision
	deadline time.Time

	tried        []string // names of the endpoints tried
	unknownErr   error    // last error of an attempt that may have run
	failedAnswer *Answer  // last answer with a failure status
	refusal      error    // last error of an attempt that did not run
	interrupted  int      // attempts with a reported crash or unknown outcome
	// key is the idempotency key of the last attempt, sent by the caller or assigned.
	key       string
	createdMS int64
}

func (e *execution) run(ctx context.Context) (*Answer, error) {
	if err := e.match(ctx); err != nil {
		return nil, err
	}
	now := time.Now()
	if err := e.admit(now); err != nil {
		return nil, err
	}
	e.deadline = deadline(e.route, e.call.Chain.Deadline, now)
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	e.router.budget.recordFirstAttempt()
	for {
		answer, err := e.attempt(ctx)
		if err == nil && !e.retryable(answer) {
			return answer, nil
		}
		if !e.mayRetry(ctx, answer, err) {
			return e.finalOutcome(answer, err)
		}
		e.recordFailure(answer, err)
	}
}

// recordFailure records the result of a failed attempt for the outcome of the call.
func (e *execution) recordFailure(answer *Answer, err error) {
	var unknown *UnknownError
	switch {
	case answer != nil:
		e.failedAnswer = answer
	case errors.As(err, &unknown):
		e.unknownErr = err
	default:
		e.refusal = err
	}
}

// finalOutcome returns the outcome of the call after its last attempt. A call is
// "not run" only if none of its attempts can have run.
func (e *execution) finalOutcome(answer *Answer, err error) (*Answer, error) {
	switch {
	case answer != nil:
		return answer, nil
	case e.failedAnswer != nil:
		return e.failedAnswer, nil
	case e.unknownErr != nil:
		return nil, e.unknownErr
	}
	var none *NoEndpointError
	if e.refusal != nil && errors.As(err, &none) {
		return nil, e.refusal // more specific than the lack of a further endpoint
	}
	return nil, err
}

// attempt selects a version and an endpoint, sends one attempt, and reports its
// result.
func (e *execution) attempt(ctx context.Context) (*Answer, error) {
	if left := time.Until(e.deadline); left < minRemainingTime || ctx.Err() != nil {
		return nil, &NotRunError{Reason: "the deadline has passed or the caller has gone", Refusal: pb.Refusal_REFUSAL_DEADLINE, Cause: ctx.Err()}
	}
	p, version, err := e.plan()
	if err != nil {
		return nil, err
	}
	e.decision.Attempts++
	e.decision.Version, e.decision.Endpoint, e.decision.Reason = version, p.target.endpoint.GetName(), p.reason
	e.decision.Key = e.key
	e.tried = append(e.tried, e.decision.Endpoint)
	e.router.counters.attempt(ctx, &e.decision, e.decision.Attempts > 1)

	start := time.Now()
	reply, err := e.router.options.Sender.Send(ctx, p.target.endpoint.GetAddress(), e.head(version), e.call.Body)
	now := time.Now()
	result := e.result(ctx, reply, err, now.Sub(start))
	if err == nil && (result.Crashed || result.Outcome == pb.Outcome_OUTCOME_UNKNOWN) {
		e.interrupted++
	}
	feedback := attemptFeedback(&result, err)
	if p.target.endpoint.GetVersion() != version && feedback != feedbackUnavailable {
		feedback = feedbackNeutral // the home forwarded the call to another target
	}
	result.Warm = p.done(feedback, result.Latency, reply.load(), now, time.Duration(e.bundle.Service.ColdStart))
	e.router.options.Versions.Report(e.bundle, e.route, result)
	if newer := reply.configVersion(); newer > e.decision.Config {
		e.router.options.Config.NotifyNewer(newer)
	}
	if result.Outcome != pb.Outcome_OUTCOME_ANSWERED {
		eventAttemptFailed.Log(e.router.options.Logger, zap.String("call", e.decision.CallID), zap.String("endpoint", e.decision.Endpoint),
			zap.Stringer("outcome", result.Outcome), zap.Stringer("refusal", result.Refusal), zap.Error(err))
	}
	return e.convert(ctx, reply, err)
}

// plan selects the version and the endpoint of the next attempt.
func (e *execution) plan() (*pick, string, error) {
	r, service, now := e.router, &e.bundle.Service, time.Now()
	endpoints := r.options.Endpoints.Endpoints(service.Name)
	if e.route.Idempotent {
		choice := r.options.Versions.Choose(e.bundle, e.route, e.call)
		p, err := r.balancer.choose(service, endpoints, choice, e.tried, now)
		return p, choice.Version, err
	}
	var plan *keyedPlan
	var err error
	if e.call.Key != "" {
		plan, err = r.planKey(service, endpoints, e.call.Key, now)
	} else {
		choice := r.options.Versions.Choose(e.bundle, e.route, e.call)
		plan, err = r.planNewKey(service, endpoints, choice.Version, e.tried, now)
	}
	if err != nil {
		return nil, "", err
	}
	e.key, e.createdMS = plan.key, plan.createdMS
	if e.call.Key == "" {
		return plan.pick, plan.pick.target.endpoint.GetVersion(), nil
	}
	// The caller's key determines the home but not the version. The home keeps the
	// record, and forwards the call if its local target has another version.
	choice := r.options.Versions.Choose(e.bundle, e.route, e.call)
	return plan.pick, choice.Version, nil
}

// head returns the head of the attempt for the target side.
func (e *execution) head(version string) *pb.CallHead {
	call := e.call
	return &pb.CallHead{
		CallId: e.decision.CallID, Service: e.decision.Service, Route: e.decision.Route, TargetVersion: version,
		Method: call.Method, Path: call.Target, Host: call.Host, Headers: call.Headers, Member: call.Chain.Member,
		Key: e.key, KeyCreatedMs: e.createdMS, Idempotent: e.route.Idempotent,
		DeadlineMs: time.Until(e.deadline).Milliseconds(),
		Depth:      call.Chain.Depth + 1, Attempts: call.Chain.Attempts + int32(e.decision.Attempts),
		ConfigVersion: e.decision.Config, CallerDomain: e.router.options.Domain, BodyHash: bodyHash(call.Body),
	}
}

// result returns the result of an attempt that has ended.
func (e *execution) result(ctx context.Context, reply *Reply, err error, latency time.Duration) Attempt {
	a := Attempt{
		Service: e.decision.Service, Route: e.decision.Route, Version: e.decision.Version, Endpoint: e.decision.Endpoint,
		Idempotent: e.route.Idempotent, Latency: latency,
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
	a.Cancelled = err != nil && (errors.Is(ctx.Err(), context.Canceled) || e.callerDeadlineExpired(ctx, latency))
	return a
}

// callerDeadlineExpired reports whether an attempt ended before half of the route's
// deadline because the caller set an earlier one. Otherwise a caller that waits only
// 1 ms would cause endpoints to be set aside.
func (e *execution) callerDeadlineExpired(ctx context.Context, latency time.Duration) bool {
	routeDeadline := time.Duration(e.route.Deadline)
	if routeDeadline <= 0 {
		routeDeadline = defaultDeadline
	}
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && latency < routeDeadline/2
}

// attemptFeedback classifies the result of an attempt as feedback about its endpoint.
func attemptFeedback(a *Attempt, err error) feedback {
	if a.Cancelled {
		return feedbackNeutral
	}
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent):
		return feedbackUnavailable
	case err != nil || a.Outcome == pb.Outcome_OUTCOME_UNKNOWN:
		return feedbackFailure
	case a.Outcome == pb.Outcome_OUTCOME_ANSWERED && isFailure(a.Status):
		return feedbackFailure
	case a.Outcome == pb.Outcome_OUTCOME_ANSWERED:
		return feedbackSuccess
	}
	switch a.Refusal {
	case pb.Refusal_REFUSAL_OVERLOAD, pb.Refusal_REFUSAL_DEADLINE:
		return feedbackOverload
	case pb.Refusal_REFUSAL_NO_TARGET, pb.Refusal_REFUSAL_WRONG_VERSION, pb.Refusal_REFUSAL_LEAVING,
		pb.Refusal_REFUSAL_TAKEN_BACK, pb.Refusal_REFUSAL_STALE_CONFIG:
		return feedbackUnavailable
	}
	return feedbackNeutral
}

// convert converts the reply or error of an attempt into an answer or an error of
// this package.
func (e *execution) convert(ctx context.Context, reply *Reply, err error) (*Answer, error) {
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

// isFailure reports whether a status means that this target failed to process the
// request. Statuses such as 404 or 501, which every target would return, are not
// failures.
func isFailure(status int) bool {
	return status == 500 || status == 502 || status == 503 || status == 504
}

// retryable reports whether a further attempt may get a better answer.
func (e *execution) retryable(answer *Answer) bool {
	if !e.route.Idempotent || !isFailure(answer.Status) {
		return false
	}
	for _, h := range answer.Headers {
		if h.GetName() == chain.NoRetry {
			return false // the hop next to the fault has used up the attempts
		}
	}
	return true
}

// mayRetry reports whether a further attempt is allowed, and takes it from the
// budget if so.
func (e *execution) mayRetry(ctx context.Context, answer *Answer, err error) bool {
	if ctx.Err() != nil || time.Until(e.deadline) < minRemainingTime || !e.outcomeAllowsRetry(answer, err) {
		return false
	}
	allowed := defaultAttempts
	if e.route.Retry != nil {
		allowed = e.route.Retry.Attempts
	}
	retriesOfChain := int(e.call.Chain.Attempts) + e.decision.Attempts - int(e.call.Chain.Depth) - 1
	if e.decision.Attempts >= allowed || retriesOfChain >= maxChainRetries {
		return false
	}
	return e.router.budget.allowRetry(time.Now())
}

// outcomeAllowsRetry reports whether the outcome of the last attempt allows another:
// the attempt provably did not run, or the route is idempotent.
func (e *execution) outcomeAllowsRetry(answer *Answer, err error) bool {
	if answer != nil {
		return true // run has checked retryable
	}
	if e.decision.Attempts == 0 {
		return false // no endpoint could be selected
	}
	if e.interrupted >= maxInterruptedAttempts {
		return false // the next target may not have received the suspect record yet
	}
	var notRun *NotRunError
	var unknown *UnknownError
	switch {
	case errors.As(err, &notRun):
		// A suspect request would crash the next target too. After a passed
		// deadline or a cancellation no attempt can succeed.
		return notRun.Refusal != pb.Refusal_REFUSAL_SUSPECT && notRun.Refusal != pb.Refusal_REFUSAL_DEADLINE &&
			notRun.Refusal != pb.Refusal_REFUSAL_CANCELLED && !e.boundToHome()
	case errors.As(err, &unknown):
		return e.route.Idempotent
	}
	return false
}

// boundToHome reports whether every attempt has to go to the key's home. If the home
// refuses a call, its reply tells the caller when to retry.
func (e *execution) boundToHome() bool { return e.call.Key != "" && !e.route.Idempotent }
