// Package route is the caller side of a daemon: it matches the route of a call,
// counts the call against its member, chooses a target version and a target
// side, sends attempts, and says truthfully what became of the call.
package route

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route/chain"
)

// Call is one call as it arrived at a listener of the daemon.
type Call struct {
	Method  string
	Host    string // without port
	Path    string // decoded path, which routes are matched against
	Target  string // path and query as sent on to the target
	Headers []*pb.Header
	Body    []byte
	// Key is the caller's idempotency key, empty if it gave none.
	Key string
	// Chain is what the call inherits. For a call from outside only the member
	// and the deadline are set.
	Chain chain.State
	// Inner is set for a call that the daemon's own target makes. It has been
	// counted and limited where its chain entered the mesh.
	Inner bool
}

// Answer is the whole answer of a target.
type Answer struct {
	Status  int
	Headers []*pb.Header
	Body    []byte
	// Decision says how the answer came about.
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
	Reason   string // why this endpoint
	Key      string // key of a non-idempotent call
	Attempts int    // attempts of this call
	Config   uint64 // configuration version of the snapshot used
	Elapsed  time.Duration
}

// Attempt is the result of one attempt, reported for the evidence of moves.
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
	// Warm is false during the cold start of the endpoint.
	Warm      bool
	Crashed   bool
	Explained bool // the crash is explained by a suspect request
	// Cancelled is set when the caller gave up, which is no fault of the version.
	Cancelled bool
}

// Choice is a version with the number of its targets that take the traffic.
type Choice struct {
	Version string
	// MaxTargets concentrates the traffic on so many targets, 0 for all.
	MaxTargets int
}

// Home is the daemon that keeps the record of a key.
type Home struct {
	Status     HomeStatus
	Endpoint   *pb.Endpoint // for HomeFound
	CreatedMS  int64        // creation time of the key in Unix ms, 0 if unknown
	RetryAfter time.Duration
	Reason     string
}

// HomeStatus says what may be done with a key.
type HomeStatus int

// Statuses of a key.
const (
	HomeFound   HomeStatus = iota // send the call to the home
	HomeUnknown                   // nothing runs, the outcome is unknown
	HomeNone                      // no home yet: not run
	HomeRefused                   // the caller's error
)
