package target

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// acceptTimeout is the timeout of the check whether the target still accepts
// connections after one was reset.
const acceptTimeout = 200 * time.Millisecond

// crashConfirmDelay is the delay before the second check whether the target accepts
// connections. A process that is ending may still accept connections for this time
// after it has closed others, which happened in 1 of 5 crashes on a busy machine.
const crashConfirmDelay = 50 * time.Millisecond

// run checks and queues a call and sends it to the target. record is the
// reservation of the call's key. It is nil for an idempotent call and for a call that
// the home of its key forwarded after recording it.
func (g *Gate) run(ctx context.Context, c *call, record *keyRecord) (*pb.AnswerHead, []byte) {
	slot, exchange, err := g.admit(ctx, c)
	if err != nil {
		if record != nil {
			g.keys.Abort(record)
		}
		return err.head(), nil
	}
	defer g.running.done()
	// The dispatch must be recorded before the first byte is sent.
	if record != nil {
		g.keys.Dispatched(record)
	}
	tracked := g.suspects.begin(c.fingerprint)
	runCtx, cancel := g.runContext(ctx, c)
	started := time.Now()
	response, doErr := exchange.Do(runCtx, &Request{Head: c.head, Body: c.body, Received: c.received, Deadline: c.deadline})
	cancel()
	c.ran = time.Since(started)
	if record != nil {
		g.keys.Finish(record, response)
	}
	if doErr != nil {
		return g.failedHead(ctx, c, tracked, slot, doErr), nil
	}
	g.suspects.end(tracked, true)
	slot.Done(true)
	head := answeredHead(response)
	head.TargetTimeUs = c.ran.Microseconds()
	return head, response.Body
}

// runContext limits the run to the call's deadline. A non-idempotent call continues
// after its caller cancels, so that a repeat gets the stored response.
func (g *Gate) runContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if !c.head.GetIdempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, c.deadline)
}

// admit checks the call, acquires a slot and a connection for it, and counts it as
// running.
func (g *Gate) admit(ctx context.Context, c *call) (*Slot, Exchange, *RefusedError) {
	if err := g.check(ctx, c); err != nil {
		return nil, nil, err
	}
	work := &Work{
		Member:    c.head.GetMember(),
		Route:     c.head.GetRoute(),
		Deadline:  c.deadline,
		Exclusive: func() bool { return g.suspects.Crashes(c.fingerprint) > 0 },
	}
	slot, err := g.queue.Acquire(ctx, work)
	if err != nil {
		return nil, nil, asRefused(err)
	}
	c.waited = slot.Waited
	exchange, err := g.options.Backend.Open(ctx)
	if err != nil {
		slot.Done(false)
		return nil, nil, g.openFailed(ctx, err)
	}
	refused := g.check(ctx, c)
	if refused == nil && !slot.exclusive && g.suspects.Crashes(c.fingerprint) > 0 {
		// A suspect record of another daemon arrived after the slot was granted.
		refused = newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, "the request became suspect and must run alone", minCost)
	}
	if refused == nil && !g.running.add() {
		refused = g.unavailable()
	}
	if refused != nil {
		exchange.Release()
		slot.Done(false)
		return nil, nil, refused
	}
	if slot.exclusive {
		eventSuspect.Log(g.options.Logger, zap.String("call", c.head.GetCallId()), zap.Uint64("fingerprint", c.fingerprint))
	}
	return slot, exchange, nil
}

