package route

import (
	"context"
	"net"
	"sync"
	"time"
)

// connState is the state of a caller connection.
type connState int

const (
	connIdle    connState = iota // between requests
	connReading                  // a request is being received
	connBusy                     // the request is being handled
	connWriting                  // the handler has returned, the response is being written
)

// entryConn tracks one caller connection and limits the total time to receive a
// request. The HTTP library limits only each single read, so a caller that sends one
// byte per second could occupy a connection and its memory for hours.
type entryConn struct {
	net.Conn
	tracker        *connTracker
	requestTimeout time.Duration

	mu              sync.Mutex
	state           connState
	requestStarted  time.Time // time of the first byte of the request being received
	libraryDeadline time.Time // set by the HTTP library
	request         string
	closed          bool // by closeIdle
}

// Read reads with the earlier of the library's read deadline and the deadline of the
// request.
func (c *entryConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.state == connWriting {
		c.state = connIdle // a read by the library means that the response is written
	}
	reading := c.state == connReading
	c.applyDeadline()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 && !reading {
		c.mu.Lock()
		if c.state == connIdle {
			c.state, c.requestStarted = connReading, time.Now()
		}
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline sets the library's read deadline.
func (c *entryConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.libraryDeadline = t
	return c.applyDeadline()
}

func (c *entryConn) applyDeadline() error {
	t := c.libraryDeadline
	if c.state == connReading {
		if end := c.requestStarted.Add(c.requestTimeout); t.IsZero() || end.Before(t) {
			t = end
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// startRequest records that the handler of a request has started.
func (c *entryConn) startRequest(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.request = connBusy, request
}

// finishRequest records that the handler has returned. The response is written next.
func (c *entryConn) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = connWriting
}

func (c *entryConn) status() (connState, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, c.request
}

// closeIdle closes the connection if it is idle, and reports whether it did.
func (c *entryConn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connIdle || c.closed {
		return false
	}
	c.closed = true
	_ = c.Conn.Close()
	return true
}

// Close closes the connection and removes it from the tracker.
func (c *entryConn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// connTracker holds the open caller connections.
type connTracker struct {
	mu    sync.Mutex
	conns map[*entryConn]struct{}
}

func (t *connTracker) remove(c *entryConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

func (t *connTracker) all() []*entryConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := make([]*entryConn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	return conns
}

// trackingListener wraps accepted connections in entryConn and limits their number.
type trackingListener struct {
	net.Listener
	tracker        *connTracker
	requestTimeout time.Duration
	maxConns       int
}

// Accept waits for the next connection. Connections over the limit are closed
// immediately, so that callers notice it before they send a request.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &entryConn{Conn: conn, tracker: l.tracker, requestTimeout: l.requestTimeout}
		l.tracker.mu.Lock()
		full := len(l.tracker.conns) >= l.maxConns
		if !full {
			l.tracker.conns[c] = struct{}{}
		}
		l.tracker.mu.Unlock()
		if !full {
			return c, nil
		}
		_ = conn.Close()
	}
}

// connKey is the context key for the connection of a request.
type connKey struct{}

// onAccept returns a context that passes the connection to the handler.
func onAccept(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, conn)
}

func connFromContext(ctx context.Context) *entryConn {
	c, _ := ctx.Value(connKey{}).(*entryConn)
	return c
}
