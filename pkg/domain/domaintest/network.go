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
	// dialTimeout is the time after which a dial to an unreachable machine fails.
	dialTimeout = time.Second
)

var (
	errRefused = errors.New("connection refused")
	errTimeout = errors.New("connection timed out")
)

// Network connects daemons by address. Connections buffer without limit, so a
// write never blocks.
type Network struct {
	mu       sync.Mutex
	accept   map[string]func(net.Conn) // by address; called with the lock held
	refusing map[string]bool           // processes that accept no connections any more
	silent   map[string]bool           // machines that neither send nor receive
	cut      func(from, to string) bool
	conns    map[string]map[*conn]struct{}
	bytes    map[string]int64
}

// NewNetwork returns a network without daemons.
func NewNetwork() *Network {
	return &Network{
		accept: map[string]func(net.Conn){}, refusing: map[string]bool{}, silent: map[string]bool{},
		conns: map[string]map[*conn]struct{}{}, bytes: map[string]int64{},
	}
}

// SetCut sets the function that reports whether packets between two addresses are
// dropped. A connection that loses data to a cut stays silent after the cut ends.
func (n *Network) SetCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Bytes returns the number of bytes that a daemon has sent and received, without
// the headers of TCP and IP.
func (n *Network) Bytes(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[address]
}

// Listen calls accept with each new connection to address.
func (n *Network) Listen(address string, accept func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.accept[address] = accept
	delete(n.silent, address)
	delete(n.refusing, address)
}

// refuse makes a process refuse new connections. Its open ones are not affected.
func (n *Network) refuse(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing[address] = true
}

// silence makes a machine unreachable without closing its connections.
func (n *Network) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = true
	delete(n.accept, address)
}

// reset closes all connections of a process, as the kernel does when it ends.
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

// Dial returns the dial function of the daemon at the address from.
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
		case accept == nil || n.refusing[to] || n.accept[from] == nil:
			return nil, errRefused
		}
		toServer, toClient := newDirection(), newDirection()
		client := &conn{network: n, local: from, remote: to, in: toClient, out: toServer}
		server := &conn{network: n, local: to, remote: from, in: toServer, out: toClient}
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
	network  *Network
	local    string
	remote   string
	in, out  *direction
}

func (c *conn) Read(p []byte) (int, error) { return c.in.read(p) }

func (c *conn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	blocked := c.network.blockedLocked(c.local, c.remote)
	c.network.bytes[c.local] += int64(len(p))
	if !blocked {
		c.network.bytes[c.remote] += int64(len(p))
	}
	c.network.mu.Unlock()
	return c.out.write(p, blocked)
}

func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns[c.local], c)
	blocked := c.network.blockedLocked(c.local, c.remote)
	c.network.mu.Unlock()
	c.in.closeRead(blocked)
	c.out.closeWrite(blocked)
	return nil
}

func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// direction is one direction of a connection.
type direction struct {
	mu         sync.Mutex
	chunks     []chunk
	changed    chan struct{}
	closed     bool
	silent     bool // data was dropped, so nothing after it can be delivered
	readClosed bool // the reader closed its end
}

type chunk struct {
	data []byte
	due  time.Time
}

func newDirection() *direction { return &direction{changed: make(chan struct{}, 1)} }

func (d *direction) write(p []byte, lost bool) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return 0, io.ErrClosedPipe
	}
	d.silent = d.silent || lost
	if !d.silent {
		d.chunks = append(d.chunks, chunk{data: append([]byte(nil), p...), due: time.Now().Add(Latency)})
		d.signal()
	}
	return len(p), nil
}

// closeWrite closes the writer's end. If the close is lost, the reader does not
// notice it.
func (d *direction) closeWrite(lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if lost || d.silent {
		d.silent = true
		return
	}
	d.closed = true
	d.signal()
}

// closeRead closes the reader's end. If the close is lost, the writer does not
// notice it.
func (d *direction) closeRead(lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readClosed, d.chunks = true, nil
	if lost || d.silent {
		d.silent = true
	} else {
		d.closed = true
	}
	d.signal()
}

func (d *direction) signal() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

func (d *direction) read(p []byte) (int, error) {
	for {
		d.mu.Lock()
		var wait <-chan time.Time
		if len(d.chunks) > 0 {
			first := &d.chunks[0]
			if left := time.Until(first.due); left > 0 {
				wait = time.After(left)
			} else {
				n := copy(p, first.data)
				if first.data = first.data[n:]; len(first.data) == 0 {
					d.chunks = d.chunks[1:]
				}
				d.mu.Unlock()
				return n, nil
			}
		} else if d.closed || d.readClosed {
			d.mu.Unlock()
			return 0, io.EOF
		}
		d.mu.Unlock()
		select {
		case <-d.changed:
		case <-wait:
		}
	}
}
