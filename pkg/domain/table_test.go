package domain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

func endpointRecord(name string, incarnation, counter uint64, state pb.EndpointState) *pb.Record {
	return &pb.Record{
		Kind: pb.RecordKind_RECORD_ENDPOINT, Service: "s", Key: name, Owner: name,
		Incarnation: incarnation, Counter: counter,
		Payload: mustMarshal(&pb.Endpoint{Name: name, Service: "s", Domain: "d", State: state}),
	}
}

// TestOrderOfArrival guards against different results of reordered updates: tables
// that receive the same records in different orders, with repeats, must be equal in
// the end, and a final grant must replace every other.
func TestOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []*pb.Record
		anyFinal := false
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 20).Draw(t, "counters") {
			if i%2 == 0 {
				records = append(records, endpointRecord("n", uint64(n%3), uint64(n), pb.EndpointState_ENDPOINT_READY))
				endpoint := endpointRecord("n", uint64(n%2), uint64(n/2), 0)
				records = append(records, newLiveness(endpoint, &pb.Endpoint{Name: "n", Domain: "d"}, n%3 == 0, time.Now()))
				continue
			}
			final := n == 4
			anyFinal = anyFinal || final
			records = append(records, &pb.Record{
				Kind: pb.RecordKind_RECORD_GRANT, Service: "s", Key: GrantKey("m", 1), Owner: "c",
				Incarnation: uint64(n % 4), Counter: uint64(n), Final: final,
				Payload: mustMarshal(&pb.Grant{Move: "m", Generation: 1, Fencing: uint64(n % 4), Counter: uint64(n)}),
			})
		}
		a, b := NewTable(), NewTable()
		a.ApplyAll(records)
		for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			b.Apply(r)
		}
		assert.Equal(t, a.Digest([]string{"s"}), b.Digest([]string{"s"}))
		for _, table := range []*Table{a, b} {
			for _, g := range table.Grants("s") {
				assert.Equal(t, g.Final, anyFinal)
			}
		}
		ea, eb := a.Endpoints("s"), b.Endpoints("s")
		assert.Equal(t, len(ea), len(eb))
		for i := range ea {
			assert.Equal(t, ea[i].Usable(), eb[i].Usable())
			assert.Equal(t, ea[i].Departed, eb[i].Departed)
		}
	})
}

// TestRefutation guards against a liveness record that still applies after the
// daemon published a newer endpoint, and against a departure that is replaced by a
// loss of the same endpoint record.
func TestRefutation(t *testing.T) {
	table := NewTable()
	ready := endpointRecord("n", 5, 1, pb.EndpointState_ENDPOINT_READY)
	table.Apply(ready)
	details := &pb.Endpoint{Name: "n", Domain: "d"}
	assert.Assert(t, table.Endpoints("s")[0].Usable())
	table.Apply(newLiveness(ready, details, true, time.Now()))
	table.Apply(newLiveness(ready, details, false, time.Now()))
	assert.Assert(t, table.Endpoints("s")[0].Departed)
	table.Apply(endpointRecord("n", 5, 2, pb.EndpointState_ENDPOINT_READY))
	assert.Assert(t, table.Endpoints("s")[0].Usable())
	table.Apply(newLiveness(ready, details, true, time.Now()))
	assert.Assert(t, table.Endpoints("s")[0].Usable())
}

// TestSweep guards against departed daemons that stay in memory, and against a
// departure that is removed before its endpoint.
func TestSweep(t *testing.T) {
	table := NewTable()
	ready := endpointRecord("n", 5, 1, pb.EndpointState_ENDPOINT_READY)
	table.Apply(ready)
	table.Apply(endpointRecord("other", 5, 1, pb.EndpointState_ENDPOINT_READY))
	table.Apply(newLiveness(ready, &pb.Endpoint{Name: "n", Domain: "d"}, true, time.Now()))
	table.Sweep(time.Now().Add(departedRetention / 2))
	assert.Equal(t, len(table.Endpoints("s")), 2)
	table.Sweep(time.Now().Add(2 * departedRetention))
	assert.Equal(t, len(table.Endpoints("s")), 1)
	assert.Assert(t, table.Endpoints("s")[0].Usable())
}

