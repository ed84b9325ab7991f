package domain

import (
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/pkg/domain/domaintest"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

const (
	// settle is the time after which a version that is not in force counts as
	// never; it is far above the bound.
	settle = 60 * time.Second
	// outage is the length of injected outages.
	outage = 90 * time.Second
)

// changesPerCase is the number of versions accepted in a case.
func changesPerCase() int {
	if report.Full() {
		return 8
	}
	return 3
}

// scenario accepts versions under one kind of trouble and returns the time
// that each daemon took for each.
type scenario struct {
	name string
	run  func(t *testing.T, f *domaintest.Fleet) []time.Duration
}

func scenarios() []scenario {
	return []scenario{
		{"changes", ordinaryChanges},
		{"store fails after accept", storeFails},
		{"store takes 5 s", storeSlow},
		{"distributor vanishes", distributorVanishes},
		{"both distributors vanish", bothVanish},
		{"domain cut off, from its return", domainReturns},
		{"mass restart beside working distributors", massRestart},
		{"everything restarts", wholeRestart},
	}
}

// measureConvergence emits every scenario, and the reverts of all of them.
func measureConvergence(t *testing.T) {
	for _, seed := range seeds() {
		reverts := 0
		for _, s := range scenarios() {
			domaintest.Run(t, fleetShape(seed), func(t *testing.T, f *domaintest.Fleet) {
				f.Start()
				emitTimes(t, s.name, seed, s.run(t, f), report.Bound(convergenceBound))
				reverts += f.Reverts()
			})
		}
		emit(t, "reverts", "all convergence cases", seed, float64(reverts), "count", report.Bound(0))
		measureBaselineConvergence(t, seed)
	}
}

// collect returns the time from since until each daemon has the version.
func collect(t testing.TB, nodes []*domaintest.Node, version uint64, since time.Time) []time.Duration {
	t.Helper()
	var times []time.Duration
	for _, n := range nodes {
		at, ok := n.ReachedAt(version)
		if !ok {
			t.Errorf("%s never has version %d in force", n.Name, version)
			continue
		}
		times = append(times, max(0, at.Sub(since)))
	}
	return times
}

func ordinaryChanges(t *testing.T, f *domaintest.Fleet) []time.Duration {
	var times []time.Duration
	for range changesPerCase() {
		time.Sleep(time.Duration(f.Rand.IntN(3000)) * time.Millisecond)
		// Operators race: a second change follows before daemons have reported
		// the first.
		first, since := f.Accept(anyService(f)), time.Now()
		time.Sleep(time.Duration(f.Rand.IntN(500)) * time.Millisecond)
		second, sinceSecond := f.Accept(anyService(f)), time.Now()
		time.Sleep(settle / 6)
		times = append(times, collect(t, f.Nodes, first, since)...)
		times = append(times, collect(t, f.Nodes, second, sinceSecond)...)
	}
	return times
}

func anyService(f *domaintest.Fleet) string { return f.Nodes[f.Rand.IntN(len(f.Nodes))].Service }

// push hands a version to one distributor, as an accepting daemon does.
func push(t *testing.T, f *domaintest.Fleet, domain int) (uint64, time.Time) {
	t.Helper()
	distributors, _ := f.Distributors(domain)
	delta := f.Next(anyService(f))
	since := time.Now()
	if _, err := distributors[0].Server.PushHead(t.Context(), &pb.PushHeadRequest{Config: delta}); err != nil {
		t.Fatalf("push: %v", err)
	}
	return delta.GetVersion(), since
}

func storeFails(t *testing.T, f *domaintest.Fleet) []time.Duration {
	return withFaults(t, f, standin.Faults{Down: true})
}

func storeSlow(t *testing.T, f *domaintest.Fleet) []time.Duration {
	return withFaults(t, f, standin.Faults{Latency: 5 * time.Second})
}

func withFaults(t *testing.T, f *domaintest.Fleet, faults standin.Faults) []time.Duration {
	f.Store.SetFaults(faults)
	var times []time.Duration
	for i := range changesPerCase() {
		version, since := push(t, f, i%3)
		time.Sleep(settle / 6)
		times = append(times, collect(t, f.Nodes, version, since)...)
	}
	return times
}

func distributorVanishes(t *testing.T, f *domaintest.Fleet) []time.Duration {
	var times []time.Duration
	for i := range 3 {
		distributors, _ := f.Distributors(i)
		gone := distributors[f.Rand.IntN(len(distributors))]
		gone.Vanish()
		version, since := f.Accept(anyService(f)), time.Now()
		time.Sleep(settle / 2)
		times = append(times, collect(t, without(f, gone), version, since)...)
		gone.Restart()
		time.Sleep(settle / 2)
	}
	return times
}

func without(f *domaintest.Fleet, except ...*domaintest.Node) []*domaintest.Node {
	var nodes []*domaintest.Node
	for _, n := range f.Nodes {
		keep := true
		for _, e := range except {
			keep = keep && n != e
		}
		if keep {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// bothVanish accepts a version when a domain has just lost both distributors.
func bothVanish(t *testing.T, f *domaintest.Fleet) []time.Duration {
	gone, _ := f.Distributors(0)
	for _, d := range gone {
		d.Vanish()
	}
	version, since := f.Accept(anyService(f)), time.Now()
	time.Sleep(2 * settle)
	return collect(t, without(f, gone...), version, since)
}

func domainReturns(t *testing.T, f *domaintest.Fleet) []time.Duration {
	inside := func(name string) bool { return name[:3] == "d00" }
	f.Network.SetCut(func(from, to string) bool { return inside(from) != inside(to) })
	for _, n := range f.Domain(0) {
		n.Store.Cut(true)
	}
	time.Sleep(time.Second)
	version, since := f.Accept(anyService(f)), time.Now()
	time.Sleep(outage)
	times := collect(t, without(f, f.Domain(0)...), version, since)
	back := time.Now()
	f.Network.SetCut(nil)
	for _, n := range f.Domain(0) {
		n.Store.Cut(false)
	}
	time.Sleep(settle)
	return append(times, collect(t, f.Domain(0), version, back)...)
}

// massRestart crashes and restarts every daemon but the distributors.
func massRestart(t *testing.T, f *domaintest.Fleet) []time.Duration {
	version := f.Accept(anyService(f))
	time.Sleep(settle / 6)
	var nodes []*domaintest.Node
	for _, n := range f.Nodes {
		if n.Server.Distributor() == nil {
			nodes = append(nodes, n)
		}
	}
	since := time.Now()
	restart(nodes)
	time.Sleep(2 * settle)
	return collect(t, nodes, version, since)
}

// wholeRestart also crashes the distributors, so that nobody holds a version.
func wholeRestart(t *testing.T, f *domaintest.Fleet) []time.Duration {
	version := f.Accept(anyService(f))
	time.Sleep(settle / 6)
	since := time.Now()
	restart(f.Nodes)
	time.Sleep(2 * settle)
	return collect(t, f.Nodes, version, since)
}

func restart(nodes []*domaintest.Node) {
	for _, n := range nodes {
		n.Crash()
	}
	for _, n := range nodes {
		n.Restart()
	}
}

// measureBaselineConvergence emits the baseline for the cases that do not
// depend on distributors.
func measureBaselineConvergence(t *testing.T, seed uint64) {
	run := func(name string, body func(t *testing.T, f *domaintest.Fleet, b *baseline) []time.Duration) {
		domaintest.Run(t, fleetShape(seed), func(t *testing.T, f *domaintest.Fleet) {
			b := startBaseline(f)
			defer b.end()
			time.Sleep(settle / 3)
			emitTimes(t, "baseline, "+name, seed, body(t, f, b), nil)
		})
	}
	run("changes", func(t *testing.T, f *domaintest.Fleet, b *baseline) []time.Duration {
		var times []time.Duration
		for range changesPerCase() {
			version, since := f.Accept(anyService(f)), time.Now()
			time.Sleep(settle / 6)
			times = append(times, b.collect(version, since)...)
		}
		return times
	})
	run("store fails after accept", func(t *testing.T, f *domaintest.Fleet, b *baseline) []time.Duration {
		version, since := f.Accept(anyService(f)), time.Now()
		f.Store.SetFaults(standin.Faults{Down: true})
		time.Sleep(outage)
		f.Store.SetFaults(standin.Faults{})
		time.Sleep(settle)
		return b.collect(version, since)
	})
	run("mass restart, from the start", func(t *testing.T, f *domaintest.Fleet, b *baseline) []time.Duration {
		since := time.Now()
		b.restart(f)
		time.Sleep(settle)
		return b.collect(f.Version(), since)
	})
}

func (b *baseline) collect(version uint64, since time.Time) []time.Duration {
	var times []time.Duration
	for _, w := range b.watchers {
		if at, ok := w.reachedAt(version); ok {
			times = append(times, max(0, at.Sub(since)))
		}
	}
	return times
}
