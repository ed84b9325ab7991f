package route

import (
	"fmt"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// NoRouteError reports a call that no route matches.
type NoRouteError struct {
	Host, Path, Method string
	// MethodMismatch is set when host and path match, but not the method.
	MethodMismatch bool
}

func (e *NoRouteError) Error() string {
	if e.MethodMismatch {
		return fmt.Sprintf("route: method %s is not allowed at %s%s", e.Method, e.Host, e.Path)
	}
	return fmt.Sprintf("route: no route for %s %s%s", e.Method, e.Host, e.Path)
}

// LimitError reports a member that has used up its allowance. Nothing ran.
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
	TimedOut bool // the deadline passed while the call was under way
	Cause    error
}

func (e *UnknownError) Error() string { return "route: outcome unknown: " + e.Reason }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// BadRequestError reports the caller's error. Nothing ran.
type BadRequestError struct{ Reason string }

func (e *BadRequestError) Error() string { return "route: bad request: " + e.Reason }

// DepthError reports a chain that is deeper than any that is meant, which is
// most likely a loop. Nothing ran.
type DepthError struct{ Depth int32 }

func (e *DepthError) Error() string {
	return fmt.Sprintf("route: call chain of depth %d is deeper than %d", e.Depth, maxDepth)
}

// NoEndpointError reports that no endpoint of a service can be used now.
// Nothing ran.
type NoEndpointError struct {
	Service, Version string
	Known            int // endpoints known in any state
	NotReady         int // leaving, down or departed
	OtherVersion     int
	SetAside         int // set aside because of their outcomes
	Tried            int // already tried for this call
}

func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("route: no usable endpoint of service %q version %q: %d known, %d not ready, %d of another version, %d set aside, %d tried",
		e.Service, e.Version, e.Known, e.NotReady, e.OtherVersion, e.SetAside, e.Tried)
}

// NotSentError reports an attempt of which nothing reached the target side, so
// that it provably did not run.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("route: send to %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// CutError reports an attempt whose exchange ended before the whole reply.
type CutError struct {
	Address string
	Cause   error
}

func (e *CutError) Error() string {
	return fmt.Sprintf("route: reply of %s was cut: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }
