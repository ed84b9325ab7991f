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

// Evaluation seeds start at evaluationSeed. The settings of pkg/move were tuned
// only with seeds below 100. Seeds from 1001, 3001, 5001 and 7001 on must not be
// used for evaluation, because their results were seen between changes of the
// settings.
const (
	evaluationSeed = 9001
	seedsPerCell   = 20
	maxWorkers     = 8
)

// Goals from docs/design.md, section 10.
const (
	goalGoodInTime       = 0.99
	goalWronglyTakenBack = 0.01
	goalBadTakenBack     = 0.999
	goalTakeBackSeconds  = 5.0
)

// Run runs one scenario.
func Run(s Scenario) Result { return newSimulation(s).run() }

// cell is a set of runs that differ in their seeds.
type cell struct {
	scenario Scenario
	results  []Result
}

// runCells runs all scenarios with seeds from evaluationSeed on. The result does
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
				s.Seed = evaluationSeed + uint64(j.seed)
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

// figures aggregates the runs of one or more cells.
type figures struct {
	good, inTime, wronglyTakenBack int
	visibleFaults, takenBack       int
	takeBackSeconds                []float64
	bad                            int
	exposureBefore, exposureAfter  float64
}

func (f *figures) add(c *cell) {
	for _, r := range c.results {
		if c.scenario.Fault.Good() {
			f.good++
			if r.InTime {
				f.inTime++
			}
			if r.TakenBack {
				f.wronglyTakenBack++
			}
			continue
		}
		f.bad++
		f.exposureBefore += r.ExposureBefore
		f.exposureAfter += r.ExposureAfter
		if !r.FaultVisible {
			continue
		}
		f.visibleFaults++
		if r.TakenBack {
			f.takenBack++
			f.takeBackSeconds = append(f.takeBackSeconds, r.TakeBackTime.Seconds())
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

// bounds selects the goals that apply to a group of lines.
type bounds struct{ goodInTime, wronglyTakenBack, badTakenBack, takeBackSeconds bool }

// emit emits the lines of one group.
func (f *figures) emit(t testing.TB, name string, limit time.Duration, b bounds) {
	t.Helper()
	if f.good > 0 {
		emitLine(t, "good_in_time", name, ratio(f.inTime, f.good), "share", goal(b.goodInTime, goalGoodInTime), true)
		emitLine(t, "wrongly_taken_back", name, ratio(f.wronglyTakenBack, f.good), "share", goal(b.wronglyTakenBack, goalWronglyTakenBack), false)
	}
	if f.visibleFaults > 0 {
		emitLine(t, "bad_taken_back", name, ratio(f.takenBack, f.visibleFaults), "share", goal(b.badTakenBack, goalBadTakenBack), true)
	}
	if len(f.takeBackSeconds) > 0 {
		slices.Sort(f.takeBackSeconds)
		timeName := name
		if limit > 0 {
			timeName = fmt.Sprintf("%s (evidence allows %.1f s)", name, limit.Seconds())
		}
		emitLine(t, "time_to_take_back", timeName, mean(f.takeBackSeconds), "s", goal(b.takeBackSeconds, goalTakeBackSeconds), false)
		emitLine(t, "time_to_take_back", name+"/p95", f.takeBackSeconds[(len(f.takeBackSeconds)*95-1)/100], "s", nil, false)
	}
	if f.bad > 0 {
		emitLine(t, "bad_exposure", name+"/before", f.exposureBefore/float64(f.bad), "share", nil, false)
		emitLine(t, "bad_exposure", name+"/after", f.exposureAfter/float64(f.bad), "share", nil, false)
	}
}

func goal(applies bool, value float64) *float64 {
	if !applies {
		return nil
	}
	return report.Bound(value)
}

// emitLine emits one line. The bound is a minimum if atLeast is set, and a maximum
// otherwise.
func emitLine(t testing.TB, measure, name string, value float64, unit string, bound *float64, atLeast bool) {
	t.Helper()
	ok := bound == nil || (atLeast && value >= *bound) || (!atLeast && value <= *bound)
	report.Emit(t, report.Line{
		Measure: measure, Case: name, Seed: evaluationSeed, Value: math.Round(value*1e5) / 1e5, Unit: unit, Bound: bound, OK: ok,
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

// propagationDelay is the mean total delay of report, relay and grant.
const propagationDelay = 2 * time.Second

// MinTakeBackTime returns the mean time in which a statistical test with the
// configured false alarm rate could detect the fault, if it knew the fault and the
// share of the first step: log(1/rate) divided by the information per second, plus
// propagationDelay. The first step moves idempotent routes only.
func MinTakeBackTime(s Scenario) time.Duration {
	n := float64(s.Traffic.Targets)
	share := math.Min(1/n, math.Max(0.25/n, 4/s.Traffic.Rate))
	rate := lookupShare * s.Traffic.Rate
	if s.Fault == FaultRouteErrors {
		rate = (1 - lookupShare) * s.Traffic.Rate
	}
	perSecond := share * rate * math.Log(1/share)
	switch s.Fault {
	case FaultSlow, FaultLoadSlow:
		// The latency of an answer exceeds the old version's median with probability
		// 0.5, and with probability 0.92 if it is slow beyond the tolerance.
		perSecond = share * rate * (0.92*math.Log(0.92/0.5) + 0.08*math.Log(0.08/0.5))
	case FaultCrash:
		perSecond *= crashRate
	default:
		perSecond *= faultErrorRate
	}
	alpha := move.SettingsForCaution(s.Traffic.Caution).FalseAlarmRate
	return time.Duration(math.Log(1/alpha)/perSecond*float64(time.Second)) + propagationDelay
}

// hasHighRate reports whether the calls provide evidence within seconds.
func (t Traffic) hasHighRate() bool { return t.Rate >= 20 }

// cellName returns the case name of a cell.
func cellName(s Scenario) string {
	return fmt.Sprintf("%s/%s/%s", s.Traffic.Name, s.Fault, s.Condition)
}

// MeasureCells measures every fault under every traffic and condition.
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
		f.emit(t, cellName(c.scenario), MinTakeBackTime(c.scenario), bounds{})
	}
	for _, traffic := range Traffics {
		down := collect(cells, func(s Scenario) bool { return s.Traffic.Name == traffic.Name && s.Condition == ConditionStore })
		down.emit(t, traffic.Name+"/store_down", 0, bounds{goodInTime: true, wronglyTakenBack: true, badTakenBack: traffic.hasHighRate()})
		all := collect(cells, func(s Scenario) bool { return s.Traffic.Name == traffic.Name })
		all.takeBackSeconds = nil // times of different faults are not comparable
		all.emit(t, traffic.Name+"/all", 0, bounds{goodInTime: true, wronglyTakenBack: true, badTakenBack: traffic.hasHighRate()})
		for _, fault := range Faults {
			if fault.Good() {
				continue
			}
			s := Scenario{Fault: fault, Traffic: traffic}
			f := collect(cells, func(s Scenario) bool { return s.Traffic.Name == traffic.Name && s.Fault == fault })
			limit := MinTakeBackTime(s)
			f.emit(t, traffic.Name+"/"+string(fault)+"/all", limit, bounds{takeBackSeconds: limit.Seconds() <= goalTakeBackSeconds})
		}
	}
	emitSummaries(t, "controller", cells)
}

// emitSummaries emits one weighted score for each user. For Inzuzi, good versions
// in time have a weight of 0.8 and bad versions taken back 0.2; for Lumiere, the
// weights are reversed.
func emitSummaries(t testing.TB, policy string, cells []*cell) {
	for user, weight := range map[string]float64{"inzuzi": 0.8, "lumiere": 0.2} {
		f := collect(cells, func(s Scenario) bool { return s.Traffic.User == user })
		score := weight*ratio(f.inTime, f.good) + (1-weight)*ratio(f.takenBack, max(f.visibleFaults, 1))
		measure := "good_in_time"
		if user == "lumiere" {
			measure = "bad_taken_back"
		}
		emitLine(t, measure, "summary/"+user+"/"+policy, score, "weighted share", nil, true)
	}
}

// MeasureOutages measures outages of the controller, and of both controller and
// store. The outage of the store alone is a condition.
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
			f.emit(t, traffic.Name+"/"+string(outage), 0, bounds{goodInTime: true, wronglyTakenBack: true, badTakenBack: traffic.hasHighRate()})
		}
	}
}

// MeasureBaselines measures the baseline policies on the same seeds, without a
// condition and with the condition that affects them most.
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

// MeasureCaution measures the effect of each caution setting.
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
