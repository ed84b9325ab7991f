package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// condition is how a wire treats what passes.
type condition struct {
	delay   time.Duration // before each piece
	loss    float64       // share of the datagrams that get lost
	cutTo   bool          // nothing reaches the server
	cutBack bool          // nothing comes back from it
}

const (
	// portTimeout bounds the wait for a port that was just closed: a daemon that
	// is being started holds copies of all sockets until its program is loaded.
	portTimeout = time.Second
	portPoll    = 10 * time.Millisecond
)

func listen(address string) (net.Listener, error) {
	end := time.Now().Add(portTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(end) {
			return listener, err
		}
		time.Sleep(portPoll)
	}
}

// wire is a loopback proxy in front of an address, for TCP and UDP.
type wire struct {
	Address string

	server   string
	listener net.Listener
	packets  net.PacketConn

	mu    sync.Mutex
	state condition
	conns map[net.Conn]bool
	done  bool
}

// newWire starts a proxy at an address. Datagrams are passed on, never back:
// the daemons' news needs no answer.
func newWire(address, server string) (*wire, error) {
	w := &wire{Address: address, server: server, conns: make(map[net.Conn]bool)}
	var err error
	if w.listener, err = listen(address); err != nil {
		return nil, err
	}
	if w.packets, err = net.ListenPacket("udp", address); err != nil {
		_ = w.listener.Close()
		return nil, err
	}
	go w.accept()
	go w.relayPackets()
	return w, nil
}

func (w *wire) set(c condition) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = c
}

func (w *wire) get() condition {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// reset breaks all connections.
func (w *wire) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (w *wire) close() {
	w.mu.Lock()
	w.done = true
	w.mu.Unlock()
	_ = w.listener.Close()
	_ = w.packets.Close()
	w.reset()
}

func (w *wire) keep(conn net.Conn, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on && !w.done {
		w.conns[conn] = true
		return
	}
	delete(w.conns, conn)
	_ = conn.Close()
}

func (w *wire) accept() {
	for {
		client, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(client)
	}
}

func (w *wire) serve(client net.Conn) {
	w.keep(client, true)
	defer w.keep(client, false)
	server, err := net.Dial("tcp", w.server)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0) // the port refuses connections
		return
	}
	w.keep(server, true)
	defer w.keep(server, false)
	ended := make(chan struct{}, 2)
	go func() { w.relay(server, client, func(c condition) bool { return c.cutTo }); ended <- struct{}{} }()
	go func() { w.relay(client, server, func(c condition) bool { return c.cutBack }); ended <- struct{}{} }()
	<-ended
}

// relay copies one direction. Bytes that meet a cut are lost and the connection
// stays silent until it is closed, as after a partition.
func (w *wire) relay(to io.Writer, from io.Reader, cut func(condition) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		c := w.get()
		time.Sleep(c.delay)
		if cut(c) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (w *wire) relayPackets() {
	out, err := net.Dial("udp", w.server)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := w.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if c := w.get(); !c.cutTo && rand.Float64() >= c.loss {
			_, _ = out.Write(buffer[:n]) // a daemon that is down refuses them
		}
	}
}
