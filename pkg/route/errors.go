package route

import (
	"fmt"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// NoRouteError reports a call that no route matches.
type NoRouteError struct {
	Host, Path, Method string
	// MethodMismatch is set if host and path match, but the method does not.
	MethodMismatch bool
}

func (e *NoRouteError) Error() string {
	if e.MethodMismatch {
		return fmt.Sprintf("route: method %s is not allowed at %s%s", e.Method, e.Host, e.Path)
	}
	return fmt.Sprintf("route: no route for %s %s%s", e.Method, e.Host, e.Path)
}

// LimitError reports that a member has exceeded its allowance. The call did not run.
type LimitError struct {
	Member, Route string
	RetryAfter    time.Duration
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("route: member %q has used its allowance on route %q", e.Member, e.Route)
}

// NotRunError reports a call that provably did not run.
type NotRunError struct {
	Reason     string
	Refusal    pb.Refusal
	RetryAfter time.Duration
	Cause      error
}

func (e *NotRunError) Error() string { return "route: not run: " + e.Reason }

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownError reports a call that may have run.
type UnknownError struct {
	Reason   string
	TimedOut bool // the deadline passed while the call was in progress
	Cause    error
}

func (e *UnknownError) Error() string { return "route: outcome unknown: " + e.Reason }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// BadRequestError reports an invalid request of the caller. The call did not run.
type BadRequestError struct {
	Reason string
	Status int // 4xx status from the target side; 0 means 422
}

func (e *BadRequestError) Error() string { return "route: bad request: " + e.Reason }

// DepthError reports a call chain that has reached the maximum depth, most likely
// because of a loop. The call did not run.
type DepthError struct{ Depth int32 }

func (e *DepthError) Error() string {
	return fmt.Sprintf("route: call chain of depth %d is deeper than %d", e.Depth, maxDepth)
}

// NoEndpointError reports that no endpoint of a service is usable at present. The
// call did not run.
type NoEndpointError struct {
	Service, Version string
	Total            int // endpoints in any state
	NotReady         int // leaving, down or departed
	OtherVersion     int
	SetAside         int // set aside after failed attempts
	Tried            int // already tried for this call
}

func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("route: no usable endpoint of service %q version %q: %d known, %d not ready, %d of another version, %d set aside, %d tried",
		e.Service, e.Version, e.Total, e.NotReady, e.OtherVersion, e.SetAside, e.Tried)
}

// NotSentError reports an attempt that provably did not run, because nothing was sent
// to the target side.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("route: send to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// IncompleteReplyError reports an attempt that ended before the complete reply was
// received, so that its outcome is unknown.
type IncompleteReplyError struct {
	Address string
	Cause   error
}

func (e *IncompleteReplyError) Error() string {
	return fmt.Sprintf("route: incomplete reply from %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteReplyError) Unwrap() error { return e.Cause }
