package target

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/keyhome"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Options are the parts that a Gate works with.
type Options struct {
	Name    string // of this daemon
	Backend Backend
	Queue   Scheduler // nil for a FairQueue
	// Lease returns the end of the membership lease.
	Lease func() time.Time
	// TakenBack reports whether a target version was taken back.
	TakenBack func(service, version string) bool
	// Endpoints returns this daemon's own view of a service's endpoints, with
	// those that departed in the last keyhome.DepartedRetention.
	Endpoints func(service string) []*pb.Endpoint
	// Holds reports whether the daemon holds the bundle of a service.
	Holds func(service string) bool
	// ConfigVersion returns the configuration version in force.
	ConfigVersion func() uint64
	Suspects      SuspectPublisher
	// Forward runs a call on another target of the call's version, for a key
	// whose home is this daemon. Nil refuses such calls.
	Forward func(ctx context.Context, head *pb.CallHead, body []byte) (*pb.AnswerHead, []byte)
	// NoteVersion takes the configuration version that a call carried; may be nil.
	NoteVersion func(version uint64)
	// Down is called once when the target was seen to be down.
	Down   func()
	Logger *zap.Logger
}

// phase is what the target is doing.
type phase int

const (
	phaseNone phase = iota
	phaseReady
	phaseLeaving
	phaseDown
)

// targetState is the announced target as the checks see it. It is immutable.
type targetState struct {
	service, version string
	phase            phase
}

// Gate is the last check before a call runs. Whatever must not happen is
// refused here, beside the target.
type Gate struct {
	options  Options
	state    atomic.Pointer[targetState]
	queue    Scheduler
	keys     *KeyTable
	suspects *Suspects
	running  tracker // calls handed to the target
	serving  tracker // streams from caller sides
}

// NewGate returns a gate without a target.
func NewGate(options Options) *Gate {
	if options.Queue == nil {
		options.Queue = NewFairQueue()
	}
	g := &Gate{options: options, queue: options.Queue, keys: NewKeyTable(), suspects: NewSuspects(options.Suspects)}
	g.state.Store(&targetState{})
	g.running.setClosed(true)
	return g
}

// Keys returns the table of idempotency keys.
func (g *Gate) Keys() *KeyTable { return g.keys }

// Suspects returns the table of suspect requests.
func (g *Gate) Suspects() *Suspects { return g.suspects }

// Ready opens the gate for a target. Slots gives the number of calls that may
// run at a time.
func (g *Gate) Ready(service, version string, slots func(now time.Time) int) {
	held := g.state.Load()
	if held.service != service || held.version != version {
		g.suspects.Reset(service)
	}
	g.state.Store(&targetState{service: service, version: version, phase: phaseReady})
	g.running.setClosed(false)
	g.queue.Open(slots)
}

// Leave stops new work. Queued calls are refused as not run.
func (g *Gate) Leave() {
	g.stop(phaseLeaving, refuse(pb.Refusal_REFUSAL_LEAVING, "the target is leaving", 0))
}

// SetDown refuses calls while the target is gone.
func (g *Gate) SetDown() {
	g.stop(phaseDown, refuse(pb.Refusal_REFUSAL_NO_TARGET, "the target is down", 0))
}

// Crash records that the target process died with the calls in flight.
func (g *Gate) Crash() {
	n := g.suspects.Crash()
	eventCrash.Log(g.options.Logger, zap.Int("suspects", n))
}

func (g *Gate) stop(p phase, err *RefusedError) {
	next := *g.state.Load()
	next.phase = p
	g.state.Store(&next)
	g.running.setClosed(true)
	g.queue.Close(err)
}

// Drain waits until all calls handed to the target have ended, or ctx ends. It
// returns the number of calls that are cut if the target stops now.
func (g *Gate) Drain(ctx context.Context) int { return g.running.wait(ctx) }

// DrainStreams waits until all answers were sent to the caller sides, or ctx
// ends. A planned stop of the daemon needs it after Drain. It returns the
// number of streams that are cut if the daemon stops now.
func (g *Gate) DrainStreams(ctx context.Context) int { return g.serving.wait(ctx) }

// call is one attempt in the gate.
type call struct {
	head        *pb.CallHead
	body        []byte
	received    time.Time
	deadline    time.Time
	fingerprint uint64
	waited      time.Duration
	ran         time.Duration
}

// Do runs one attempt, or says why not. A head with OUTCOME_NOT_RUN proves that
// this attempt did not reach the target.
func (g *Gate) Do(ctx context.Context, head *pb.CallHead, body []byte) (*pb.AnswerHead, []byte) {
	now := time.Now()
	c := &call{
		head:        head,
		body:        body,
		received:    now,
		deadline:    now.Add(time.Duration(head.GetDeadlineMs()) * time.Millisecond),
		fingerprint: Fingerprint(head.GetMethod(), head.GetPath(), body),
	}
	if g.options.NoteVersion != nil {
		g.options.NoteVersion(head.GetConfigVersion())
	}
	var answer *pb.AnswerHead
	var content []byte
	if head.GetIdempotent() || head.GetRecorded() {
		answer, content = g.run(ctx, c, nil)
	} else {
		answer, content = g.doKeyed(ctx, c)
	}
	answer.Load = g.queue.Load()
	answer.ConfigVersion = g.options.ConfigVersion()
	g.log(c, answer)
	return answer, content
}

