// Package domain measures the distribution of configuration and records in
// virtual time: convergence, control bytes, store calls, the cost of the
// control part of one daemon, and reverts. The baseline is a fleet in which
// each daemon watches the store and reads the whole state at each change.
package domain

import (
	"slices"
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/pkg/domain/domaintest"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

// Bounds stated in docs/design.md.
const (
	convergenceBound = 8.0 // seconds
	bytesBound       = 9000.0
	idleBytesGoal    = 1000.0
	cpuBound         = 0.02 // of a core
	heapBound        = 32e6 // bytes
)

// judged are the seeds of the full part; the small part uses the first. Seeds
// for tuning, in pkg/domain's tests, are below 100.
var judged = []uint64{101, 102, 103}

func seeds() []uint64 {
	if report.Full() {
		return judged
	}
	return judged[:1]
}

// fleetShape is the fleet of convergence and bytes.
func fleetShape(seed uint64) domaintest.Shape {
	s := domaintest.Shape{Domains: 3, PerDomain: 5, Services: 5, Depends: 1, Seed: seed, Wrap: limit}
	if report.Full() {
		s.Domains, s.PerDomain, s.Services = 4, 16, 12
	}
	return s
}

func emit(t testing.TB, measure, name string, seed uint64, value float64, unit string, bound *float64) {
	t.Helper()
	ok := bound == nil || value <= *bound
	report.Emit(t, report.Line{Measure: measure, Case: name, Seed: seed, Value: value, Unit: unit, Bound: bound, OK: ok})
}

// emitTimes emits the 50th and 99th percentile and the largest of times.
func emitTimes(t testing.TB, name string, seed uint64, times []time.Duration, bound *float64) {
	t.Helper()
	if len(times) == 0 {
		t.Fatalf("%s: no times", name)
	}
	slices.Sort(times)
	at := func(q float64) float64 { return times[int(q*float64(len(times)-1))].Seconds() }
	emit(t, "convergence_time", name+" p50", seed, at(0.5), "s", bound)
	emit(t, "convergence_time", name+" p99", seed, at(0.99), "s", bound)
	emit(t, "convergence_time", name+" max", seed, at(1), "s", bound)
}
