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

// errNoSecondDial stops hertz from sending a request again on a new connection.
// It does so by HTTP method, but only the route says what is idempotent.
var errNoSecondDial = errors.New("target: the request may have been sent")

// targetConn is one connection to the target with a hertz client of its own,
// so that an exchange uses exactly the connection that was reserved for it. It
// implements network.Conn on a plain connection, whose socket can be looked at
// without reading from it.
type targetConn struct {
	net.Conn
	reader  netpoll.Reader
	writer  netpoll.Writer
	address string
	round   int
	client  *http1.HostClient

	closed  atomic.Bool
	dialled atomic.Bool
	mu      sync.Mutex
	readErr error // of the exchange in progress
}

// dialTarget opens a connection and gives it a hertz client.
func dialTarget(address string, round int) (*targetConn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &targetConn{
		Conn: conn, reader: netpoll.NewReader(conn), writer: netpoll.NewWriter(conn), address: address, round: round,
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

// singleDialer gives a hertz client its connection once.
type singleDialer struct{ conn *targetConn }

// DialConnection implements network.Dialer.
func (d singleDialer) DialConnection(string, string, time.Duration, *tls.Config) (network.Conn, error) {
	if !d.conn.dialled.CompareAndSwap(false, true) {
		return nil, errNoSecondDial
	}
	return d.conn, nil
}

// DialTimeout implements network.Dialer.
func (d singleDialer) DialTimeout(string, string, time.Duration, *tls.Config) (net.Conn, error) {
	return nil, errNoSecondDial
}

// AddTLS implements network.Dialer.
func (d singleDialer) AddTLS(network.Conn, *tls.Config) (network.Conn, error) {
	return nil, errNoSecondDial
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
	return p, c.note(err)
}

// Read implements io.Reader.
func (c *targetConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if c.reader.Len() == 0 {
		n, err := c.Conn.Read(p)
		return n, c.note(err)
	}
	buffered, err := c.reader.Next(min(len(p), c.reader.Len()))
	return copy(p, buffered), c.note(err)
}

// ReadByte implements network.Reader.
func (c *targetConn) ReadByte() (byte, error) {
	b, err := c.reader.ReadByte()
	return b, c.note(err)
}

// ReadBinary implements network.Reader.
func (c *targetConn) ReadBinary(n int) ([]byte, error) {
	p, err := c.reader.ReadBinary(n)
	return p, c.note(err)
}

// Skip implements network.Reader.
func (c *targetConn) Skip(n int) error { return c.note(c.reader.Skip(n)) }

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

// note keeps the first read error of an exchange. A whole answer with a known
// end is read without any.
func (c *targetConn) note(err error) error {
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

func (c *targetConn) takeReadError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.readErr
	c.readErr = nil
	return err
}

// quiet reports whether an idle connection can be used: its target has not
// closed it, and no bytes arrived that belong to no request. It looks at the
// socket without reading or waiting.
func (c *targetConn) quiet() bool {
	return !c.isClosed() && c.reader.Len() == 0 && link.Quiet(c.Conn)
}

// isReset reports whether the target's side of the connection ended.
func isReset(err error) bool {
	for _, end := range []error{
		io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE,
		errs.ErrConnectionClosed, errs.ErrBadPoolConn, errNoSecondDial,
	} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// isConnectionHeader reports whether a header belongs to one connection and is
// not passed on.
func isConnectionHeader(name string) bool {
	switch textproto.CanonicalMIMEHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Host":
		return true
	}
	return false
}
