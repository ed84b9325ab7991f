package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/pkg/link"
)

const (
	// dialTimeout leaves time to try another target. A connection opens within
	// milliseconds unless its first packet is lost, and that packet is only
	// retransmitted after a second.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout closes a connection whose peer does not acknowledge sent
	// data. It leaves time for two retransmissions, and is short enough to try
	// another target within the latency objective of most routes. A request that
	// must not be sent again waits for its deadline instead: its machine may only
	// be suspended, and answer later.
	unackedTimeout = 500 * time.Millisecond
	// connBuffer is the size in bytes of the read buffer and of the write
	// buffer of each connection.
	connBuffer = 4 << 10
	// userTimeoutStep is the precision of the user timeout of a connection, so that
	// most requests of a route find it set.
	userTimeoutStep = time.Second
	// maxStaleResponses is the number of responses to earlier requests that are
	// skipped on a connection before it is closed.
	maxStaleResponses = 2
	// maxInterimResponses is the number of 1xx responses that may precede a response.
	maxInterimResponses = 8
	// maxResponseHeader is the size in bytes of the largest response header.
	maxResponseHeader = 64 << 10
	// maxResponseLines is the number of lines of the largest response header. Each takes
	// some 100 bytes of memory beyond its own.
	maxResponseLines = 1024
	// maxErrorText is the number of bytes of an error that are logged and passed on.
	maxErrorText = 256
	// maxDiscardedResponse and discardTimeout bound the body of a response that nobody
	// needs, which is read to keep the connection.
	maxDiscardedResponse = 64 << 10
	discardTimeout       = 100 * time.Millisecond
	// bodyCopyBuffer is the size in bytes of the buffer with which bodies are
	// copied.
	bodyCopyBuffer = 16 << 10
)

// ConnError reports a failed exchange on a connection.
type ConnError struct {
	Phase string // dial, write, read, answer or cancelled
	Sent  bool   // whether the peer may have received the request
	Cause error
}

func (e *ConnError) Error() string { return "proxy: " + e.Phase + ": " + errorText(e.Cause) }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Cause }

// errorText returns the start of the text of an error of net/http, which may quote whole
// lines of the peer.
func errorText(err error) string {
	text := err.Error()
	return text[:min(len(text), maxErrorText)]
}

// unresponsive reports whether err means that the peer did not respond in time.
// A cancelled context does not count.
func unresponsive(ctx context.Context, err error) bool {
	var timeout net.Error
	return ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout()
}

var (
	errMismatchedResponse = errors.New("answer to another request")
	errProtocolSwitched   = errors.New("the protocol was switched without a request to do so")
)

// conn is an HTTP/1.1 connection to a target or to another daemon. It carries
// one exchange at a time.
type conn struct {
	net.Conn
	limit           *headLimit
	reader          *bufio.Reader
	writes          *writeRecorder
	writer          *bufio.Writer // on top of writes
	idleSince       time.Time
	peerIdleTimeout time.Duration // announced by the peer, 0 if unknown
	userTimeout     time.Duration // TCP_USER_TIMEOUT of the socket
	used            bool          // it has carried a response
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: link.UserTimeoutControl(unackedTimeout)}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &ConnError{Phase: "dial", Cause: err}
	}
	return newConn(c), nil
}

// newConn returns a connection on c, whose user timeout is unackedTimeout.
func newConn(c net.Conn) *conn {
	limit, writes := newHeadLimit(c), &writeRecorder{Writer: c}
	return &conn{
		Conn: c, limit: limit, writes: writes, userTimeout: unackedTimeout,
		reader: bufio.NewReaderSize(limit, connBuffer), writer: bufio.NewWriterSize(writes, connBuffer),
	}
}

// discard reads the body of a response that nobody needs, and reports whether its end
// was reached.
func (c *conn) discard(body io.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout)) // fails on a closed connection only
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedResponse+1))
	return err == nil && n <= maxDiscardedResponse
}

// reusable reports whether an idle connection can carry another request.
func (c *conn) reusable() bool { return c.reader.Buffered() == 0 && link.Reusable(c.Conn) }

// setUserTimeout sets the time after which unacknowledged data closes the connection.
func (c *conn) setUserTimeout(timeout time.Duration) {
	if timeout == c.userTimeout {
		return
	}
	c.userTimeout = timeout
	_ = link.SetUserTimeout(c.Conn, timeout) // fails on a closed connection only
}

// outboundRequest is a request to be written to a connection.
type outboundRequest struct {
	method, uri, host string
	header            http.Header
	body              *Body
	idHeader, id      string // if idHeader is set, the response must echo id in it
	notRunHeader      string // a response with this header need not echo the ID if it is the first on its connection
	once              bool   // it must not be sent again, so its response is worth the wait until ctx ends
}

// exchange is one request and its response on a connection.
type exchange struct {
	conn     *conn
	response *http.Response
	sending  atomic.Bool // the body is still being sent, or sending it failed
	stop     func() bool // unregisters the function that closes the connection when the context ends
}

// bodySent reports whether the whole request was written.
func (x *exchange) bodySent() bool { return !x.sending.Load() }

