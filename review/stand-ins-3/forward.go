package main

import (
	"io"
	"net"
	"sync"
)

// forwarder passes connections and datagrams on to the fleet address of a daemon. While it
// is down it drops what arrives, as the link of a suspended machine does.
type forwarder struct {
	address, target string

	mu    sync.Mutex
	down  bool
	conns map[net.Conn]bool
}

// startForwarder listens on a free port of an IP address, for TCP and UDP.
func startForwarder(ip, target string) (*forwarder, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	f := &forwarder{address: listener.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	in, err := net.ListenPacket("udp", f.address)
	if err != nil {
		return nil, err
	}
	go f.passDatagrams(in)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.pass(conn)
		}
	}()
	return f, nil
}

func (f *forwarder) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// set makes the forwarder drop or pass on what arrives. The connections that were open
// while it was down end.
func (f *forwarder) set(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	if down {
		return
	}
	for conn := range f.conns {
		_ = conn.Close()
	}
}

func (f *forwarder) passDatagrams(in net.PacketConn) {
	out, err := net.Dial("udp", f.target)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := in.ReadFrom(buffer)
		if err != nil {
			return
		}
		if !f.isDown() {
			_, _ = out.Write(buffer[:n])
		}
	}
}

func (f *forwarder) pass(conn net.Conn) {
	defer f.end(conn)
	f.mu.Lock()
	f.conns[conn] = true
	down := f.down
	f.mu.Unlock()
	if down {
		_, _ = io.Copy(io.Discard, conn) // silent until the caller gives up
		return
	}
	target, err := net.Dial("tcp", f.target)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		_, _ = io.Copy(f.gate(conn), target)
		_ = conn.Close()
	}()
	_, _ = io.Copy(f.gate(target), conn)
}

func (f *forwarder) end(conn net.Conn) {
	_ = conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, conn)
}

// gate returns a writer to a connection that drops everything while the forwarder is down.
func (f *forwarder) gate(to io.Writer) io.Writer { return gateWriter{f, to} }

type gateWriter struct {
	forwarder *forwarder
	to        io.Writer
}

func (g gateWriter) Write(p []byte) (int, error) {
	if g.forwarder.isDown() {
		return len(p), nil
	}
	return g.to.Write(p)
}
