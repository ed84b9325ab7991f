package target

import (
	"fmt"
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

const (
	loadMembers = 10
	// queueBound is the queue bound of the FIFO baseline. It equals the bound of the
	// fair queue, so that only the policies differ.
	queueBound = 8 * loadSlots
	// overloadGoodput is the minimum goodput at 3 times the capacity, as a ratio of
	// the capacity. The design requires "goodput stays near capacity" without a
	// figure; this one was set before the first run.
	overloadGoodput = 0.9
	// floodFairness is the minimum fairness index while one member floods the queue.
	// The design requires "fair by member" without a figure. The load of all other
	// members can be served in full, so a fair queue comes close to 1.
	floodFairness = 0.95
)

// policy is a scheduler to measure.
type policy struct {
	name          string
	queue         func() target.Scheduler
	deadlineAware bool
}

var policies = []policy{
	{"fair", func() target.Scheduler { return target.NewFairQueue() }, true},
	{"baseline fifo", func() target.Scheduler { return &fifo{bound: queueBound} }, false},
	{"baseline fifo without bound", func() target.Scheduler { return &fifo{} }, false},
}

// evenShares spreads a load evenly over the members.
func evenShares(loadFactor float64) []float64 {
	shares := make([]float64, loadMembers)
	for i := range shares {
		shares[i] = loadFactor / loadMembers
	}
	return shares
}

// floodShares returns a load in which one member sends 2.2 times the capacity.
// The others together send 0.8 times the capacity, so that they can be served in
// full.
func floodShares() []float64 {
	shares := make([]float64, loadMembers)
	for i := range shares {
		shares[i] = 0.8 / (loadMembers - 1)
	}
	shares[0] = 2.2
	return shares
}

func loadDuration() time.Duration {
	if report.Full() {
		return 10 * time.Second
	}
	return 2 * time.Second
}

// measureGoodput emits the goodput, the lateness and the time to a refusal of each
// policy at several loads. The virtual argument runs a function in virtual time.
func measureGoodput(t testing.TB, virtual func(func()), seed uint64) {
	for _, loadFactor := range []float64{0.5, 1, 2, 3} {
		plan := planLoad(seed, loadDuration(), evenShares(loadFactor))
		results := map[string]*loadResult{}
		for _, p := range policies {
			var result *loadResult
			virtual(func() { result = runLoad(plan, p.queue(), p.deadlineAware) })
			results[p.name] = result
			name := fmt.Sprintf("%s, %g times capacity", p.name, loadFactor)
			emit(t, "goodput", name, seed, result.goodput(plan.duration), "capacity")
			emit(t, "lateness", name, seed, result.lateness(), "of calls run")
			emit(t, "time_to_refusal", name, seed, result.meanRefusalMS(), "ms")
		}
		checkOverload(t, loadFactor, plan.duration, results)
	}
}

func checkOverload(t testing.TB, loadFactor float64, duration time.Duration, results map[string]*loadResult) {
	if loadFactor < 3 {
		return
	}
	// An early refusal must take less time than the call.
	if limit, got := loadLatency.Seconds()*1000, results["fair"].meanRefusalMS(); got > limit {
		t.Errorf("mean time to a refusal at %g times capacity is %.2f ms, expected at most %g ms", loadFactor, got, limit)
	}
	fair := results["fair"].goodput(duration)
	if fair < overloadGoodput {
		t.Errorf("goodput at %g times capacity is %.3f of capacity, expected at least %g", loadFactor, fair, overloadGoodput)
	}
	for _, p := range policies[1:] {
		if other := results[p.name].goodput(duration); fair <= other {
			t.Errorf("goodput at %g times capacity is %.3f, expected more than the %.3f of %s", loadFactor, fair, other, p.name)
		}
	}
}

// measureFairness emits Jain's index over the goodput of the members while one
// member floods the queue. The goodput of each member is relative to the calls
// that would be answered under a fair division.
func measureFairness(t testing.TB, virtual func(func()), seed uint64) {
	plan := planLoad(seed, loadDuration(), floodShares())
	sent := make([]float64, plan.members)
	for _, call := range plan.calls {
		sent[call.member]++
	}
	sent[0] = max(0, capacity*plan.duration.Seconds()-float64(len(plan.calls))+sent[0])
	fairness := map[string]float64{}
	for _, p := range policies {
		var result *loadResult
		virtual(func() { result = runLoad(plan, p.queue(), p.deadlineAware) })
		got := make([]float64, plan.members)
		for i := range got {
			got[i] = float64(result.byMember[i].Load()) / max(sent[i], 1)
		}
		fairness[p.name] = jainIndex(got)
		emit(t, "fairness", p.name+", one member floods", seed, fairness[p.name], "Jain's index")
	}
	if fairness["fair"] < floodFairness {
		t.Errorf("fairness is %.3f while one member floods, expected at least %g", fairness["fair"], floodFairness)
	}
}

func emit(t testing.TB, measure, name string, seed uint64, value float64, unit string) {
	report.Emit(t, report.Line{Measure: measure, Case: name, Seed: seed, Value: value, Unit: unit, OK: true})
}

// emitZero emits a count that must be 0.
func emitZero(t testing.TB, measure, name string, seed uint64, value int) {
	report.Emit(t, report.Line{
		Measure: measure, Case: name, Seed: seed, Value: float64(value), Unit: "calls",
		Bound: report.Bound(0), OK: value == 0,
	})
}
