package proxy

import (
	"context"
	"encoding/base64"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// Headers between daemons. Callers may not set headers with hopPrefix.
const (
	hopPrefix     = "Nutmegstand-"
	callHeader    = "Nutmegstand-Call"
	outcomeHeader = "Nutmegstand-Outcome"
)

// deadlineGrace lets the caller side, which knows the exact deadline, end a call.
const deadlineGrace = 200 * time.Millisecond

// encodeHeader returns a message as the value of a header.
func encodeHeader(m proto.Message) string {
	data, err := proto.Marshal(m)
	if err != nil {
		panic("proxy: header cannot be encoded: " + err.Error()) // its strings came as headers or JSON
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

func decodeHeader(value string, m proto.Message) error {
	data, err := base64.RawStdEncoding.DecodeString(value)
	if err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}

func (c *Call) hop() string {
	return encodeHeader(&pb.AttemptHead{
		Target: c.Target, Route: c.Route, Service: c.Service, Kind: uint32(slices.Index(routing.Kinds, c.Kind)),
		Priority: int32(c.Priority), ObjectiveMs: c.Objective.Milliseconds(), CallerService: c.CallerService,
		ConfigVersion: c.ConfigVersion, Attempt: int32(c.Attempt), Repeat: c.Repeat, Inner: c.Inner, LeftUs: time.Until(c.Deadline).Microseconds(),
		CallerMbps: float32(c.CallerMbps),
	})
}

// HopError reports a call whose head another daemon did not write.
type HopError struct{ Cause error }

func (e *HopError) Error() string { return "proxy: head of a call: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *HopError) Unwrap() error { return e.Cause }

var errUnknownKind = errors.New("the kind of the route is not known")

// callFromHop rebuilds the call that another daemon sent.
func callFromHop(r *http.Request, names HeaderNames) (*Call, error) {
	h := &pb.AttemptHead{}
	if err := decodeHeader(r.Header.Get(callHeader), h); err != nil {
		return nil, &HopError{err}
	}
	if int(h.GetKind()) >= len(routing.Kinds) {
		return nil, &HopError{errUnknownKind}
	}
	now := time.Now()
	r.Header.Del(callHeader)
	return &Call{
		ID: r.Header.Get(names.RequestID), Route: h.GetRoute(), Service: h.GetService(), Target: h.GetTarget(),
		Kind: routing.Kinds[h.GetKind()], Priority: int(h.GetPriority()),
		Objective:     time.Duration(h.GetObjectiveMs()) * time.Millisecond,
		CallerService: h.GetCallerService(), ConfigVersion: h.GetConfigVersion(), Attempt: int(h.GetAttempt()), Repeat: h.GetRepeat(), Inner: h.GetInner(),
		CallerMbps: float64(h.GetCallerMbps()),
		Method:     r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: requestBody(r),
		Received: now, Deadline: now.Add(time.Duration(h.GetLeftUs()) * time.Microsecond),
	}, nil
}

// hop encodes the outcome of an attempt.
func (a *Answer) hop() string {
	m := &pb.AttemptOutcome{
		Outcome: uint32(slices.Index(outcomes, a.Outcome)), Reason: a.Reason, RetryAfterMs: a.RetryAfter.Milliseconds(),
		RanUs: a.Ran.Microseconds(), WaitedUs: a.Waited.Microseconds(),
	}
	if l := a.Load; l != nil {
		m.Load = &pb.TargetLoad{Busy: int32(l.Busy), Queued: int32(l.Queued), Slots: int32(l.Slots), ServiceUs: l.Service.Microseconds(), UplinkKb: int32(l.Uplink)}
	}
	return encodeHeader(m)
}

// answerFromHop decodes the outcome that a target side sent.
func answerFromHop(r *http.Response) (*Answer, error) {
	m := &pb.AttemptOutcome{}
	if err := decodeHeader(r.Header.Get(outcomeHeader), m); err != nil {
		return nil, &HopError{err}
	}
	if int(m.GetOutcome()) >= len(outcomes) || r.Header.Get(outcomeHeader) == "" {
		return nil, &HopError{errUnknownOutcome}
	}
	a := &Answer{
		Outcome: outcomes[m.GetOutcome()], Reason: m.GetReason(), RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Status: r.StatusCode, Ran: time.Duration(m.GetRanUs()) * time.Microsecond, Waited: time.Duration(m.GetWaitedUs()) * time.Microsecond,
	}
	if l := m.GetLoad(); l != nil {
		a.Load = &Load{
			Busy: int(l.GetBusy()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()),
			Service: time.Duration(l.GetServiceUs()) * time.Microsecond, Uplink: float64(l.GetUplinkKb()), At: time.Now(),
		}
	}
	return a, nil
}

var errUnknownOutcome = errors.New("the outcome is not known")

// requestBody returns the body of a server's request, nil if it has none.
func requestBody(r *http.Request) *Body {
	if r.ContentLength == 0 {
		return nil
	}
	return NewBody(r.Body, r.ContentLength)
}

// stripHopHeaders removes headers that only daemons may set.
func stripHopHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), hopPrefix) {
			delete(h, name)
		}
	}
}

