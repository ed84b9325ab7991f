// Package proxy carries requests between callers and targets. The caller side
// (Ingress) matches a request, chooses a target and repeats where that is
// allowed; the target side (Gate) is the last check before the target and
// limits what the target gets at a time. Bodies are streamed in both directions.
package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

// HeaderNames are the names of the headers that callers and targets use on a
// deployment. Names are in canonical form.
type HeaderNames struct {
	RequestID      string // identifies one attempt of a caller; echoed by targets
	TimeLeft       string // milliseconds that the caller still waits
	Signature      string // a target's proof that an answer is its own
	ExpectedTarget string // ID of the target that may run the request
	NotRun         string // set by a target that did not run the request
	CallerService  string // service of the machine where the request began
}

// Call is one request on its way to a target.
type Call struct {
	ID            string
	Route         string
	Service       string
	Kind          routing.Kind
	Priority      int
	Objective     time.Duration
	CallerService string
	ConfigVersion uint64
	CallerMbps    float64 // link of the machine where the call began, 0 if it is not known

	Target  string // ID of the chosen target
	Version string // version of the chosen target
	Attempt int    // 1 for the first target side
	Repeat  bool   // an earlier attempt may have reached a target
	Inner   bool   // a call of a request that runs at the own target

	Method string
	URI    string // path and query as sent
	Host   string
	Header http.Header // end-to-end headers
	Body   *Body       // nil without a body

	Received time.Time
	Deadline time.Time // the caller's, or that of the route if it is earlier
}

// Outcome tells what is known of an attempt.
type Outcome string

// Outcomes of an attempt.
const (
	Answered  Outcome = "answered"  // the target's answer follows
	Refused   Outcome = "refused"   // the target side did not send it to the target
	Rejected  Outcome = "rejected"  // the target said that it did not run it
	Unreached Outcome = "unreached" // no connection; nothing was sent
	Unknown   Outcome = "unknown"   // sent, and no valid answer came back
)

// outcomes lists the outcomes that target sides name by their index.
var outcomes = []Outcome{Answered, Refused, Rejected, Unknown}

// Reasons why a target side refuses a call.
const (
	ReasonNoTarget    = "no_target"    // no target, or another one than was named
	ReasonLeaving     = "leaving"      // the target or its daemon leaves
	ReasonQueueFull   = "queue_full"   // it would wait too long for a slot
	ReasonExpired     = "expired"      // too little of its time is left
	ReasonVersion     = "version"      // the target's version must not be used
	ReasonStaleConfig = "stale_config" // the caller's configuration is out of date
	ReasonSuspect     = "suspect"      // the request has crashed targets
	ReasonTargetDown  = "target_down"  // the target accepts no connection
	ReasonGone        = "caller_gone"  // the caller left
)

// Load is what a target side says of itself with each answer.
type Load struct {
	Busy    int // slots in use
	Queued  int
	Slots   int
	Service time.Duration // average time of a request in the target
	Wait    time.Duration // expected time to a free slot, on the target side only
	Uplink  float64       // KB that wait for the machine's own link
	At      time.Time     // when it was received
}

// Answer is the result of one attempt.
type Answer struct {
	Outcome    Outcome
	Reason     string
	RetryAfter time.Duration // with Refused: when a slot is expected
	Silent     bool          // the target's machine gave no sign of life
	Load       *Load

	Status int
	Header http.Header
	Length int64         // of the body, -1 if it is not known
	Body   io.ReadCloser // set with Answered
	held   bool          // the body is in memory
	Ran    time.Duration // time in the target up to the head of the answer
	Waited time.Duration // time until a slot was free
}

// Close releases the body of an answer that is not delivered.
func (a *Answer) Close() {
	if a != nil && a.Body != nil {
		_ = a.Body.Close()
	}
}

func refusal(reason string, retryAfter time.Duration) *Answer {
	return &Answer{Outcome: Refused, Reason: reason, RetryAfter: retryAfter}
}

// TargetSide takes a call for one target: the gate of the own machine, or
// another daemon.
type TargetSide interface {
	Do(ctx context.Context, call *Call) *Answer
}
