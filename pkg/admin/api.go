// Package admin implements the administration API of a daemon: JSON over HTTP,
// authenticated with bearer tokens. Operators use it to check, diff and apply
// configurations, and to read the configuration, the status of the fleet, the
// state of moves and explanations of routing decisions.
package admin

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/config"
)

// Paths of the API. Apply, check and diff use POST, the others GET.
const (
	PathApply   = "/v1/apply"
	PathCheck   = "/v1/check"
	PathDiff    = "/v1/diff"
	PathConfig  = "/v1/config"  // query: service
	PathStatus  = "/v1/status"  // no query
	PathMoves   = "/v1/moves"   // query: service
	PathExplain = "/v1/explain" // query: host, path, method
)

// FileBody is one operator file. Content is the unparsed text of the file, so
// that the server can detect duplicate keys and report positions in the file.
type FileBody struct {
	Name    string `json:"name"`
	Content string `json:"content"`
}

// FilesRequest is the request body of apply, check and diff.
type FilesRequest struct {
	// Operation is the idempotency key of an apply; check and diff omit it.
	Operation string `json:"operation,omitempty"`
	// BaseVersion is the version on which the files are based, 0 for the
	// current one.
	BaseVersion uint64     `json:"baseVersion,omitempty"`
	Files       []FileBody `json:"files"`
	// WaitMS is how long an apply waits, in milliseconds, for the version to be
	// in force in all failure domains, at most MaxWait.
	WaitMS int64 `json:"waitMs,omitempty"`
}

// MaxWait bounds FilesRequest.WaitMS.
const MaxWait = 60 * time.Second

// ApplyResult is the response to an accepted apply.
type ApplyResult struct {
	accept.Result
	Wait *WaitResult `json:"wait,omitempty"`
}

// WaitResult is the rollout progress of a version at the end of a wait.
type WaitResult struct {
	// Complete is set if the version is in force in all failure domains.
	Complete bool  `json:"complete"`
	WaitedMS int64 `json:"waitedMs"`
	// Behind lists the domains in which the version is not yet in force.
	Behind []DomainStatus `json:"behind,omitempty"`
	// Reason explains why the progress is unknown; empty if it is known.
	Reason string `json:"reason,omitempty"`
}

// CheckResult is the response to a check that found no problems.
type CheckResult struct {
	BaseVersion uint64 `json:"baseVersion"`
	Changes     bool   `json:"changes"`
}

// ConfigResult is the current configuration in the format of an operator file.
type ConfigResult struct {
	Version       uint64           `json:"version"`
	AcceptedAt    time.Time        `json:"acceptedAt"`
	Last          config.Operation `json:"last"`
	Configuration config.File      `json:"configuration"`
}

// Kind classifies the errors of the API.
type Kind string

// Error kinds and their HTTP status codes.
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

// Failure is the error in an error response.
type Failure struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	// Operation is the operation that has an unknown outcome, that was reused,
	// or that created the conflicting version.
	Operation string `json:"operation,omitempty"`
	// Version is the conflicting version, the version that the reused operation
	// created, or the current version if a requested service is not found in it.
	Version  uint64           `json:"version,omitempty"`
	Touched  []string         `json:"touched,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}

func (f *Failure) Error() string { return string(f.Kind) + ": " + f.Message }

// ErrorBody is the body of every response with a status other than 200.
type ErrorBody struct {
	Error *Failure `json:"error"`
}
