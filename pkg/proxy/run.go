package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/proxy/admission"
	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

// leavingValue is the value of the header in the responses of a leaving target.
const leavingValue = "1"

// run sends a call that has been granted a slot to the target. request is the one that
// has the slot.
func (g *Gate) run(
	ctx context.Context, call *Call, request *attempt.Request, target *LocalTarget, slots *admission.Queue, conns *pool,
) *AttemptResult {
	suspect := g.track(call)
	started := time.Now()
	phase := g.coldPhase()
	finish := func(ran time.Duration) {
		g.untrack(call)
		slots.Finish(request, ran)
	}
	maxIdle := time.Hour
	if !call.Kind.Repeatable() {
		maxIdle = maxIdleNonRepeatable
	}
	c, err := conns.get(ctx, maxIdle)
	if err != nil {
		finish(0)
		g.markUnreachable(ctx, target, err)
		return &AttemptResult{Outcome: Refused, Reason: ReasonTargetDown, RetryAfter: defaultRetryAfter, Load: g.load(slots)}
	}
	g.markReachable()
	if g.coldPhase() != phase {
		// The slot was granted at the rate of a warm target, which has restarted since.
		conns.put(c)
		finish(0)
		return &AttemptResult{Outcome: Refused, Reason: ReasonQueueFull, RetryAfter: defaultRetryAfter, Load: g.load(slots)}
	}
	x, err := c.roundTrip(ctx, g.outboundRequest(call, target))
	if err != nil {
		conns.discard(c)
		if connectionLost(err) {
			g.loseConnection(target)
		}
		g.confirmCrash(ctx, call, err)
		finish(0)
		result := &AttemptResult{Outcome: Unknown, Reason: err.Error(), Load: g.load(slots)}
		if suspect {
			result.Reason = ReasonSuspect
		}
		return result
	}
	g.recordLimit(target, slots, x.response)
	if x.response.Header.Get(g.Names.Leaving) == leavingValue {
		g.Leave(target.ID)
		g.OnLeaving(target.ID)
	}
	return g.readResult(call, x, started, conns, finish, slots)
}

func (g *Gate) outboundRequest(call *Call, target *LocalTarget) *outboundRequest {
	header := endToEnd(call.Header)
	header.Set(g.Names.TimeLeft, strconv.FormatInt(time.Until(call.Deadline).Milliseconds(), 10))
	header.Set(g.Names.ExpectedTarget, target.ID)
	header.Set(g.Names.CallerService, call.CallerService)
	g.Names.setWorkspace(header, call.Workspace)
	return &outboundRequest{
		method: call.Method, uri: call.URI, host: call.Host, header: header, body: call.Body,
		idHeader: g.Names.RequestID, id: call.ID, notRunHeader: g.Names.NotRun, once: !call.Kind.Repeatable(),
	}
}

// readResult reads the target's response and returns the result of the attempt.
func (g *Gate) readResult(
	call *Call, x *exchange, started time.Time, conns *pool, finish func(time.Duration), slots *admission.Queue,
) *AttemptResult {
	r := x.response
	load := g.load(slots)
	rejected := r.Header.Get(g.Names.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
	invalid := g.invalidReason(r)
	body := &responseBody{exchange: x, pool: conns, lost: conns.reportLost, done: func(complete bool) {
		if complete && r.StatusCode < http.StatusInternalServerError {
			if !rejected && invalid == "" {
				g.Suspects.RecordRun(call)
			}
			finish(time.Since(started))
		} else {
			finish(0)
		}
	}}
	if rejected {
		x.conn.discard(body) // a refusal with an incomplete body is still valid
		_ = body.Close()
		return &AttemptResult{
			Outcome: Rejected, Reason: "status " + strconv.Itoa(r.StatusCode), Status: r.StatusCode,
			RetryAfter: max(load.Wait, defaultRetryAfter), Load: load,
		}
	}
	if invalid != "" {
		_ = body.Close()
		return &AttemptResult{Outcome: Unknown, Reason: invalid, Load: load}
	}
	result := &AttemptResult{
		Outcome: Answered, Status: r.StatusCode, Header: endToEnd(r.Header), Length: r.ContentLength, Body: body,
		Load: load, Ran: time.Since(started),
		InnerFailed: r.StatusCode >= http.StatusInternalServerError && g.innerFailed(call),
	}
	result.bufferBody(g.Buffers)
	return result
}

// invalidReason returns why a response cannot come from the target itself,
// empty if it can.
func (g *Gate) invalidReason(r *http.Response) string {
	success := r.StatusCode >= 200 && r.StatusCode < 300
	switch {
	case success && r.Header.Get(g.Names.Signature) == "":
		return "answer without a signature"
	case r.Header.Get("Content-Encoding") != "":
		return "answer with a content encoding"
	}
	return ""
}

// responseBody is the body of a response. It returns the connection to the pool
// once the body has been read completely.
type responseBody struct {
	exchange *exchange
	pool     *pool
	done     func(complete bool)
	lost     func() // called when the peer has closed the connection within the body, if set
	once     sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.exchange.response.Body.Read(p)
	if err != nil {
		if b.lost != nil && !errors.Is(err, io.EOF) && connectionLost(err) {
			b.lost()
		}
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer. It closes the connection if the body has not been
// read completely.
func (b *responseBody) Close() error {
	b.end(b.exchange.response.Body == http.NoBody)
	return nil
}

func (b *responseBody) end(complete bool) {
	b.once.Do(func() {
		if !complete {
			b.exchange.abort()
		}
		if complete && b.exchange.finish() && b.exchange.bodySent() {
			b.pool.put(b.exchange.conn)
		} else {
			b.pool.discard(b.exchange.conn)
		}
		b.done(complete)
	})
}

// track adds a call to those in flight, and reports whether it is a suspect.
func (g *Gate) track(call *Call) bool {
	suspect := g.Suspects.Check(call) != Run
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[call] = suspect
	return suspect
}

func (g *Gate) untrack(call *Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inFlight, call)
}

// confirmCrash passes the calls in flight to Suspects when a connection to the
// target was lost while the response to a call was being read. It then reads the start of
// the call's body, by which its repetitions are recognized.
func (g *Gate) confirmCrash(ctx context.Context, call *Call, err error) {
	var connErr *ConnError
	if !errors.As(err, &connErr) || connErr.Phase != "read" {
		return
	}
	g.mu.Lock()
	calls := make([]RunningCall, 0, len(g.inFlight))
	for call, suspect := range g.inFlight {
		calls = append(calls, RunningCall{call, suspect})
	}
	target := g.target
	g.mu.Unlock()
	if target != nil {
		g.Suspects.ConfirmCrash(target.Address, calls)
	}
	ctx, cancel := context.WithTimeout(ctx, crashBodyTimeout)
	defer cancel()
	call.Body.readPrefix(ctx)
}

func (g *Gate) markUnreachable(ctx context.Context, target *LocalTarget, err error) {
	if ctx.Err() != nil {
		return
	}
	g.loseConnection(target)
	g.mu.Lock()
	g.downUntil = g.Clock.Now().Add(downRetryInterval)
	changed := !g.down
	g.down = true
	g.mu.Unlock()
	if changed {
		eventTargetDown.Log(g.Logger, zap.Error(err))
		g.OnReachabilityChange()
	}
}

func (g *Gate) markReachable() {
	g.mu.Lock()
	changed := g.down
	g.down = false
	g.mu.Unlock()
	if changed {
		eventTargetUp.Log(g.Logger)
		g.OnReachabilityChange()
	}
}
