// Package domain measures the distribution of configuration and records in
// virtual time: convergence, control bytes, store calls, the cost of the control
// plane in one daemon, and reverts. The baseline is a fleet in which each daemon
// watches the store and reads the whole state after each change.
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
	cpuBound         = 0.02 // cores
	heapBound        = 32e6 // bytes
)

// fullSeeds are the seeds of the full part; the small part uses the first. They
// differ from the seeds for tuning in the tests of pkg/domain, which are below 100.
var fullSeeds = []uint64{101, 102, 103}

func seeds() []uint64 {
	if report.Full() {
		return fullSeeds
	}
	return fullSeeds[:1]
}

// fleetShape returns the fleet for the convergence measurements.
func fleetShape(seed uint64) domaintest.Shape {
	s := domaintest.Shape{Domains: 3, PerDomain: 5, Services: 5, Depends: 1, Seed: seed, Wrap: newRateLimitedStore}
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

// emitTimes emits the 50th and 99th percentiles and the maximum of times.
func emitTimes(t testing.TB, name string, seed uint64, times []time.Duration, bound *float64) {
	t.Helper()
	if len(times) == 0 {
		t.Fatalf("%s: no convergence times were measured", name)
	}
	slices.Sort(times)
	at := func(q float64) float64 { return times[int(q*float64(len(times)-1))].Seconds() }
	emit(t, "convergence_time", name+" p50", seed, at(0.5), "s", bound)
	emit(t, "convergence_time", name+" p99", seed, at(0.99), "s", bound)
	emit(t, "convergence_time", name+" max", seed, at(1), "s", bound)
}
