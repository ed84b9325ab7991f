// Package proxy forwards HTTP requests from callers to targets. The caller side
// (Ingress) matches a request to a route, chooses a target and retries where
// the route allows it. The target side (Gate) makes the final checks before a
// request reaches the target of its machine, and limits the number of
// concurrent requests there. Bodies are streamed in both directions.
package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"nutmegstand.example/nutmegstand/pkg/proxy/admission"
	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
	"nutmegstand.example/nutmegstand/pkg/proxy/balance"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// HeaderNames are the names of the headers that the callers and targets of a
// deployment use, in canonical form.
type HeaderNames struct {
	RequestID      string // identifies one attempt of a caller; echoed by targets
	TimeLeft       string // milliseconds until the caller stops waiting
	Signature      string // proves that a response comes from the target
	ExpectedTarget string // ID of the target that may run the request
	NotRun         string // set by a target that did not run the request
	CallerService  string // service of the machine that the request comes from
	Leaving        string // set in the responses of a target that is leaving
	RateLimit      string // requests per second that a target takes from all machines together, in its responses
	Key            string // key of a workspace, in the requests of clients; empty if the deployment has none
	Workspace      string // name of the workspace whose key a request carried, for targets
}

// Call is a request on its way to a target.
type Call struct {
	ID            string
	Route         string
	Service       string
	Kind          routing.Kind
	Priority      int
	Objective     time.Duration
	CallerService string
	Workspace     string            // whose key the request carried, empty if none
	KeyDigest     routing.KeyDigest // of that key, zero if none or if the deployment has no workspaces
	ConfigVersion uint64
	CallerMbps    float64       // link speed of the caller's machine, 0 if unknown
	Age           time.Duration // estimated time since the caller first sent the request, 0 for inner calls

	Target  string // ID of the chosen target
	Version string // version of the chosen target
	// TargetLimit is the rate limit of the chosen target in requests per second that
	// was last reported to the caller side, 0 if none was.
	TargetLimit float64
	Attempt     int  // number of the attempt, starting at 1
	Retry       bool // an earlier attempt may have reached a target
	Inner       bool // made by a request that runs at the target of the caller side

	Method string
	URI    string // path and query as sent
	Host   string
	Header http.Header // end-to-end headers
	Body   *Body       // nil if the request has no body

	innerFailed bool // an inner call of the request was not answered; guarded by Gate.mu

	Received time.Time
	Deadline time.Time // the earlier of the deadlines of the caller and of the route
}

// request returns the properties of the call that decide where it goes and when it gets
// a slot.
func (c *Call) request() *attempt.Request {
	request := &attempt.Request{
		Route: c.Route, Priority: c.Priority, Inner: c.Inner, Objective: c.Objective, Age: c.Age, Deadline: c.Deadline,
		Workspace: c.Workspace, Method: c.Method, Caller: c.CallerService,
	}
	if c.Body != nil {
		request.BodyBytes = c.Body.Length
	}
	return request
}

// Outcome is the result class of an attempt.
type Outcome string

// Outcomes of an attempt.
const (
	Answered  Outcome = "answered"  // the target responded
	Refused   Outcome = "refused"   // the target side did not send the request to the target
	Rejected  Outcome = "rejected"  // the target reported that it did not run the request
	Unreached Outcome = "unreached" // no connection to the target side; nothing was sent
	Unknown   Outcome = "unknown"   // the request was sent, but no valid response was received
)

// outcomes lists the outcomes that a target side can report. Their indexes are
// used on the wire.
var outcomes = []Outcome{Answered, Refused, Rejected, Unknown}

// Reasons why a target side refuses a call.
const (
	ReasonNoTarget    = "no_target"                // no target is present, or it is not the requested one
	ReasonLeaving     = "leaving"                  // the target or its daemon is leaving
	ReasonQueueFull   = admission.ReasonQueueFull  // the call would wait too long for a slot
	ReasonExpired     = "expired"                  // too little time is left before the deadline
	ReasonVersion     = "version"                  // the version of the target must not be used
	ReasonStaleConfig = "stale_config"             // the configuration of the caller side is out of date
	ReasonSuspect     = "suspect"                  // the request crashes targets, or the connection was lost when it ran as a suspect
	ReasonTargetDown  = "target_down"              // the target does not accept connections
	ReasonEvacuated   = "evacuated"                // the failure domain of the target is being evacuated
	ReasonCallerGone  = admission.ReasonCallerGone // the caller disconnected
)

// Load is the load that a target side reports with each result.
type Load = attempt.Load

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	Outcome      Outcome
	Reason       string
	RetryAfter   time.Duration // for Refused and Rejected: expected time until a slot is free
	InnerFailed  bool          // the run failed after one of its inner calls had not been answered
	Unresponsive bool          // the target's machine did not respond within the network timeouts
	Load         *Load

	Status   int
	Header   http.Header
	Length   int64         // of the body, -1 if unknown
	Body     io.ReadCloser // set for Answered
	buffered bool          // the whole body is in memory
	Ran      time.Duration // time in the target until the response header
	Waited   time.Duration // time until a slot was granted
}

// Close closes the body of a result that is not delivered to the caller. It
// accepts a nil result.
func (a *AttemptResult) Close() {
	if a != nil && a.Body != nil {
		_ = a.Body.Close()
	}
}

// withholdPromise replaces a response whose status promises that the request has not run,
// which the target did not prove. The caller would send a request again that has run. No
// other status may bear the target's signature, so none of the response is delivered.
func (a *AttemptResult) withholdPromise() *AttemptResult {
	a.Close()
	return &AttemptResult{
		Outcome: Unknown, Reason: "status " + strconv.Itoa(a.Status) + " without proof that the request has not run",
		InnerFailed: a.InnerFailed, Load: a.Load, Ran: a.Ran, Waited: a.Waited,
	}
}

// forBalancer returns the result as the balancer records it. failed counts an attempt
// that may have reached the target as a failure of the target.
func (a *AttemptResult) forBalancer(took time.Duration, failed bool) *balance.Result {
	refused := a.Outcome == Refused
	down := a.Reason == ReasonTargetDown
	return &balance.Result{
		Took: took, Ran: a.Ran, Waited: a.Waited, Load: a.Load, Answered: a.Outcome == Answered && !a.InnerFailed, Refused: refused,
		QueueFull: a.Reason == ReasonQueueFull, Failed: failed || a.Outcome == Unreached || down,
		Neutral: refused && !down || a.Reason == ReasonCallerGone || a.InnerFailed, Unresponsive: a.Unresponsive, Reason: a.Reason,
	}
}

func refusal(reason string, retryAfter time.Duration) *AttemptResult {
	return &AttemptResult{Outcome: Refused, Reason: reason, RetryAfter: retryAfter}
}

// TargetSide makes an attempt at the target of a daemon. Gate implements it.
type TargetSide interface {
	Do(ctx context.Context, call *Call) *AttemptResult
}
