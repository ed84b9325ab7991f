package move

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

// Judging seeds start at judgingSeed. The settings of pkg/move were tuned with
// seeds below 100 only; judging seeds
// from 1001, 3001, 5001 and 7001 on were looked at between changes and given up.
const (
	judgingSeed  = 9001
	seedsPerCell = 20
	maxWorkers   = 8
)

// Goals of docs/design.md, section 10.
const (
	goalGoodInTime = 0.99
	goalWrongly    = 0.01
	goalTakenBack  = 0.999
	goalSeconds    = 5.0
)

// Run runs one scenario.
func Run(s Scenario) Result { return newWorld(s).run() }

// cell is a set of runs that differ in their seeds.
type cell struct {
	scenario Scenario
	results  []Result
}

// runCells runs all scenarios with seeds from judgingSeed on. The result does
// not depend on the order in which they run.
func runCells(scenarios []Scenario, seeds int) []*cell {
	cells := make([]*cell, len(scenarios))
	type job struct {
		c    *cell
		seed int
	}
	jobs := make(chan job)
	var workers sync.WaitGroup
	for range min(maxWorkers, runtime.NumCPU()) {
		workers.Go(func() {
			for j := range jobs {
				s := j.c.scenario
				s.Seed = judgingSeed + uint64(j.seed)
				j.c.results[j.seed] = Run(s)
			}
		})
	}
	for i, s := range scenarios {
		cells[i] = &cell{scenario: s, results: make([]Result, seeds)}
		for seed := range seeds {
			jobs <- job{cells[i], seed}
		}
	}
	close(jobs)
	workers.Wait()
	return cells
}

// figures sums up the runs of one or several cells.
type figures struct {
	good, inTime, wrongly int
	shown, takenBack      int
	seconds               []float64
	bad                   int
	before, after         float64
}

func (f *figures) add(c *cell) {
	for _, r := range c.results {
		if c.scenario.Fault.Good() {
			f.good++
			if r.InTime {
				f.inTime++
			}
			if r.TakenBack {
				f.wrongly++
			}
			continue
		}
		f.bad++
		f.before += r.Before
		f.after += r.After
		if !r.Showed {
			continue
		}
		f.shown++
		if r.TakenBack {
			f.takenBack++
			f.seconds = append(f.seconds, r.TakeBackTime.Seconds())
		}
	}
}

func collect(cells []*cell, match func(Scenario) bool) *figures {
	f := &figures{}
	for _, c := range cells {
		if match(c.scenario) {
			f.add(c)
		}
	}
	return f
}

// bounds selects which goals a group of lines is held to.
type bounds struct{ good, wrongly, bad, seconds bool }

// emit writes the lines of one group.
func (f *figures) emit(t testing.TB, name string, limit time.Duration, b bounds) {
	t.Helper()
	if f.good > 0 {
		emitLine(t, "good_in_time", name, ratio(f.inTime, f.good), "share", goal(b.good, goalGoodInTime), true)
		emitLine(t, "wrongly_taken_back", name, ratio(f.wrongly, f.good), "share", goal(b.wrongly, goalWrongly), false)
	}
	if f.shown > 0 {
		emitLine(t, "bad_taken_back", name, ratio(f.takenBack, f.shown), "share", goal(b.bad, goalTakenBack), true)
	}
	if len(f.seconds) > 0 {
		slices.Sort(f.seconds)
		timeName := name
		if limit > 0 {
			timeName = fmt.Sprintf("%s (evidence allows %.1f s)", name, limit.Seconds())
		}
		emitLine(t, "time_to_take_back", timeName, mean(f.seconds), "s", goal(b.seconds, goalSeconds), false)
		emitLine(t, "time_to_take_back", name+"/p95", f.seconds[(len(f.seconds)*95-1)/100], "s", nil, false)
	}
	if f.bad > 0 {
		emitLine(t, "bad_exposure", name+"/before", f.before/float64(f.bad), "share", nil, false)
		emitLine(t, "bad_exposure", name+"/after", f.after/float64(f.bad), "share", nil, false)
	}
}

func goal(held bool, value float64) *float64 {
	if !held {
		return nil
	}
	return report.Bound(value)
}

// emitLine writes one line; atLeast tells the sense of the bound.
func emitLine(t testing.TB, measure, name string, value float64, unit string, bound *float64, atLeast bool) {
	t.Helper()
	ok := bound == nil || (atLeast && value >= *bound) || (!atLeast && value <= *bound)
	report.Emit(t, report.Line{
		Measure: measure, Case: name, Seed: judgingSeed, Value: math.Round(value*1e5) / 1e5, Unit: unit, Bound: bound, OK: ok,
	})
}

func ratio(n, all int) float64 { return float64(n) / float64(all) }

