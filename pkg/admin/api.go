// Package admin serves the administration API, which every daemon offers to
// operators: JSON over HTTP with bearer tokens.
package admin

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/config"
)

// Paths of the API. Apply, check and diff are POST, the others GET.
const (
	PathApply   = "/v1/apply"
	PathCheck   = "/v1/check"
	PathDiff    = "/v1/diff"
	PathConfig  = "/v1/config"  // query: service
	PathStatus  = "/v1/status"  //
	PathMoves   = "/v1/moves"   // query: service
	PathExplain = "/v1/explain" // query: host, path, method
)

// FileBody is one operator file. Its content is sent as text, so that the
// server sees repeated keys and reports places in the file.
type FileBody struct {
	Name    string `json:"name"`
	Content string `json:"content"`
}

// FilesRequest is the body of apply, check and diff.
type FilesRequest struct {
	// Operation identifies an apply; check and diff leave it out.
	Operation string `json:"operation,omitempty"`
	// BaseVersion is the version that the operator has seen, 0 for the current.
	BaseVersion uint64     `json:"baseVersion,omitempty"`
	Files       []FileBody `json:"files"`
	// WaitMS is how long an apply waits for the version to be in force
	// everywhere, at most MaxWait.
	WaitMS int64 `json:"waitMs,omitempty"`
}

// MaxWait is the longest wait of an apply.
const MaxWait = 60 * time.Second

// ApplyResult is the answer to an apply that was not refused.
type ApplyResult struct {
	accept.Result
	Wait *WaitResult `json:"wait,omitempty"`
}

// WaitResult tells how far a version has come.
type WaitResult struct {
	// Complete is set if the version is in force everywhere.
	Complete bool  `json:"complete"`
	WaitedMS int64 `json:"waitedMs"`
	// Behind lists the domains in which it is not yet in force.
	Behind []DomainStatus `json:"behind,omitempty"`
	// Reason is set if the progress is not known.
	Reason string `json:"reason,omitempty"`
}

// CheckResult is the answer to a check that found no problem.
type CheckResult struct {
	BaseVersion uint64 `json:"baseVersion"`
	Changes     bool   `json:"changes"`
}

// ConfigResult is the current configuration, as an operator file states it.
type ConfigResult struct {
	Version       uint64           `json:"version"`
	AcceptedAt    time.Time        `json:"acceptedAt"`
	Last          config.Operation `json:"last"`
	Configuration config.File      `json:"configuration"`
}

// Kind tells errors of the API apart.
type Kind string

// Kinds of errors with their HTTP status.
const (
	KindBadRequest       Kind = "bad_request"        // 400
	KindUnauthorized     Kind = "unauthorized"       // 401
	KindForbidden        Kind = "forbidden"          // 403
	KindNotFound         Kind = "not_found"          // 404
	KindMethodNotAllowed Kind = "method_not_allowed" // 405
	KindConflict         Kind = "conflict"           // 409
	KindOperationReused  Kind = "operation_reused"   // 409
	KindTooLarge         Kind = "too_large"          // 413
	KindRefused          Kind = "refused"            // 422
	KindRateLimited      Kind = "rate_limited"       // 429
	KindInternal         Kind = "internal"           // 500
	KindNotApplied       Kind = "not_applied"        // 503
	KindUnavailable      Kind = "unavailable"        // 503
	KindOutcomeUnknown   Kind = "outcome_unknown"    // 504
)

// Failure is the error of an answer.
type Failure struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	// Operation is the operation whose outcome is unknown, that was reused, or
	// that made the version in conflict.
	Operation string `json:"operation,omitempty"`
	// Version is the version in conflict or made by the reused operation.
	Version  uint64           `json:"version,omitempty"`
	Touched  []string         `json:"touched,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}

func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Message }

// ErrorBody is the body of every answer that is not 200.
type ErrorBody struct {
	Error *Failure `json:"error"`
}
