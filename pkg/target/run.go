package target

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// acceptTimeout bounds the check whether the target still accepts connections
// after one was reset.
const acceptTimeout = 200 * time.Millisecond

// dyingTime is how long a process that ends may still accept connections after
// it has closed others. Trials on a busy machine showed it in 1 of 5 crashes.
const dyingTime = 50 * time.Millisecond

// run takes a call through the checks and the queue to the target. Record is
// the reservation of its key, nil for an idempotent call.
func (g *Gate) run(ctx context.Context, c *call, record *keyRecord) (*pb.AnswerHead, []byte) {
	slot, exchange, err := g.admit(ctx, c)
	if err != nil {
		if record != nil {
			g.keys.Abort(record)
		}
		return err.head(), nil
	}
	defer g.running.done()
	// The dispatch is recorded before the first byte is sent.
	if record != nil {
		g.keys.Dispatched(record)
	}
	f := g.suspects.begin(c.fingerprint)
	runCtx, cancel := g.runContext(ctx, c)
	started := time.Now()
	answer, doErr := exchange.Do(runCtx, &Request{Head: c.head, Body: c.body, Received: c.received, Deadline: c.deadline})
	cancel()
	c.ran = time.Since(started)
	if record != nil {
		g.keys.Finish(record, answer)
	}
	if doErr != nil {
		return g.failed(ctx, c, f, slot, doErr), nil
	}
	g.suspects.end(f, true)
	slot.Done(true)
	head := answeredHead(answer)
	head.TargetTimeUs = c.ran.Microseconds()
	return head, answer.Body
}

// runContext bounds the run by the deadline. A non-idempotent call goes on when
// its caller leaves, so that a repeat finds the answer.
func (g *Gate) runContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	if !c.head.GetIdempotent() {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, c.deadline)
}

