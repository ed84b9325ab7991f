package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"time"
)

// callerExchange is a request of a caller and its response. It implements
// http.ResponseWriter. The response is written once those to all earlier requests of
// the connection have been.
type callerExchange struct {
	conn    *callerConn
	request *http.Request
	body    *callerBody     // nil if the request has no body
	turn    <-chan struct{} // closed when the response may be written, nil at once
	ended   chan struct{}   // closed when the response has been written
	cancel  context.CancelFunc
	memory  int64 // taken for the request

	header      http.Header
	wroteHeader bool
	last        bool  // the response is the last one of the connection
	length      int64 // declared, -1 if unknown
	written     int64
	chunked     io.WriteCloser // nil if the body is not chunked
	endsAtClose bool           // the end of the connection marks the end of the body
	err         error          // first error of writing the response
}

var (
	_ http.ResponseWriter = (*callerExchange)(nil)
	_ http.Flusher        = (*callerExchange)(nil)
)

var (
	errCallerGone     = errors.New("proxy: the connection to the caller has ended")
	errResponseLength = errors.New("proxy: the body of the response has another length than declared")
)

// newCallerExchange returns the next exchange of a connection. The caller holds the
// connection's mu.
func newCallerExchange(c *callerConn, r *http.Request) *callerExchange {
	x := &callerExchange{conn: c, ended: make(chan struct{}), header: make(http.Header), length: -1}
	if c.pending > 0 {
		x.turn = c.last.ended
	}
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(c.ctx)
	x.request = r.WithContext(ctx)
	if r.ContentLength != 0 {
		x.body = &callerBody{source: r.Body, conn: c, end: make(chan struct{})}
		x.body.sendContinue = strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ProtoAtLeast(1, 1)
		x.request.Body = x.body
	}
	return x
}

// Header implements http.ResponseWriter.
func (x *callerExchange) Header() http.Header { return x.header }

// EnableFullDuplex is part of http.ResponseController. A response may always be
// written before the request body has been read.
func (x *callerExchange) EnableFullDuplex() error { return nil }

// SetReadDeadline is part of http.ResponseController. It applies to the request body.
func (x *callerExchange) SetReadDeadline(deadline time.Time) error {
	if x.body == nil {
		return nil
	}
	return x.conn.conn.SetReadDeadline(deadline)
}

// WriteHeader implements http.ResponseWriter.
func (x *callerExchange) WriteHeader(status int) {
	if x.wroteHeader {
		return
	}
	x.wroteHeader = true
	if x.err = x.awaitTurn(); x.err != nil {
		return
	}
	if length, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil {
		x.length = length
	}
	x.prepareBody(status)
	w := x.conn.writer // the writer keeps errors until the flush
	_, _ = w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	_ = x.header.Write(w)
	_, _ = w.WriteString("\r\n")
}

func (x *callerExchange) awaitTurn() error {
	if x.turn == nil {
		return nil
	}
	select {
	case <-x.turn:
	case <-x.conn.ctx.Done():
	}
	// Both are done if the response before broke off.
	if x.conn.ctx.Err() != nil {
		return errCallerGone
	}
	return nil
}

// prepareBody decides how the end of the body is marked and whether the connection
// stays open, and sets the headers accordingly.
func (x *callerExchange) prepareBody(status int) {
	r := x.request
	noBody := r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	wantClose := r.Close || !r.ProtoAtLeast(1, 1) || strings.EqualFold(x.header.Get("Connection"), "close")
	switch {
	case noBody:
		x.length = 0
	case x.length < 0 && r.ProtoAtLeast(1, 1):
		x.header.Set("Transfer-Encoding", "chunked")
		x.chunked = httputil.NewChunkedWriter(x.conn.writer)
	case x.length < 0:
		x.endsAtClose = true
	}
	x.header.Del("Connection")
	if x.last = x.conn.closesAfter(x, wantClose); x.last {
		x.header.Set("Connection", "close")
	}
}

// Write implements http.ResponseWriter.
func (x *callerExchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if x.err != nil {
		return 0, x.err
	}
	if x.length >= 0 && x.written+int64(len(p)) > x.length {
		x.err = errResponseLength
		return 0, x.err
	}
	out := io.Writer(x.conn.writer)
	if x.chunked != nil {
		out = x.chunked
	}
	var n int
	n, x.err = out.Write(p)
	x.written += int64(n)
	return n, x.err
}

// Flush implements http.Flusher.
func (x *callerExchange) Flush() { _ = x.FlushError() }

// FlushError is part of http.ResponseController.
func (x *callerExchange) FlushError() error {
	x.WriteHeader(http.StatusOK)
	if x.err == nil {
		x.err = x.conn.writer.Flush()
	}
	return x.err
}

// finish completes the response after the handler has returned.
func (x *callerExchange) finish() error {
	defer x.cancel()
	if !x.wroteHeader {
		x.header.Set("Content-Length", "0")
		x.WriteHeader(http.StatusOK)
	}
	switch {
	case x.err != nil:
		return x.err
	case x.length >= 0 && x.written != x.length && x.request.Method != http.MethodHead:
		x.err = errResponseLength
	case x.chunked != nil:
		if x.err = x.chunked.Close(); x.err == nil {
			_, x.err = x.conn.writer.WriteString("\r\n")
		}
	}
	if x.err == nil {
		x.err = x.conn.writer.Flush()
	}
	return x.err
}

// breakOff ends the connection after a response that could not be completed. A part
// that was already written must not look complete: the end of the connection would
// mark the end of a body without a length, so such a connection is reset.
func (x *callerExchange) breakOff() {
	c := x.conn
	_ = x.awaitTurn() // the responses to earlier requests are not affected
	if tcp, ok := c.conn.(*net.TCPConn); ok && x.endsAtClose {
		_ = tcp.SetLinger(0) // fails on a closed connection only
	}
	if x.wroteHeader && x.err == nil {
		_ = c.writer.Flush() // the part that was received
	}
	c.stopReading()
	c.cancel()
	if x.endsAtClose {
		_ = c.conn.Close()
	}
}

// callerBody is the body of a request. It belongs to the handler until the response
// has been written.
type callerBody struct {
	conn         *callerConn
	end          chan struct{} // closed when the whole body has been read, or reading failed
	sendContinue bool          // the caller waits for a 100 response before it sends the body

	mu     sync.Mutex
	source io.ReadCloser
	done   bool // end is closed
	err    error
	closed bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.sendContinue {
		b.sendContinue = false
		if _, err := io.WriteString(stallWriter{b.conn}, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	return b.read(p)
}

func (b *callerBody) read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil && !b.done {
		b.done, b.err = true, err
		close(b.end)
	}
	return n, err
}

// Close implements io.Closer. The connection closes the body itself.
func (b *callerBody) Close() error { return nil }

// awaitEnd waits until the body has been read, or until the response has been written
// and a short rest of the body has been discarded. It reports whether the next request
// can be read.
func (b *callerBody) awaitEnd(ended <-chan struct{}) bool {
	select {
	case <-b.end:
		return errors.Is(b.err, io.EOF)
	case <-ended:
	}
	b.conn.setReadDeadline(lingerTimeout)
	defer b.conn.setReadDeadline(0)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if b.sendContinue {
		return false // the caller may or may not send the body
	}
	buffer := make([]byte, bodyCopyBuffer)
	for discarded := 0; !b.done && discarded < maxDiscardedBody; {
		n, _ := b.read(buffer) // the error is kept in err
		discarded += n
	}
	return b.done && errors.Is(b.err, io.EOF)
}
