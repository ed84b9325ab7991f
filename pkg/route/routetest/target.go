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

// frameBytes is the body part of the frames that a stand-in target sends.
const frameBytes = 256 << 10

// maxTasks bounds the connections of one set of stand-in targets.
const maxTasks = 4096

// releaseTime bounds the wait for handlers at the end of a test.
const releaseTime = 5 * time.Second

// Result is the reply of a stand-in target side.
type Result struct {
	Head *pb.AnswerHead
	Body []byte
	// Cut ends the stream after half of the body, without the end frame.
	Cut bool
	// Drop ends the stream before the head frame.
	Drop bool
}

// Answer returns a whole answer of the target.
func Answer(status int, body []byte) Result {
	return Result{Head: &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_ANSWERED, Status: int32(status)}, Body: body}
}

// Refuse returns a refusal.
func Refuse(refusal pb.Refusal) Result {
	return Result{Head: &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Refusal: refusal, Reason: refusal.String(), RetryAfterMs: 1000}}
}

// Handler answers one attempt.
type Handler func(ctx context.Context, head *pb.CallHead, body []byte) Result

// meshServer is a target side that answers by its handler.
type meshServer struct {
	pb.DRPCMeshUnimplementedServer
	handler Handler
}

var errCut = errors.New("routetest: reply cut on purpose")

// Call receives the frames of one attempt and sends the handler's reply.
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
		return errCut
	}
	head, body := r.Head, r.Body
	if r.Cut {
		body = body[:len(body)/2]
	}
	for {
		part := body[:min(len(body), frameBytes)]
		body = body[len(part):]
		last := len(body) == 0
		if err := stream.Send(&pb.AnswerFrame{Head: head, Body: part, End: last && !r.Cut}); err != nil {
			return err
		}
		if last {
			break
		}
		head = nil
	}
	if r.Cut {
		return errCut
	}
	return nil
}

// Network holds stand-in target sides that are reached over in-memory
// connections.
type Network struct {
	ctx   context.Context
	tasks *ants.Pool

	mu      sync.Mutex
	targets map[string]*link.Server
	conns   map[string][]net.Conn
	dials   map[string]int
}

// NewNetwork returns a network that ends with the test. Inside a synctest
// bubble it must be created there.
func NewNetwork(tb testing.TB) *Network {
	tb.Helper()
	tasks, err := ants.NewPool(maxTasks)
	if err != nil {
		tb.Fatalf("task pool: %v", err)
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
		// Handlers that still run for calls that were given up are waited for.
		if err := tasks.ReleaseTimeout(releaseTime); err != nil {
			tb.Errorf("stand-in targets still run: %v", err)
		}
	})
	return n
}

// Listen adds or replaces the target side at an address.
func (n *Network) Listen(tb testing.TB, address string, handler Handler) {
	tb.Helper()
	server, err := link.NewServer(&meshServer{handler: handler}, n.tasks, zap.NewNop())
	if err != nil {
		tb.Fatalf("server: %v", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targets[address] = server
}

// Stop makes an address unreachable and breaks its connections.
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

// Dial connects to a target side.
func (n *Network) Dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	server := n.targets[address]
	n.mu.Unlock()
	if server == nil {
		return nil, fmt.Errorf("routetest: connection to %s refused", address)
	}
	client, accepted := net.Pipe()
	if err := n.tasks.Submit(func() { _ = server.ServeConn(n.ctx, accepted) }); err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials[address]++
	n.conns[address] = append(n.conns[address], client, accepted)
	return client, nil
}

// ServeTCP serves a handler on a loopback address until the test ends, and
// returns the address.
func ServeTCP(tb testing.TB, tasks *ants.Pool, handler Handler) string {
	tb.Helper()
	server, err := link.NewServer(&meshServer{handler: handler}, tasks, zap.NewNop())
	if err != nil {
		tb.Fatalf("server: %v", err)
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
