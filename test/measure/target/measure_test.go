package target

import (
	"testing"
	"testing/synctest"

	"nutmegstand.example/nutmegstand/test/measure/report"
)

// judgeSeeds are the seeds of full runs; the first is that of the short part.
var judgeSeeds = []uint64{9101, 9102, 9103}

func seeds() []uint64 {
	if report.Full() {
		return judgeSeeds
	}
	return judgeSeeds[:1]
}

func virtual(t *testing.T) func(func()) {
	return func(run func()) { synctest.Test(t, func(*testing.T) { run() }) }
}

// TestGoodput guards against a queue that wastes slots on calls that end late.
func TestGoodput(t *testing.T) {
	for _, seed := range seeds() {
		measureGoodput(t, virtual(t), seed)
	}
}

// TestFairness guards against one member taking the slots of the others.
func TestFairness(t *testing.T) {
	for _, seed := range seeds() {
		measureFairness(t, virtual(t), seed)
	}
}

// TestHistory guards against running a key twice, against a wrong answer and
// against a "not run" that is not true, with repeats, crashes of targets,
// cancelled calls, lost leases and restarted daemons.
func TestHistory(t *testing.T) {
	for _, seed := range seeds() {
		measureHistory(t, virtual(t), seed)
	}
}

// TestPlannedStops guards against a planned stop that cuts a call, or that lets
// new work through.
func TestPlannedStops(t *testing.T) {
	for _, seed := range seeds() {
		measureStops(t, virtual(t), seed)
	}
}

// TestKeyTableMemory guards the control memory of a daemon whose members send
// more orders than it can remember.
func TestKeyTableMemory(t *testing.T) { measureKeyTable(t, virtual(t)) }

// TestGateTime measures the cost of the checks.
func TestGateTime(t *testing.T) { measureGateTime(t) }
