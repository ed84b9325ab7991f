// Package domaintest runs fleets of member daemons and distributors in one
// process, with in-memory connections and injected faults, for tests and
// measurements in virtual time.
package domaintest

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// Latency is the one-way latency of connections.
	Latency = time.Millisecond
	// dialTimeout is how long a dial to a silent machine takes to fail.
	dialTimeout = time.Second
)

var (
	errRefused = errors.New("connection refused")
	errTimeout = errors.New("connection timed out")
)

// Network connects daemons by address. Connections buffer without limit, so a
// write never blocks.
type Network struct {
	mu     sync.Mutex
	accept map[string]func(net.Conn) // called with the lock held
	silent map[string]bool           // machines that neither answer nor send
	cut    func(from, to string) bool
	conns  map[string]map[*conn]struct{}
	bytes  map[string]int64
}

// NewNetwork returns a network without daemons.
func NewNetwork() *Network {
	return &Network{
		accept: map[string]func(net.Conn){}, silent: map[string]bool{},
		conns: map[string]map[*conn]struct{}{}, bytes: map[string]int64{},
	}
}

// SetCut replaces the rule that says which addresses cannot reach each other.
// Connections across a cut go silent and stay so.
func (n *Network) SetCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Bytes returns the bytes that a daemon has sent and received so far, without
// the headers of TCP and IP.
func (n *Network) Bytes(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[address]
}

// Listen hands connections to address to accept.
func (n *Network) Listen(address string, accept func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accept[address] = accept
	delete(n.silent, address)
}

// silence makes a machine vanish without closing its connections.
func (n *Network) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = true
	delete(n.accept, address)
}

// reset closes a process's connections, as the kernel does when it ends.
func (n *Network) reset(address string) {
	n.mu.Lock()
	delete(n.accept, address)
	var open []*conn
	for c := range n.conns[address] {
		open = append(open, c)
	}
	n.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

func (n *Network) blockedLocked(from, to string) bool {
	return n.silent[from] || n.silent[to] || n.cut != nil && n.cut(from, to)
}

// Dial returns the DialFunc of the daemon at from.
func (n *Network) Dial(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		wait := 2 * Latency
		n.mu.Lock()
		if n.blockedLocked(from, to) {
			wait = dialTimeout
		}
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(wait):
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		accept := n.accept[to]
		switch {
		case n.blockedLocked(from, to):
			return nil, errTimeout
		case accept == nil || n.accept[from] == nil:
			return nil, errRefused
		}
		there, back := newHalf(), newHalf()
		client := &conn{n: n, local: from, remote: to, in: back, out: there}
		server := &conn{n: n, local: to, remote: from, in: there, out: back}
		for _, c := range []*conn{client, server} {
			if n.conns[c.local] == nil {
				n.conns[c.local] = map[*conn]struct{}{}
			}
			n.conns[c.local][c] = struct{}{}
		}
		accept(server)
		return client, nil
	}
}

// conn is one end of a connection.
type conn struct {
	net.Conn // deadlines and addresses are not used
	n        *Network
	local    string
	remote   string
	in, out  *half
}

func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *conn) Write(p []byte) (int, error) {
	c.n.mu.Lock()
	blocked := c.n.blockedLocked(c.local, c.remote)
	c.n.bytes[c.local] += int64(len(p))
	if !blocked {
		c.n.bytes[c.remote] += int64(len(p))
	}
	c.n.mu.Unlock()
	return c.out.write(p, blocked)
}

func (c *conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns[c.local], c)
	blocked := c.n.blockedLocked(c.local, c.remote)
	c.n.mu.Unlock()
	c.in.abandon(blocked)
	c.out.close(blocked)
	return nil
}

func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// half is one direction of a connection.
type half struct {
	mu        sync.Mutex
	chunks    []chunk
	changed   chan struct{}
	closed    bool
	silent    bool // bytes were lost, so nothing can follow them
	abandoned bool // the reader closed its end
}

type chunk struct {
	data []byte
	due  time.Time
}

func newHalf() *half { return &half{changed: make(chan struct{}, 1)} }

func (h *half) write(p []byte, lost bool) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return 0, io.ErrClosedPipe
	}
	h.silent = h.silent || lost
	if !h.silent {
		h.chunks = append(h.chunks, chunk{data: append([]byte(nil), p...), due: time.Now().Add(Latency)})
		h.signal()
	}
	return len(p), nil
}

// close ends the direction; a close across a cut is not noticed by the reader.
func (h *half) close(lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if lost || h.silent {
		h.silent = true
		return
	}
	h.closed = true
	h.signal()
}

// abandon ends the direction for its own reader. Across a cut the writer does
// not notice.
func (h *half) abandon(lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.abandoned, h.chunks = true, nil
	if lost || h.silent {
		h.silent = true
	} else {
		h.closed = true
	}
	h.signal()
}

func (h *half) signal() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

func (h *half) read(p []byte) (int, error) {
	for {
		h.mu.Lock()
		var wait <-chan time.Time
		if len(h.chunks) > 0 {
			first := &h.chunks[0]
			if left := time.Until(first.due); left > 0 {
				wait = time.After(left)
			} else {
				n := copy(p, first.data)
				if first.data = first.data[n:]; len(first.data) == 0 {
					h.chunks = h.chunks[1:]
				}
				h.mu.Unlock()
				return n, nil
			}
		} else if h.closed || h.abandoned {
			h.mu.Unlock()
			return 0, io.EOF
		}
		h.mu.Unlock()
		select {
		case <-h.changed:
		case <-wait:
		}
	}
}
