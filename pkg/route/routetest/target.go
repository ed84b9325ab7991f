package routetest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// maxFrameBodyBytes limits the part of the body in one frame sent by a fake target side.
const maxFrameBodyBytes = 256 << 10

// maxConnections limits the connections of one Network.
const maxConnections = 4096

// releaseTimeout limits the wait for running handlers at the end of a test.
const releaseTimeout = 5 * time.Second

// Result is the reply of a fake target side.
type Result struct {
	Head *pb.AnswerHead
	Body []byte
	// Truncate ends the stream after half of the body, without the end frame.
	Truncate bool
	// Drop ends the stream before the head frame.
	Drop bool
}

// Answer returns a complete answer of a target.
func Answer(status int, body []byte) Result {
	return Result{Head: &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_ANSWERED, Status: int32(status)}, Body: body}
}

// Refuse returns the refusal of a call that did not run.
func Refuse(refusal pb.Refusal) Result {
	return Result{Head: &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Refusal: refusal, Reason: refusal.String(), RetryAfterMs: 1000}}
}

// Handler returns the reply to one attempt.
type Handler func(ctx context.Context, head *pb.CallHead, body []byte) Result

// meshServer is a target side that replies with the result of its handler.
type meshServer struct {
	pb.DRPCMeshUnimplementedServer
	handler Handler
}

var errTruncated = errors.New("routetest: reply truncated by the test")

// Call receives the frames of one attempt and sends the reply of the handler.
func (m *meshServer) Call(stream pb.DRPCMesh_CallStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	head, body := frame.GetHead(), frame.GetBody()
	for !frame.GetEnd() {
		if frame, err = stream.Recv(); err != nil {
			return err
		}
		body = append(body, frame.GetBody()...)
	}
	return sendResult(stream, m.handler(stream.Context(), head, body))
}

func sendResult(stream pb.DRPCMesh_CallStream, r Result) error {
	if r.Drop {
		return errTruncated
	}
	head, body := r.Head, r.Body
	if r.Truncate {
		body = body[:len(body)/2]
	}
	for {
		chunk := body[:min(len(body), maxFrameBodyBytes)]
		body = body[len(chunk):]
		last := len(body) == 0
		if err := stream.Send(&pb.AnswerFrame{Head: head, Body: chunk, End: last && !r.Truncate}); err != nil {
			return err
		}
		if last {
			break
		}
		head = nil
	}
	if r.Truncate {
		return errTruncated
	}
	return nil
}

// Network connects callers to fake target sides over in-memory connections.
type Network struct {
	ctx   context.Context
	tasks *ants.Pool

	mu      sync.Mutex
	targets map[string]*link.Server
	conns   map[string][]net.Conn
	dials   map[string]int
}

// NewNetwork returns a network that is closed at the end of the test. For use inside a
// synctest bubble it must be created inside the bubble.
func NewNetwork(tb testing.TB) *Network {
	tb.Helper()
	tasks, err := ants.NewPool(maxConnections)
	if err != nil {
		tb.Fatalf("create task pool: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Network{ctx: ctx, tasks: tasks, targets: map[string]*link.Server{}, conns: map[string][]net.Conn{}, dials: map[string]int{}}
	tb.Cleanup(func() {
		cancel()
		n.mu.Lock()
		for _, conns := range n.conns {
			for _, c := range conns {
				_ = c.Close()
			}
		}
		n.mu.Unlock()
		// Handlers of abandoned calls may still be running.
		if err := tasks.ReleaseTimeout(releaseTimeout); err != nil {
			tb.Errorf("handlers of fake target sides are still running: %v", err)
		}
	})
	return n
}

// Listen adds or replaces the target side at an address.
func (n *Network) Listen(tb testing.TB, address string, handler Handler) {
	tb.Helper()
	server, err := link.NewServer(&meshServer{handler: handler}, n.tasks, zap.NewNop())
	if err != nil {
		tb.Fatalf("create server: %v", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targets[address] = server
}

// Stop makes an address unreachable and closes its connections.
func (n *Network) Stop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.targets, address)
	for _, c := range n.conns[address] {
		_ = c.Close()
	}
	delete(n.conns, address)
}

// Dials returns the number of connections opened to an address.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// Dial opens a connection to the target side at an address.
func (n *Network) Dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	server := n.targets[address]
	n.mu.Unlock()
	if server == nil {
		return nil, fmt.Errorf("routetest: connection to %s refused", address)
	}
	clientConn, serverConn := net.Pipe()
	if err := n.tasks.Submit(func() { _ = server.ServeConn(n.ctx, serverConn) }); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials[address]++
	n.conns[address] = append(n.conns[address], clientConn, serverConn)
	return clientConn, nil
}

// ServeTCP serves a handler on a loopback address until the test ends, and
// returns the address.
func ServeTCP(tb testing.TB, tasks *ants.Pool, handler Handler) string {
	tb.Helper()
	server, err := link.NewServer(&meshServer{handler: handler}, tasks, zap.NewNop())
	if err != nil {
		tb.Fatalf("create server: %v", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("listen: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	if err := tasks.Submit(func() { _ = server.Serve(ctx, listener) }); err != nil {
		tb.Fatalf("serve: %v", err)
	}
	return listener.Addr().String()
}