// check refuses calls that must not run. It is called on arrival, so that such
// calls are not queued, and again just before the dispatch, since the conditions
// may have changed.
func (g *Gate) check(ctx context.Context, c *call) *RefusedError {
	state := g.state.Load()
	service, version := c.head.GetService(), c.head.GetTargetVersion()
	switch {
	case state.phase == phaseNone:
		return newRefusedError(pb.Refusal_REFUSAL_NO_TARGET, "no target is announced", 0)
	case state.service != service || state.version != version:
		return newRefusedError(pb.Refusal_REFUSAL_WRONG_VERSION, "the target is "+state.service+" "+state.version, 0)
	case state.phase != phaseReady:
		return g.unavailable()
	case g.options.TakenBack(service, version):
		return newRefusedError(pb.Refusal_REFUSAL_TAKEN_BACK, "version "+version+" was taken back", 0)
	case !g.options.HasBundle(service):
		return newRefusedError(pb.Refusal_REFUSAL_STALE_CONFIG, "the configuration of the service is not held", 0)
	case ctx.Err() != nil:
		return newRefusedError(pb.Refusal_REFUSAL_CANCELLED, "the caller gave up", 0)
	case g.suspects.Crashes(c.fingerprint) >= crashRefusalThreshold:
		return newRefusedError(pb.Refusal_REFUSAL_SUSPECT, "the request was in flight at two crashes", suspectRetention)
	}
	now := time.Now()
	if !now.Before(c.deadline) {
		return newRefusedError(pb.Refusal_REFUSAL_DEADLINE, "the deadline has passed", 0)
	}
	if !c.head.GetIdempotent() && !now.Before(g.options.Lease()) {
		return newRefusedError(pb.Refusal_REFUSAL_NO_LEASE, "the membership lease has ended", time.Second)
	}
	return nil
}

// unavailable returns the refusal for a target that is leaving or down.
func (g *Gate) unavailable() *RefusedError {
	if g.state.Load().phase == phaseLeaving {
		return newRefusedError(pb.Refusal_REFUSAL_LEAVING, "the target is leaving", 0)
	}
	return newRefusedError(pb.Refusal_REFUSAL_NO_TARGET, "the target is down", 0)
}

func asRefused(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, err.Error(), 0)
}

// openFailed converts an error of Backend.Open to a refusal, since nothing was
// sent.
func (g *Gate) openFailed(ctx context.Context, err error) *RefusedError {
	var down *DownError
	switch {
	case errors.As(err, &down):
		g.reportDown()
		return newRefusedError(pb.Refusal_REFUSAL_NO_TARGET, "the target accepts no connections", 0)
	case ctx.Err() != nil:
		return newRefusedError(pb.Refusal_REFUSAL_CANCELLED, "the caller gave up", 0)
	}
	return newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, err.Error(), minCost)
}

// reportDown marks a ready target as down and calls the callback for this
// event once.
func (g *Gate) reportDown() {
	current := g.state.Load()
	if current.phase != phaseReady {
		return
	}
	next := *current
	next.phase = phaseDown
	if !g.state.CompareAndSwap(current, &next) {
		return
	}
	g.SetDown()
	if g.options.OnDown != nil {
		g.options.OnDown()
	}
}

// failedHead ends a call that was sent to the target and has no complete response,
// and returns its AnswerHead.
func (g *Gate) failedHead(ctx context.Context, c *call, tracked *trackedCall, slot *Slot, err error) *pb.AnswerHead {
	late := !time.Now().Before(c.deadline)
	var incomplete *IncompleteResponseError
	if errors.As(err, &incomplete) && incomplete.Reset && !late {
		g.handleReset(ctx, tracked)
	}
	crashed, explained := g.suspects.crashResult(tracked)
	g.suspects.end(tracked, false)
	slot.Done(late) // only a call that ran until its deadline gives a service time
	status := int32(http.StatusBadGateway)
	if late {
		status = http.StatusGatewayTimeout
	}
	head := unknownHead(status, err.Error())
	head.TargetTimeUs = c.ran.Microseconds()
	head.Crashed, head.Explained = crashed, explained
	return head
}

// handleReset determines whether a connection was reset by a crash of the target.
// A leaving target may be stopped with calls in progress, which is not a crash.
func (g *Gate) handleReset(ctx context.Context, tracked *trackedCall) {
	if crashed, _ := g.suspects.crashResult(tracked); crashed || g.state.Load().phase == phaseLeaving {
		return
	}
	acceptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	// A process that ends closes its sockets one after the other, so its listener
	// may still accept connections shortly after the reset.
	if g.options.Backend.Accepts(acceptCtx) {
		time.Sleep(crashConfirmDelay)
		if g.options.Backend.Accepts(acceptCtx) {
			g.suspects.addReset(tracked)
			return
		}
	}
	if crashed, _ := g.suspects.crashResult(tracked); !crashed {
		g.RecordCrash()
	}
	g.reportDown()
}
