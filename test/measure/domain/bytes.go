package domain

import (
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/pkg/domain/domaintest"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

const (
	measuringPeriod = time.Minute
	// idleDelay is the time after the start within which a fleet becomes idle.
	idleDelay = 20 * time.Second
	// changeInterval is the interval of configuration changes at 10,000 per day.
	changeInterval = 8640 * time.Millisecond
	// endpointInterval is the interval of endpoint changes under churn. It is
	// shorter than the 109 s that result from 264 VMs per day with three changes
	// each.
	endpointInterval = time.Minute
)

// domainShape returns a fleet whose domains have the target size in the full part,
// since the bytes of a distributor grow with the size of its domain.
func domainShape(seed uint64) domaintest.Shape {
	s := domaintest.Shape{Domains: 2, PerDomain: 12, Services: 4, Depends: 2, Seed: seed, Wrap: newRateLimitedStore}
	if report.Full() {
		s.PerDomain, s.Services, s.Depends = 267, 32, 4
	}
	return s
}

// measureBytes emits the bytes per second of the daemons, averaged over a minute:
// the means over all daemons and over the member daemons, which are not
// distributors, the busiest member daemon and the busiest distributor. TCP and IP
// headers are not counted.
func measureBytes(t *testing.T) {
	seed := fullSeeds[0]
	domaintest.Run(t, domainShape(seed), func(t *testing.T, f *domaintest.Fleet) {
		f.Start()
		time.Sleep(idleDelay)
		emitBytes(t, f, "idle", func() { time.Sleep(measuringPeriod) })
		emitBytes(t, f, "churn", func() { churn(f, measuringPeriod) })
		emitBytes(t, f, "mass restart", func() { restartMembers(f) })
		emit(t, "reverts", "control bytes", seed, float64(f.Reverts()), "count", report.Bound(0))
	})
	domaintest.Run(t, domainShape(seed), func(t *testing.T, f *domaintest.Fleet) {
		b := startBaseline(f)
		defer b.close()
		time.Sleep(idleDelay)
		emitBaselineBytes(t, f, b, "idle", func() { time.Sleep(measuringPeriod) })
		emitBaselineBytes(t, f, b, "churn", func() { churnStore(f, measuringPeriod) })
		emitBaselineBytes(t, f, b, "mass restart", func() { b.restart(f); time.Sleep(measuringPeriod) })
	})
}

// restartMembers restarts every daemon that is not a distributor and waits for
// measuringPeriod.
func restartMembers(f *domaintest.Fleet) {
	var nodes []*domaintest.Node
	for _, n := range f.Nodes {
		if n.Server.Distributor() == nil {
			nodes = append(nodes, n)
		}
	}
	restart(nodes)
	time.Sleep(measuringPeriod)
}

// measureMassRestart emits the bytes of the busiest distributor in the minute of a
// mass restart. It is separate from the other cases because it exceeds the bound.
// The small part uses fewer daemons, since the test process once ended without a
// result with 267 daemons under the race detector.
func measureMassRestart(t *testing.T) {
	size := 96
	if report.Full() {
		size = 267
	}
	shape := domaintest.Shape{Domains: 1, PerDomain: size, Services: 32, Depends: 4, Seed: fullSeeds[0], Wrap: newRateLimitedStore}
	domaintest.Run(t, shape, func(t *testing.T, f *domaintest.Fleet) {
		f.Start()
		time.Sleep(idleDelay)
		busiest := countBytes(f, func() { restartMembers(f) }).distributor
		emit(t, "control_bytes", "mass restart, busiest distributor", f.Seed(), busiest, "B/s", report.Bound(bytesBound))
	})
}

// churn changes the configuration and endpoints for the duration d.
func churn(f *domaintest.Fleet, d time.Duration) {
	end := time.Now().Add(d)
	nextChange, nextEndpoint := time.Now(), time.Now()
	state := pb.EndpointState_ENDPOINT_READY
	for time.Now().Before(end) {
		if !time.Now().Before(nextChange) {
			f.Accept(anyService(f))
			nextChange = nextChange.Add(changeInterval)
		}
		if !time.Now().Before(nextEndpoint) {
			state = pb.EndpointState_ENDPOINT_READY + pb.EndpointState_ENDPOINT_DOWN - state
			f.Nodes[f.Rand.IntN(len(f.Nodes))].Announce(state)
			nextEndpoint = nextEndpoint.Add(endpointInterval)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// churnStore makes the same number of changes as churn for the baseline.
func churnStore(f *domaintest.Fleet, d time.Duration) {
	end := time.Now().Add(d)
	nextChange, nextEndpoint := time.Now(), time.Now()
	for i := 0; time.Now().Before(end); {
		if !time.Now().Before(nextChange) {
			f.Accept(anyService(f))
			nextChange = nextChange.Add(changeInterval)
		}
		if !time.Now().Before(nextEndpoint) {
			i++
			f.WriteEndpoint(i)
			nextEndpoint = nextEndpoint.Add(endpointInterval)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// byteRates holds the bytes per second of the daemons in one case.
type byteRates struct {
	mean          float64 // mean of all daemons
	meanMember    float64 // mean of the daemons that are not distributors
	busiestMember float64 // busiest daemon that is not a distributor
	distributor   float64 // busiest distributor
}

func countBytes(f *domaintest.Fleet, body func()) byteRates {
	before := map[string]int64{}
	isDistributor := map[string]bool{}
	for _, n := range f.Nodes {
		before[n.Name] = f.Network.Bytes(n.Name)
		isDistributor[n.Name] = n.Server.Distributor() != nil
	}
	start := time.Now()
	body()
	seconds := time.Since(start).Seconds()
	var r byteRates
	var total, members, count float64
	for _, n := range f.Nodes {
		rate := float64(f.Network.Bytes(n.Name)-before[n.Name]) / seconds
		total += rate
		if isDistributor[n.Name] {
			r.distributor = max(r.distributor, rate)
			continue
		}
		r.busiestMember = max(r.busiestMember, rate)
		members += rate
		count++
	}
	r.mean, r.meanMember = total/float64(len(f.Nodes)), members/count
	return r
}

func emitBytes(t *testing.T, f *domaintest.Fleet, name string, body func()) {
	t.Helper()
	r := countBytes(f, body)
	bound := report.Bound(bytesBound)
	emit(t, "control_bytes", name+", mean of all daemons", f.Seed(), r.mean, "B/s", bound)
	emit(t, "control_bytes", name+", mean of member daemons", f.Seed(), r.meanMember, "B/s", bound)
	emit(t, "control_bytes", name+", busiest member daemon", f.Seed(), r.busiestMember, "B/s", bound)
	if name == "mass restart" {
		return // see measureMassRestart
	}
	emit(t, "control_bytes", name+", busiest distributor", f.Seed(), r.distributor, "B/s", bound)
	if name == "idle" {
		emit(t, "control_bytes", "idle goal, mean of all daemons", f.Seed(), r.mean, "B/s", report.Bound(idleBytesGoal))
	}
}

func emitBaselineBytes(t *testing.T, f *domaintest.Fleet, b *baseline, name string, body func()) {
	t.Helper()
	before, start := b.received(), time.Now()
	body()
	rate := float64(b.received()-before) / time.Since(start).Seconds() / float64(len(b.watchers))
	emit(t, "control_bytes", "baseline, "+name+", mean of all daemons", f.Seed(), rate, "B/s", nil)
}
