package route

import (
	"context"
	"errors"
	"math"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/route/chain"
)

// Defaults of EntryOptions.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 32 << 10
	// DefaultRequestTime bounds the time from the first byte of a request to its
	// last; 4 MB in 10 s need 3.4 Mbit/s.
	DefaultRequestTime = 10 * time.Second
	// DefaultWriteTime bounds one write to a caller that reads slowly.
	DefaultWriteTime = 10 * time.Second
	// DefaultIdleTime closes connections without a request.
	DefaultIdleTime = 60 * time.Second
	// DefaultMaxConnections bounds the memory of caller connections.
	DefaultMaxConnections = 4096
	// DefaultLinger is the first part of a drain, in which new connections are
	// still served, since callers learn of the drain with a delay, and
	// connections already in the listener's queue would be reset.
	DefaultLinger = 500 * time.Millisecond
)

// drainPoll is the interval at which a drain looks for ended requests.
const drainPoll = 5 * time.Millisecond

// EntryOptions configure an entry. Zero values take the defaults.
type EntryOptions struct {
	Listener net.Listener
	Router   *Router
	Logger   *zap.Logger
	// Local is set for the listener that only the daemon's own target uses. Calls
	// that arrive there are inner calls and carry the headers of their chain.
	Local          bool
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int
	RequestTime    time.Duration
	WriteTime      time.Duration
	IdleTime       time.Duration
	Linger         time.Duration
}

// Entry serves HTTP callers.
type Entry struct {
	options  EntryOptions
	server   *server.Hertz
	tracker  *connTracker
	draining atomic.Bool
}

// quietLibrary keeps the HTTP library's own log lines off the process's output:
// a hostile caller could fill it. What matters is logged as numbered events.
var quietLibrary = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// NewEntry returns an entry that serves the listener when Serve is called.
func NewEntry(options EntryOptions) *Entry {
	quietLibrary()
	options.setDefaults()
	e := &Entry{options: options, tracker: &connTracker{conns: map[*entryConn]struct{}{}}}
	listener := &trackingListener{
		Listener: options.Listener, tracker: e.tracker, requestTime: options.RequestTime, maxConns: options.MaxConnections,
	}
	// The standard transport is used because it can tell the handler that the
	// caller has gone; the library's other one cannot.
	e.server = server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(onAccept),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(options.MaxBodyBytes),
		server.WithMaxHeaderBytes(options.MaxHeaderBytes),
		server.WithReadTimeout(options.RequestTime),
		server.WithWriteTimeout(options.WriteTime),
		server.WithIdleTimeout(options.IdleTime),
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		server.WithRedirectFixedPath(false),
		server.WithHandleMethodNotAllowed(false),
		server.WithUseRawPath(true),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultContentType(true),
		server.WithExitWaitTime(time.Millisecond), // Drain waits itself
	)
	e.server.Use(e.handle)
	return e
}