// doKeyed runs a non-idempotent call at most once for its key.
func (g *Gate) doKeyed(ctx context.Context, c *call) (*pb.AnswerHead, []byte) {
	key := c.head.GetKey()
	if key == "" || len(key) > MaxKeyBytes {
		return badRequestHead(http.StatusBadRequest, "a non-idempotent call needs a key of at most 128 bytes"), nil
	}
	id := keyID(c.head.GetService(), c.head.GetMember(), key)
	created := keyhome.CreatedMS(key)
	for {
		record, state, refused := g.lookUp(c, id, created)
		if refused != nil {
			return refused, nil
		}
		switch state {
		case keyNew:
			if g.elsewhere(c) {
				return g.forward(ctx, c, record)
			}
			return g.run(ctx, c, record)
		case keyRunning:
			if head, body, ended := g.awaitRun(ctx, c, record); ended {
				return head, body
			}
		case keyAnswered:
			return g.stored(record)
		case keyOther:
			return badRequestHead(http.StatusUnprocessableEntity, "the key was used with another request"), nil
		case keyFull:
			return refuse(pb.Refusal_REFUSAL_OVERLOAD, "too many keys are remembered", time.Minute).head(), nil
		case keyCrowded:
			return unknownHead(http.StatusGatewayTimeout, "the key's first attempt is still in progress"), nil
		case keyForgotten:
			return unknownHead(http.StatusGatewayTimeout, "the key may have run; its record was dropped"), nil
		default:
			return unknownHead(http.StatusGatewayTimeout, "already run; the answer is not kept"), nil
		}
	}
}

// lookUp applies the rule of the key's home to this daemon's own view and
// looks up the key. A record that this daemon holds is used in any case.
func (g *Gate) lookUp(c *call, id string, created int64) (*keyRecord, keyState, *pb.AnswerHead) {
	home := keyhome.Home(c.head.GetKey(), created, g.options.Endpoints(c.head.GetService()), c.received)
	here := home.Endpoint.GetName() == g.options.Name
	if home.Status == keyhome.Found && here {
		record, state := g.keys.Begin(id, c.fingerprint, created)
		return record, state, nil
	}
	record, state := g.keys.Find(id, c.fingerprint, created)
	if state != keyAbsent {
		return record, state, nil
	}
	switch {
	case home.Status == keyhome.FromFuture:
		return nil, state, badRequestHead(http.StatusBadRequest, "the key's creation time is in the future")
	case home.Status == keyhome.NoneEligible:
		return nil, state, refuse(pb.Refusal_REFUSAL_NOT_HOME, home.Status.String(), home.RetryAfter).head()
	case home.Status == keyhome.Departed || home.Status == keyhome.Expired || here:
		return nil, state, unknownHead(http.StatusGatewayTimeout, "the key may have run: "+home.Status.String())
	}
	return nil, state, refuse(pb.Refusal_REFUSAL_NOT_HOME, "the key's home is "+home.Endpoint.GetName(), 0).head()
}

// awaitRun waits for the end of an attempt with the same key. It reports false
// when that attempt did not run, so that this one may.
func (g *Gate) awaitRun(ctx context.Context, c *call, record *keyRecord) (*pb.AnswerHead, []byte, bool) {
	defer g.keys.leave(record)
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case <-record.end:
	case <-ctx.Done():
		return unknownHead(http.StatusGatewayTimeout, "the caller gave up while the key's first attempt was in progress"), nil, true
	case <-timer.C:
		return unknownHead(http.StatusGatewayTimeout, "the key's first attempt is still in progress"), nil, true
	}
	answer, dispatched := g.keys.outcome(record)
	if !dispatched {
		return nil, nil, false
	}
	if answer == nil {
		return unknownHead(http.StatusGatewayTimeout, "the key's first attempt has an unknown outcome"), nil, true
	}
	return answeredHead(answer), answer.Body, true
}

func (g *Gate) stored(record *keyRecord) (*pb.AnswerHead, []byte) {
	answer, _ := g.keys.outcome(record)
	if answer == nil { // dropped for want of room since the look-up
		return unknownHead(http.StatusGatewayTimeout, "already run; the answer is not kept"), nil
	}
	return answeredHead(answer), answer.Body
}

func answeredHead(answer *Answer) *pb.AnswerHead {
	return &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_ANSWERED, Status: answer.Status, Headers: answer.Headers}
}

// log writes the decision line of a call.
func (g *Gate) log(c *call, answer *pb.AnswerHead) {
	event := eventAnswered
	switch answer.GetOutcome() {
	case pb.Outcome_OUTCOME_NOT_RUN:
		event = eventRefused
	case pb.Outcome_OUTCOME_UNKNOWN:
		event = eventUnknown
	case pb.Outcome_OUTCOME_BAD_REQUEST:
		event = eventCallerError
	}
	if entry := g.options.Logger.Check(event.Level, event.Name); entry != nil {
		entry.Write(
			zap.Int("event", event.Number),
			zap.String("call", c.head.GetCallId()),
			zap.String("service", c.head.GetService()),
			zap.String("route", c.head.GetRoute()),
			zap.String("member", c.head.GetMember()),
			zap.Int32("status", answer.GetStatus()),
			zap.Stringer("refusal", answer.GetRefusal()),
			zap.String("reason", answer.GetReason()),
			zap.Duration("waited", c.waited),
			zap.Duration("ran", c.ran),
		)
	}
}
