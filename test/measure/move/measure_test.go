package move

import (
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/test/measure/report"
)

// TestMeasureFull emits all lines of the measurements of moves.
func TestMeasureFull(t *testing.T) {
	if !report.Full() {
		t.Skip("runs only in make measure")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // reduces the garbage collection time of many small runs
	MeasureCells(t, seedsPerCell)
	MeasureOutages(t, seedsPerCell)
	MeasureBaselines(t, seedsPerCell)
	MeasureCaution(t, seedsPerCell)
}

// TestMeasureSmall guards against a controller that misses obvious faults, or that
// attributes failures with a common cause to the new version. It uses a small
// fixed set of seeds.
func TestMeasureSmall(t *testing.T) {
	if report.Full() {
		t.Skip("covered by TestMeasureFull")
	}
	var scenarios []Scenario
	for _, traffic := range Traffics {
		if !traffic.hasHighRate() {
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
	f.takeBackSeconds = nil
	f.emit(t, "small", 0, bounds{goodInTime: true, wronglyTakenBack: true, badTakenBack: true})
}

// TestRunIsDeterministic guards against results that depend on anything but the
// scenario and its seed.
func TestRunIsDeterministic(t *testing.T) {
	s := Scenario{
		Fault: FaultLoadErrors, Traffic: Traffics[2], Condition: ConditionStore, Outage: OutageNone,
		Policy: PolicyController, Seed: 5,
	}
	assert.DeepEqual(t, Run(s), Run(s))
}
