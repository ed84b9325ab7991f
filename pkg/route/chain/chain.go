// Package chain defines the HTTP headers that propagate the state of a call chain
// through targets. The target side sets the headers on the requests to its target.
// The target copies them to each call that it makes while it handles the request, and
// the local listener of its daemon decodes them.
package chain

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Prefix is the prefix of all header names of the mesh, in canonical form.
const Prefix = "Nutmegstand-"

// Request headers that a target copies to the calls it makes.
const (
	Member = Prefix + "Member"
	CallID = Prefix + "Call-Id"
	// DeadlineAt is a Unix time in milliseconds on the clock of the VM. A target and
	// its daemon share that clock, so a copied value remains correct regardless of
	// the time the target spends before it makes the call.
	DeadlineAt = Prefix + "Deadline-At"
	Depth      = Prefix + "Depth"
	Attempts   = Prefix + "Attempts"
	// Exchange identifies one exchange between a daemon and its target. Targets that
	// copy all headers of the mesh copy it too; it is ignored.
	Exchange = Prefix + "Exchange"
)

// NoRetry is a response header. A daemon sets it on the response to a failed inner
// call, and a target copies it to its answer if it fails for that reason. The caller
// side then does not retry the outer call, because the hop next to the fault has
// already used up the attempts.
const NoRetry = Prefix + "No-Retry"

// Headers between outside callers and the entry.
const (
	// DeadlineMS is the time in milliseconds that an outside caller waits for the
	// response.
	DeadlineMS = Prefix + "Deadline-Ms"
	// Outcome is "not-run" or "unknown" on responses that do not come from a target.
	Outcome = Prefix + "Outcome"
)

// maxIDBytes limits member names, call IDs and keys, which are kept in memory and
// written to the decision log.
const maxIDBytes = 128

// State is the state that a call inherits from its call chain.
type State struct {
	CallID   string
	Member   string
	Deadline time.Time // zero if none
	Depth    int32     // number of hops
	Attempts int32     // number of attempts along the chain, at least one for each hop
}

// HeaderError reports an invalid header.
type HeaderError struct{ Name, Reason string }

func (e *HeaderError) Error() string { return fmt.Sprintf("chain: header %s %s", e.Name, e.Reason) }

// FromHead returns the state that a target inherits from an attempt received by its
// daemon at the given time.
func FromHead(head *pb.CallHead, received time.Time) State {
	return State{
		CallID:   head.GetCallId(),
		Member:   head.GetMember(),
		Deadline: received.Add(time.Duration(head.GetDeadlineMs()) * time.Millisecond),
		Depth:    head.GetDepth(),
		Attempts: head.GetAttempts(),
	}
}

// Headers returns the request headers that pass the state to a target.
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

// Set sets the field of the state that corresponds to a header. It reports whether the
// header is one of those that a target copies.
func (s *State) Set(name, value string) (bool, error) {
	switch name {
	case Member:
		return true, setOnce(&s.Member, name, value)
	case CallID:
		return true, setOnce(&s.CallID, name, value)
	case Exchange:
		return true, nil
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

// setOnce rejects a second value, because two hops could each use a different one.
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

// CheckID checks a member name, call ID or key: printable ASCII without spaces, 1 to
// 128 bytes.
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

// ParseDeadlineMS parses the value of the DeadlineMS header.
func ParseDeadlineMS(value string) (time.Duration, error) {
	n, err := parseCount(DeadlineMS, value, int64(math.MaxInt32))
	return time.Duration(n) * time.Millisecond, err
}
