// Package route implements the caller side of a daemon. It matches a call to a
// route, enforces the rate limit of the member, chooses a target version and an
// endpoint, sends attempts within the retry budget, and reports whether the call was
// answered, provably did not run, or has an unknown outcome.
package route

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route/chain"
)

// Call is one call received by a listener of the daemon.
type Call struct {
	Method  string
	Host    string // without port
	Path    string // decoded path, matched against the routes
	Target  string // path and query as forwarded to the target
	Headers []*pb.Header
	Body    []byte
	// Key is the idempotency key from the caller, empty if there is none.
	Key string
	// Chain is the state inherited from the call chain. For a call from outside the
	// mesh only the member and the deadline are set.
	Chain chain.State
	// Inner is set for a call made by the local target. Its member was counted and
	// rate limited where the call chain entered the mesh.
	Inner bool
}

// Answer is a complete answer of a target.
type Answer struct {
	Status  int
	Headers []*pb.Header
	Body    []byte
	// Decision describes how the call was routed.
	Decision Decision
}

// Decision describes how a call was routed. It is written to the decision log.
type Decision struct {
	CallID   string
	Service  string
	Route    string
	Member   string
	Version  string
	Endpoint string
	Reason   string // why this endpoint was selected
	Key      string // key of a non-idempotent call
	Attempts int    // attempts of this call
	Config   uint64 // configuration version of the snapshot used
	Elapsed  time.Duration
}

// Attempt is the result of one attempt, reported as evidence for moves.
type Attempt struct {
	Service    string
	Route      string
	Version    string
	Endpoint   string
	Idempotent bool
	Outcome    pb.Outcome
	Refusal    pb.Refusal
	Status     int
	Latency    time.Duration
	TargetTime time.Duration
	// Warm is false while the endpoint is in its cold start.
	Warm      bool
	Crashed   bool
	Explained bool // the crash is explained by a suspect request
	// Cancelled is set when the caller ended the attempt, by disconnecting or by a
	// short deadline. Such an attempt is not counted as a failure of the version.
	Cancelled bool
}

// Choice is a version and the number of its targets that receive its traffic.
type Choice struct {
	Version string
	// MaxTargets limits the traffic to this number of targets; 0 means all.
	MaxTargets int
}

// Home is the result of a key home lookup. The key home is the daemon that holds the
// record of an idempotency key.
type Home struct {
	Status     HomeStatus
	Endpoint   *pb.Endpoint // for HomeFound
	CreatedMS  int64        // creation time of the key in Unix ms, 0 if unknown
	RetryAfter time.Duration
	Reason     string
}

// HomeStatus determines how a call with a key is handled.
type HomeStatus int

// Statuses of a key.
const (
	HomeFound   HomeStatus = iota // send the call to the home
	HomeUnknown                   // do not run the call: its outcome is unknown
	HomeNone                      // no home is available: the call does not run
	HomeRefused                   // the key is invalid: a bad request
)
