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

// TestOrderOfArrival guards against crossed updates: tables that get the same
// records in different orders, with repeats, must end up equal, and a final
// grant must hold against every other.
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

// TestRefutation guards against an observation that outlives the daemon's own
// newer word, and against a departure that a loss of the same record undoes.
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
// departure that is forgotten before its endpoint.
func TestSweep(t *testing.T) {
	table := NewTable()
	ready := endpointRecord("n", 5, 1, pb.EndpointState_ENDPOINT_READY)
	table.Apply(ready)
	table.Apply(endpointRecord("other", 5, 1, pb.EndpointState_ENDPOINT_READY))
	table.Apply(newLiveness(ready, &pb.Endpoint{Name: "n", Domain: "d"}, true, time.Now()))
	table.Sweep(time.Now().Add(departKeep / 2))
	assert.Equal(t, len(table.Endpoints("s")), 2)
	table.Sweep(time.Now().Add(2 * departKeep))
	assert.Equal(t, len(table.Endpoints("s")), 1)
	assert.Assert(t, table.Endpoints("s")[0].Usable())
}

// TestViewsDoNotChange guards against a call that sees its endpoints change
// while it chooses, and against changes that wake the wrong waiters.
func TestViewsDoNotChange(t *testing.T) {
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
