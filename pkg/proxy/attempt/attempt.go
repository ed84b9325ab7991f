// Package attempt describes a request and the load of a target, as far as the decisions
// of the caller side and of the target side need it.
package attempt

import "time"

const (
	// waitShare is the fraction of a request's latency objective that it may
	// spend waiting for a slot. A short queue is enough to keep the slots in
	// use; a longer one only delays responses.
	waitShare = 0.2
	// objectiveShare is the fraction of the latency objective that queueing and
	// execution may use together. The rest covers network time and variance.
	objectiveShare = 0.9
	// lateWaitShare is the fraction of its latency objective that a request waits for a
	// slot after it has missed that objective.
	lateWaitShare = 0.1
	// minWait lets a request with a short latency objective still wait for a
	// slot that is about to be released.
	minWait = 20 * time.Millisecond
	// DefaultRunTime is assumed until the first request has completed.
	DefaultRunTime = 100 * time.Millisecond
)

// Request has the properties of a request that decide where it goes, when it gets a
// slot and whether it is refused.
type Request struct {
	Route     string
	Priority  int  // 0 is the highest
	Inner     bool // made by a request that runs at a target
	Objective time.Duration
	Age       time.Duration // estimated time since the caller first sent the request, 0 for inner calls
	Deadline  time.Time
	Workspace string // empty if the request has none
	Method    string
	BodyBytes int64  // length of the body, -1 if unknown
	Caller    string // calling service
}

// Late reports whether a request that returns after a refusal can no longer be answered
// within its latency objective, if its execution takes the given time.
func (r *Request) Late(work time.Duration) bool { return r.Age > 0 && r.Age+work > r.Objective }

// MaxQueueWait returns how long the request of a caller may wait for a slot if its
// execution takes the given time.
func (r *Request) MaxQueueWait(work time.Duration) time.Duration {
	objective := float64(r.Objective)
	wait := min(objective*waitShare, objective*objectiveShare-float64(work+r.Age))
	if r.Late(work) {
		wait = objective * lateWaitShare
	}
	return max(time.Duration(wait), minWait)
}

// Load is the load that a target side reports with each result.
type Load struct {
	Busy        int // slots in use
	Queued      int
	Slots       int
	ServiceTime time.Duration // average time of a request in the target
	Backlog     time.Duration // time that the running and queued requests still need, added up, 0 if unknown
	Wait        time.Duration // expected time until a slot is free, set on the target side only
	RateLimit   float64       // requests per second that the target takes, 0 if it names no limit
	RateWait    time.Duration // expected time until the limit allows another request
	Uplink      float64       // KB queued or being sent on the uplink of the target's machine
	At          time.Time     // when the report was received
}

// Age returns the time since the report was received.
func (l Load) Age() time.Duration { return time.Since(l.At) }
