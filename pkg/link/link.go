// Package link provides the drpc transport between daemons: a server that handles
// each accepted connection on a task pool, and a client that keeps idle connections
// to peers for reuse.
package link

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

const (
	// dialTimeout is the timeout of a connection attempt. A partition between
	// regions drops packets without a reset, so a dial could hang.
	dialTimeout = time.Second
	// unackedTimeout is the time after which a connection with unacknowledged data
	// is closed. It equals the longest time that a caller waits for a connection
	// attempt.
	unackedTimeout = time.Second
	// idleTimeout is the time after which unused pooled connections are closed.
	idleTimeout = 60 * time.Second
	// inactivityTimeout is the time after which a server closes a connection without a
	// call. Clients close unused connections earlier.
	inactivityTimeout = idleTimeout + 15*time.Second
	// maxIdlePerPeer and maxIdle limit the number of idle connections and so the
	// memory that they use.
	maxIdlePerPeer = 4
	maxIdle        = 256
	// softCancelGrace is the time that a concurrent send has to finish before a
	// cancelled stream closes its connection.
	softCancelGrace = 5 * time.Millisecond
	// streamBufferBytes is the size of frames and of the largest buffer that an open
	// stream keeps. A distributor has hundreds of streams whose first message has
	// 20 KB or more and whose later messages have tens of bytes, so larger buffers
	// would stay allocated without use.
	streamBufferBytes = 8 << 10
	// MaxMessageBytes is the maximum size of one drpc message. Bodies are sent in
	// smaller frames.
	MaxMessageBytes = 4 << 20
)

var eventConnectionFailed = telemetry.NewEvent(1701, "connection_failed", zapcore.DebugLevel,
	"A connection from another daemon ended with an error.")

var eventCallPanicked = telemetry.NewEvent(1702, "call_panicked", zapcore.ErrorLevel,
	"The handler of a call from another daemon panicked. The call failed.")

// DialError reports that the connection to a peer could not be opened. Nothing was
// sent to the peer.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return fmt.Sprintf("link: dial %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// DialFunc opens a transport connection to a daemon's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the DialFunc for TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: UserTimeoutControl(unackedTimeout)}
	return dialer.DialContext(ctx, "tcp", address)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		Stream:          drpcstream.Options{SplitSize: streamBufferBytes, MaximumBufferSize: streamBufferBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// Peers opens streams to other daemons. It keeps idle connections for reuse, since
// drpc carries only one stream at a time on a connection.
type Peers struct {
	dial DialFunc
	pool *drpcpool.Pool[string, drpcpool.Conn]
}

// NewPeers returns Peers that open connections with dial.
func NewPeers(dial DialFunc) *Peers {
	return &Peers{dial: dial, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    maxIdle,
		KeyCapacity: maxIdlePerPeer,
	})}
}

// Fleet returns a client of the Fleet service of the daemon at address.
func (p *Peers) Fleet(ctx context.Context, address string) pb.DRPCFleetClient {
	return pb.NewDRPCFleetClient(p.pool.Get(ctx, address, p.dialPooled))
}

// DialFleet returns a client of the Fleet service of the daemon at address on a
// connection of its own, and a function that closes the connection.
func (p *Peers) DialFleet(ctx context.Context, address string) (pb.DRPCFleetClient, func(), error) {
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	return pb.NewDRPCFleetClient(conn), func() { _ = conn.Close() }, nil
}

// Client returns a client of the Mesh service of the daemon at address. The
// connection is opened or reused when a method is called; if the dial fails, the
// method returns a DialError.
func (p *Peers) Client(ctx context.Context, address string) pb.DRPCMeshClient {
	return pb.NewDRPCMeshClient(p.pool.Get(ctx, address, p.dialPooled))
}

func (p *Peers) dialPooled(ctx context.Context, address string) (drpcpool.Conn, error) {
	return p.Dial(ctx, address)
}

// Dial opens a connection that is not pooled, for long-lived streams.
func (p *Peers) Dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Warm opens a connection to address and adds it to the pool, so that the first
// stream to a new peer does not wait for a dial.
func (p *Peers) Warm(ctx context.Context, address string) error {
	conn, err := p.Dial(ctx, address)
	if err != nil {
		return err
	}
	p.pool.Put(address, conn)
	return nil
}

// Close closes the idle connections.
func (p *Peers) Close() error { return p.pool.Close() }

// Server serves a drpc service, Mesh or Fleet, to other daemons.
type Server struct {
	server *drpcserver.Server
	tasks  *ants.Pool
	logger *zap.Logger
}

// NewServer returns a server of the Mesh service. It runs each accepted connection
// as one task.
func NewServer(mesh pb.DRPCMeshServer, tasks *ants.Pool, logger *zap.Logger) (*Server, error) {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterMesh(mux, mesh); err != nil {
		return nil, fmt.Errorf("link: register: %w", err)
	}
	return newServer(mux, tasks, logger), nil
}

// NewFleetServer returns a server of the Fleet service. It runs each accepted
// connection as one task.
func NewFleetServer(fleet pb.DRPCFleetServer, tasks *ants.Pool, logger *zap.Logger) (*Server, error) {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterFleet(mux, fleet); err != nil {
		return nil, fmt.Errorf("link: register: %w", err)
	}
	return newServer(mux, tasks, logger), nil
}

func newServer(handler drpc.Handler, tasks *ants.Pool, logger *zap.Logger) *Server {
	options := drpcserver.Options{Manager: managerOptions()}
	options.Manager.InactivityTimeout = inactivityTimeout
	return &Server{server: drpcserver.NewWithOptions(recovering{handler, logger}, options), tasks: tasks, logger: logger}
}

// recovering is a handler that turns a panic into an error of the call. A message of a
// peer must not end the process.
type recovering struct {
	drpc.Handler
	logger *zap.Logger
}

// HandleRPC implements drpc.Handler.
func (r recovering) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			eventCallPanicked.Log(r.logger, zap.String("call", rpc), zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			err = &PanicError{Call: rpc, Panic: p}
		}
	}()
	return r.Handler.HandleRPC(stream, rpc)
}

// PanicError reports a call whose handler panicked.
type PanicError struct {
	Call  string
	Panic any
}

func (e *PanicError) Error() string { return fmt.Sprintf("link: call %s: panic: %v", e.Call, e.Panic) }

// closeNotifier is a connection that calls a function when it is closed by others. drpc
// notices that only while it reads or writes, and after some bytes it does neither.
type closeNotifier interface{ AfterClose(f func()) }

// Serve accepts connections until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("link: accept: %w", err)
		}
		if err := s.tasks.Submit(func() { s.serveConn(ctx, conn) }); err != nil {
			_ = conn.Close()
		}
	}
}

// ServeConn serves one connection until it ends. Tests use it with in-memory
// connections.
func (s *Server) ServeConn(ctx context.Context, transport drpc.Transport) error {
	return s.server.ServeOne(ctx, transport)
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	if c, ok := conn.(closeNotifier); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		c.AfterClose(cancel)
	}
	if err := s.ServeConn(ctx, conn); err != nil && ctx.Err() == nil {
		eventConnectionFailed.Log(s.logger, zap.String("peer", conn.RemoteAddr().String()), zap.Error(err))
	}
}
