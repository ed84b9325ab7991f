package rollout

import (
	"math"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// latencyBuckets cover bucketBase to bucketBase * 2^(latencyBuckets/2).
	latencyBuckets = 24
	bucketBase     = 5 * time.Millisecond
	bucketsPerStep = 2 // buckets for each doubling
)

// Counts are results of attempts at one version on one route.
type Counts struct {
	Attempts int                 `json:"n"`
	Bad      int                 `json:"b"`
	Latency  [latencyBuckets]int `json:"l"` // of the good ones
}

func bucketOf(took time.Duration) int {
	if took <= bucketBase {
		return 0
	}
	return min(latencyBuckets-1, int(bucketsPerStep*math.Log2(float64(took)/float64(bucketBase))))
}

func (c *Counts) add(o *Counts) {
	c.Attempts += o.Attempts
	c.Bad += o.Bad
	for i := range c.Latency {
		c.Latency[i] += o.Latency[i]
	}
}

func (c *Counts) sub(o *Counts) Counts {
	d := *c
	d.Attempts -= o.Attempts
	d.Bad -= o.Bad
	for i := range d.Latency {
		d.Latency[i] -= o.Latency[i]
	}
	return d
}

// slowerThan counts the good attempts above a bucket.
func (c *Counts) slowerThan(bucket int) int {
	n := 0
	for i := bucket + 1; i < latencyBuckets; i++ {
		n += c.Latency[i]
	}
	return n
}

// quantileBucket returns the bucket that holds a quantile of the good attempts.
func (c *Counts) quantileBucket(q float64) int {
	total := 0
	for _, n := range c.Latency {
		total += n
	}
	left := int(q * float64(total))
	for i, n := range c.Latency {
		if left < n {
			return i
		}
		left -= n
	}
	return latencyBuckets - 1
}

// Side is a version's role in a move.
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

// MoveReport is what one daemon tells the controller of one move.
type MoveReport struct {
	Order   string `json:"order"`
	Rank    uint64 `json:"rank"`    // of the plan that the daemon follows
	OldBusy int    `json:"oldBusy"` // requests at the old target beside it
	Sums    Sums   `json:"sums"`    // since the daemon knows the order
}

// Report is what one daemon tells the controller.
type Report struct {
	Incarnation uint64                 `json:"incarnation"`
	Moves       map[string]*MoveReport `json:"moves"` // by service
}

// Recorder collects the daemon's own evidence of the moves under way.
type Recorder struct {
	follower *Follower
	mu       sync.Mutex
	moves    map[string]*MoveReport
}

// NewRecorder returns a recorder of the moves that a follower knows.
func NewRecorder(follower *Follower) *Recorder {
	return &Recorder{follower: follower, moves: make(map[string]*MoveReport)}
}

// Attempt implements proxy.Evidence.
func (r *Recorder) Attempt(service, version, route string, bad bool, took time.Duration) {
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
	counts := r.move(plan).Sums.at(side, route)
	counts.Attempts++
	if bad {
		counts.Bad++
		return
	}
	counts.Latency[bucketOf(took)]++
}

func (r *Recorder) move(plan *Plan) *MoveReport {
	m := r.moves[plan.Service]
	if m == nil || m.Order != plan.Order {
		m = &MoveReport{Order: plan.Order, Sums: make(Sums)}
		r.moves[plan.Service] = m
	}
	return m
}

// Report returns the evidence of the moves under way, nil without one. oldBusy
// returns the requests at the own target if its version is not the new one.
func (r *Recorder) Report(incarnation uint64, oldBusy func(service, newVersion string) int) *Report {
	report := &Report{Incarnation: incarnation, Moves: make(map[string]*MoveReport)}
	for service, p := range *r.follower.plans.Load() {
		if p.State != Active {
			continue
		}
		r.mu.Lock()
		m := *r.move(&p.Plan)
		m.Sums = m.Sums.clone()
		r.mu.Unlock()
		m.Rank, m.OldBusy = p.rank, oldBusy(service, p.Target)
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
