package route

import (
	"context"
	"net"
	"sync"
	"time"
)

// connState is what a caller connection does.
type connState int

const (
	connIdle    connState = iota // between requests
	connReading                  // a request has begun to arrive
	connBusy                     // the request is being answered
	connWriting                  // the handler has ended, the answer is written
)

// entryConn tracks one caller connection. It bounds the whole time in which a
// request may arrive, since the HTTP library bounds each read only: a sender of
// one byte a second would hold its connection and memory for hours.
type entryConn struct {
	net.Conn
	tracker     *connTracker
	requestTime time.Duration

	mu       sync.Mutex
	state    connState
	began    time.Time // of the request that is arriving
	deadline time.Time // set by the HTTP library
	request  string
	closed   bool // by closeIdle
}

// Read reads with the earlier of the library's deadline and the request's.
func (c *entryConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.state == connWriting {
		c.state = connIdle // the library reads again, so the answer is written
	}
	reading := c.state == connReading
	c.applyDeadline()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 && !reading {
		c.mu.Lock()
		if c.state == connIdle {
			c.state, c.began = connReading, time.Now()
		}
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline keeps the library's deadline.
func (c *entryConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

func (c *entryConn) applyDeadline() error {
	t := c.deadline
	if c.state == connReading {
		if end := c.began.Add(c.requestTime); t.IsZero() || end.Before(t) {
			t = end
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// begin marks the start of the handling of a request.
func (c *entryConn) begin(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.request = connBusy, request
}

// end marks the end of the handling; the answer is written next.
func (c *entryConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = connWriting
}

func (c *entryConn) current() (connState, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, c.request
}

// closeIdle closes the connection if no request is on it.
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

// Close closes the connection and ends its tracking.
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

// trackingListener wraps the accepted connections.
type trackingListener struct {
	net.Listener
	tracker     *connTracker
	requestTime time.Duration
	maxConns    int
}

// Accept waits for the next connection. Connections over the limit are closed
// at once, so that callers see it before they have sent a request.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &entryConn{Conn: conn, tracker: l.tracker, requestTime: l.requestTime}
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

// connKey is the context key of the connection of a request.
type connKey struct{}

// onAccept gives the handler its connection.
func onAccept(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, conn)
}

func connOf(ctx context.Context) *entryConn {
	c, _ := ctx.Value(connKey{}).(*entryConn)
	return c
}