// TestViewsAreImmutable guards against endpoints that change while a call chooses
// one of them, and against signals to subscribers of other services.
func TestViewsAreImmutable(t *testing.T) {
	table := NewTable()
	signal, stop := table.Changes("s")
	unrelated, stopUnrelated := table.Changes("t")
	defer stopUnrelated()
	table.Apply(endpointRecord("n", 5, 1, pb.EndpointState_ENDPOINT_READY))
	before := table.Endpoints("s")
	table.Apply(endpointRecord("n", 5, 2, pb.EndpointState_ENDPOINT_LEAVING))
	assert.Assert(t, before[0].Usable())
	assert.Assert(t, !table.Endpoints("s")[0].Usable())
	assert.Equal(t, len(signal), 1)
	assert.Equal(t, len(unrelated), 0)
	stop()
	assert.Equal(t, testing.AllocsPerRun(100, func() { _ = table.Endpoints("s") }), 0.0)
}

// TestRestartKeepsPreviousRun guards against a key that runs again because its home
// was restarted: the previous process must be kept as a departed home, in any order
// of arrival, until its keys have expired. A daemon that only raised its incarnation
// has kept its keys and was not restarted.
func TestRestartKeepsPreviousRun(t *testing.T) {
	const started = 5000
	endpoint := func(incarnation, counter uint64, eligible int64) *pb.Record {
		r := endpointRecord("n", incarnation, counter, pb.EndpointState_ENDPOINT_READY)
		r.Payload = mustMarshal(&pb.Endpoint{Name: "n", Service: "s", Domain: "d", EligibleSinceMs: eligible, State: pb.EndpointState_ENDPOINT_READY})
		return r
	}
	before, after := endpoint(1000, 3, 1100), endpoint(started, 1, 5100)
	lost := newLiveness(before, &pb.Endpoint{Name: "n", Domain: "d"}, false, time.UnixMilli(4000))
	departed := newLiveness(before, &pb.Endpoint{Name: "n", Domain: "d"}, true, time.UnixMilli(4000))
	for _, c := range []struct {
		records []*pb.Record
		ended   int64 // 0 if there is no previous run
	}{
		{[]*pb.Record{before, after}, started},
		{[]*pb.Record{after, before}, started},
		{[]*pb.Record{before, lost, after}, started},
		{[]*pb.Record{before, departed, after}, 4000},
		{[]*pb.Record{before, endpoint(started, 1, 1100)}, 0},
		{[]*pb.Record{after}, 0},
	} {
		table := NewTable()
		applied := table.ApplyAll(c.records)
		var runs []*Endpoint
		for _, e := range table.Endpoints("s") {
			if e.GetDepartedMs() != 0 {
				runs = append(runs, e)
			}
		}
		if c.ended == 0 {
			assert.Equal(t, len(runs), 0)
			continue
		}
		assert.Equal(t, len(runs), 1)
		assert.Equal(t, runs[0].GetDepartedMs(), c.ended)
		assert.Equal(t, runs[0].GetEligibleSinceMs(), int64(1100))
		assert.Equal(t, len(table.Endpoints("s")), 2)
		assert.Assert(t, isPreviousRun(applied[len(applied)-1]), "the record of the previous run is not among the applied records")
		fresh := NewTable()
		fresh.Apply(after)
		assert.Equal(t, table.Digest([]string{"s"}) == fresh.Digest([]string{"s"}), len(c.records) == 2)
		now := time.Now()
		table.Sweep(now.Add(departedRetention - time.Second))
		assert.Equal(t, len(table.Endpoints("s")), 2)
		table.Sweep(now.Add(departedRetention + time.Second))
		assert.Equal(t, len(table.Endpoints("s")), 1)
	}
}
