package target

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// mustForward reports whether a keyed call must run on another target, because
// the local target has another version or is down. The home of a key is chosen
// among the endpoints of all versions, so that its record stays in one place
// while a move shifts traffic between versions; the home therefore also receives
// calls to other versions.
func (g *Gate) mustForward(c *call) bool {
	state := g.state.Load()
	if g.options.Forward == nil || state.service != c.head.GetService() || state.phase == phaseLeaving {
		return false
	}
	return state.version != c.head.GetTargetVersion() || state.phase == phaseDown
}

// forward sends a keyed call to another target side and records its result.
func (g *Gate) forward(ctx context.Context, c *call, record *keyRecord) (*pb.AnswerHead, []byte) {
	if refused := g.checkForward(ctx, c); refused != nil {
		g.keys.Abort(record)
		return refused.head(), nil
	}
	g.keys.Dispatched(record)
	head := proto.Clone(c.head).(*pb.CallHead)
	head.Recorded = true
	runCtx, cancel := g.runContext(ctx, c)
	defer cancel()
	started := time.Now()
	answer, body := g.options.Forward(runCtx, head, c.body)
	c.ran = time.Since(started)
	switch answer.GetOutcome() {
	case pb.Outcome_OUTCOME_NOT_RUN, pb.Outcome_OUTCOME_BAD_REQUEST:
		g.keys.Abort(record)
	case pb.Outcome_OUTCOME_ANSWERED:
		g.keys.Finish(record, &Response{Status: answer.GetStatus(), Headers: answer.GetHeaders(), Body: body})
	default:
		g.keys.Finish(record, nil)
	}
	return answer, body
}

// checkForward refuses calls that the receiving target side would refuse, and all
// calls if this daemon has no valid membership lease, since its keys may then
// have another home.
func (g *Gate) checkForward(ctx context.Context, c *call) *RefusedError {
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return newRefusedError(pb.Refusal_REFUSAL_CANCELLED, "the caller gave up", 0)
	case !now.Before(c.deadline):
		return newRefusedError(pb.Refusal_REFUSAL_DEADLINE, "the deadline has passed", 0)
	case !now.Before(g.options.Lease()):
		return newRefusedError(pb.Refusal_REFUSAL_NO_LEASE, "the membership lease has ended", time.Second)
	}
	return nil
}
