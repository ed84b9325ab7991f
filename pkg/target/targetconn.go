package target

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/textproto"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
	"github.com/cloudwego/netpoll"

	"nutmegstand.example/nutmegstand/pkg/link"
)

// errRedial prevents hertz from sending a request again on a new connection. hertz
// decides by HTTP method whether to do so, but only the route defines which
// requests are idempotent.
var errRedial = errors.New("target: the request may have been sent")

// targetConn is one connection to the target. It has its own hertz client, so that
// an exchange uses exactly the connection that was reserved for it. It implements
// network.Conn on a plain net.Conn, whose socket can be checked for incoming data
// without reading from it.
type targetConn struct {
	net.Conn
	limit      *responseLimit
	reader     netpoll.Reader
	writer     netpoll.Writer
	address    string
	generation int
	client     *http1.HostClient

	closed  atomic.Bool
	dialled atomic.Bool
	mu      sync.Mutex
	readErr error // first read error of the current exchange
}

// dialTarget opens a connection with its own hertz client.
func dialTarget(address string, generation int) (*targetConn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	limit := &responseLimit{Reader: conn}
	c := &targetConn{
		Conn: conn, limit: limit, reader: netpoll.NewReader(limit), writer: netpoll.NewWriter(conn), address: address, generation: generation,
	}
	c.client = &http1.HostClient{Addr: address, ClientOptions: &http1.ClientOptions{
		Dialer:                        singleDialer{conn: c},
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
		MaxConns:                      1,
		MaxIdleConnDuration:           idleTimeout,
		MaxResponseBodySize:           MaxBodyBytes,
	}}
	return c, nil
}

// singleDialer is a hertz dialer that returns the existing connection once and then
// fails.
type singleDialer struct{ conn *targetConn }

// DialConnection implements network.Dialer.
func (d singleDialer) DialConnection(string, string, time.Duration, *tls.Config) (network.Conn, error) {
	if !d.conn.dialled.CompareAndSwap(false, true) {
		return nil, errRedial
	}
	return d.conn, nil
}

// DialTimeout implements network.Dialer.
func (d singleDialer) DialTimeout(string, string, time.Duration, *tls.Config) (net.Conn, error) {
	return nil, errRedial
}

// AddTLS implements network.Dialer.
func (d singleDialer) AddTLS(network.Conn, *tls.Config) (network.Conn, error) {
	return nil, errRedial
}

// Close implements net.Conn; hertz closes the connection after an error.
func (c *targetConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c *targetConn) close() { _ = c.Close() }

func (c *targetConn) isClosed() bool { return c.closed.Load() }

// Peek implements network.Reader.
func (c *targetConn) Peek(n int) ([]byte, error) {
	p, err := c.reader.Peek(n)
	return p, c.recordReadError(err)
}

// Read implements io.Reader.
func (c *targetConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.reader.Len() == 0 {
		n, err := c.limit.Read(p)
		return n, c.recordReadError(err)
	}
	buffered, err := c.reader.Next(min(len(p), c.reader.Len()))
	return copy(p, buffered), c.recordReadError(err)
}

// ReadByte implements network.Reader.
func (c *targetConn) ReadByte() (byte, error) {
	b, err := c.reader.ReadByte()
	return b, c.recordReadError(err)
}

// ReadBinary implements network.Reader.
func (c *targetConn) ReadBinary(n int) ([]byte, error) {
	p, err := c.reader.ReadBinary(n)
	return p, c.recordReadError(err)
}

// Skip implements network.Reader.
func (c *targetConn) Skip(n int) error { return c.recordReadError(c.reader.Skip(n)) }

// Release implements network.Reader.
func (c *targetConn) Release() error { return c.reader.Release() }

// Len implements network.Reader.
func (c *targetConn) Len() int { return c.reader.Len() }

// Malloc implements network.Writer.
func (c *targetConn) Malloc(n int) ([]byte, error) { return c.writer.Malloc(n) }

// WriteBinary implements network.Writer.
func (c *targetConn) WriteBinary(b []byte) (int, error) { return c.writer.WriteBinary(b) }

// Flush implements network.Writer.
func (c *targetConn) Flush() error { return c.writer.Flush() }

// Write implements io.Writer.
func (c *targetConn) Write(b []byte) (int, error) {
	if err := c.writer.Flush(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// SetReadTimeout implements network.Conn.
func (c *targetConn) SetReadTimeout(t time.Duration) error { return c.SetReadDeadline(deadlineIn(t)) }

// SetWriteTimeout implements network.Conn.
func (c *targetConn) SetWriteTimeout(t time.Duration) error { return c.SetWriteDeadline(deadlineIn(t)) }

func deadlineIn(t time.Duration) time.Time {
	if t <= 0 {
		return time.Time{}
	}
	return time.Now().Add(t)
}

// recordReadError stores the first read error of an exchange and returns err. A
// complete response with a length or a chunked encoding causes no read error.
func (c *targetConn) recordReadError(err error) error {
	if errors.Is(err, netpoll.ErrEOF) {
		err = io.EOF
	}
	if err != nil {
		c.mu.Lock()
		if c.readErr == nil {
			c.readErr = err
		}
		c.mu.Unlock()
	}
	return err
}

func (c *targetConn) consumeReadError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.readErr
	c.readErr = nil
	return err
}

// reusable reports whether an idle connection can be used: the target has not
// closed it, and no unexpected bytes have arrived. It peeks at the socket without
// consuming data or blocking.
func (c *targetConn) reusable() bool {
	return !c.isClosed() && c.reader.Len() == 0 && link.Reusable(c.Conn)
}

// isReset reports whether err shows that the target closed or reset the connection.
func isReset(err error) bool {
	for _, end := range []error{
		io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE,
		errs.ErrConnectionClosed, errs.ErrBadPoolConn, errRedial,
	} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// isConnectionHeader reports whether a header applies to a single connection and
// must not be forwarded.
func isConnectionHeader(name string) bool {
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Host":
		return true
	}
	return false
}
