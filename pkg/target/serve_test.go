package target_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"

	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
)

// mesh implements only the Call method of the Mesh service.
type mesh struct {
	pb.DRPCMeshUnimplementedServer
	gate *target.Gate
}

func (m *mesh) Call(stream pb.DRPCMesh_CallStream) error { return m.gate.Serve(stream) }

// echo is a backend that responds with the request's body.
type echo struct{ runs int }

func (e *echo) Open(context.Context) (target.Exchange, error) { return e, nil }
func (e *echo) Accepts(context.Context) bool                  { return true }
func (e *echo) Release()                                      {}
func (e *echo) Do(_ context.Context, r *target.Request) (*target.Response, error) {
	e.runs++
	return &target.Response{Status: 200, Body: r.Body, Headers: []*pb.Header{{Name: "X", Value: "y"}}}, nil
}

func serve(t *testing.T) (pb.DRPCMeshClient, *echo) {
	backend := &echo{}
	gate := target.NewGate(target.Options{
		Name: "vm-1", Backend: backend, Lease: time.Now, TakenBack: func(string, string) bool { return false },
		Endpoints: func(string) []*pb.Endpoint { return nil }, HasBundle: func(string) bool { return true },
		ConfigVersion: func() uint64 { return 1 }, Logger: zap.NewNop(),
	})
	gate.Ready(faketarget.Service, faketarget.Version, func(time.Time) int { return 1 })
	server, err := link.NewServer(&mesh{gate: gate}, nil, zap.NewNop())
	assert.NilError(t, err)
	clientConn, serverConn := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.ServeConn(ctx, serverConn)
	}()
	conn := drpcconn.New(clientConn)
	t.Cleanup(func() {
		_ = conn.Close()
		cancel()
		<-done
	})
	return pb.NewDRPCMeshClient(conn), backend
}

func receive(t *testing.T, stream pb.DRPCMesh_CallClient) (head *pb.AnswerHead, body []byte, frames int) {
	for {
		frame, err := stream.Recv()
		assert.NilError(t, err)
		if frames == 0 {
			head = frame.GetHead()
		}
		frames++
		assert.Assert(t, len(frame.GetBody()) <= target.FrameBytes)
		body = append(body, frame.GetBody()...)
		if frame.GetEnd() {
			return head, body, frames
		}
	}
}

// TestServeFrames guards against wrong bodies of successive calls on one connection,
// whose bodies are empty or have one or several frames in both directions.
func TestServeFrames(t *testing.T) {
	client, _ := serve(t)
	for _, size := range []int{0, 1, target.FrameBytes, 3*target.FrameBytes + 5} {
		stream, err := client.Call(context.Background())
		assert.NilError(t, err)
		body := bytes.Repeat([]byte{7}, size)
		head := faketarget.Call("c", "/", time.Second)
		for first := true; first || len(body) > 0; first = false {
			n := min(len(body), target.FrameBytes)
			frame := &pb.CallFrame{Body: body[:n], End: n == len(body)}
			if first {
				frame.Head = head
			}
			body = body[n:]
			assert.NilError(t, stream.Send(frame))
		}
		answer, got, frames := receive(t, stream)
		assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_ANSWERED, answer.GetReason())
		assert.Equal(t, len(got), size)
		assert.Equal(t, frames, max(1, (size+target.FrameBytes-1)/target.FrameBytes))
		assert.NilError(t, stream.Close())
	}
}

// TestServeCutRequest guards against running a request that is incomplete or has
// an invalid sequence of frames.
func TestServeCutRequest(t *testing.T) {
	head := faketarget.Call("c", "/", time.Second)
	cases := [][]*pb.CallFrame{
		{{Head: head, Body: []byte("part")}},
		{{Body: []byte("no head"), End: true}},
		{{Head: head}, {Head: head, End: true}},
	}
	for _, frames := range cases {
		client, backend := serve(t)
		stream, err := client.Call(context.Background())
		assert.NilError(t, err)
		for _, frame := range frames {
			assert.NilError(t, stream.Send(frame))
		}
		assert.NilError(t, stream.CloseSend())
		_, err = stream.Recv()
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "error %v", err)
		assert.Equal(t, backend.runs, 0)
	}
}

// TestServeLargeBody guards against accepting a body above the size limit.
func TestServeLargeBody(t *testing.T) {
	client, backend := serve(t)
	stream, err := client.Call(context.Background())
	assert.NilError(t, err)
	chunk := make([]byte, target.FrameBytes)
	for i := range target.MaxBodyBytes/target.FrameBytes + 1 {
		frame := &pb.CallFrame{Body: chunk}
		if i == 0 {
			frame.Head = faketarget.Call("c", "/", time.Second)
		}
		if stream.Send(frame) != nil {
			break
		}
	}
	answer, _, _ := receive(t, stream)
	assert.Equal(t, answer.GetOutcome(), pb.Outcome_OUTCOME_BAD_REQUEST)
	assert.Equal(t, answer.GetStatus(), int32(413))
	assert.Equal(t, backend.runs, 0)
}
