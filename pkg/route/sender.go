package route

import (
	"context"
	"errors"
	"io"

	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// maxFrameBodyBytes bounds the body part of one frame.
	maxFrameBodyBytes = 256 << 10
	// maxAnswerBytes bounds an answer held in memory; it equals the default of
	// maxBodyBytes for requests.
	maxAnswerBytes = 4 << 20
)

var (
	errAnswerTooLarge = errors.New("answer is larger than 4 MB")
	errNoHead         = errors.New("first frame has no head")
	errSecondHead     = errors.New("second head in one answer")
)

// MeshSender sends attempts over drpc.
type MeshSender struct{ peers *link.Peers }

// NewMeshSender returns a sender that uses the connections of peers.
func NewMeshSender(peers *link.Peers) *MeshSender { return &MeshSender{peers: peers} }

// Warm opens one idle connection to the address.
func (s *MeshSender) Warm(ctx context.Context, address string) error {
	return s.peers.Warm(ctx, address)
}

// Send performs one attempt. The head is the first thing that a target side
// acts on, so an error before it is written proves that nothing ran. After
// that nothing is proved: a write that failed may still have arrived.
func (s *MeshSender) Send(ctx context.Context, address string, head *pb.CallHead, body []byte) (*Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	stream, err := s.peers.Client(ctx, address).Call(ctx)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	defer release(ctx, stream)
	if err := sendFrames(stream, head, body); err != nil && !errors.Is(err, io.EOF) {
		return nil, &CutError{Address: address, Cause: err}
	}
	// io.EOF on sending means that the target side ended the stream early, for
	// example by a refusal sent before the whole body had arrived. Its reply can
	// still be read.
	reply, err := receiveFrames(stream)
	if err != nil {
		return nil, &CutError{Address: address, Cause: err}
	}
	return reply, nil
}

// release ends a stream that still runs, which cancels the target side's work,
// and waits until its connection is back in the pool. Without the wait the next
// call would open another connection.
func release(ctx context.Context, stream pb.DRPCMesh_CallClient) {
	_ = stream.Close()
	select {
	case <-stream.Context().Done():
	case <-ctx.Done():
	}
}

func sendFrames(stream pb.DRPCMesh_CallClient, head *pb.CallHead, body []byte) error {
	for {
		part := body[:min(len(body), maxFrameBodyBytes)]
		body = body[len(part):]
		if err := stream.Send(&pb.CallFrame{Head: head, Body: part, End: len(body) == 0}); err != nil {
			return err
		}
		if len(body) == 0 {
			return nil
		}
		head = nil
	}
}

func receiveFrames(stream pb.DRPCMesh_CallClient) (*Reply, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	reply := &Reply{Head: frame.GetHead(), Body: frame.GetBody()}
	if reply.Head == nil {
		return nil, errNoHead
	}
	for !frame.GetEnd() {
		if frame, err = stream.Recv(); err != nil {
			return nil, err
		}
		if frame.GetHead() != nil {
			return nil, errSecondHead
		}
		if len(reply.Body)+len(frame.GetBody()) > maxAnswerBytes {
			return nil, errAnswerTooLarge
		}
		reply.Body = append(reply.Body, frame.GetBody()...)
	}
	return reply, nil
}
