package target

import (
	"testing"
	"testing/synctest"

	"nutmegstand.example/nutmegstand/test/measure/report"
)

// fullSeeds are the seeds of the full part. The small part uses the first.
var fullSeeds = []uint64{9101, 9102, 9103}

func seeds() []uint64 {
	if report.Full() {
		return fullSeeds
	}
	return fullSeeds[:1]
}

func virtual(t *testing.T) func(func()) {
	return func(run func()) { synctest.Test(t, func(*testing.T) { run() }) }
}

// TestGoodput guards against a queue that wastes slots on calls that miss their
// deadlines.
func TestGoodput(t *testing.T) {
	for _, seed := range seeds() {
		measureGoodput(t, virtual(t), seed)
	}
}

// TestFairness guards against a queue in which one member uses the slots of the
// other members.
func TestFairness(t *testing.T) {
	for _, seed := range seeds() {
		measureFairness(t, virtual(t), seed)
	}
}

// TestHistory guards against keys that run twice, wrong answers and false "not
// run" outcomes, with retries, crashing targets, cancelled calls, lost leases and
// restarted daemons.
func TestHistory(t *testing.T) {
	for _, seed := range seeds() {
		measureHistory(t, virtual(t), seed)
	}
}

// TestPlannedStops guards against planned stops that abort calls or during which
// new calls start.
func TestPlannedStops(t *testing.T) {
	for _, seed := range seeds() {
		measureStops(t, virtual(t), seed)
	}
}

// TestKeyTableMemory guards against a key table that exceeds the control memory
// when members send more orders than the table can retain.
func TestKeyTableMemory(t *testing.T) { measureKeyTable(t, virtual(t)) }

// TestGateTime measures the time that the gate adds to a call.
func TestGateTime(t *testing.T) { measureGateTime(t) }
