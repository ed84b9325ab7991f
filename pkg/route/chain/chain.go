// Package chain holds the HTTP headers that carry a call chain through targets.
// The target side writes them on the requests to its target; a target copies
// the request headers to each call that it makes in turn, and its daemon's
// local listener reads them there.
package chain

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Prefix begins the name of every header of this project, in canonical form.
const Prefix = "Nutmegstand-"

// Request headers that a target copies to the calls that it makes.
const (
	Member = Prefix + "Member"
	CallID = Prefix + "Call-Id"
	// DeadlineAt is a Unix time in milliseconds on the clock of the VM. A target
	// and its daemon share that clock, so a copied value stays right however
	// long the target worked before it made the call.
	DeadlineAt = Prefix + "Deadline-At"
	Depth      = Prefix + "Depth"
	Attempts   = Prefix + "Attempts"
)

// NoRetry is an answer header. A daemon sets it on a failed inner call, and a
// target copies it to its own answer when it fails for that reason. The caller
// side then tries the outer call no further, because the attempts were spent
// at the hop next to the fault.
const NoRetry = Prefix + "No-Retry"

// Headers between outside callers and the entry.
const (
	// DeadlineMS is the time in milliseconds that an outside caller will wait.
	DeadlineMS = Prefix + "Deadline-Ms"
	// Outcome is "not-run" or "unknown" on answers that are not the target's.
	Outcome = Prefix + "Outcome"
)

// maxIDBytes bounds member names and call IDs, which are held in memory and
// written to every decision line.
const maxIDBytes = 128

// State is what a call inherits from the calls that led to it.
type State struct {
	CallID   string
	Member   string
	Deadline time.Time // zero if none
	Depth    int32     // hops so far
	Attempts int32     // attempts so far along the chain, one for each hop at least
}

// HeaderError reports a header that cannot be accepted.
type HeaderError struct{ Name, Reason string }

func (e *HeaderError) Error() string { return fmt.Sprintf("chain: header %s %s", e.Name, e.Reason) }

// FromHead returns the state that a target inherits from an attempt that
// reached its daemon at the given time.
func FromHead(head *pb.CallHead, received time.Time) State {
	return State{
		CallID:   head.GetCallId(),
		Member:   head.GetMember(),
		Deadline: received.Add(time.Duration(head.GetDeadlineMs()) * time.Millisecond),
		Depth:    head.GetDepth(),
		Attempts: head.GetAttempts(),
	}
}

// Headers returns the request headers for a target.
func (s State) Headers() []*pb.Header {
	headers := []*pb.Header{
		{Name: CallID, Value: s.CallID},
		{Name: Depth, Value: strconv.Itoa(int(s.Depth))},
		{Name: Attempts, Value: strconv.Itoa(int(s.Attempts))},
	}
	if s.Member != "" {
		headers = append(headers, &pb.Header{Name: Member, Value: s.Member})
	}
	if !s.Deadline.IsZero() {
		headers = append(headers, &pb.Header{Name: DeadlineAt, Value: strconv.FormatInt(s.Deadline.UnixMilli(), 10)})
	}
	return headers
}

// Set takes one header into the state. It reports whether the header is one of
// those that a target copies.
func (s *State) Set(name, value string) (bool, error) {
	switch name {
	case Member:
		return true, setOnce(&s.Member, name, value)
	case CallID:
		return true, setOnce(&s.CallID, name, value)
	case DeadlineAt:
		at, err := parseCount(name, value, math.MaxInt64/int64(time.Millisecond))
		s.Deadline = time.UnixMilli(at)
		return true, err
	case Depth:
		n, err := parseCount(name, value, math.MaxInt32)
		s.Depth = int32(n)
		return true, err
	case Attempts:
		n, err := parseCount(name, value, math.MaxInt32)
		s.Attempts = int32(n)
		return true, err
	}
	return false, nil
}

// setOnce refuses a second value, because two hops could each read another one.
func setOnce(field *string, name, value string) error {
	if *field != "" {
		return &HeaderError{Name: name, Reason: "is given more than once"}
	}
	if err := CheckID(name, value); err != nil {
		return err
	}
	*field = value
	return nil
}

// CheckID checks a member name, call ID or key: printable ASCII without
// spaces, at most 128 bytes.
func CheckID(name, value string) error {
	if value == "" || len(value) > maxIDBytes {
		return &HeaderError{Name: name, Reason: fmt.Sprintf("must have 1 to %d bytes", maxIDBytes)}
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return &HeaderError{Name: name, Reason: "must be printable ASCII without spaces"}
	}
	return nil
}

func parseCount(name, value string, limit int64) (int64, error) {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 || n > limit {
		return 0, &HeaderError{Name: name, Reason: fmt.Sprintf("must be a number from 0 to %d", limit)}
	}
	return n, nil
}

// ParseDeadlineMS parses the DeadlineMS header of an outside caller.
func ParseDeadlineMS(value string) (time.Duration, error) {
	n, err := parseCount(DeadlineMS, value, int64(math.MaxInt32))
	return time.Duration(n) * time.Millisecond, err
}
