package connguard

import (
	"errors"
	"os"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/connlimit"
)

// discardTime is the time within which the rest of a body must arrive after the handler
// of a Marked connection. The server reads it without a deadline.
const discardTime = time.Second

// LimitError reports that a connection was closed because of a limit.
type LimitError struct{ Reason connlimit.Reason }

func (e *LimitError) Error() string {
	return "connguard: the connection exceeds a limit: " + string(e.Reason)
}

// requestState is what a connection has received of its current request.
type requestState struct {
	mu             sync.Mutex
	received       int64 // bytes since the last response
	taken          int64 // memory taken of the pool
	unbounded      bool  // the head of the request is complete, and its body is read as a stream
	deadline       time.Time
	serverDeadline time.Time // set by the server
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if reason := c.receive(int64(n)); reason != "" {
			c.closeFor(reason)
			return 0, &LimitError{Reason: reason}
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.listener.Marked && c.expired() {
		c.closeFor(connlimit.Time)
	}
	return n, err
}

// receive counts received bytes. It returns the limit that they exceed, empty if there
// is none.
func (c *Conn) receive(n int64) connlimit.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unbounded {
		return ""
	}
	if c.received == 0 && !c.listener.Marked {
		c.setDeadline(c.listener.RequestTime)
	}
	c.received += n
	if c.received > c.listener.RequestBytes() {
		return connlimit.Size
	}
	if needed := c.received * memoryFactor; needed > c.taken {
		if !c.slot.Take(needed - c.taken) {
			return connlimit.Memory
		}
		c.taken = needed
	}
	return ""
}

// expired reports whether the deadline of the limits has passed during a request,
// rather than that of the server.
func (c *Conn) expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received > 0 && !c.deadline.IsZero() && !time.Now().Before(c.deadline)
}

// setDeadline sets the time after which reads fail. The caller holds mu.
func (c *Conn) setDeadline(after time.Duration) {
	c.deadline = time.Now().Add(after)
	c.applyDeadline()
}

// applyDeadline sets the earlier deadline of the limits and of the server. The caller
// holds mu.
func (c *Conn) applyDeadline() {
	earlier := c.deadline
	if earlier.IsZero() || !c.serverDeadline.IsZero() && c.serverDeadline.Before(earlier) {
		earlier = c.serverDeadline
	}
	_ = c.Conn.SetReadDeadline(earlier) // fails on a closed connection only, which the next read reports
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	c.applyDeadline()
	return nil
}

// SetDeadline implements net.Conn. Writes have the deadline of the limits.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := Write(c.Conn, c.slot, p, c.listener.Stall)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.closeFor(connlimit.Time)
	case n > 0 && !c.listener.Marked:
		c.slot.Begin()
		c.EndRequest()
		c.AwaitRequest()
	}
	return n, err
}

// StartRequest marks the start of the handler of a request.
func (c *Conn) StartRequest() {
	c.slot.Begin()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unbounded = true
}

// EndRequest marks the end of the handler of a request.
func (c *Conn) EndRequest() {
	c.slot.End()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener.Marked {
		c.setDeadline(discardTime)
	}
	if !c.listener.KeepsBuffers {
		c.slot.Release(c.taken)
		c.taken = 0
	}
}

// AwaitRequest marks the start of the wait for the next request.
func (c *Conn) AwaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received, c.unbounded = 0, false
	if !c.listener.Marked {
		c.setDeadline(c.listener.IdleTime)
		return
	}
	c.deadline = time.Time{}
	c.applyDeadline()
}
