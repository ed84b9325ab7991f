package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/connlimit"
)

// callerConn is a connection of a caller. One goroutine reads the requests, and one
// for each request in progress serves it and writes its response in turn.
type callerConn struct {
	server *CallerServer
	conn   net.Conn
	slot   *connlimit.Conn
	limit  *headLimit
	reader *bufio.Reader
	writer *bufio.Writer // used by the exchange whose turn it is
	ctx    context.Context
	cancel context.CancelFunc // stops all requests, when the caller has left or the connection breaks

	mu      sync.Mutex
	changed *sync.Cond // an exchange has ended, or reading has stopped
	memory  int64      // taken for the request that is being read
	late    bool       // a header did not arrive in time
	pending int        // exchanges that have not ended
	last    *callerExchange
	waiting bool // for the first byte of the next request
	stopped bool // no further request is taken
}

func newCallerConn(s *CallerServer, conn net.Conn) *callerConn {
	c := &callerConn{server: s, conn: conn, limit: newHeadLimit(conn)}
	c.writer = bufio.NewWriterSize(stallWriter{c}, connBuffer)
	c.limit.onRead = c.takeRead
	c.reader = bufio.NewReaderSize(c.limit, connBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.changed = sync.NewCond(&c.mu)
	return c
}

func (c *callerConn) serve() {
	defer c.server.remove(c)
	defer c.cancel()
	defer c.reportTimeout()
	for {
		r, err := c.readRequest()
		if err != nil {
			c.releaseRead()
			c.rejectMalformed(err)
			break
		}
		x := c.begin(r)
		if x == nil {
			break
		}
		go x.serve()
		if x.body != nil && !x.body.awaitEnd(x.ended) {
			c.stopReading()
			break
		}
	}
	c.discard()
}

// readRequest waits for the next request and reads its header.
func (c *callerConn) readRequest() (*http.Request, error) {
	c.awaitRequest(true)
	_, err := c.reader.Peek(1)
	c.awaitRequest(false)
	if err != nil {
		return nil, err
	}
	defer c.setReadDeadline(0)
	for range 2 {
		// Some clients send an empty line after a body.
		if next, err := c.reader.Peek(1); err == nil && (next[0] == '\r' || next[0] == '\n') {
			_, _ = c.reader.Discard(1)
		}
	}
	buffered, maxRead := c.reader.Buffered(), c.server.Limits().HeaderBytes
	c.limit.start(maxRead)
	c.limit.recordOldRequest(c.reader)
	r, err := http.ReadRequest(c.reader)
	if err == nil && !r.ProtoAtLeast(1, 1) {
		err = c.limit.checkOldRequest()
	}
	read := maxRead - int(c.limit.left)
	c.limit.stop()
	if cause := c.limit.cause; cause != nil {
		return nil, &requestError{cause}
	}
	if err != nil {
		c.late = errors.Is(err, os.ErrDeadlineExceeded)
		return nil, &requestError{&parseError{err}}
	}
	if r.ProtoMajor != 1 || r.Host == "" && r.ProtoAtLeast(1, 1) {
		return nil, &requestError{fmt.Errorf("proxy: request with protocol %q and host %q, want HTTP/1.x with a host", r.Proto, r.Host)}
	}
	return r, c.takeDecoded(r, buffered+read-c.reader.Buffered())
}

// requestError reports a request whose header cannot be read.
type requestError struct{ Cause error }

func (e *requestError) Error() string { return "proxy: read request: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *requestError) Unwrap() error { return e.Cause }

// parseError is an error of net/http, whose text may quote a header with a key.
type parseError struct{ Cause error }

// Error returns the text of the cause up to the quotation.
func (e *parseError) Error() string {
	text, _, _ := strings.Cut(e.Cause.Error(), `"`)
	text, _, _ = strings.Cut(text, "line: ")
	return text
}

// Unwrap returns the cause.
func (e *parseError) Unwrap() error { return e.Cause }

// awaitRequest sets the read deadline before and after the wait for a request. While
// requests are in progress there is none: the read then only detects that the caller
// has left.
func (c *callerConn) awaitRequest(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
	switch {
	case !waiting:
		c.setReadDeadline(c.server.Limits().HeaderTimeout)
	case c.stopped:
		c.setReadDeadline(time.Nanosecond)
	case c.pending == 0:
		c.setReadDeadline(c.server.Limits().IdleTimeout)
	default:
		c.setReadDeadline(0)
	}
}

// setReadDeadline sets the time after which reads fail, never if it is 0.
func (c *callerConn) setReadDeadline(after time.Duration) {
	var deadline time.Time
	if after > 0 {
		deadline = time.Now().Add(after)
	}
	_ = c.conn.SetReadDeadline(deadline) // fails on a closed connection only, which the next read reports
}

// begin starts the exchange of a request, after a wait for earlier ones if the request
// may not be served beside them. It returns nil if no request is taken any more.
func (c *callerConn) begin(r *http.Request) *callerExchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.stopped && c.mustWait(r) {
		c.changed.Wait()
	}
	if c.stopped {
		return nil
	}
	x := newCallerExchange(c, r)
	x.memory, c.memory = c.memory, 0
	c.slot.Begin()
	c.pending++
	c.last = x
	if r.Close || !r.ProtoAtLeast(1, 1) {
		c.stopped = true
	}
	c.server.active.Add(1)
	return x
}

func (c *callerConn) mustWait(r *http.Request) bool {
	if c.pending == 0 {
		return false
	}
	alone := func(r *http.Request) bool { return r.ContentLength != 0 || !c.server.ReadAhead(r) }
	return c.pending >= maxReadAhead || alone(r) || alone(c.last.request)
}

// end ends an exchange. With stop, its response was the last one of the connection.
func (c *callerConn) end(x *callerExchange, stop bool) {
	c.server.active.Add(-1)
	c.slot.Release(x.memory)
	c.slot.End()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	close(x.ended)
	if stop {
		c.stopped = true
	}
	c.changed.Broadcast()
	if c.pending > 0 {
		return
	}
	switch {
	case c.stopped:
		c.closeWrite()
	case c.waiting:
		c.setReadDeadline(c.server.Limits().IdleTimeout)
	}
}

// closeWrite ends the outgoing direction, and leaves lingerTimeout for the caller to
// close the other one. The caller holds mu.
func (c *callerConn) closeWrite() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // fails on a closed connection only
	}
	c.setReadDeadline(lingerTimeout)
}

