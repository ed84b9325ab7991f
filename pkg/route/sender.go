package route

import (
	"context"
	"errors"
	"io"

	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// maxFrameBodyBytes limits the part of the body in one frame.
	maxFrameBodyBytes = 256 << 10
	// maxAnswerBytes limits an answer, which is buffered in memory. It equals
	// DefaultMaxBodyBytes, the limit of requests.
	maxAnswerBytes = 4 << 20
)

var (
	errAnswerTooLarge = errors.New("answer is larger than 4 MB")
	errMissingHead    = errors.New("first frame of the answer has no head")
	errDuplicateHead  = errors.New("answer has more than one head")
)

// MeshSender sends attempts to target sides over DRPC.
type MeshSender struct{ peers *link.Peers }

// NewMeshSender returns a sender that uses the connection pool of peers.
func NewMeshSender(peers *link.Peers) *MeshSender { return &MeshSender{peers: peers} }

// Warm opens one idle connection to the address.
func (s *MeshSender) Warm(ctx context.Context, address string) error {
	return s.peers.Warm(ctx, address)
}

// Send performs one attempt. A target side starts work when it receives the head, so
// an error before the head is written proves that the attempt did not run. After that
// the outcome is unknown: data of a failed write may still have arrived.
func (s *MeshSender) Send(ctx context.Context, address string, head *pb.CallHead, body []byte) (*Reply, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	stream, err := s.peers.Client(ctx, address).Call(ctx)
	if err != nil {
		return nil, &NotSentError{Address: address, Cause: err}
	}
	defer closeStream(ctx, stream)
	if err := sendFrames(stream, head, body); err != nil && !errors.Is(err, io.EOF) {
		return nil, &IncompleteReplyError{Address: address, Cause: err}
	}
	// io.EOF on sending means that the target side ended the stream early, for
	// example because it refused the call before it had received the whole body.
	// Its reply can still be read.
	reply, err := receiveFrames(stream)
	if err != nil {
		return nil, &IncompleteReplyError{Address: address, Cause: err}
	}
	return reply, nil
}

// closeStream closes the stream, which cancels any remaining work of the target side,
// and waits until its connection is back in the pool. Without the wait the next call
// would open another connection.
func closeStream(ctx context.Context, stream pb.DRPCMesh_CallClient) {
	_ = stream.Close()
	select {
	case <-stream.Context().Done():
	case <-ctx.Done():
	}
}

func sendFrames(stream pb.DRPCMesh_CallClient, head *pb.CallHead, body []byte) error {
	for {
		chunk := body[:min(len(body), maxFrameBodyBytes)]
		body = body[len(chunk):]
		if err := stream.Send(&pb.CallFrame{Head: head, Body: chunk, End: len(body) == 0}); err != nil {
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
		return nil, errMissingHead
	}
	for !frame.GetEnd() {
		if frame, err = stream.Recv(); err != nil {
			return nil, err
		}
		if frame.GetHead() != nil {
			return nil, errDuplicateHead
		}
		if len(reply.Body)+len(frame.GetBody()) > maxAnswerBytes {
			return nil, errAnswerTooLarge
		}
		reply.Body = append(reply.Body, frame.GetBody()...)
	}
	return reply, nil
}
