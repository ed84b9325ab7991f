package store

import (
	"errors"
	"fmt"
)

// NotFoundError reports that a key does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("store: key %q does not exist", e.Key) }

// ConflictError reports that the revision of an object differs from the expected
// revision. Revision is the current one, 0 if the object does not exist.
type ConflictError struct {
	Key      string
	Expected int64
	Revision int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: key %q has revision %d, expected %d", e.Key, e.Revision, e.Expected)
}

// UnavailableError reports that the store did not run the operation.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("store: %s: unavailable", e.Op)
	}
	return fmt.Sprintf("store: %s: unavailable: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ExpiredWatchError reports that the store has discarded events after revision
// From. The caller must list the objects again.
type ExpiredWatchError struct {
	Prefix string
	From   int64
	Oldest int64
}

func (e *ExpiredWatchError) Error() string {
	return fmt.Sprintf("store: watch of %q from revision %d: oldest kept revision is %d", e.Prefix, e.From, e.Oldest)
}

// OutcomeUnknownError reports that a write may or may not have taken effect.
type OutcomeUnknownError struct {
	Op    string
	Key   string
	Cause error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("store: %s of %q: outcome unknown: %v", e.Op, e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// IsNotFound reports whether err is a NotFoundError.
func IsNotFound(err error) bool { return is[*NotFoundError](err) }

// IsConflict reports whether err is a ConflictError.
func IsConflict(err error) bool { return is[*ConflictError](err) }

// IsUnavailable reports whether err is an UnavailableError.
func IsUnavailable(err error) bool { return is[*UnavailableError](err) }

// IsExpiredWatch reports whether err is an ExpiredWatchError.
func IsExpiredWatch(err error) bool { return is[*ExpiredWatchError](err) }

// IsOutcomeUnknown reports whether err is an OutcomeUnknownError.
func IsOutcomeUnknown(err error) bool { return is[*OutcomeUnknownError](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
