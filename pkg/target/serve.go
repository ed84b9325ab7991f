package target

import (
	"errors"
	"io"
	"net/http"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// FrameBytes is the maximum size of the body in one frame. drpc keeps a complete
// message in memory, and small frames limit the cost of an interrupted response.
const FrameBytes = 256 << 10

// ErrFrames reports a stream whose frames do not follow mesh.proto.
var ErrFrames = errors.New("target: the first frame has no head, or a later one has")

// Serve handles one Call stream of the daemon's Mesh service.
func (g *Gate) Serve(stream pb.DRPCMesh_CallStream) error {
	g.serving.add()
	defer g.serving.done()
	head, body, withinLimit, err := receiveCall(stream)
	if err != nil {
		return err
	}
	if !withinLimit {
		return sendAnswer(stream, badRequestHead(http.StatusRequestEntityTooLarge, "the body is larger than 4 MB"), nil)
	}
	answer, responseBody := g.Do(stream.Context(), head, body)
	return sendAnswer(stream, answer, responseBody)
}

// receiveCall reads the frames of a call. It returns false if the body is too
// large. A stream that ends without an end frame is an error, so that a truncated
// request is never run.
func receiveCall(stream pb.DRPCMesh_CallStream) (*pb.CallHead, []byte, bool, error) {
	var head *pb.CallHead
	var body []byte
	for {
		frame, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, nil, false, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, nil, false, err
		}
		if (head == nil) != (frame.GetHead() != nil) {
			return nil, nil, false, ErrFrames
		}
		if head == nil {
			head = frame.GetHead()
		}
		if len(body)+len(frame.GetBody()) > MaxBodyBytes {
			return head, nil, false, nil
		}
		if body == nil {
			body = frame.GetBody()
		} else {
			body = append(body, frame.GetBody()...)
		}
		if frame.GetEnd() {
			return head, body, true, nil
		}
	}
}

// sendAnswer sends an AnswerHead and a response body in frames.
func sendAnswer(stream pb.DRPCMesh_CallStream, head *pb.AnswerHead, body []byte) error {
	for first := true; first || len(body) > 0; first = false {
		n := min(len(body), FrameBytes)
		frame := &pb.AnswerFrame{Body: body[:n], End: n == len(body)}
		if first {
			frame.Head = head
		}
		body = body[n:]
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}
