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
)

// run sends a call that holds a slot to the target.
func (g *Gate) run(ctx context.Context, call *Call, target *LocalTarget, slots *admission, conns *pool) *Answer {
	g.track(call, true)
	started := time.Now()
	finish := func(ran time.Duration) {
		g.track(call, false)
		slots.release(call.Route, ran)
	}
	maxIdle := time.Hour
	if !call.Kind.Repeatable() {
		maxIdle = freshIdle
	}
	c, err := conns.get(ctx, maxIdle)
	if err != nil {
		finish(0)
		g.unreachable(ctx, err)
		return &Answer{Outcome: Refused, Reason: ReasonTargetDown, RetryAfter: refusedRetry, Load: g.load(slots)}
	}
	g.reachable()
	x, err := c.roundTrip(ctx, g.outgoing(call, target))
	if err != nil {
		conns.discard(c)
		g.crashed(err)
		finish(0)
		return &Answer{Outcome: Unknown, Reason: err.Error(), Load: g.load(slots)}
	}
	return g.answer(call, x, started, conns, finish, slots)
}

func (g *Gate) outgoing(call *Call, target *LocalTarget) *outgoing {
	header := endToEnd(call.Header)
	header.Set(g.Names.TimeLeft, strconv.FormatInt(time.Until(call.Deadline).Milliseconds(), 10))
	header.Set(g.Names.ExpectedTarget, target.ID)
	header.Set(g.Names.CallerService, call.CallerService)
	return &outgoing{
		method: call.Method, uri: call.URI, host: call.Host, header: header, body: call.Body,
		idHeader: g.Names.RequestID, id: call.ID, notRunHeader: g.Names.NotRun,
	}
}

// answer turns the head of the target's answer into the outcome.
func (g *Gate) answer(
	call *Call, x *exchange, started time.Time, conns *pool, finish func(time.Duration), slots *admission,
) *Answer {
	r := x.response
	load := g.load(slots)
	body := &answerBody{exchange: x, pool: conns, done: func(whole bool) {
		if whole && r.StatusCode < http.StatusInternalServerError {
			finish(time.Since(started))
		} else {
			finish(0)
		}
	}}
	if r.Header.Get(g.Names.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest {
		_, _ = io.Copy(io.Discard, body) // an incomplete refusal is still one
		_ = body.Close()
		return &Answer{
			Outcome: Rejected, Reason: "status " + strconv.Itoa(r.StatusCode), Status: r.StatusCode,
			RetryAfter: max(load.Wait, refusedRetry), Load: load,
		}
	}
	if reason := g.invalid(r); reason != "" {
		_ = body.Close()
		return &Answer{Outcome: Unknown, Reason: reason, Load: load}
	}
	answer := &Answer{
		Outcome: Answered, Status: r.StatusCode, Header: endToEnd(r.Header), Length: r.ContentLength, Body: body,
		Load: load, Ran: time.Since(started),
	}
	answer.hold()
	return answer
}

// invalid tells why an answer cannot be the target's own.
func (g *Gate) invalid(r *http.Response) string {
	success := r.StatusCode >= 200 && r.StatusCode < 300
	switch {
	case success && r.Header.Get(g.Names.Signature) == "":
		return "answer without a signature"
	case r.Header.Get("Content-Encoding") != "":
		return "answer with a content encoding"
	}
	return ""
}

// answerBody reads the body of a target's answer and returns the connection to
// the pool when it was read whole.
type answerBody struct {
	exchange *exchange
	pool     *pool
	done     func(whole bool)
	once     sync.Once
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.exchange.response.Body.Read(p)
	if err != nil {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close implements io.Closer. A body that was not read whole ends its connection.
func (b *answerBody) Close() error {
	b.end(b.exchange.response.Body == http.NoBody)
	return nil
}

func (b *answerBody) end(whole bool) {
	b.once.Do(func() {
		if !whole {
			b.exchange.abort()
		}
		if whole && b.exchange.finish() && b.exchange.bodySent() {
			b.pool.put(b.exchange.conn)
		} else {
			b.pool.discard(b.exchange.conn)
		}
		b.done(whole)
	})
}

func (g *Gate) track(call *Call, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on {
		g.inFlight[call] = struct{}{}
	} else {
		delete(g.inFlight, call)
	}
}

// crashed reports the calls in flight when the target broke a connection off,
// if it then accepts no new one.
func (g *Gate) crashed(err error) {
	var failed *ConnError
	if !errors.As(err, &failed) || failed.Phase != "read" {
		return
	}
	g.mu.Lock()
	calls := make([]*Call, 0, len(g.inFlight))
	for call := range g.inFlight {
		calls = append(calls, call)
	}
	target := g.target
	g.mu.Unlock()
	if target != nil {
		g.Suspects.Check(target.Address, calls)
	}
}

func (g *Gate) unreachable(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	g.downTill = g.Clock.Now().Add(downPause)
	changed := !g.down
	g.down = true
	g.mu.Unlock()
	if changed {
		eventTargetDown.Log(g.Logger, zap.Error(err))
		g.Changed()
	}
}

func (g *Gate) reachable() {
	g.mu.Lock()
	changed := g.down
	g.down = false
	g.mu.Unlock()
	if changed {
		eventTargetUp.Log(g.Logger)
		g.Changed()
	}
}
