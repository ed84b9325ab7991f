// Package connguard applies the limits of package connlimit to the connections of a
// listener: their number, the bytes and the time before a response, and the time within
// which a client must take a part of a response.
package connguard

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/pkg/connlimit"
)

const (
	// acceptPause is the time after which accepting is tried again after a temporary
	// error, such as a shortage of file descriptors.
	acceptPause = 15 * time.Millisecond
	// memoryFactor is the memory that a server uses for one received byte of a request
	// that has not been responded to: its read buffers grow by doubling, and decoded
	// fields are copies.
	memoryFactor = 4
)

// Options configure a Listener.
type Options struct {
	Pool     *connlimit.Pool
	Reporter *Reporter
	// RequestBytes returns the maximum number of bytes before a response, or before the
	// start of the handler if the connections are Marked.
	RequestBytes func() int64
	// RequestTime is the time from the first byte of a request until the first byte of
	// its response, and IdleTime the time without a request. They do not apply to Marked
	// connections, whose server has timeouts of its own.
	RequestTime time.Duration
	IdleTime    time.Duration
	Stall       time.Duration // maximum time of one write
	// KeepsBuffers says that the server keeps the buffer of the largest request of a
	// connection until its end.
	KeepsBuffers bool
	// Marked says that the server marks its requests by Conn.StartRequest, EndRequest
	// and AwaitRequest. Otherwise each write counts as a response.
	Marked bool
}

// Listener is a net.Listener whose connections are limited.
type Listener struct {
	net.Listener
	Options
}

// New returns a listener that limits the connections of l.
func New(l net.Listener, options Options) *Listener { return &Listener{l, options} }

// Accept implements net.Listener. Temporary errors are not returned, since some servers
// end at the first error.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := Accept(l.Listener, l.Reporter)
		if err != nil {
			return nil, err
		}
		if c := l.guard(accepted); c != nil {
			return c, nil
		}
	}
}

// Accept returns the next connection of a listener. It reports temporary errors, such as a
// shortage of file descriptors, and tries again.
func Accept(l net.Listener, reporter *Reporter) (net.Conn, error) {
	for {
		conn, err := l.Accept()
		if err == nil || !temporary(err) {
			return conn, err
		}
		reporter.AcceptFailed(err)
		time.Sleep(acceptPause)
	}
}

func temporary(err error) bool {
	t, ok := err.(interface{ Temporary() bool })
	return ok && t.Temporary()
}

// guard returns the connection with its limits, or nil if there is no room for it.
func (l *Listener) guard(accepted net.Conn) net.Conn {
	c := &Conn{Conn: accepted, listener: l}
	c.ended, c.end = context.WithCancel(context.Background())
	c.slot = l.Pool.Add(c.closeFor)
	if c.slot == nil {
		l.Reporter.Refused(connlimit.Room)
		_ = accepted.Close()
		return nil
	}
	c.AwaitRequest()
	return c
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	slot     *connlimit.Conn
	closed   atomic.Bool
	ended    context.Context // done when the connection is closed
	end      context.CancelFunc

	requestState
}

var _ net.Conn = (*Conn)(nil)

// closeFor closes the connection because of a limit.
func (c *Conn) closeFor(reason connlimit.Reason) {
	if c.closed.Swap(true) {
		return
	}
	c.listener.Reporter.Closed(reason)
	_ = c.release()
}

// release ends the connection.
func (c *Conn) release() error {
	c.end()
	c.slot.Remove()
	return c.Conn.Close()
}

// AfterClose calls f in a goroutine of its own when the connection is closed. A server
// that does not read at that moment would not notice it.
func (c *Conn) AfterClose(f func()) { context.AfterFunc(c.ended, f) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.release()
}
