package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// linkState determines how a proxy handles the traffic that passes through it.
type linkState struct {
	delay        time.Duration // before each forwarded chunk
	datagramLoss float64       // share of the datagrams that are dropped
	dropForward  bool          // drop all traffic to the server
	dropReturn   bool          // drop all traffic from the server
}

const (
	// portTimeout limits the wait for a port that was just closed: between fork and
	// exec, a child process holds copies of all open sockets.
	portTimeout      = time.Second
	portPollInterval = 10 * time.Millisecond
)

func listen(address string) (net.Listener, error) {
	deadline := time.Now().Add(portTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(deadline) {
			return listener, err
		}
		time.Sleep(portPollInterval)
	}
}

// proxy is a loopback proxy for TCP and UDP that injects network faults.
type proxy struct {
	Address string

	server    string
	listener  net.Listener
	datagrams net.PacketConn

	mu     sync.Mutex
	state  linkState
	conns  map[net.Conn]bool
	closed bool
}

// newProxy starts a proxy at an address. Datagrams are forwarded in one direction
// only, since fleet updates of the daemons have no response.
func newProxy(address, server string) (*proxy, error) {
	p := &proxy{Address: address, server: server, conns: make(map[net.Conn]bool)}
	var err error
	if p.listener, err = listen(address); err != nil {
		return nil, err
	}
	if p.datagrams, err = net.ListenPacket("udp", address); err != nil {
		_ = p.listener.Close()
		return nil, err
	}
	go p.accept()
	go p.relayDatagrams()
	return p, nil
}

func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

func (p *proxy) get() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	_ = p.datagrams.Close()
	p.reset()
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open && !p.closed {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	p.track(client, true)
	defer p.track(client, false)
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0) // reset the client connection, since the server refuses connections
		return
	}
	p.track(server, true)
	defer p.track(server, false)
	done := make(chan struct{}, 2)
	go func() { p.relay(server, client, func(s linkState) bool { return s.dropForward }); done <- struct{}{} }()
	go func() { p.relay(client, server, func(s linkState) bool { return s.dropReturn }); done <- struct{}{} }()
	<-done
}

// relay copies data in one direction. Once the link drops data, everything that
// follows on the connection is discarded until the connection is closed, as in a
// network partition.
func (p *proxy) relay(to io.Writer, from io.Reader, dropped func(linkState) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		state := p.get()
		time.Sleep(state.delay)
		if dropped(state) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) relayDatagrams() {
	out, err := net.Dial("udp", p.server)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.datagrams.ReadFrom(buffer)
		if err != nil {
			return
		}
		if state := p.get(); !state.dropForward && rand.Float64() >= state.datagramLoss {
			_, _ = out.Write(buffer[:n]) // the write fails while the daemon is down
		}
	}
}