// roundTrip sends a request and returns once the header of the response has
// been read. The connection is closed when ctx ends.
func (c *conn) roundTrip(ctx context.Context, request *outboundRequest) (*exchange, error) {
	x := &exchange{conn: c}
	timeout := unackedTimeout
	if deadline, ok := ctx.Deadline(); ok && request.once {
		timeout = max(timeout, time.Until(deadline).Truncate(userTimeoutStep))
	}
	c.setUserTimeout(timeout)
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	err := x.send(request)
	if err == nil {
		err = x.receive(request)
	}
	if err != nil {
		x.abort()
		if cause := ctx.Err(); cause != nil {
			err = &ConnError{Phase: "cancelled", Sent: true, Cause: cause}
		}
		return nil, err
	}
	return x, nil
}

// send writes the header together with a buffered body. A longer body is
// written in the background, since the target may respond before it has read
// the whole body.
func (x *exchange) send(request *outboundRequest) error {
	c := x.conn
	c.writeHeader(request)
	if request.body == nil {
		return x.flush()
	}
	if content, ok := request.body.complete(); ok {
		if request.body.Length < 0 {
			chunked := httputil.NewChunkedWriter(c.writer)
			_, _ = chunked.Write(content) // the writer keeps errors until the flush
			_ = chunked.Close()
			_, _ = c.writer.WriteString("\r\n")
		} else {
			_, _ = c.writer.Write(content)
		}
		return x.flush()
	}
	if err := x.flush(); err != nil {
		return err
	}
	reader := request.body.Reader()
	x.sending.Store(true)
	go func() {
		if err := x.sendBody(request, reader); err != nil {
			// Prevents the target from accepting a truncated body as complete.
			_ = c.Close()
			return
		}
		x.sending.Store(false)
	}()
	return nil
}

func (x *exchange) flush() error {
	if err := x.conn.writer.Flush(); err != nil {
		return &ConnError{Phase: "write", Sent: true, Cause: err}
	}
	return nil
}

func (c *conn) writeHeader(request *outboundRequest) {
	w := c.writer // the writer keeps errors until the flush
	_, _ = w.WriteString(request.method + " " + request.uri + " HTTP/1.1\r\nHost: " + request.host + "\r\n")
	_ = request.header.Write(w)
	if request.body != nil {
		if request.body.Length < 0 {
			_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
		} else {
			_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(request.body.Length, 10) + "\r\n")
		}
	}
	_, _ = w.WriteString("\r\n")
}

// flushWriter flushes after each write, so that a streamed body is sent as it
// is read.
type flushWriter struct{ w *bufio.Writer }

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.w.Flush()
}

func (x *exchange) sendBody(request *outboundRequest, reader io.Reader) error {
	out := io.Writer(flushWriter{x.conn.writer})
	var chunked io.WriteCloser
	if request.body.Length < 0 {
		chunked = httputil.NewChunkedWriter(out)
		out = chunked
	}
	n, err := io.CopyBuffer(out, reader, make([]byte, bodyCopyBuffer))
	if err != nil {
		return err
	}
	if chunked != nil {
		if err := chunked.Close(); err != nil {
			return err
		}
		if _, err := x.conn.writer.WriteString("\r\n"); err != nil {
			return err
		}
		return x.conn.writer.Flush()
	}
	if n != request.body.Length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// receive reads the header of the response. A late response to an earlier
// request, recognized by its ID, is skipped.
func (x *exchange) receive(request *outboundRequest) error {
	c := x.conn
	for stale, interim := 0, 0; stale <= maxStaleResponses && interim <= maxInterimResponses; {
		response, err := c.readHead(request.method)
		if err != nil {
			return &ConnError{Phase: "read", Sent: true, Cause: err}
		}
		if response.StatusCode < 200 {
			interim++
			continue
		}
		stale++
		first := !c.used
		c.used = true
		if request.idHeader == "" || response.Header.Get(request.idHeader) == request.id ||
			first && request.notRunHeader != "" && response.Header.Get(request.notRunHeader) != "" && response.Header.Get(request.idHeader) == "" {
			if endsWithConnection(response) && response.Body != http.NoBody {
				response.Body = &unframedBody{response.Body, c}
			}
			x.response = response
			return nil
		}
		if endsWithConnection(response) {
			break
		}
		if !c.discard(response.Body) {
			break
		}
	}
	return &ConnError{Phase: "answer", Sent: true, Cause: errMismatchedResponse}
}

// readHead reads the header of the response to a request with the given method.
func (c *conn) readHead(method string) (*http.Response, error) {
	received, _ := c.reader.Peek(c.reader.Buffered()) // does not read
	c.limit.startResponse(maxResponseHeader, maxResponseLines, received)
	defer c.limit.stop()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	switch {
	case c.limit.cause != nil:
		return nil, c.limit.cause
	case err != nil && c.limit.exceeded():
		return nil, errHeaderTooLarge
	case err != nil:
		return nil, err
	case response.StatusCode == http.StatusSwitchingProtocols:
		return nil, errProtocolSwitched
	}
	return response, nil
}

// abort closes the connection.
func (x *exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}

// finish ends an exchange whose response has been read completely. It reports
// whether the connection can be reused.
func (x *exchange) finish() bool {
	if !x.stop() {
		return false // the context has ended and the connection is being closed
	}
	r := x.response
	if r.Close || endsWithConnection(r) || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return false
	}
	x.conn.peerIdleTimeout = keepAliveTimeout(r.Header)
	return true
}

// keepAliveTimeout returns the idle timeout from a Keep-Alive header, 0 if
// there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host",
}

// endToEnd returns a copy of the headers without those that apply to a single
// connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
