package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"time"

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

// hopCall is what a caller side tells a target side of a call.
type hopCall struct {
	ID            string       `json:"id"`
	Route         string       `json:"r"`
	Service       string       `json:"s"`
	Target        string       `json:"t"`
	Version       string       `json:"v"`
	Kind          routing.Kind `json:"k"`
	Priority      int          `json:"p"`
	ObjectiveMS   int64        `json:"o"`
	CallerService string       `json:"c"`
	ConfigVersion uint64       `json:"cv"`
	Attempt       int          `json:"a"`
	Repeat        bool         `json:"rp,omitempty"`
	LeftUS        int64        `json:"l"` // time left in microseconds
}

// hopOutcome is what a target side tells of an attempt.
type hopOutcome struct {
	Outcome      Outcome `json:"o"`
	Reason       string  `json:"r,omitempty"`
	RetryAfterMS int64   `json:"ra,omitempty"`
	RanUS        int64   `json:"ran,omitempty"`
	Load         *Load   `json:"l,omitempty"`
}

func encodeHeader(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic("proxy: header cannot be encoded: " + err.Error()) // plain values only
	}
	return string(data)
}

func (c *Call) hop() string {
	return encodeHeader(hopCall{
		ID: c.ID, Route: c.Route, Service: c.Service, Target: c.Target, Version: c.Version, Kind: c.Kind,
		Priority: c.Priority, ObjectiveMS: c.Objective.Milliseconds(), CallerService: c.CallerService,
		ConfigVersion: c.ConfigVersion, Attempt: c.Attempt, Repeat: c.Repeat, LeftUS: time.Until(c.Deadline).Microseconds(),
	})
}

// callFromHop rebuilds the call that another daemon sent.
func callFromHop(r *http.Request) (*Call, error) {
	var h hopCall
	if err := json.Unmarshal([]byte(r.Header.Get(callHeader)), &h); err != nil {
		return nil, err
	}
	now := time.Now()
	r.Header.Del(callHeader)
	call := &Call{
		ID: h.ID, Route: h.Route, Service: h.Service, Target: h.Target, Version: h.Version, Kind: h.Kind,
		Priority: h.Priority, Objective: time.Duration(h.ObjectiveMS) * time.Millisecond,
		CallerService: h.CallerService, ConfigVersion: h.ConfigVersion, Attempt: h.Attempt, Repeat: h.Repeat,
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header,
		Received: now, Deadline: now.Add(time.Duration(h.LeftUS) * time.Microsecond),
	}
	call.Body = requestBody(r)
	return call, nil
}

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
		return &Answer{Outcome: Unreached, Reason: err.Error()}
	}
	header := endToEnd(call.Header)
	header.Set(callHeader, call.hop())
	x, err := c.roundTrip(ctx, &outgoing{method: call.Method, uri: call.URI, host: call.Host, header: header, body: call.Body})
	if err != nil {
		conns.discard(c)
		return &Answer{Outcome: Unknown, Reason: err.Error()}
	}
	return hopAnswer(x, conns)
}

// hopAnswer reads what a target side answered.
func hopAnswer(x *exchange, conns *pool) *Answer {
	r := x.response
	body := &answerBody{exchange: x, pool: conns, done: func(bool) {}}
	var h hopOutcome
	if err := json.Unmarshal([]byte(r.Header.Get(outcomeHeader)), &h); err != nil {
		_ = body.Close()
		return &Answer{Outcome: Unknown, Reason: "answer of the daemon without an outcome"}
	}
	if h.Load != nil {
		h.Load.At = time.Now()
	}
	answer := &Answer{
		Outcome: h.Outcome, Reason: h.Reason, RetryAfter: time.Duration(h.RetryAfterMS) * time.Millisecond,
		Load: h.Load, Status: r.StatusCode, Ran: time.Duration(h.RanUS) * time.Microsecond,
	}
	if h.Outcome != Answered {
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
type Inbound struct{ Target TargetSide }

// ServeHTTP implements http.Handler.
func (s Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := callFromHop(r)
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
	outcome := hopOutcome{
		Outcome: answer.Outcome, Reason: answer.Reason, RetryAfterMS: answer.RetryAfter.Milliseconds(),
		RanUS: answer.Ran.Microseconds(), Load: answer.Load,
	}
	header := w.Header()
	header.Set(outcomeHeader, encodeHeader(outcome))
	if answer.Outcome != Answered {
		writeEmpty(w, http.StatusServiceUnavailable)
		return
	}
	if err := deliver(w, answer); err != nil {
		panic(http.ErrAbortHandler) // closes the connection
	}
}
