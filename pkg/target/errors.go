package target

import (
	"fmt"
	"net/http"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// RefusedError reports a call that was not run.
type RefusedError struct {
	Refusal    pb.Refusal
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("target: not run: %s: %s", e.Refusal, e.Reason)
}

// refuse returns a RefusedError.
func refuse(refusal pb.Refusal, reason string, retryAfter time.Duration) *RefusedError {
	return &RefusedError{Refusal: refusal, Reason: reason, RetryAfter: retryAfter}
}

// head turns the error into the head of an answer. Retry times are rounded up,
// since 0 means that none is suggested.
func (e *RefusedError) head() *pb.AnswerHead {
	return &pb.AnswerHead{
		Outcome:      pb.Outcome_OUTCOME_NOT_RUN,
		Status:       http.StatusServiceUnavailable,
		Reason:       e.Reason,
		RetryAfterMs: int64((e.RetryAfter + time.Millisecond - 1) / time.Millisecond),
		Refusal:      e.Refusal,
	}
}

// unknownHead is the head of an answer to a call that was, or may have been,
// handed to a target without a whole answer.
func unknownHead(status int32, reason string) *pb.AnswerHead {
	return &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Status: status, Reason: reason}
}

// badRequestHead is the head of an answer to a caller's error.
func badRequestHead(status int32, reason string) *pb.AnswerHead {
	return &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_BAD_REQUEST, Status: status, Reason: reason}
}

// AnnounceError reports an announcement that cannot be accepted.
type AnnounceError struct{ Field, Reason string }

func (e *AnnounceError) Error() string {
	return fmt.Sprintf("target: announcement: %s %s", e.Field, e.Reason)
}

// LeavingError reports an announcement of a target that withdrew. It must start
// again first, since calls may have been refused in its name.
type LeavingError struct{ Instance string }

func (e *LeavingError) Error() string {
	return fmt.Sprintf("target: instance %q is leaving", e.Instance)
}
