package move

import (
	"fmt"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Identity names one generation of a move.
type Identity struct {
	Service    string `json:"service"`
	Move       string `json:"move"`
	Generation uint64 `json:"generation"`
	From       string `json:"from"`
	To         string `json:"to"`
}

// Plan is what the operators ask for.
type Plan struct {
	Identity
	By        time.Time
	Caution   CautionSettings
	Routes    map[string]bool // route name to idempotent
	Slots     int
	ColdStart time.Duration
}

// NewPlan returns the plan of one move of a bundle.
func NewPlan(bundle *config.Bundle, m *config.Move) Plan {
	plan := Plan{
		Identity: Identity{
			Service: bundle.Service.Name, Move: m.Name, Generation: bundle.Generations[m.Name],
			From: m.From, To: m.To,
		},
		By: m.By, Caution: Settings(m.Caution), Routes: map[string]bool{},
		Slots: bundle.Service.Slots, ColdStart: time.Duration(bundle.Service.ColdStart),
	}
	if m.Hold > 0 {
		plan.Caution.Hold = time.Duration(m.Hold)
	}
	for i := range bundle.Service.Routes {
		plan.Routes[bundle.Service.Routes[i].Name] = bundle.Service.Routes[i].Idempotent
	}
	return plan
}

// Stage is how far a move has come.
type Stage struct {
	State         pb.MoveState `json:"state"`
	Share         float64      `json:"share"`
	NonIdempotent float64      `json:"nonIdempotentShare"`
	MaxNewTargets int          `json:"maxNewTargets"`
	Since         time.Time    `json:"since"`
	// Attempts on the new version, and on both, when the stage began.
	Attempts uint64 `json:"attempts"`
	// Probing is set while a part of the traffic is back on the old version
	// to tell a fault of the new version from a common cause.
	Probing bool `json:"probing,omitempty"`
	// Full is when all traffic was first on the new version.
	Full time.Time `json:"full,omitzero"`
}

// Targets holds the announced targets of both versions.
type Targets struct{ Old, New int }

// Judge compares the versions of one move and says what comes next. It is
// deterministic: all times are arguments. It is not safe for concurrent use.
type Judge struct {
	plan      Plan
	stage     Stage
	began     time.Time
	fresh     bool // the move began under this judge
	test      *evidenceTest
	strata    map[stratumKey]*stratum
	baselines map[string]*baseline
	totals    map[string]*RouteCounts
	shares    [2]shareHistory // not idempotent, idempotent
	meter     rateMeter
	crashed   [2]time.Time // last counted crash of the old and the new version
	targets   Targets
	counted   time.Time // when the number of new targets was last confirmed
	reference float64   // calls/s on one old target before the move
	newSince  time.Time
	worked    float64 // largest load per target that the new version worked at
	hold      holdWatch
	latency   map[stratumKey]*latencyWindow
	// stageCalls counts the calls to both versions when the stage began.
	stageCalls uint64
	calmSince  time.Time // when the new targets were last overloaded
}

// RouteCounts are the counts of both versions on one route since the
// generation began.
type RouteCounts struct{ Old, New Counts }

// NewJudge returns a judge that continues from a stage. What was counted before
// the first Observe does not enter the test: its windows are not known.
func NewJudge(plan Plan, stage Stage, now time.Time) *Judge {
	routes := make([]string, 0, len(plan.Routes))
	for name := range plan.Routes {
		routes = append(routes, name)
	}
	j := &Judge{
		plan: plan, began: now, fresh: stage.Share == 0 && stage.Attempts == 0, test: newEvidenceTest(routes), strata: map[stratumKey]*stratum{},
		baselines: map[string]*baseline{}, totals: map[string]*RouteCounts{},
	}
	j.SetStage(now, stage)
	return j
}

// SetStage tells the judge that a stage is in force.
func (j *Judge) SetStage(now time.Time, stage Stage) {
	if stage.Since.After(now) {
		stage.Since = now // written by a controller whose clock is ahead
	}
	j.stage = stage
	j.shares[0].set(now, stage.NonIdempotent)
	j.shares[1].set(now, stage.Share)
	j.stageCalls = j.meter.old + j.meter.new
	j.hold.reset()
	if stage.Probing {
		j.hold.accepted = nil
	}
	j.latency = map[stratumKey]*latencyWindow{} // a window must not span two shares
}

// Observe takes the current sums.
func (j *Judge) Observe(now time.Time, sums []Sum) {
	var w window
	var all [2]Counts // old, new
	skipLatency := j.overloaded(now)
	totals := map[string]*RouteCounts{}
	for i := range sums {
		sum := &sums[i]
		addTotals(totals, sum)
		if _, ok := j.plan.Routes[sum.Route]; !ok {
			continue
		}
		key := stratumKey{sum.Route, sum.Domain}
		s, ok := j.strata[key]
		if !ok {
			s = &stratum{}
			s.known = j.fresh // nothing was counted before the first report
			j.strata[key] = s
		}
		o, n, ok := s.increment(now, sum)
		if !ok {
			continue
		}
		all[0].add(&o)
		all[1].add(&n)
		j.compare(now, &w, sum, &o, &n, skipLatency)
	}
	j.totals = totals
	j.compareCrashes(now, &w, &all[0], &all[1])
	j.test.update(&w)
	j.meter.add(now, all[0].Attempts, all[1].Attempts)
}

func addTotals(totals map[string]*RouteCounts, sum *Sum) {
	t, ok := totals[sum.Route]
	if !ok {
		t = &RouteCounts{}
		totals[sum.Route] = t
	}
	t.Old.add(&sum.Old)
	t.New.add(&sum.New)
}

func (j *Judge) grantedShare(now time.Time, idempotent bool) float64 {
	if idempotent {
		return j.shares[1].upper(now)
	}
	return j.shares[0].upper(now)
}

// compare adds the likelihood ratios of one route and domain to the window.
func (j *Judge) compare(now time.Time, w *window, sum *Sum, o, n *Counts, skipLatency bool) {
	granted := j.grantedShare(now, sum.Idempotent)
	w.add(signalErrors, sum.Route, comparison{
		events: [2]uint64{o.Failures, n.Failures}, attempts: [2]uint64{o.Attempts, n.Attempts},
	}.ratios(granted))
	b, ok := j.baselines[sum.Route]
	if !ok {
		b = &baseline{}
		j.baselines[sum.Route] = b
	}
	if b.usable() {
		j.hold.observe(sum.Route, b, n, j.plan.Caution.LatencyTolerance)
		if j.stage.Probing {
			j.hold.observeOld(sum.Route, b, o)
		}
		if !skipLatency && j.stage.Share > 0 {
			j.compareLatency(w, sum, b, o, n, granted)
		}
	}
	b.add(&o.Latency) // after its use: the limits rest on earlier windows only
}

// compareCrashes counts the attempts lost in one crash as one event.
func (j *Judge) compareCrashes(now time.Time, w *window, o, n *Counts) {
	var events [2]uint64
	for i, c := range [2]uint64{o.Crashes, n.Crashes} {
		if c > 0 && now.Sub(j.crashed[i]) >= crashGap {
			events[i] = 1
			j.crashed[i] = now
		}
	}
	granted := max(j.grantedShare(now, true), j.grantedShare(now, false))
	w.add(signalCrashes, "", comparison{events: events, attempts: [2]uint64{o.Attempts, n.Attempts}}.ratios(granted))
}

// EValue returns the evidence against the new version.
func (j *Judge) EValue() float64 {
	e, _, _ := j.test.value()
	return e
}

// explain says in one line what the strongest evidence is, with counts.
func (j *Judge) explain() string {
	e, s, route := j.test.value()
	var o, n Counts
	for name, t := range j.totals {
		if route == "" || name == route {
			o.add(&t.Old)
			n.add(&t.New)
		}
	}
	where := "all routes"
	if route != "" {
		where = fmt.Sprintf("route %q", route)
	}
	return fmt.Sprintf("%s on %s: %s; e-value %.3g, limit %.3g", signalNames[s], where,
		describe(s, &o, &n), e, 1/j.plan.Caution.FalseAlarmRate)
}

func describe(s signal, o, n *Counts) string {
	switch s {
	case signalMedian, signalTail:
		q := medianQuantile
		if s == signalTail {
			q = tailQuantile
		}
		return fmt.Sprintf("%d of 100 answers took up to %v on the new version (%d attempts), up to %v on the old one (%d attempts)",
			int(q*100), bucketEnd(n.Latency.quantile(q)).Round(100*time.Microsecond), n.Attempts,
			bucketEnd(o.Latency.quantile(q)).Round(100*time.Microsecond), o.Attempts)
	case signalCrashes:
		return fmt.Sprintf("%d of %d attempts on the new version ended in a crash of the target, %d of %d on the old one",
			n.Crashes, n.Attempts, o.Crashes, o.Attempts)
	default:
		return fmt.Sprintf("%d of %d attempts failed on the new version, %d of %d on the old one",
			n.Failures, n.Attempts, o.Failures, o.Attempts)
	}
}
