package target

import (
	"fmt"
	"net/http"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// RefusedError reports a call that was refused and not run.
type RefusedError struct {
	Refusal    pb.Refusal
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("target: not run: %s: %s", e.Refusal, e.Reason)
}

func newRefusedError(refusal pb.Refusal, reason string, retryAfter time.Duration) *RefusedError {
	return &RefusedError{Refusal: refusal, Reason: reason, RetryAfter: retryAfter}
}

// head converts the error to an AnswerHead. The retry time is rounded up to
// milliseconds, since 0 means that no retry time is suggested.
func (e *RefusedError) head() *pb.AnswerHead {
	return &pb.AnswerHead{
		Outcome:      pb.Outcome_OUTCOME_NOT_RUN,
		Status:       http.StatusServiceUnavailable,
		Reason:       e.Reason,
		RetryAfterMs: int64((e.RetryAfter + time.Millisecond - 1) / time.Millisecond),
		Refusal:      e.Refusal,
	}
}

// unknownHead returns the AnswerHead of a call that was or may have been sent to
// a target and has no complete response.
func unknownHead(status int32, reason string) *pb.AnswerHead {
	return &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Status: status, Reason: reason}
}

// badRequestHead returns the AnswerHead of a call that is invalid because of an
// error of the caller.
func badRequestHead(status int32, reason string) *pb.AnswerHead {
	return &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_BAD_REQUEST, Status: status, Reason: reason}
}

// AnnounceError reports an announcement with an invalid field.
type AnnounceError struct{ Field, Reason string }

func (e *AnnounceError) Error() string {
	return fmt.Sprintf("target: announcement: %s %s", e.Field, e.Reason)
}

// LeavingError reports an announcement of an instance that has withdrawn. Only a
// new instance can be announced, since calls may have been refused because the
// withdrawn one was leaving.
type LeavingError struct{ Instance string }

func (e *LeavingError) Error() string {
	return fmt.Sprintf("target: instance %q is leaving", e.Instance)
}
