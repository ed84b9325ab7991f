// Package proxytest provides a target whose answers tests script byte by byte.
package proxytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// Names are the header names that the tests of this repository use.
var Names = proxy.HeaderNames{
	RequestID: "X-Request-Id", TimeLeft: "X-Time-Left", Signature: "X-Signature", ExpectedTarget: "X-Target",
	NotRun: "X-Not-Run", CallerService: "X-Caller",
}

// Request is a request that a target has got.
type Request struct {
	*http.Request
	Content []byte // the whole body, unless the handler reads it itself
	Conn    net.Conn
}

// Handler answers a request by writing to its connection. It returns whether
// the connection is kept.
type Handler func(r *Request) bool

// Target is a scripted HTTP/1.1 server.
type Target struct {
	Address string

	mu       sync.Mutex
	handler  Handler
	requests []*Request
	conns    map[net.Conn]bool
	early    bool
	listener net.Listener
}

// New starts a target that answers every request with OK.
func New(t testing.TB) *Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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
			return
		}
		request := &Request{Request: r, Conn: conn}
		s.mu.Lock()
		handler, early := s.handler, s.early
		s.requests = append(s.requests, request)
		s.mu.Unlock()
		if !early {
			if request.Content, err = io.ReadAll(r.Body); err != nil {
				return
			}
		}
		if !handler(request) {
			return
		}
	}
}

// Handle sets the handler of later requests.
func (s *Target) Handle(h Handler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = h
}

// AnswerEarly lets handlers run before the body is read.
func (s *Target) AnswerEarly() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.early = true
}

// Requests returns the requests got so far.
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

// Crash closes the listener and all connections.
func (s *Target) Crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		Reset(conn)
	}
}

// Reset closes a connection with a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Write writes an answer with the given status, extra header lines and body.
func Write(r *Request, status int, extra, body string) {
	_, _ = fmt.Fprintf(r.Conn, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: signed\r\nContent-Length: %s\r\n%s\r\n%s", status,
		Names.RequestID, r.Header.Get(Names.RequestID), Names.Signature, strconv.Itoa(len(body)), extra, body)
}

// OK answers with 200 and a body.
func OK(body string) Handler {
	return func(r *Request) bool {
		Write(r, http.StatusOK, "", body)
		return true
	}
}

// Fail answers with a status of the target's own.
func Fail(status int) Handler {
	return func(r *Request) bool {
		Write(r, status, "", "failed")
		return true
	}
}

// NotRun says that the request was not run.
func NotRun(status int) Handler {
	return func(r *Request) bool {
		_, _ = fmt.Fprintf(r.Conn, "HTTP/1.1 %d Status\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, Names.NotRun)
		return true
	}
}

// Raw writes bytes and keeps or closes the connection.
func Raw(keep bool, bytes func(r *Request) string) Handler {
	return func(r *Request) bool {
		_, _ = io.WriteString(r.Conn, bytes(r))
		return keep
	}
}
