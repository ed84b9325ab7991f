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
)

// errNoSecondDial stops hertz from sending a request again on a new connection.
// It does so by HTTP method, but only the route says what is idempotent.
var errNoSecondDial = errors.New("target: the request may have been sent")

// targetConn is one connection to the target with a hertz client of its own,
// so that an exchange uses exactly the connection that was reserved for it.
type targetConn struct {
	*rawConn
	address string
	round   int
	client  *http1.HostClient

	closed  atomic.Bool
	dialled atomic.Bool
	mu      sync.Mutex
	readErr error // of the exchange in progress

	watcher *connWatcher
}

// connWatcher waits for anything to arrive on an idle connection.
type connWatcher struct {
	stopping atomic.Bool
	ended    chan struct{}
	arrived  bool // valid after ended
}

// dialTarget opens a connection and gives it a hertz client.
func dialTarget(address string, round int) (*targetConn, error) {
	conn, err := dialRaw(address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &targetConn{rawConn: conn, address: address, round: round}
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
	return c.rawConn.Close()
}

func (c *targetConn) close() { _ = c.Close() }

func (c *targetConn) isClosed() bool { return c.closed.Load() }

// Peek implements network.Reader.
func (c *targetConn) Peek(n int) ([]byte, error) {
	p, err := c.rawConn.Peek(n)
	return p, c.note(err)
}

// Read implements io.Reader.
func (c *targetConn) Read(p []byte) (int, error) {
	n, err := c.rawConn.Read(p)
	return n, c.note(err)
}

// ReadByte implements network.Reader.
func (c *targetConn) ReadByte() (byte, error) {
	b, err := c.rawConn.ReadByte()
	return b, c.note(err)
}

// ReadBinary implements network.Reader.
func (c *targetConn) ReadBinary(n int) ([]byte, error) {
	p, err := c.rawConn.ReadBinary(n)
	return p, c.note(err)
}

// note keeps the first read error of an exchange. A whole answer with a known
// end is read without any.
func (c *targetConn) note(err error) error {
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

// watch calls arrived when the idle connection ends or bytes arrive on it.
func (c *targetConn) watch(arrived func()) {
	w := &connWatcher{ended: make(chan struct{})}
	c.watcher = w
	_ = c.rawConn.SetReadDeadline(time.Time{})
	go func() {
		_, err := c.rawConn.Peek(1)
		var timeout net.Error
		w.arrived = err == nil || !errors.As(err, &timeout) || !timeout.Timeout()
		close(w.ended)
		if w.arrived && !w.stopping.Load() {
			arrived()
		}
	}()
}

// wake ends the watch. It reports whether the connection can be used: nothing
// arrived on it while it was idle.
func (c *targetConn) wake() bool {
	w := c.watcher
	if w == nil {
		return true
	}
	c.watcher = nil
	w.stopping.Store(true)
	_ = c.rawConn.SetReadDeadline(time.Unix(1, 0))
	<-w.ended
	_ = c.rawConn.SetReadDeadline(time.Time{})
	// The watch may have been ended before it looked at what had arrived.
	return !w.arrived && !c.isClosed() && !c.pending()
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
