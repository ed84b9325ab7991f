package proxy

import (
	"context"
	"encoding/base64"
	"errors"
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

// Headers that are used between daemons. Headers with reservedPrefix are removed
// from the requests of callers.
const (
	reservedPrefix = "Nutmegstand-"
	callHeader     = "Nutmegstand-Call"
	outcomeHeader  = "Nutmegstand-Outcome"
)

// deadlineGrace is added to the deadline on the target side, so that the caller
// side, which knows the exact deadline, ends the call first.
const deadlineGrace = 200 * time.Millisecond

// bodyGrace is added to the deadline of a call for the rest of its body. The call has
// ended then.
const bodyGrace = 2 * deadlineGrace

// encodeHeader returns a message encoded as a header value.
func encodeHeader(m proto.Message) string {
	data, err := proto.Marshal(m)
	if err != nil {
		panic("proxy: header cannot be encoded: " + err.Error()) // its strings come from hop headers, JSON or Go errors and are valid UTF-8
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

// encodeHeader returns the value of callHeader for an attempt.
func (c *Call) encodeHeader() string {
	return encodeHeader(&pb.AttemptHead{
		Target: c.Target, Route: c.Route, Service: c.Service, Kind: uint32(slices.Index(routing.Kinds, c.Kind)),
		Priority: int32(c.Priority), ObjectiveMs: c.Objective.Milliseconds(), CallerService: c.CallerService,
		ConfigVersion: c.ConfigVersion, Attempt: int32(c.Attempt), Repeat: c.Retry, Inner: c.Inner, LeftUs: time.Until(c.Deadline).Microseconds(),
		CallerMbps: float32(c.CallerMbps), AgeMs: c.Age.Milliseconds(), RateLimit: c.TargetLimit, Workspace: c.Workspace, KeyDigest: c.digestBytes(),
	})
}

// digestBytes returns the digest of the key, nil if there is none.
func (c *Call) digestBytes() []byte {
	if c.KeyDigest.IsZero() {
		return nil
	}
	return c.KeyDigest[:]
}

// HopHeaderError reports a missing or invalid header between daemons.
type HopHeaderError struct{ Cause error }

func (e *HopHeaderError) Error() string {
	return "proxy: head of a call: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *HopHeaderError) Unwrap() error { return e.Cause }

var errUnknownKind = errors.New("unknown route kind")

// decodeCall decodes a call that another daemon sent.
func decodeCall(r *http.Request, names HeaderNames) (*Call, error) {
	h := &pb.AttemptHead{}
	if err := decodeHeader(r.Header.Get(callHeader), h); err != nil {
		return nil, &HopHeaderError{err}
	}
	if int(h.GetKind()) >= len(routing.Kinds) {
		return nil, &HopHeaderError{errUnknownKind}
	}
	now := time.Now()
	r.Header.Del(callHeader)
	var digest routing.KeyDigest
	copy(digest[:], h.GetKeyDigest())
	return &Call{
		ID: r.Header.Get(names.RequestID), Route: h.GetRoute(), Service: h.GetService(), Target: h.GetTarget(),
		Kind: routing.Kinds[h.GetKind()], Priority: int(h.GetPriority()),
		Objective:     time.Duration(h.GetObjectiveMs()) * time.Millisecond,
		CallerService: h.GetCallerService(), Workspace: h.GetWorkspace(), KeyDigest: digest, ConfigVersion: h.GetConfigVersion(), Attempt: int(h.GetAttempt()), Retry: h.GetRepeat(), Inner: h.GetInner(), TargetLimit: h.GetRateLimit(),
		CallerMbps: float64(h.GetCallerMbps()), Age: time.Duration(h.GetAgeMs()) * time.Millisecond,
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: requestBody(r),
		Received: now, Deadline: now.Add(time.Duration(h.GetLeftUs()) * time.Microsecond),
	}, nil
}

// encodeOutcome returns the value of outcomeHeader for the result of an
// attempt.
func (a *AttemptResult) encodeOutcome() string {
	m := &pb.AttemptOutcome{
		Outcome: uint32(slices.Index(outcomes, a.Outcome)), Reason: strings.ToValidUTF8(a.Reason, "?"), RetryAfterMs: a.RetryAfter.Milliseconds(),
		RanUs: a.Ran.Microseconds(), WaitedUs: a.Waited.Microseconds(), InnerFailed: a.InnerFailed,
	}
	if l := a.Load; l != nil {
		m.Load = &pb.TargetLoad{Busy: int32(l.Busy), Queued: int32(l.Queued), Slots: int32(l.Slots), ServiceUs: l.ServiceTime.Microseconds(), UplinkKb: int32(l.Uplink), RateLimit: l.RateLimit, RateWaitUs: l.RateWait.Microseconds(), BacklogUs: l.Backlog.Microseconds()}
	}
	return encodeHeader(m)
}

// decodeResult decodes the result that a target side sent, without its headers
// and body.
func decodeResult(r *http.Response) (*AttemptResult, error) {
	m := &pb.AttemptOutcome{}
	if err := decodeHeader(r.Header.Get(outcomeHeader), m); err != nil {
		return nil, &HopHeaderError{err}
	}
	if int(m.GetOutcome()) >= len(outcomes) || r.Header.Get(outcomeHeader) == "" {
		return nil, &HopHeaderError{errUnknownOutcome}
	}
	a := &AttemptResult{
		Outcome: outcomes[m.GetOutcome()], Reason: m.GetReason(), RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
		Status: r.StatusCode, Ran: time.Duration(m.GetRanUs()) * time.Microsecond, Waited: time.Duration(m.GetWaitedUs()) * time.Microsecond,
		InnerFailed: m.GetInnerFailed(),
	}
	if l := m.GetLoad(); l != nil {
		a.Load = &Load{
			Busy: int(l.GetBusy()), Queued: int(l.GetQueued()), Slots: int(l.GetSlots()),
			ServiceTime: time.Duration(l.GetServiceUs()) * time.Microsecond, Uplink: float64(l.GetUplinkKb()), At: time.Now(),
			RateLimit: l.GetRateLimit(), RateWait: time.Duration(l.GetRateWaitUs()) * time.Microsecond,
			Backlog: time.Duration(max(0, l.GetBacklogUs())) * time.Microsecond,
		}
	}
	return a, nil
}

var errUnknownOutcome = errors.New("the outcome is not known")

// requestBody returns the body of a server request, nil if the request has
// none.
func requestBody(r *http.Request) *Body {
	if r.ContentLength == 0 {
		return nil
	}
	return NewBody(r.Body, r.ContentLength)
}

// stripReservedHeaders removes the headers that only daemons may set.
func stripReservedHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), reservedPrefix) {
			delete(h, name)
		}
	}
}

