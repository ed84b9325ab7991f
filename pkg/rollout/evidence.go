package rollout

import (
	"math"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// latencyBuckets is the number of latency buckets, which cover bucketBase to
	// bucketBase * 2^(latencyBuckets/bucketsPerDoubling).
	latencyBuckets     = 24
	bucketBase         = 5 * time.Millisecond
	bucketsPerDoubling = 2
)

// Counts are the results of the attempts at one version on one route.
type Counts struct {
	Attempts int                 `json:"n"`
	Failures int                 `json:"b"`
	Latency  [latencyBuckets]int `json:"l"` // histogram of the successful attempts
}

func latencyBucket(latency time.Duration) int {
	if latency <= bucketBase {
		return 0
	}
	return min(latencyBuckets-1, int(bucketsPerDoubling*math.Log2(float64(latency)/float64(bucketBase))))
}

func (c *Counts) add(o *Counts) {
	c.Attempts += o.Attempts
	c.Failures += o.Failures
	for i := range c.Latency {
		c.Latency[i] += o.Latency[i]
	}
}

func (c *Counts) sub(o *Counts) Counts {
	d := *c
	d.Attempts -= o.Attempts
	d.Failures -= o.Failures
	for i := range d.Latency {
		d.Latency[i] -= o.Latency[i]
	}
	return d
}

// countAbove returns the number of successful attempts above a latency bucket.
func (c *Counts) countAbove(bucket int) int {
	n := 0
	for i := bucket + 1; i < latencyBuckets; i++ {
		n += c.Latency[i]
	}
	return n
}

// quantileBucket returns the latency bucket that contains a quantile of the
// successful attempts.
func (c *Counts) quantileBucket(q float64) int {
	total := 0
	for _, n := range c.Latency {
		total += n
	}
	remaining := int(q * float64(total))
	for i, n := range c.Latency {
		if remaining < n {
			return i
		}
		remaining -= n
	}
	return latencyBuckets - 1
}

// Side is the role of a version in a move.
type Side string

// Sides of a move.
const (
	OldSide Side = "old"
	NewSide Side = "new"
)

// Sums are the counts of one move by side and route.
type Sums map[Side]map[string]*Counts

func (s Sums) at(side Side, route string) *Counts {
	if s[side] == nil {
		s[side] = make(map[string]*Counts)
	}
	if s[side][route] == nil {
		s[side][route] = &Counts{}
	}
	return s[side][route]
}

func (s Sums) add(o Sums) {
	for side, routes := range o {
		for route, counts := range routes {
			s.at(side, route).add(counts)
		}
	}
}

func (s Sums) clone() Sums {
	c := make(Sums)
	c.add(s)
	return c
}

// MoveReport is the evidence of one daemon for one move.
type MoveReport struct {
	Order       string `json:"order"`
	Rank        uint64 `json:"rank"`    // of the plan in force on the daemon
	OldInFlight int    `json:"oldBusy"` // requests in flight at the daemon's local target if its version is not the new one
	Sums        Sums   `json:"sums"`    // since the daemon received the order
}

// Report is the evidence that one daemon sends to the controller candidates.
type Report struct {
	Incarnation uint64                 `json:"incarnation"`
	Moves       map[string]*MoveReport `json:"moves"` // by service
}

// Recorder collects the evidence of the local daemon for the active moves.
type Recorder struct {
	follower *Follower
	mu       sync.Mutex
	moves    map[string]*MoveReport
}

// NewRecorder returns a recorder for the moves whose plans the follower has.
func NewRecorder(follower *Follower) *Recorder {
	return &Recorder{follower: follower, moves: make(map[string]*MoveReport)}
}

// RecordAttempt implements proxy.AttemptRecorder.
func (r *Recorder) RecordAttempt(service, version, route string, failed bool, latency time.Duration) {
	plan, _ := r.follower.Plan(service)
	if plan == nil || plan.State != Active {
		return
	}
	side := OldSide
	if version == plan.Target {
		side = NewSide
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.moveReport(plan).Sums.at(side, route)
	counts.Attempts++
	if failed {
		counts.Failures++
		return
	}
	counts.Latency[latencyBucket(latency)]++
}

func (r *Recorder) moveReport(plan *Plan) *MoveReport {
	m := r.moves[plan.Service]
	if m == nil || m.Order != plan.Order {
		m = &MoveReport{Order: plan.Order, Sums: make(Sums)}
		r.moves[plan.Service] = m
	}
	return m
}

// Report returns the evidence for the active moves, or nil if there are none.
// oldInFlight returns the number of requests in flight at the local target if its
// version is not the new one.
func (r *Recorder) Report(incarnation uint64, oldInFlight func(service, newVersion string) int) *Report {
	report := &Report{Incarnation: incarnation, Moves: make(map[string]*MoveReport)}
	for service, p := range *r.follower.plans.Load() {
		if p.State != Active {
			continue
		}
		r.mu.Lock()
		m := *r.moveReport(&p.Plan)
		m.Sums = m.Sums.clone()
		r.mu.Unlock()
		m.Rank, m.OldInFlight = p.rank, oldInFlight(service, p.Target)
		report.Moves[service] = &m
	}
	if len(report.Moves) == 0 {
		return nil
	}
	return report
}

// LogReportRejected logs a report that cannot be decoded.
func LogReportRejected(logger *zap.Logger, from string, err error) {
	eventReportRejected.Log(logger, zap.String("member", from), zap.Error(err))
}
