package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// endsWithConnection reports whether the end of the connection marks the end of the body
// of a response.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// unframedBody is the body of a response that ends with its connection. It ends with
// io.EOF only if the peer has closed the connection in order.
type unframedBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.conn.confirmEnd(); cause != nil {
			err = &ConnError{Phase: "read", Sent: true, Cause: cause}
		}
	}
	return n, err
}

// confirmEnd closes a connection whose end has been read. It returns an error if the
// connection was lost and not closed by the peer. The kernel reports the loss to one call
// only: if a write of the request body gets the error, a read gets io.EOF.
func (c *conn) confirmEnd() error {
	_ = c.Close() // ends a write that waits for the peer
	err := c.writes.firstError()
	if errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EPIPE) {
		return nil // a write fails with EPIPE if the peer had closed the connection before
	}
	return err
}

// writeRecorder is a writer that keeps its first error.
type writeRecorder struct {
	io.Writer

	mu  sync.Mutex // held during a write, which has its error before it is recorded
	err error
}

// Write implements io.Writer.
func (w *writeRecorder) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.Writer.Write(p)
	if w.err == nil {
		w.err = err
	}
	return n, err
}

// firstError waits for a write in progress, and returns the first error of all writes.
func (w *writeRecorder) firstError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}