func mean(values []float64) float64 {
	var sum float64
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// delays is the mean time of report, relay and grant on their way.
const delays = 2 * time.Second

// EvidenceLimit is the mean time in which a test that knows the fault, and the
// share of the first step, could reach the false alarm rate: log(1/rate)
// divided by the information that arrives in a second, plus the delays. The
// first step moves idempotent routes only.
func EvidenceLimit(s Scenario) time.Duration {
	n := float64(s.Traffic.Targets)
	share := math.Min(1/n, math.Max(0.25/n, 4/s.Traffic.Rate))
	rate := lookupShare * s.Traffic.Rate
	if s.Fault == FaultRouteErrors {
		rate = (1 - lookupShare) * s.Traffic.Rate
	}
	perSecond := share * rate * math.Log(1/share)
	switch s.Fault {
	case FaultSlow, FaultLoadSlow:
		// An answer is above the old version's median with probability 0.5, and
		// about 0.92 if slow beyond the tolerance.
		perSecond = share * rate * (0.92*math.Log(0.92/0.5) + 0.08*math.Log(0.08/0.5))
	case FaultCrash:
		perSecond *= crashRate
	default:
		perSecond *= faultErrorRate
	}
	alpha := move.Settings(s.Traffic.Caution).FalseAlarmRate
	return time.Duration(math.Log(1/alpha)/perSecond*float64(time.Second)) + delays
}

// day reports whether a traffic gives evidence within seconds.
func (t Traffic) day() bool { return t.Rate >= 20 }

// cellName names a cell in the lines.
func cellName(s Scenario) string {
	return fmt.Sprintf("%s/%s/%s", s.Traffic.Name, s.Fault, s.Condition)
}

// MeasureCells measures every fault kind under every traffic and condition.
func MeasureCells(t testing.TB, seeds int) {
	var scenarios []Scenario
	for _, traffic := range Traffics {
		for _, fault := range Faults {
			for _, condition := range Conditions {
				scenarios = append(scenarios, Scenario{
					Fault: fault, Traffic: traffic, Condition: condition, Outage: OutageNone, Policy: PolicyController,
				})
			}
		}
	}
	cells := runCells(scenarios, seeds)
	for _, c := range cells {
		f := &figures{}
		f.add(c)
		f.emit(t, cellName(c.scenario), EvidenceLimit(c.scenario), bounds{})
	}
	for _, traffic := range Traffics {
		down := collect(cells, func(s Scenario) bool { return s.Traffic.Name == traffic.Name && s.Condition == ConditionStore })
		down.emit(t, traffic.Name+"/store_down", 0, bounds{good: true, wrongly: true, bad: traffic.day()})
		all := collect(cells, func(s Scenario) bool { return s.Traffic.Name == traffic.Name })
		all.seconds = nil // of different faults
		all.emit(t, traffic.Name+"/all", 0, bounds{good: true, wrongly: true, bad: traffic.day()})
		for _, fault := range Faults {
			if fault.Good() {
				continue
			}
			s := Scenario{Fault: fault, Traffic: traffic}
			f := collect(cells, func(s Scenario) bool { return s.Traffic.Name == traffic.Name && s.Fault == fault })
			limit := EvidenceLimit(s)
			f.emit(t, traffic.Name+"/"+string(fault)+"/all", limit, bounds{seconds: limit.Seconds() <= goalSeconds})
		}
	}
	emitSummaries(t, "controller", cells)
}

// emitSummaries writes one line for each user: for Inzuzi good versions in time
// count four fifths and bad versions taken back one fifth, for Lumiere the
// other way round.
func emitSummaries(t testing.TB, policy string, cells []*cell) {
	for user, weight := range map[string]float64{"inzuzi": 0.8, "lumiere": 0.2} {
		f := collect(cells, func(s Scenario) bool { return s.Traffic.User == user })
		score := weight*ratio(f.inTime, f.good) + (1-weight)*ratio(f.takenBack, max(f.shown, 1))
		measure := "good_in_time"
		if user == "lumiere" {
			measure = "bad_taken_back"
		}
		emitLine(t, measure, "summary/"+user+"/"+policy, score, "weighted share", nil, true)
	}
}

// MeasureOutages measures the loss of the controller, and of both controller
// and store. The loss of the store alone is among the conditions.
func MeasureOutages(t testing.TB, seeds int) {
	var scenarios []Scenario
	for _, outage := range Outages {
		for _, traffic := range Traffics {
			for _, fault := range Faults {
				scenarios = append(scenarios, Scenario{
					Fault: fault, Traffic: traffic, Condition: ConditionNone, Outage: outage, Policy: PolicyController,
				})
			}
		}
	}
	cells := runCells(scenarios, seeds)
	for _, outage := range Outages {
		for _, traffic := range Traffics {
			f := collect(cells, func(s Scenario) bool { return s.Traffic.Name == traffic.Name && s.Outage == outage })
			f.emit(t, traffic.Name+"/"+string(outage), 0, bounds{good: true, wrongly: true, bad: traffic.day()})
		}
	}
}

// MeasureBaselines measures the other policies on the same seeds, for the
// condition that confuses them most and for none.
func MeasureBaselines(t testing.TB, seeds int) {
	for _, policy := range []Policy{PolicySchedule, PolicyThreshold} {
		var scenarios []Scenario
		for _, traffic := range Traffics {
			for _, fault := range Faults {
				for _, condition := range []Condition{ConditionNone, ConditionDependency} {
					scenarios = append(scenarios, Scenario{
						Fault: fault, Traffic: traffic, Condition: condition, Outage: OutageNone, Policy: policy,
					})
				}
			}
		}
		cells := runCells(scenarios, seeds)
		for _, traffic := range Traffics {
			f := collect(cells, func(s Scenario) bool { return s.Traffic.Name == traffic.Name })
			f.emit(t, traffic.Name+"/"+string(policy), 0, bounds{})
		}
		emitSummaries(t, string(policy), cells)
	}
}

// MeasureCaution measures what a caution changes.
func MeasureCaution(t testing.TB, seeds int) {
	for _, caution := range []config.Caution{config.CautionLow, config.CautionNormal, config.CautionHigh} {
		for _, base := range Traffics[2:3] {
			base.Caution = caution
			var scenarios []Scenario
			for _, fault := range []Fault{FaultErrors, FaultSlow, FaultNone} {
				scenarios = append(scenarios, Scenario{
					Fault: fault, Traffic: base, Condition: ConditionNone, Outage: OutageNone, Policy: PolicyController,
				})
			}
			cells := runCells(scenarios, seeds)
			name := fmt.Sprintf("%s/caution_%s", base.Name, caution)
			collect(cells, func(Scenario) bool { return true }).emit(t, name, 0, bounds{})
		}
	}
}
