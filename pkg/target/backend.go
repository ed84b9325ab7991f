// Package target implements the target side of a daemon, which serves the calls
// to the target on the daemon's VM. It handles the target's announcements, checks
// and queues calls, sends them to the target, stores the results of idempotency
// keys, and isolates requests that crash the target.
package target

import (
	"context"
	"fmt"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Response is the complete response of a target.
type Response struct {
	Status  int32
	Headers []*pb.Header
	Body    []byte
}

// size returns the approximate memory of a stored response, in bytes.
func (r *Response) size() int {
	n := len(r.Body)
	for _, h := range r.Headers {
		n += len(h.GetName()) + len(h.GetValue())
	}
	return n
}

// Request is one call to be sent to the target.
type Request struct {
	Head     *pb.CallHead
	Body     []byte
	Received time.Time
	Deadline time.Time
}

// Backend opens exchanges with the target.
type Backend interface {
	// Open reserves a connection. An error guarantees that nothing was sent; it
	// is a DownError if the target accepts no connections.
	Open(ctx context.Context) (Exchange, error)
	// Accepts reports whether the target currently accepts connections.
	Accepts(ctx context.Context) bool
}

// Exchange is one request and its response on a reserved connection. The caller
// must call either Do or Release, exactly once.
type Exchange interface {
	// Do sends the request and reads the complete response. After an error the
	// request may have run; an IncompleteResponseError reports whether the
	// connection was reset.
	Do(ctx context.Context, request *Request) (*Response, error)
	// Release returns the connection without using it.
	Release()
}

// DownError reports that the target accepts no connections.
type DownError struct{ Cause error }

func (e *DownError) Error() string { return fmt.Sprintf("target: accepts no connections: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DownError) Unwrap() error { return e.Cause }

// BusyError reports that all connections allowed to the target are in use.
type BusyError struct{ Limit int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("target: all %d connections are in use", e.Limit)
}

// IncompleteResponseError reports a response that ended before it was complete.
type IncompleteResponseError struct {
	// Reset is true if the target closed or reset the connection, which also
	// happens when it crashes.
	Reset bool
	Cause error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("target: answer cut: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }
