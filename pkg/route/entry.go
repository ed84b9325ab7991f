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
	// DefaultRequestTimeout limits the time from the first to the last byte of a
	// request. Sending 4 MB within 10 s takes 3.4 Mbit/s.
	DefaultRequestTimeout = 10 * time.Second
	// DefaultWriteTimeout limits each write to a caller that reads slowly.
	DefaultWriteTimeout = 10 * time.Second
	// DefaultIdleTimeout is the time after which an idle connection is closed.
	DefaultIdleTimeout = 60 * time.Second
	// DefaultMaxConnections limits the memory used by caller connections.
	DefaultMaxConnections = 4096
	// DefaultLinger is the first phase of a drain, during which new connections are
	// still served. Callers notice the drain with a delay, and closing the listener
	// resets the connections in its accept queue.
	DefaultLinger = 500 * time.Millisecond
)

// drainPollInterval is the interval at which a drain checks for completed requests.
const drainPollInterval = 5 * time.Millisecond

// EntryOptions configure an entry. Zero values select the defaults.
type EntryOptions struct {
	Listener net.Listener
	Router   *Router
	Logger   *zap.Logger
	// Local is set for the listener used only by the local target. Calls received
	// there are inner calls and carry the headers of their call chain.
	Local          bool
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int
	RequestTimeout time.Duration
	WriteTimeout   time.Duration
	IdleTimeout    time.Duration
	Linger         time.Duration
}

// Entry is an HTTP server that routes the requests of callers.
type Entry struct {
	options  EntryOptions
	server   *server.Hertz
	tracker  *connTracker
	draining atomic.Bool
}

// disableLibraryLog turns off the log of the HTTP library, which a hostile caller
// could flood. Relevant events are logged as numbered events instead.
var disableLibraryLog = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// NewEntry returns an entry for the listener. Serve starts serving it.
func NewEntry(options EntryOptions) *Entry {
	disableLibraryLog()
	options.setDefaults()
	e := &Entry{options: options, tracker: &connTracker{conns: map[*entryConn]struct{}{}}}
	listener := &trackingListener{
		Listener: options.Listener, tracker: e.tracker, requestTimeout: options.RequestTimeout, maxConns: options.MaxConnections,
	}
	// The standard transport is used because it cancels the handler's context when
	// the caller disconnects; the library's other transport does not.
	e.server = server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(onAccept),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(options.MaxBodyBytes),
		server.WithMaxHeaderBytes(options.MaxHeaderBytes),
		server.WithReadTimeout(options.RequestTimeout),
		server.WithWriteTimeout(options.WriteTimeout),
		server.WithIdleTimeout(options.IdleTimeout),
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		server.WithRedirectFixedPath(false),
		server.WithHandleMethodNotAllowed(false),
		server.WithUseRawPath(true),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultContentType(true),
		server.WithExitWaitTime(time.Millisecond), // Drain has already waited
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
		{&o.RequestTimeout, DefaultRequestTimeout},
		{&o.WriteTimeout, DefaultWriteTimeout},
		{&o.IdleTimeout, DefaultIdleTimeout},
		{&o.Linger, DefaultLinger},
	} {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

// Serve accepts connections until Drain closes the entry. It blocks.
func (e *Entry) Serve() error { return e.server.Run() }

// handle serves one request and aborts the library's handler chain.
func (e *Entry) handle(ctx context.Context, c *app.RequestContext) {
	defer c.Abort()
	if conn := connFromContext(ctx); conn != nil {
		conn.startRequest(string(c.Request.Header.Method()) + " " + string(c.Request.Header.RequestURI()))
		defer conn.finishRequest()
	}
	call, err := decodeCall(&c.Request, e.options.Local, time.Now())
	if err != nil {
		eventEntryRefused.Log(e.options.Logger, zap.Error(err))
		e.writeError(c, err)
		c.SetConnectionClose() // the rest of the connection may be misparsed
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

// writeAnswer writes a complete answer of a target.
func writeAnswer(response *protocol.Response, answer *Answer, local bool) {
	response.SetStatusCode(answer.Status)
	for _, h := range answer.Headers {
		name := h.GetName()
		// Headers of the mesh set by a target are not forwarded to outside callers.
		if hopByHopHeaders[name] || isInternalHeader(name) && !(local && name == chain.NoRetry) {
			continue
		}
		response.Header.Add(name, h.GetValue())
	}
	response.SetBodyRaw(answer.Body)
}

// writeError writes the response to a call without an answer from a target.
func (e *Entry) writeError(c *app.RequestContext, err error) {
	var refused *RequestError
	status, outcome := Classify(err)
	if errors.As(err, &refused) {
		status, outcome = refused.Status, outcomeNotRun
	}
	if outcome != outcomeUnknown {
		outcome = outcomeNotRun // all other errors mean that the call did not run
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

// retryAfter returns the time after which the caller may retry, 0 if a retry is not
// recommended.
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

// DrainReport is the result of a drain.
type DrainReport struct {
	// Aborted lists the requests that had not completed by the deadline.
	Aborted []string
	// IdleClosed is the number of idle connections closed.
	IdleClosed int
	Elapsed    time.Duration
}

// Drain shuts the entry down gracefully. Requests in progress and requests that still
// arrive are answered with "Connection: close", so that callers connect to another
// daemon. After the linger time, no connections are accepted and idle connections are
// closed. Requests that have not completed when ctx is done are aborted and reported.
func (e *Entry) Drain(ctx context.Context) DrainReport {
	start := time.Now()
	e.draining.Store(true)
	var report DrainReport
	ticker := time.NewTicker(drainPollInterval)
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
	report.Aborted = e.closeRemaining()
	_ = e.server.Close()
	report.Elapsed = time.Since(start)
	eventEntryDrained.Log(e.options.Logger, zap.Int("cut", len(report.Aborted)), zap.Int("idle", report.IdleClosed), zap.Duration("elapsed", report.Elapsed))
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

// closeRemaining closes the remaining connections and returns their requests.
func (e *Entry) closeRemaining() []string {
	var requests []string
	for _, c := range e.tracker.all() {
		switch state, request := c.status(); state {
		case connReading:
			requests = append(requests, "a request that was still arriving")
		case connBusy, connWriting:
			requests = append(requests, request)
		}
		_ = c.Close()
	}
	for _, request := range requests {
		eventEntryDrainCut.Log(e.options.Logger, zap.String("request", request))
	}
	return requests
}
