package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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
	// dialTimeout leaves time for another target: connections open within
	// milliseconds, or their first packet is sent again only after a second.
	dialTimeout = 300 * time.Millisecond
	// silenceTimeout ends a connection whose peer acknowledges nothing: enough for
	// two retransmissions, and short enough to try another target within the
	// latency objective of most routes.
	silenceTimeout = 500 * time.Millisecond
	// connBuffer is the size of each connection's read and write buffer.
	connBuffer = 4 << 10
	// maxStaleAnswers is the number of answers to earlier requests that are
	// skipped on a connection before it is given up.
	maxStaleAnswers = 2
	// bodyCopyBuffer is the size of the pieces in which bodies are passed on.
	bodyCopyBuffer = 16 << 10
)

// ConnError reports a failed exchange on a connection.
type ConnError struct {
	Phase string // dial, write, read or answer
	Sent  bool   // whether the other side may have got the request
	Cause error
}

func (e *ConnError) Error() string { return fmt.Sprintf("proxy: %s: %v", e.Phase, e.Cause) }

// Unwrap returns the cause.
func (e *ConnError) Unwrap() error { return e.Cause }

// silent reports whether the other machine gave no sign of life.
func silent(ctx context.Context, err error) bool {
	var timeout net.Error
	return ctx.Err() == nil && errors.As(err, &timeout) && timeout.Timeout()
}

var errOtherAnswer = errors.New("answer to another request")

// conn is one HTTP/1.1 connection to a target or another daemon. It carries one
// exchange at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	idledAt time.Time
	idleFor time.Duration // stated by the other side, 0 if it did not
}

func dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: link.LimitSilence(silenceTimeout)}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &ConnError{Phase: "dial", Cause: err}
	}
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, connBuffer), writer: bufio.NewWriterSize(c, connBuffer)}, nil
}

// quiet reports whether an idle connection can be used.
func (c *conn) quiet() bool { return c.reader.Buffered() == 0 && link.Quiet(c.Conn) }

// outgoing is a request as it is written to a connection.
type outgoing struct {
	method, uri, host string
	header            http.Header
	body              *Body
	idHeader, id      string // the answer must echo the ID, if it is set
	notRunHeader      string // an answer with this header needs no ID
}

// exchange is one request and its answer on a connection.
type exchange struct {
	conn     *conn
	response *http.Response
	sending  atomic.Bool // the body is not sent yet, or could not be
	stop     func() bool
}

// bodySent reports whether the whole request was written.
func (x *exchange) bodySent() bool { return !x.sending.Load() }

// roundTrip sends a request and returns with the head of the answer. The
// connection is closed when ctx ends.
func (c *conn) roundTrip(ctx context.Context, o *outgoing) (*exchange, error) {
	x := &exchange{conn: c}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	err := x.send(o)
	if err == nil {
		err = x.receive(o)
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

// send writes the head and a small body at once; a longer body is written while
// the answer is awaited, which may come before the target has read the body.
func (x *exchange) send(o *outgoing) error {
	c := x.conn
	c.writeHead(o)
	if o.body == nil {
		return x.flush()
	}
	if content, ok := o.body.complete(); ok {
		if o.body.Length < 0 {
			chunked := httputil.NewChunkedWriter(c.writer)
			_, _ = chunked.Write(content) // errors stay in the writer until the flush
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
	reader := o.body.Reader()
	x.sending.Store(true)
	go func() {
		if err := x.sendBody(o, reader); err != nil {
			// The target must not take a shortened body for a complete one.
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

func (c *conn) writeHead(o *outgoing) {
	w := c.writer // errors stay in the writer until the flush
	_, _ = w.WriteString(o.method + " " + o.uri + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	_ = o.header.Write(w)
	if o.body != nil {
		if o.body.Length < 0 {
			_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
		} else {
			_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(o.body.Length, 10) + "\r\n")
		}
	}
	_, _ = w.WriteString("\r\n")
}

// flushWriter sends each piece of a streamed body as it comes.
type flushWriter struct{ w *bufio.Writer }

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.w.Flush()
}

func (x *exchange) sendBody(o *outgoing, reader io.Reader) error {
	out := io.Writer(flushWriter{x.conn.writer})
	var chunked io.WriteCloser
	if o.body.Length < 0 {
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
	if n != o.body.Length {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// receive reads the head of the answer. An answer to an earlier request that
// arrives late is skipped, as its ID shows.
func (x *exchange) receive(o *outgoing) error {
	c := x.conn
	for range maxStaleAnswers + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: o.method})
		if err != nil {
			return &ConnError{Phase: "read", Sent: true, Cause: err}
		}
		if response.StatusCode < 200 {
			continue
		}
		if o.idHeader == "" || response.Header.Get(o.idHeader) == o.id ||
			o.notRunHeader != "" && response.Header.Get(o.notRunHeader) != "" && response.Header.Get(o.idHeader) == "" {
			x.response = response
			return nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			break // it ends with the connection
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return &ConnError{Phase: "read", Sent: true, Cause: err}
		}
	}
	return &ConnError{Phase: "answer", Sent: true, Cause: errOtherAnswer}
}

// abort closes the connection.
func (x *exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}

// finish ends an exchange whose answer was read whole. It reports whether the
// connection can be used again.
func (x *exchange) finish() bool {
	if !x.stop() {
		return false // the context ended and closes the connection
	}
	r := x.response
	endless := r.ContentLength < 0 && len(r.TransferEncoding) == 0
	if r.Close || endless || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return false
	}
	x.conn.idleFor = keepAliveTimeout(r.Header)
	return true
}

// keepAliveTimeout returns the idle time stated in a Keep-Alive header.
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

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Host",
}

// endToEnd returns the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(out, name)
	}
	return out
}
