// Package target is the half of a daemon that serves the calls for the target
// on its VM: the announcement, the last checks before a call runs, the slots
// and the fair queue, the records of idempotency keys, and the requests that
// crash targets.
package target

import (
	"context"
	"fmt"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Answer is the whole answer of a target.
type Answer struct {
	Status  int32
	Headers []*pb.Header
	Body    []byte
}

// size is the memory that a stored answer takes, for the bound on answers.
func (a *Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.GetName()) + len(h.GetValue())
	}
	return n
}

// Request is one call as it is handed to the target.
type Request struct {
	Head     *pb.CallHead
	Body     []byte
	Received time.Time
	Deadline time.Time
}

// Backend reaches the target.
type Backend interface {
	// Open reserves a connection. An error proves that nothing was sent;
	// DownError says that the target accepts no connections.
	Open(ctx context.Context) (Exchange, error)
	// Accepts reports whether the target accepts connections now.
	Accepts(ctx context.Context) bool
}

// Exchange is one request and its answer on a reserved connection. Either Do
// or Release is called, once.
type Exchange interface {
	// Do sends the request and reads the whole answer. After an error the
	// request may have run; CutError tells whether the connection was reset.
	Do(ctx context.Context, request *Request) (*Answer, error)
	// Release returns the connection unused.
	Release()
}

// DownError reports that the target accepts no connections.
type DownError struct{ Cause error }

func (e *DownError) Error() string { return fmt.Sprintf("target: accepts no connections: %v", e.Cause) }

// Unwrap returns the cause.
func (e *DownError) Unwrap() error { return e.Cause }

// BusyError reports that the target's connections are all in use.
type BusyError struct{ Limit int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("target: all %d connections are in use", e.Limit)
}

// CutError reports an answer that ended before it was whole.
type CutError struct {
	// Reset is set when the target's side of the connection ended, as it does
	// when the target crashes.
	Reset bool
	Cause error
}

func (e *CutError) Error() string { return fmt.Sprintf("target: answer cut: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }
