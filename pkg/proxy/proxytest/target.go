// Package proxytest provides an HTTP/1.1 target for tests, whose responses can
// be controlled byte by byte.
package proxytest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"nutmegstand.example/nutmegstand/pkg/link/linktest"
	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// Names are the header names that tests use.
var Names = proxy.HeaderNames{
	RequestID: "X-Request-Id", TimeLeft: "X-Time-Left", Signature: "X-Signature", ExpectedTarget: "X-Target",
	NotRun: "X-Not-Run", CallerService: "X-Caller", RateLimit: "X-Rate-Limit", Leaving: "X-Leaving",
	Key: "X-Key", Workspace: "X-Workspace",
}

// Request is a request that a target has received.
type Request struct {
	*http.Request
	Content []byte // whole body, empty if RespondEarly was called
	Conn    net.Conn
}

// Handler responds to a request by writing to its connection. It returns
// whether the connection stays open.
type Handler func(r *Request) bool

// Target is an HTTP/1.1 server with a replaceable handler.
type Target struct {
	Address string

	mu           sync.Mutex
	handler      Handler
	requests     []*Request
	conns        map[net.Conn]bool
	respondEarly bool
	malformed    []error
	listener     net.Listener
}

// New starts a target that responds to every request with 200.
func New(t testing.TB) *Target {
	t.Helper()
	listener := linktest.Listen(t)
	target := &Target{Address: listener.Addr().String(), handler: OK("ok"), conns: make(map[net.Conn]bool), listener: listener}
	go target.accept(listener)
	t.Cleanup(target.Crash)
	return target
}

func (s *Target) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *Target) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			s.recordMalformed(err)
			return
		}
		request := &Request{Request: r, Conn: conn}
		s.mu.Lock()
		handler, respondEarly := s.handler, s.respondEarly
		s.requests = append(s.requests, request)
		s.mu.Unlock()
		if !respondEarly {
			if request.Content, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		if !handler(request) {
			return
		}
	}
}

// recordMalformed records bytes that are no request. The end of a connection is none.
func (s *Target) recordMalformed(err error) {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.As(err, &network) || errors.Is(err, net.ErrClosed) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.malformed = append(s.malformed, err)
}

// Malformed returns the errors of reading requests, other than the end of a connection.
func (s *Target) Malformed() []error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]error(nil), s.malformed...)
}

// Handle sets the handler for later requests.
func (s *Target) Handle(h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = h
}

// RespondEarly makes the target run handlers before it has read the request
// body, which is then left to the handlers.
func (s *Target) RespondEarly() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respondEarly = true
}

// Requests returns the requests received so far.
func (s *Target) Requests() []*Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Request(nil), s.requests...)
}

// Conns returns the number of open connections.
func (s *Target) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseConns closes all connections, as the end of the process does.
func (s *Target) CloseConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Crash closes the listener and resets all connections. Later connections are refused.
func (s *Target) Crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		Reset(conn)
	}
}

// Reset closes a TCP connection with a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Write writes a signed response with the given status, additional header lines
// and body.
func Write(r *Request, status int, extra, body string) {
	_, _ = fmt.Fprintf(r.Conn, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: signed\r\nContent-Length: %s\r\n%s\r\n%s", status,
		Names.RequestID, r.Header.Get(Names.RequestID), Names.Signature, strconv.Itoa(len(body)), extra, body)
}

// OK returns a handler that responds with 200 and the given body.
func OK(body string) Handler {
	return func(r *Request) bool {
		Write(r, http.StatusOK, "", body)
		return true
	}
}

// Fail returns a handler that responds with the given status as an error of
// the target.
func Fail(status int) Handler {
	return func(r *Request) bool {
		Write(r, status, "", "failed")
		return true
	}
}

// NotRun returns a handler that responds with the given status and reports that
// the request was not run.
func NotRun(status int) Handler {
	return func(r *Request) bool {
		_, _ = fmt.Fprintf(r.Conn, "HTTP/1.1 %d Status\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, Names.NotRun)
		return true
	}
}

// Raw returns a handler that writes the given bytes and then keeps or
// closes the connection.
func Raw(keep bool, bytes func(r *Request) string) Handler {
	return func(r *Request) bool {
		_, _ = io.WriteString(r.Conn, bytes(r))
		return keep
	}
}
