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

// Options holds the settings and dependencies of a Gate.
type Options struct {
	Name    string // of this daemon
	Backend Backend
	Queue   Scheduler // nil for a FairQueue
	// Lease returns the expiry time of the membership lease.
	Lease func() time.Time
	// TakenBack reports whether a target version was rolled back.
	TakenBack func(service, version string) bool
	// Endpoints returns the endpoints of a service as last received by this
	// daemon, including those that departed in the last keyhome.DepartedRetention.
	Endpoints func(service string) []*pb.Endpoint
	// HasBundle reports whether the daemon has the configuration bundle of a service.
	HasBundle func(service string) bool
	// ConfigVersion returns the active configuration version.
	ConfigVersion func() uint64
	Suspects      SuspectPublisher
	// Forward runs a call on another target of the call's version. It is used for
	// keys whose home is this daemon. If nil, such calls are refused.
	Forward func(ctx context.Context, head *pb.CallHead, body []byte) (*pb.AnswerHead, []byte)
	// OnConfigVersion is called with the configuration version of the caller; may be
	// nil.
	OnConfigVersion func(version uint64)
	// OnDown is called once when the gate detects that the target is down; may be
	// nil.
	OnDown func()
	Logger *zap.Logger
}

// phase is the lifecycle phase of the target.
type phase int

const (
	phaseNone phase = iota
	phaseReady
	phaseLeaving
	phaseDown
)

// targetState is the announced target that calls are checked against. It is
// immutable.
type targetState struct {
	service, version string
	phase            phase
}

// Gate admits calls to the target. It makes the final decision whether a call may
// run, because only the daemon next to the target knows its current state.
type Gate struct {
	options  Options
	state    atomic.Pointer[targetState]
	queue    Scheduler
	keys     *KeyTable
	suspects *Suspects
	running  tracker // calls sent to the target
	serving  tracker // call streams from caller sides
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

// Ready starts to admit calls to a target. The slots function returns the number
// of calls that may run concurrently.
func (g *Gate) Ready(service, version string, slots func(now time.Time) int) {
	current := g.state.Load()
	if current.service != service || current.version != version {
		g.suspects.Reset(service)
	}
	g.state.Store(&targetState{service: service, version: version, phase: phaseReady})
	g.running.setClosed(false)
	g.queue.Open(slots)
}

// Leave stops admitting calls because the target is leaving. Queued calls are
// refused as not run.
func (g *Gate) Leave() {
	g.stop(phaseLeaving, newRefusedError(pb.Refusal_REFUSAL_LEAVING, "the target is leaving", 0))
}

// SetDown refuses calls until the target is ready again.
func (g *Gate) SetDown() {
	g.stop(phaseDown, newRefusedError(pb.Refusal_REFUSAL_NO_TARGET, "the target is down", 0))
}

// RecordCrash records a crash of the target, which ended the calls in flight.
func (g *Gate) RecordCrash() {
	n := g.suspects.RecordCrash()
	eventCrash.Log(g.options.Logger, zap.Int("suspects", n))
}

func (g *Gate) stop(p phase, err *RefusedError) {
	next := *g.state.Load()
	next.phase = p
	g.state.Store(&next)
	g.running.setClosed(true)
	g.queue.Close(err)
}

// Drain waits until all calls sent to the target have ended or ctx is done. It
// returns the number of calls still running, which fail if the target stops.
func (g *Gate) Drain(ctx context.Context) int { return g.running.wait(ctx) }

// DrainStreams waits until all responses have been sent to the caller sides or
// ctx is done. A planned stop of the daemon calls it after Drain. It returns the
// number of open streams, which are aborted if the daemon stops.
func (g *Gate) DrainStreams(ctx context.Context) int { return g.serving.wait(ctx) }

// call is one attempt of a call with its timing.
type call struct {
	head        *pb.CallHead
	body        []byte
	received    time.Time
	deadline    time.Time
	fingerprint uint64
	waited      time.Duration
	ran         time.Duration
}

// Do runs one attempt of a call and returns the response or the reason why there
// is none. OUTCOME_NOT_RUN guarantees that this attempt did not reach the target.
func (g *Gate) Do(ctx context.Context, head *pb.CallHead, body []byte) (*pb.AnswerHead, []byte) {
	now := time.Now()
	c := &call{
		head:        head,
		body:        body,
		received:    now,
		deadline:    now.Add(time.Duration(head.GetDeadlineMs()) * time.Millisecond),
		fingerprint: Fingerprint(head.GetMethod(), head.GetPath(), body),
	}
	if g.options.OnConfigVersion != nil {
		g.options.OnConfigVersion(head.GetConfigVersion())
	}
	var answer *pb.AnswerHead
	var responseBody []byte
	if head.GetIdempotent() || head.GetRecorded() {
		answer, responseBody = g.run(ctx, c, nil)
	} else {
		answer, responseBody = g.doKeyed(ctx, c)
	}
	answer.Load = g.queue.Load()
	answer.ConfigVersion = g.options.ConfigVersion()
	g.log(c, answer)
	return answer, responseBody
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
		record, state, refused := g.lookupKey(c, id, created)
		if refused != nil {
			return refused, nil
		}
		switch state {
		case keyNew:
			if g.mustForward(c) {
				return g.forward(ctx, c, record)
			}
			return g.run(ctx, c, record)
		case keyRunning:
			if head, body, ended := g.awaitFirstRun(ctx, c, record); ended {
				return head, body
			}
		case keyAnswered:
			return g.storedResponse(record)
		case keyMismatch:
			return badRequestHead(http.StatusUnprocessableEntity, "the key was used with another request"), nil
		case keyTableFull:
			return newRefusedError(pb.Refusal_REFUSAL_OVERLOAD, "too many keys are remembered", time.Minute).head(), nil
		case keyTooManyWaiting:
			return unknownHead(http.StatusGatewayTimeout, "the key's first attempt is still in progress"), nil
		case keyEvicted:
			return unknownHead(http.StatusGatewayTimeout, "the key may have run; its record was dropped"), nil
		default:
			return unknownHead(http.StatusGatewayTimeout, "already run; the answer is not kept"), nil
		}
	}
}

