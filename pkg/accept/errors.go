package accept

import (
	"fmt"
	"strings"
)

// RequestError reports an invalid request field, independent of the files.
type RequestError struct{ Field, Message string }

func (e *RequestError) Error() string { return fmt.Sprintf("accept: %s: %s", e.Field, e.Message) }

// ConflictError reports that a version after the base version changed entries that
// the files define or remove.
type ConflictError struct {
	// Base is the version that the request is based on.
	Base uint64
	// Version is the conflicting version; Author and Operation identify its apply.
	Version   uint64
	Author    string
	Operation string
	// Touched names the manifest entries that both change. It is empty if the base
	// version is older than the operations in the head.
	Touched []string
}

func (e *ConflictError) Error() string {
	if len(e.Touched) == 0 {
		return fmt.Sprintf("accept: base version %d is too old to be compared with version %d", e.Base, e.Version)
	}
	return fmt.Sprintf("accept: version %d by %q changed %s after base version %d",
		e.Version, e.Author, strings.Join(e.Touched, ", "), e.Base)
}

// FutureBaseError reports a base version that does not exist yet.
type FutureBaseError struct{ Base, Version uint64 }

func (e *FutureBaseError) Error() string {
	return fmt.Sprintf("accept: base version %d does not exist, the current version is %d", e.Base, e.Version)
}

// OperationReusedError reports an operation ID that was already used with different
// files or by a different author.
type OperationReusedError struct {
	Operation string
	Version   uint64
}

func (e *OperationReusedError) Error() string {
	return fmt.Sprintf("accept: operation %q was used with other files for version %d", e.Operation, e.Version)
}

// NotAppliedError reports a store failure before the commit; nothing was applied.
type NotAppliedError struct {
	Step  string
	Cause error
}

func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("accept: %s failed, nothing was applied: %v", e.Step, e.Cause)
}

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that the head may or may not have been updated and
// that the outcome could not be determined from the head. A repeat with the same
// operation ID returns the outcome.
type OutcomeUnknownError struct {
	Operation string
	Cause     error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("accept: outcome of operation %q is unknown, repeat it with the same number: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// ContendedError reports that other applies committed first in every attempt;
// nothing was applied.
type ContendedError struct{ Attempts int }

func (e *ContendedError) Error() string {
	return fmt.Sprintf("accept: other versions were accepted first %d times, nothing was applied", e.Attempts)
}

// CorruptError reports stored content that cannot be decoded or does not match
// its digest.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("accept: %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }
