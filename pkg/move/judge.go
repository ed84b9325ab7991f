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

// Plan is the definition of a move by the operators.
type Plan struct {
	Identity
	By        time.Time
	Caution   CautionSettings
	Routes    map[string]bool // route name to idempotent
	Slots     int
	ColdStart time.Duration
}

// NewPlan returns the plan of a move in a bundle.
func NewPlan(bundle *config.Bundle, m *config.Move) Plan {
	plan := Plan{
		Identity: Identity{
			Service: bundle.Service.Name, Move: m.Name, Generation: bundle.Generations[m.Name],
			From: m.From, To: m.To,
		},
		By: m.By, Caution: SettingsForCaution(m.Caution), Routes: map[string]bool{},
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

// Stage is the progress of a move.
type Stage struct {
	State         pb.MoveState `json:"state"`
	Share         float64      `json:"share"`
	NonIdempotent float64      `json:"nonIdempotentShare"`
	MaxNewTargets int          `json:"maxNewTargets"`
	Since         time.Time    `json:"since"`
	// Attempts is the number of attempts on the new version when the stage began.
	Attempts uint64 `json:"attempts"`
	// Probing is set while part of the traffic is back on the old version, to
	// distinguish a fault of the new version from a common cause.
	Probing bool `json:"probing,omitempty"`
	// Full is when all traffic was first on the new version, zero before that.
	Full time.Time `json:"full,omitzero"`
}

// Targets is the number of announced targets of both versions.
type Targets struct{ Old, New int }

// Judge compares the versions of one move and decides on its next stage. It is
// deterministic: all times are arguments. It is not safe for concurrent use.
type Judge struct {
	plan                Plan
	stage               Stage
	startedAt           time.Time
	countFromZero       bool // the move starts with this judge, so no attempt precedes the first sum
	evidence            *evidenceTest
	strata              map[stratumKey]*stratum
	baselines           map[string]*baseline
	totals              map[string]*RouteCounts
	shares              [2]shareHistory // not idempotent, idempotent
	meter               rateMeter
	lastCrash           [2]time.Time // last counted crash of the old and the new version
	targets             Targets
	newTargetsConfirmed time.Time // when targets.New was last set
	oldTargetRate       float64   // calls/s per old target before the move
	newTargetsSince     time.Time
	provenLoad          float64 // largest load that the new version has handled, calls/s per target
	monitor             holdMonitor
	latency             map[stratumKey]*latencyWindow
	// callsBeforeStage is the number of calls to both versions when the stage
	// began.
	callsBeforeStage uint64
	lastOverload     time.Time // when the new targets were last overloaded
}

// RouteCounts are the counts of both versions on one route since the
// generation began.
type RouteCounts struct{ Old, New Counts }

// NewJudge returns a judge that continues from a stage. Unless the stage is the
// start of the move, attempts counted before the first Observe are not tested,
// because it is unknown in which windows they were counted.
func NewJudge(plan Plan, stage Stage, now time.Time) *Judge {
	routes := make([]string, 0, len(plan.Routes))
	for name := range plan.Routes {
		routes = append(routes, name)
	}
	j := &Judge{
		plan: plan, startedAt: now, countFromZero: stage.Share == 0 && stage.Attempts == 0, evidence: newEvidenceTest(routes), strata: map[stratumKey]*stratum{},
		baselines: map[string]*baseline{}, totals: map[string]*RouteCounts{},
	}
	j.SetStage(now, stage)
	return j
}

// SetStage sets the stage in force.
func (j *Judge) SetStage(now time.Time, stage Stage) {
	if stage.Since.After(now) {
		stage.Since = now // recorded by a controller whose clock is ahead
	}
	j.stage = stage
	j.shares[0].set(now, stage.NonIdempotent)
	j.shares[1].set(now, stage.Share)
	j.callsBeforeStage = j.meter.old + j.meter.new
	j.monitor.reset()
	if stage.Probing {
		j.monitor.probeBaseline = nil
	}
	j.latency = map[stratumKey]*latencyWindow{} // a window must not span two shares
}

// Observe tests the increments of the sums since the last call.
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
			s.initialized = j.countFromZero // then the first sum is an increment from zero
			j.strata[key] = s
		}
		oldIncrement, newIncrement, ok := s.increment(now, sum)
		if !ok {
			continue
		}
		all[0].add(&oldIncrement)
		all[1].add(&newIncrement)
		j.compare(now, &w, sum, &oldIncrement, &newIncrement, skipLatency)
	}
	j.totals = totals
	j.compareCrashes(now, &w, &all[0], &all[1])
	j.evidence.update(&w)
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