// Peers sends calls to the target sides of other daemons. It keeps a connection
// pool for each address.
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

// Sweep closes expired idle connections and removes the pools without
// connections. It must be called periodically.
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

// Do sends a call to the daemon at an address and returns its result.
func (p *Peers) Do(ctx context.Context, address string, call *Call) *AttemptResult {
	conns := p.pool(address)
	maxIdle := time.Hour
	if !call.Kind.Repeatable() {
		maxIdle = maxIdleNonRepeatable
	}
	c, err := conns.get(ctx, maxIdle)
	if err != nil {
		return &AttemptResult{Outcome: Unreached, Reason: err.Error(), Unresponsive: unresponsive(ctx, err)}
	}
	header := endToEnd(call.Header)
	header.Set(callHeader, call.encodeHeader())
	x, err := c.roundTrip(ctx, &outboundRequest{method: call.Method, uri: call.URI, host: call.Host, header: header, body: call.Body, once: !call.Kind.Repeatable()})
	if err != nil {
		conns.discard(c)
		return &AttemptResult{Outcome: Unknown, Reason: err.Error(), Unresponsive: unresponsive(ctx, err)}
	}
	return readPeerResult(x, conns)
}

// readPeerResult reads the result that a target side returned.
func readPeerResult(x *exchange, conns *pool) *AttemptResult {
	r := x.response
	body := &responseBody{exchange: x, pool: conns, done: func(bool) {}}
	result, err := decodeResult(r)
	if err != nil {
		_ = body.Close()
		return &AttemptResult{Outcome: Unknown, Reason: err.Error()}
	}
	if result.Outcome != Answered {
		x.conn.discard(body) // the outcome is in the header
		_ = body.Close()
		return result
	}
	result.Header = endToEnd(r.Header)
	result.Header.Del(outcomeHeader)
	result.Length, result.Body = r.ContentLength, body
	return result
}

// Inbound is the HTTP handler for calls from other daemons. It passes them to
// Target.
type Inbound struct {
	Names  HeaderNames
	Target TargetSide
	Uplink *Uplink
}

// ServeHTTP implements http.Handler.
func (s Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := decodeCall(r, s.Names)
	if err != nil {
		http.Error(w, "not a call of a daemon", http.StatusBadRequest)
		return
	}
	allowEarlyResponse(w)
	if call.Body != nil {
		// A body that stops would keep the connection after the end of the call.
		_ = http.NewResponseController(w).SetReadDeadline(call.Deadline.Add(bodyGrace))
		if err := call.Body.Prefetch(); err != nil {
			// The caller disconnected, or the body is late: what follows is no request.
			panic(http.ErrAbortHandler)
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline.Add(deadlineGrace))
	defer cancel()
	result := s.Target.Do(ctx, call)
	defer result.Close()
	w.Header().Set(outcomeHeader, result.encodeOutcome())
	if call.Body != nil && !call.Body.ended() {
		// The server panics if it reads the rest of the body after an early response.
		w.Header().Set("Connection", "close")
	}
	if result.Outcome != Answered {
		writeEmpty(w, http.StatusServiceUnavailable)
		return
	}
	if result.buffered && result.Length >= minTransferBytes {
		defer s.Uplink.Acquire(ctx, result.Length)()
		result.Body = s.Uplink.Pace(ctx, result.Body, call.CallerMbps)
	}
	if err := writeResponse(w, result); err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
}