func (o *EntryOptions) setDefaults() {
	for _, d := range []struct {
		field *int
		value int
	}{
		{&o.MaxBodyBytes, DefaultMaxBodyBytes},
		{&o.MaxHeaderBytes, DefaultMaxHeaderBytes},
		{&o.MaxConnections, DefaultMaxConnections},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.RequestTime, DefaultRequestTime},
		{&o.WriteTime, DefaultWriteTime},
		{&o.IdleTime, DefaultIdleTime},
		{&o.Linger, DefaultLinger},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

// Serve accepts callers until Drain ends. It is one task.
func (e *Entry) Serve() error { return e.server.Run() }

// handle serves one request. It ends the library's own routing.
func (e *Entry) handle(ctx context.Context, c *app.RequestContext) {
	defer c.Abort()
	if conn := connOf(ctx); conn != nil {
		conn.begin(string(c.Request.Header.Method()) + " " + string(c.Request.Header.RequestURI()))
		defer conn.end()
	}
	call, err := decodeCall(&c.Request, e.options.Local, time.Now())
	if err != nil {
		eventRefusedInput.Log(e.options.Logger, zap.Error(err))
		e.writeError(c, err)
		c.SetConnectionClose() // what follows on the connection may be misread
		return
	}
	answer, err := e.options.Router.Route(ctx, call)
	if err != nil {
		e.writeError(c, err)
	} else {
		writeAnswer(&c.Response, answer, e.options.Local)
	}
	if e.draining.Load() {
		c.SetConnectionClose()
	}
}

// writeAnswer writes a whole answer of a target.
func writeAnswer(response *protocol.Response, answer *Answer, local bool) {
	response.SetStatusCode(answer.Status)
	for _, h := range answer.Headers {
		name := h.GetName()
		// A target cannot speak for the mesh towards an outside caller.
		if hopHeaders[name] || internalName(name) && !(local && name == chain.NoRetry) {
			continue
		}
		response.Header.Add(name, h.GetValue())
	}
	response.SetBodyRaw(answer.Body)
}

// writeError answers a call that has no answer from a target.
func (e *Entry) writeError(c *app.RequestContext, err error) {
	var refused *RequestError
	status, outcome := Classify(err)
	if errors.As(err, &refused) {
		status, outcome = refused.Status, outcomeNotRun
	}
	if outcome != outcomeUnknown {
		outcome = outcomeNotRun // every other error means that nothing ran
	}
	c.Response.SetStatusCode(status)
	c.Response.Header.Set(chain.Outcome, outcome)
	if after := retryAfter(err); after > 0 {
		seconds := int(math.Ceil(after.Seconds()))
		c.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	if e.options.Local {
		c.Response.Header.Set(chain.NoRetry, "1")
	}
	c.Response.Header.Set("Content-Type", "text/plain; charset=utf-8")
	c.Response.SetBodyString(err.Error() + "\n")
}

// retryAfter returns the time after which a repeat makes sense, 0 if it never
// does.
func retryAfter(err error) time.Duration {
	var limited *LimitError
	var notRun *NotRunError
	var none *NoEndpointError
	switch {
	case errors.As(err, &limited):
		return max(limited.RetryAfter, time.Millisecond)
	case errors.As(err, &notRun):
		if notRun.RetryAfter > 0 {
			return notRun.RetryAfter
		}
		return defaultRetryAfter
	case errors.As(err, &none):
		return defaultRetryAfter
	}
	return 0
}

// DrainReport says what a drain did.
type DrainReport struct {
	// Cut names the requests that had not ended by the deadline.
	Cut []string
	// IdleClosed counts the connections closed while no request was on them.
	IdleClosed int
	Elapsed    time.Duration
}

// Drain ends the entry. Requests under way and those that still arrive are
// answered, with "Connection: close", so that callers connect elsewhere. After
// the linger time no connection is accepted and idle ones are closed. Whatever
// has not ended when ctx ends is cut and reported.
func (e *Entry) Drain(ctx context.Context) DrainReport {
	start := time.Now()
	e.draining.Store(true)
	var report DrainReport
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	closed := false
	for ctx.Err() == nil {
		if time.Since(start) >= e.options.Linger {
			if !closed {
				closed = true
				_ = e.options.Listener.Close()
			}
			report.IdleClosed += e.closeIdle()
			if len(e.tracker.all()) == 0 {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	_ = e.options.Listener.Close()
	report.Cut = e.cut()
	_ = e.server.Close()
	report.Elapsed = time.Since(start)
	eventDrained.Log(e.options.Logger, zap.Int("cut", len(report.Cut)), zap.Int("idle", report.IdleClosed), zap.Duration("elapsed", report.Elapsed))
	return report
}

func (e *Entry) closeIdle() int {
	n := 0
	for _, c := range e.tracker.all() {
		if c.closeIdle() {
			n++
		}
	}
	return n
}

// cut closes the connections that are left and names their requests.
func (e *Entry) cut() []string {
	var names []string
	for _, c := range e.tracker.all() {
		switch state, request := c.current(); state {
		case connReading:
			names = append(names, "a request that was still arriving")
		case connBusy, connWriting:
			names = append(names, request)
		}
		_ = c.Close()
	}
	for _, name := range names {
		eventDrainCut.Log(e.options.Logger, zap.String("request", name))
	}
	return names
}