// Peers sends calls to the target sides of other daemons.
type Peers struct {
	mu    sync.Mutex
	pools map[string]*pool
}

// NewPeers returns Peers without connections.
func NewPeers() *Peers { return &Peers{pools: make(map[string]*pool)} }

func (p *Peers) pool(address string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools[address] == nil {
		p.pools[address] = newPool(address)
	}
	return p.pools[address]
}

// Sweep closes idle connections; it is called periodically.
func (p *Peers) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pool := range p.pools {
		pool.sweep()
		pool.mu.Lock()
		if pool.open <= 0 {
			delete(p.pools, address)
		}
		pool.mu.Unlock()
	}
}

// Do sends a call to the daemon at an address.
func (p *Peers) Do(ctx context.Context, address string, call *Call) *Answer {
	conns := p.pool(address)
	maxIdle := time.Hour
	if !call.Kind.Repeatable() {
		maxIdle = freshIdle
	}
	c, err := conns.get(ctx, maxIdle)
	if err != nil {
		return &Answer{Outcome: Unreached, Reason: err.Error(), Silent: silent(ctx, err)}
	}
	header := endToEnd(call.Header)
	header.Set(callHeader, call.hop())
	x, err := c.roundTrip(ctx, &outgoing{method: call.Method, uri: call.URI, host: call.Host, header: header, body: call.Body})
	if err != nil {
		conns.discard(c)
		return &Answer{Outcome: Unknown, Reason: err.Error(), Silent: silent(ctx, err)}
	}
	return hopAnswer(x, conns)
}

// hopAnswer reads what a target side answered.
func hopAnswer(x *exchange, conns *pool) *Answer {
	r := x.response
	body := &answerBody{exchange: x, pool: conns, done: func(bool) {}}
	answer, err := answerFromHop(r)
	if err != nil {
		_ = body.Close()
		return &Answer{Outcome: Unknown, Reason: err.Error()}
	}
	if answer.Outcome != Answered {
		_, _ = io.Copy(io.Discard, body) // the outcome stands in the head
		_ = body.Close()
		return answer
	}
	answer.Header = endToEnd(r.Header)
	answer.Header.Del(outcomeHeader)
	answer.Length, answer.Body = r.ContentLength, body
	return answer
}

// Inbound serves the calls of other daemons by a target side.
type Inbound struct {
	Names  HeaderNames
	Target TargetSide
	Uplink *Uplink
}

// ServeHTTP implements http.Handler.
func (s Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := callFromHop(r, s.Names)
	if err != nil {
		http.Error(w, "not a call of a daemon", http.StatusBadRequest)
		return
	}
	allowEarlyAnswer(w)
	if call.Body != nil {
		if err := call.Body.Prefetch(); err != nil {
			return // the caller left while it sent the request
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline.Add(deadlineGrace))
	defer cancel()
	answer := s.Target.Do(ctx, call)
	defer answer.Close()
	w.Header().Set(outcomeHeader, answer.hop())
	if answer.Outcome != Answered {
		writeEmpty(w, http.StatusServiceUnavailable)
		return
	}
	if answer.held && answer.Length >= transferMin {
		defer s.Uplink.Acquire(ctx, answer.Length)()
		answer.Body = s.Uplink.Pace(ctx, answer.Body, call.CallerMbps)
	}
	if err := deliver(w, answer); err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
}
