package move

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/test/measure/report"
)

// TestMeasureFull prints all lines of the measures of moves.
func TestMeasureFull(t *testing.T) {
	if !report.Full() {
		t.Skip("runs in make measure")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // many small runs: less time in collections
	MeasureCells(t, seedsPerCell)
	MeasureOutages(t, seedsPerCell)
	MeasureBaselines(t, seedsPerCell)
	MeasureCaution(t, seedsPerCell)
}

// TestMeasureSmall guards against a judge that misses plain faults, or that
// takes a common cause for one, on a fixed small set of seeds.
func TestMeasureSmall(t *testing.T) {
	if report.Full() {
		t.Skip("the full part covers it")
	}
	var scenarios []Scenario
	for _, traffic := range Traffics {
		if !traffic.day() {
			continue
		}
		for _, fault := range []Fault{FaultErrors, FaultSlow, FaultLoadErrors, FaultHealth} {
			for _, condition := range []Condition{ConditionDependency, ConditionCrashCall} {
				scenarios = append(scenarios, Scenario{
					Fault: fault, Traffic: traffic, Condition: condition, Outage: OutageNone, Policy: PolicyController,
				})
			}
		}
	}
	cells := runCells(scenarios, 2)
	f := collect(cells, func(Scenario) bool { return true })
	f.seconds = nil
	f.emit(t, "small", 0, bounds{good: true, wrongly: true, bad: true})
}

// TestRunIsDeterministic guards against a verdict that depends on anything but
// the seed.
func TestRunIsDeterministic(t *testing.T) {
	s := Scenario{
		Fault: FaultLoadErrors, Traffic: Traffics[2], Condition: ConditionStore, Outage: OutageNone,
		Policy: PolicyController, Seed: 5,
	}
	assert.DeepEqual(t, Run(s), Run(s))
}