func (j *Judge) maxGrantedShare(now time.Time, idempotent bool) float64 {
	if idempotent {
		return j.shares[1].maxRecent(now)
	}
	return j.shares[0].maxRecent(now)
}

// compare adds the log likelihood ratios of one route and domain to the window.
func (j *Judge) compare(now time.Time, w *window, sum *Sum, oldCounts, newCounts *Counts, skipLatency bool) {
	granted := j.maxGrantedShare(now, sum.Idempotent)
	w.add(signalErrors, sum.Route, comparison{
		events: [2]uint64{oldCounts.Failures, newCounts.Failures}, attempts: [2]uint64{oldCounts.Attempts, newCounts.Attempts},
	}.logLikelihoodRatios(granted))
	b, ok := j.baselines[sum.Route]
	if !ok {
		b = &baseline{}
		j.baselines[sum.Route] = b
	}
	if b.sufficient() {
		j.monitor.observe(sum.Route, b, newCounts, j.plan.Caution.LatencyTolerance)
		if j.stage.Probing {
			j.monitor.observeOld(sum.Route, b, oldCounts)
		}
		if !skipLatency && j.stage.Share > 0 {
			j.compareLatency(w, sum, b, oldCounts, newCounts, granted)
		}
	}
	b.add(&oldCounts.Latency) // only now, since the limits must come from earlier windows
}

// compareCrashes counts all attempts that fail in one crash as one event.
func (j *Judge) compareCrashes(now time.Time, w *window, oldCounts, newCounts *Counts) {
	var events [2]uint64
	for i, c := range [2]uint64{oldCounts.Crashes, newCounts.Crashes} {
		if c > 0 && now.Sub(j.lastCrash[i]) >= crashDedupInterval {
			events[i] = 1
			j.lastCrash[i] = now
		}
	}
	granted := max(j.maxGrantedShare(now, true), j.maxGrantedShare(now, false))
	w.add(signalCrashes, "", comparison{events: events, attempts: [2]uint64{oldCounts.Attempts, newCounts.Attempts}}.logLikelihoodRatios(granted))
}

// EValue returns the e-value of the evidence against the new version.
func (j *Judge) EValue() float64 {
	e, _, _ := j.evidence.value()
	return e
}

// explain describes the strongest evidence in one line, with counts.
func (j *Judge) explain() string {
	e, s, route := j.evidence.value()
	var oldCounts, newCounts Counts
	for name, t := range j.totals {
		if route == "" || name == route {
			oldCounts.add(&t.Old)
			newCounts.add(&t.New)
		}
	}
	where := "all routes"
	if route != "" {
		where = fmt.Sprintf("route %q", route)
	}
	return fmt.Sprintf("%s on %s: %s; e-value %.3g, limit %.3g", signalNames[s], where,
		describeSignal(s, &oldCounts, &newCounts), e, 1/j.plan.Caution.FalseAlarmRate)
}

func describeSignal(s signal, oldCounts, newCounts *Counts) string {
	switch s {
	case signalMedian, signalTail:
		q := medianQuantile
		if s == signalTail {
			q = tailQuantile
		}
		return fmt.Sprintf("%d of 100 answers took up to %v on the new version (%d attempts), up to %v on the old one (%d attempts)",
			int(q*100), bucketEnd(newCounts.Latency.quantile(q)).Round(100*time.Microsecond), newCounts.Attempts,
			bucketEnd(oldCounts.Latency.quantile(q)).Round(100*time.Microsecond), oldCounts.Attempts)
	case signalCrashes:
		return fmt.Sprintf("%d of %d attempts on the new version ended in a crash of the target, %d of %d on the old one",
			newCounts.Crashes, newCounts.Attempts, oldCounts.Crashes, oldCounts.Attempts)
	default:
		return fmt.Sprintf("%d of %d attempts failed on the new version, %d of %d on the old one",
			newCounts.Failures, newCounts.Attempts, oldCounts.Failures, oldCounts.Attempts)
	}
}