// lookupKey determines the key's home from the endpoints that this daemon has
// received and looks up the key. It reserves a new key only if this daemon is the
// home; an existing record is used in any case.
func (g *Gate) lookupKey(c *call, id string, created int64) (*keyRecord, keyState, *pb.AnswerHead) {
	home := keyhome.Home(c.head.GetKey(), created, g.options.Endpoints(c.head.GetService()), c.received)
	isHome := home.Endpoint.GetName() == g.options.Name
	if home.Status == keyhome.Found && isHome {
		record, state := g.keys.Reserve(id, c.fingerprint, created)
		return record, state, nil
	}
	record, state := g.keys.Lookup(id, c.fingerprint, created)
	if state != keyAbsent {
		return record, state, nil
	}
	switch {
	case home.Status == keyhome.FromFuture:
		return nil, state, badRequestHead(http.StatusBadRequest, "the key's creation time is in the future")
	case home.Status == keyhome.NoneEligible:
		return nil, state, newRefusedError(pb.Refusal_REFUSAL_NOT_HOME, home.Status.String(), home.RetryAfter).head()
	case home.Status == keyhome.Departed || home.Status == keyhome.Expired || isHome:
		return nil, state, unknownHead(http.StatusGatewayTimeout, "the key may have run: "+home.Status.String())
	}
	return nil, state, newRefusedError(pb.Refusal_REFUSAL_NOT_HOME, "the key's home is "+home.Endpoint.GetName(), 0).head()
}

// awaitFirstRun waits for the end of an earlier attempt with the same key. It
// returns false if that attempt did not run, so that this attempt may run.
func (g *Gate) awaitFirstRun(ctx context.Context, c *call, record *keyRecord) (*pb.AnswerHead, []byte, bool) {
	defer g.keys.stopWaiting(record)
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case <-record.done:
	case <-ctx.Done():
		return unknownHead(http.StatusGatewayTimeout, "the caller gave up while the key's first attempt was in progress"), nil, true
	case <-timer.C:
		return unknownHead(http.StatusGatewayTimeout, "the key's first attempt is still in progress"), nil, true
	}
	response, dispatched := g.keys.outcome(record)
	if !dispatched {
		return nil, nil, false
	}
	if response == nil {
		return unknownHead(http.StatusGatewayTimeout, "the key's first attempt has an unknown outcome"), nil, true
	}
	return answeredHead(response), response.Body, true
}

func (g *Gate) storedResponse(record *keyRecord) (*pb.AnswerHead, []byte) {
	response, _ := g.keys.outcome(record)
	if response == nil { // evicted since the lookup to limit memory
		return unknownHead(http.StatusGatewayTimeout, "already run; the answer is not kept"), nil
	}
	return answeredHead(response), response.Body
}

func answeredHead(response *Response) *pb.AnswerHead {
	return &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_ANSWERED, Status: response.Status, Headers: response.Headers}
}

// log writes the decision log entry of a call.
func (g *Gate) log(c *call, answer *pb.AnswerHead) {
	event := eventAnswered
	switch answer.GetOutcome() {
	case pb.Outcome_OUTCOME_NOT_RUN:
		event = eventRefused
	case pb.Outcome_OUTCOME_UNKNOWN:
		event = eventUnknown
	case pb.Outcome_OUTCOME_BAD_REQUEST:
		event = eventBadRequest
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
