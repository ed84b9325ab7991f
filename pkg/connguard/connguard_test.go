package connguard_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/connguard"
	"nutmegstand.example/nutmegstand/pkg/connlimit"
)

const (
	requestBytes = 100
	requestTime  = time.Second
	idleTime     = 10 * time.Second
	stall        = 3 * time.Second
)

// pipes is a net.Listener with in-memory connections.
type pipes struct {
	net.Listener
	errs []error // returned by the first calls of Accept
	peer net.Conn
}

func (p *pipes) Accept() (net.Conn, error) {
	if len(p.errs) > 0 {
		err := p.errs[0]
		p.errs = p.errs[1:]
		return nil, err
	}
	var local net.Conn
	local, p.peer = net.Pipe()
	return local, nil
}

// server is a listener with its latest connection.
type server struct {
	t    *testing.T
	pool *connlimit.Pool
	*connguard.Listener
	*pipes
}

func newServer(t *testing.T, change func(*connguard.Options)) *server {
	options := connguard.Options{
		Pool:         connlimit.NewPool(connlimit.Limits{Connections: 3, Memory: 10 * requestBytes}),
		RequestBytes: func() int64 { return requestBytes }, RequestTime: requestTime, IdleTime: idleTime, Stall: stall,
	}
	if change != nil {
		change(&options)
	}
	p := &pipes{}
	return &server{t, options.Pool, connguard.New(p, options), p}
}

// accept returns a connection and its other end.
func (s *server) accept() (*connguard.Conn, net.Conn) {
	s.t.Helper()
	conn, err := s.Listener.Accept()
	assert.NilError(s.t, err)
	return conn.(*connguard.Conn), s.peer
}

func send(peer net.Conn, bytes int) {
	go func() { _, _ = io.WriteString(peer, strings.Repeat("x", bytes)) }()
}

func receive(conn net.Conn, bytes int) error {
	_, err := io.ReadFull(conn, make([]byte, bytes))
	return err
}

func limitReason(t *testing.T, err error) connlimit.Reason {
	t.Helper()
	var limit *connguard.LimitError
	assert.Assert(t, errors.As(err, &limit), "%v", err)
	return limit.Reason
}

// TestRequestBytes guards against a request without end, and against a limit that counts
// the requests before a response.
func TestRequestBytes(t *testing.T) {
	conn, peer := newServer(t, nil).accept()
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	for range 5 {
		send(peer, requestBytes)
		assert.NilError(t, receive(conn, requestBytes))
		_, err := conn.Write([]byte("response"))
		assert.NilError(t, err)
	}
	send(peer, requestBytes+1)
	assert.Equal(t, limitReason(t, receive(conn, requestBytes+1)), connlimit.Size)
	_, err := conn.Write([]byte("response"))
	assert.ErrorIs(t, err, io.ErrClosedPipe)
}

// TestRequestTime guards against a request that arrives byte by byte, an idle connection
// that is kept for ever or closed early, and a peer that does not read.
func TestRequestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, nil)
		conn, peer := s.accept()
		go func() {
			time.Sleep(idleTime - time.Millisecond)
			for {
				if _, err := peer.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(requestTime / 10)
			}
		}()
		started := time.Now()
		assert.Assert(t, receive(conn, requestBytes) != nil)
		assert.Equal(t, time.Since(started), idleTime+requestTime-time.Millisecond)
		assert.Equal(t, s.pool.Usage().Fresh, 0, "the connection is closed")

		conn, _ = s.accept()
		started = time.Now()
		_, err := conn.Write([]byte("response"))
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(started), stall)
		assert.Equal(t, s.pool.Usage(), connlimit.Usage{})
	})
}

// TestServerDeadline guards against a server whose own deadline no longer applies.
func TestServerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, _ := newServer(t, nil).accept()
		started := time.Now()
		assert.NilError(t, conn.SetReadDeadline(started.Add(requestTime/2)))
		assert.Assert(t, receive(conn, 1) != nil)
		assert.Equal(t, time.Since(started), requestTime/2)
	})
}

// TestMarkedRequests guards against a limit on heads that applies to a body, or that no
// longer applies to the next head.
func TestMarkedRequests(t *testing.T) {
	s := newServer(t, func(o *connguard.Options) { o.Marked = true })
	conn, peer := s.accept()
	send(peer, requestBytes)
	assert.NilError(t, receive(conn, requestBytes))
	assert.Assert(t, s.pool.Usage().Memory > 0)
	conn.StartRequest()
	send(peer, 10*requestBytes)
	assert.NilError(t, receive(conn, 10*requestBytes))
	conn.EndRequest()
	conn.AwaitRequest()
	assert.Equal(t, s.pool.Usage(), connlimit.Usage{Served: 1})
	send(peer, requestBytes+1)
	assert.Equal(t, limitReason(t, receive(conn, requestBytes+1)), connlimit.Size)
}

// TestKeptBuffers guards against buffers that a server keeps after a request and that
// count toward no limit, or more than once.
func TestKeptBuffers(t *testing.T) {
	s := newServer(t, func(o *connguard.Options) { o.KeepsBuffers = true })
	conn, peer := s.accept()
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	for range 5 {
		send(peer, requestBytes)
		assert.NilError(t, receive(conn, requestBytes))
		_, err := conn.Write([]byte("response"))
		assert.NilError(t, err)
	}
	kept := s.pool.Usage().Memory
	assert.Assert(t, kept > 0)
	next, peer := s.accept()
	send(peer, requestBytes)
	assert.NilError(t, receive(next, requestBytes))
	assert.Equal(t, s.pool.Usage().Memory, 2*kept)
	third, peer := s.accept()
	send(peer, requestBytes)
	assert.NilError(t, receive(third, requestBytes))
	assert.Equal(t, s.pool.Usage(), connlimit.Usage{Fresh: 1, Served: 1, Memory: 2 * kept}, "the oldest without a response is closed")
	_ = third.Close()
	_ = conn.Close()
	assert.Equal(t, s.pool.Usage(), connlimit.Usage{})
}

// TestAcceptAfterShortage guards against a server that ends because file descriptors
// are short for a moment.
func TestAcceptAfterShortage(t *testing.T) {
	s := newServer(t, nil)
	s.errs = []error{&net.OpError{Op: "accept", Err: syscall.EMFILE}, net.ErrClosed}
	_, err := s.Listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}