// admit returns a slot and a connection for the call, with all checks passed
// and the call counted as running.
func (g *Gate) admit(ctx context.Context, c *call) (*Slot, Exchange, *RefusedError) {
	if err := g.check(ctx, c); err != nil {
		return nil, nil, err
	}
	work := &Work{
		Member:   c.head.GetMember(),
		Route:    c.head.GetRoute(),
		Deadline: c.deadline,
		Alone:    func() bool { return g.suspects.Crashes(c.fingerprint) > 0 },
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
	if refused == nil && !slot.alone && g.suspects.Crashes(c.fingerprint) > 0 {
		// A record of another daemon arrived since the slot was given.
		refused = refuse(pb.Refusal_REFUSAL_OVERLOAD, "the request became suspect and must run alone", minCost)
	}
	if refused == nil && !g.running.add() {
		refused = g.stopped()
	}
	if refused != nil {
		exchange.Release()
		slot.Done(false)
		return nil, nil, refused
	}
	if slot.alone {
		eventSuspect.Log(g.options.Logger, zap.String("call", c.head.GetCallId()), zap.Uint64("fingerprint", c.fingerprint))
	}
	return slot, exchange, nil
}

// check refuses what must not run. It is asked on arrival, where a refusal is
// cheap, and again just before the dispatch, where it is binding.
func (g *Gate) check(ctx context.Context, c *call) *RefusedError {
	state := g.state.Load()
	service, version := c.head.GetService(), c.head.GetTargetVersion()
	switch {
	case state.phase == phaseNone:
		return refuse(pb.Refusal_REFUSAL_NO_TARGET, "no target is announced", 0)
	case state.service != service || state.version != version:
		return refuse(pb.Refusal_REFUSAL_WRONG_VERSION, "the target is "+state.service+" "+state.version, 0)
	case state.phase != phaseReady:
		return g.stopped()
	case g.options.TakenBack(service, version):
		return refuse(pb.Refusal_REFUSAL_TAKEN_BACK, "version "+version+" was taken back", 0)
	case !g.options.Holds(service):
		return refuse(pb.Refusal_REFUSAL_STALE_CONFIG, "the configuration of the service is not held", 0)
	case ctx.Err() != nil:
		return refuse(pb.Refusal_REFUSAL_CANCELLED, "the caller gave up", 0)
	case g.suspects.Crashes(c.fingerprint) >= refusalCrashes:
		return refuse(pb.Refusal_REFUSAL_SUSPECT, "the request was in flight at two crashes", suspectRetention)
	}
	now := time.Now()
	if !now.Before(c.deadline) {
		return refuse(pb.Refusal_REFUSAL_DEADLINE, "the deadline has passed", 0)
	}
	if !c.head.GetIdempotent() && !now.Before(g.options.Lease()) {
		return refuse(pb.Refusal_REFUSAL_NO_LEASE, "the membership lease has ended", time.Second)
	}
	return nil
}

// stopped is the refusal of a target that takes no calls.
func (g *Gate) stopped() *RefusedError {
	if g.state.Load().phase == phaseLeaving {
		return refuse(pb.Refusal_REFUSAL_LEAVING, "the target is leaving", 0)
	}
	return refuse(pb.Refusal_REFUSAL_NO_TARGET, "the target is down", 0)
}

func asRefused(err error) *RefusedError {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return refuse(pb.Refusal_REFUSAL_OVERLOAD, err.Error(), 0)
}

// openFailed turns a failure to reserve a connection into a refusal; nothing
// was sent.
func (g *Gate) openFailed(ctx context.Context, err error) *RefusedError {
	var down *DownError
	switch {
	case errors.As(err, &down):
		g.seenDown()
		return refuse(pb.Refusal_REFUSAL_NO_TARGET, "the target accepts no connections", 0)
	case ctx.Err() != nil:
		return refuse(pb.Refusal_REFUSAL_CANCELLED, "the caller gave up", 0)
	}
	return refuse(pb.Refusal_REFUSAL_OVERLOAD, err.Error(), minCost)
}

// seenDown marks a ready target as down and tells the announcer once.
func (g *Gate) seenDown() {
	held := g.state.Load()
	if held.phase != phaseReady {
		return
	}
	next := *held
	next.phase = phaseDown
	if !g.state.CompareAndSwap(held, &next) {
		return
	}
	g.SetDown()
	if g.options.Down != nil {
		g.options.Down()
	}
}

// failed ends a call that was handed over and has no whole answer.
func (g *Gate) failed(ctx context.Context, c *call, f *flight, slot *Slot, err error) *pb.AnswerHead {
	late := !time.Now().Before(c.deadline)
	var cut *CutError
	if errors.As(err, &cut) && cut.Reset && !late {
		g.afterReset(ctx, f)
	}
	crashed, explained := g.suspects.fate(f)
	g.suspects.end(f, false)
	slot.Done(late) // only a call that took its whole time tells a service time
	status := int32(http.StatusBadGateway)
	if late {
		status = http.StatusGatewayTimeout
	}
	head := unknownHead(status, err.Error())
	head.TargetTimeUs = c.ran.Microseconds()
	head.Crashed, head.Explained = crashed, explained
	return head
}

// afterReset finds out whether a reset connection was a crash of the target. A
// target that is leaving may be stopped with calls cut, which accuses nobody.
func (g *Gate) afterReset(ctx context.Context, f *flight) {
	if crashed, _ := g.suspects.fate(f); crashed || g.state.Load().phase == phaseLeaving {
		return
	}
	acceptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), acceptTimeout)
	defer cancel()
	// A process that ends closes its connections one after the other, so its
	// listener may accept for a moment after the reset.
	if g.options.Backend.Accepts(acceptCtx) {
		time.Sleep(dyingTime)
		if g.options.Backend.Accepts(acceptCtx) {
			g.suspects.reset(f)
			return
		}
	}
	if crashed, _ := g.suspects.fate(f); !crashed {
		g.Crash()
	}
	g.seenDown()
}