// closesAfter reports whether the connection must be closed after a response. From
// then on no request is taken. Requests that were taken before are still answered.
func (c *callerConn) closesAfter(x *callerExchange, wantClose bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last != x || !wantClose && !c.stopped && !c.server.Leaving() {
		return false
	}
	c.stopped = true
	c.changed.Broadcast()
	return true
}

// stopReading makes the connection take no further request. It is closed when the
// requests in progress have been answered.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	c.changed.Broadcast()
	if c.waiting {
		c.setReadDeadline(time.Nanosecond) // ends the wait
	}
}

// discard reads until the caller closes the connection, or until lingerTimeout after
// the last response.
func (c *callerConn) discard() {
	c.mu.Lock()
	c.stopped = true
	c.changed.Broadcast()
	if c.pending == 0 {
		c.closeWrite()
	} else {
		c.setReadDeadline(0)
	}
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.conn) // its end is what matters, not the reason
	c.cancel()
	_ = c.conn.Close()
}

// abort closes the connection at once and stops its requests.
func (c *callerConn) abort() {
	c.mu.Lock()
	c.stopped = true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.cancel()
	_ = c.conn.Close()
}

// rejectMalformed answers a request whose header cannot be read, after the responses
// to the earlier ones. Timeouts and connections that end get no response.
func (c *callerConn) rejectMalformed(err error) {
	var malformed *requestError
	var network net.Error
	if !errors.As(err, &malformed) || errors.As(err, &network) || errors.Is(err, errCallerGone) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return
	}
	status, fields := http.StatusBadRequest, ""
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
		c.server.Reporter.Closed(connlimit.Size)
	case errors.Is(err, errNoRoom):
		status, fields = http.StatusServiceUnavailable, "Retry-After: 1\r\n"
		c.server.Reporter.Refused(connlimit.Memory)
	}
	eventServerError.Log(c.server.Logger, zap.Int("status", status), zap.String("error", err.Error()))
	c.mu.Lock()
	for c.pending > 0 {
		c.changed.Wait()
	}
	stopped := c.stopped
	c.mu.Unlock()
	if !stopped {
		_, _ = fmt.Fprintf(stallWriter{c}, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), fields)
	}
}

// serve runs the handler. A handler that panics ends the connection.
func (x *callerExchange) serve() {
	defer func() {
		p := recover()
		if p != nil && p != http.ErrAbortHandler { //nolint:errorlint // the panic value itself
			eventServerError.Log(x.conn.server.Logger, zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		}
		if p != nil || x.finish() != nil {
			x.breakOff()
		}
		x.conn.end(x, p != nil || x.last)
	}()
	x.conn.server.Handler.ServeHTTP(x, x.request)
}
