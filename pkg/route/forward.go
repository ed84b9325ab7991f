package route

import (
	"context"
	"errors"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// maxForwards limits the number of targets to which a forwarded call is sent.
const maxForwards = 3

// Forward sends a call to a target of the requested version. This daemon is the key
// home and has recorded the call, but its local target has another version or is
// down. Forward tries a further target only if the call provably did not run.
func (r *Router) Forward(ctx context.Context, head *pb.CallHead, body []byte) (*pb.AnswerHead, []byte) {
	bundle, ok := r.options.Config.Current().Bundle(head.GetService())
	if !ok {
		return notRunHead(pb.Refusal_REFUSAL_STALE_CONFIG, "the configuration of the service is not held"), nil
	}
	deadline := time.Now().Add(time.Duration(head.GetDeadlineMs()) * time.Millisecond)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	service := &bundle.Service
	tried := []string{r.options.Name}
	answer := notRunHead(pb.Refusal_REFUSAL_NO_TARGET, "no target of version "+head.GetTargetVersion()+" is usable")
	for range maxForwards {
		now := time.Now()
		if deadline.Sub(now) < minRemainingTime {
			return notRunHead(pb.Refusal_REFUSAL_DEADLINE, "the deadline has passed"), nil
		}
		endpoints := r.options.Endpoints.Endpoints(service.Name)
		p, err := r.balancer.choose(service, endpoints, Choice{Version: head.GetTargetVersion()}, tried, now)
		if err != nil {
			return answer, nil
		}
		tried = append(tried, p.target.endpoint.GetName())
		head.DeadlineMs = deadline.Sub(now).Milliseconds()
		reply, err := r.options.Sender.Send(ctx, p.target.endpoint.GetAddress(), head, body)
		end := time.Now()
		p.done(forwardFeedback(ctx, reply, err), end.Sub(now), reply.load(), end, time.Duration(service.ColdStart))
		var notSent *NotSentError
		switch {
		case errors.As(err, &notSent):
			answer = notRunHead(pb.Refusal_REFUSAL_NO_TARGET, "the target side could not be reached")
		case err != nil:
			return &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: "the exchange with the target side broke off"}, nil
		case reply.Head.GetOutcome() == pb.Outcome_OUTCOME_NOT_RUN:
			answer = reply.Head
		default:
			return reply.Head, reply.Body
		}
	}
	return answer, nil
}

// forwardFeedback classifies the result of a forwarded call as feedback about the
// endpoint.
func forwardFeedback(ctx context.Context, reply *Reply, err error) feedback {
	a := Attempt{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Cancelled: err != nil && errors.Is(ctx.Err(), context.Canceled)}
	if reply != nil {
		a.Outcome, a.Refusal, a.Status = reply.Head.GetOutcome(), reply.Head.GetRefusal(), int(reply.Head.GetStatus())
	}
	return attemptFeedback(&a, err)
}

func notRunHead(refusal pb.Refusal, reason string) *pb.AnswerHead {
	return &pb.AnswerHead{
		Outcome: pb.Outcome_OUTCOME_NOT_RUN, Refusal: refusal, Reason: reason,
		RetryAfterMs: defaultRetryAfter.Milliseconds(),
	}
}
