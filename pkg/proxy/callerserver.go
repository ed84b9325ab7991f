package proxy

import (
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/connguard"
	"nutmegstand.example/nutmegstand/pkg/connlimit"
)

const (
	// maxReadAhead is the number of requests of one connection that may be read
	// before the first of them has been answered.
	maxReadAhead = 16
	// lingerTimeout bounds the wait for a caller to close its end of a connection.
	// Closing while received bytes are unread would reset the connection, and the
	// caller could lose a response that was already sent.
	lingerTimeout = 500 * time.Millisecond
	// maxDiscardedBody is the size in bytes up to which the rest of a request body is
	// read and discarded after an early response, to keep the connection.
	maxDiscardedBody = 256 << 10
	// headerFieldBytes is the memory of a decoded header field besides its text.
	headerFieldBytes = 128
	// requestBytes is the memory of a request in progress besides its header: two
	// stacks, contexts, timers and a copy buffer.
	requestBytes = 16 << 10
	// headReadFactor is the memory that is used for one byte of a header while it is
	// being read. The parser doubles its buffer for a long line.
	headReadFactor = 3
)

// CallerLimits are the limits on the requests of callers that are in force.
type CallerLimits struct {
	HeaderBytes   int // maximum size of a request header
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// CallerServerOptions configure a CallerServer.
type CallerServerOptions struct {
	Handler http.Handler
	// ReadAhead reports whether a request may be served while earlier requests of its
	// connection are being served. It may then run before them, and again on another
	// connection if this one breaks.
	ReadAhead func(*http.Request) bool
	Leaving   func() bool // reports whether connections must be closed after the current requests
	Limits    func() CallerLimits
	Stall     time.Duration       // within which a caller must take a part of a response
	Pool      *connlimit.Pool     // limits the connections and the memory of requests
	Reporter  *connguard.Reporter // nil for none
	Logger    *zap.Logger
}

// CallerServer is an HTTP/1.1 server for callers that send further requests before
// the first one has been answered. Unlike http.Server it serves such requests side by
// side if ReadAhead allows it. Responses are sent in the order of the requests.
type CallerServer struct {
	CallerServerOptions
	active atomic.Int64 // requests in progress

	mu       sync.Mutex
	listener net.Listener
	conns    map[*callerConn]struct{}
	closing  bool
	ended    chan struct{} // closed when the last connection has ended after closing was set
}

// NewCallerServer returns a server without connections.
func NewCallerServer(options CallerServerOptions) *CallerServer {
	if options.Pool == nil {
		options.Pool = connlimit.NewPool(connlimit.Limits{Connections: math.MaxInt, Memory: math.MaxInt64})
	}
	return &CallerServer{CallerServerOptions: options, conns: make(map[*callerConn]struct{}), ended: make(chan struct{})}
}

// Active returns the number of requests in progress.
func (s *CallerServer) Active() int64 { return s.active.Load() }

// Serve accepts connections until the listener fails or Close is called. It returns
// http.ErrServerClosed after Close.
func (s *CallerServer) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closing := s.closing
	s.mu.Unlock()
	if closing {
		_ = listener.Close()
		return http.ErrServerClosed
	}
	for {
		conn, err := connguard.Accept(listener, s.Reporter)
		if err != nil {
			if s.isClosing() {
				return http.ErrServerClosed
			}
			return err
		}
		if c := s.add(conn); c != nil {
			go c.serve()
		} else {
			_ = conn.Close()
		}
	}
}

func (s *CallerServer) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *CallerServer) add(conn net.Conn) *callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return nil
	}
	c := newCallerConn(s, conn)
	if c.slot = s.Pool.Add(c.evict); c.slot == nil {
		s.Reporter.Refused(connlimit.Room)
		return nil
	}
	s.conns[c] = struct{}{}
	return c
}

func (s *CallerServer) remove(c *callerConn) {
	c.slot.Remove()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if s.closing && len(s.conns) == 0 {
		close(s.ended)
	}
}

// Close stops accepting, closes the idle connections at once and the others after
// their requests, or after timeout. It returns the number of requests that were cut
// off.
func (s *CallerServer) Close(timeout time.Duration) int {
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		return 0
	}
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	conns := make([]*callerConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	if len(conns) == 0 {
		close(s.ended)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.stopReading()
	}
	select {
	case <-s.ended:
		return 0
	case <-time.After(timeout):
	}
	cut := int(s.active.Load())
	for _, c := range conns {
		c.abort()
	}
	return cut
}
