package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/evacuation"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestDirectoryFollowsEvacuationsAndColdPhases guards against targets of an evacuated domain
// that stay available, or become so only with the next change of their daemon, and against
// a cold target without the rate of its service.
func TestDirectoryFollowsEvacuationsAndColdPhases(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(time.Minute)
	target := &fleet.Target{ID: "t", Service: "desk", Version: "v1", Slots: 4, WarmupLeftMS: 20000}
	table := fleet.NewTable("vm-1", 1, fleet.State{Zone: "z", Target: target}, c)
	evacuations, config := &evacuation.State{Clock: c}, &routing.Current{}
	d := &directory{table: table, clock: c, zone: "y", config: config, evacuations: evacuations}
	assert.Assert(t, d.Endpoints("desk")[0].Available)
	assert.Equal(t, d.Endpoints("desk")[0].ColdRate, 0.0)

	config.Advance(&routing.Config{Version: 1, Services: []routing.Service{{Name: "desk", ColdRate: 3}}})
	var entries evacuation.Watch
	set := func(revision int64, domains ...string) {
		entries.List(domains, revision)
		for _, fact := range entries.Correct(table.Facts(), time.Now()) {
			table.SetFact(fact.Key, fact.Rank, fact.Payload)
		}
		evacuations.Apply(table.Facts())
	}
	set(5, "z", "x")
	assert.Assert(t, !d.Endpoints("desk")[0].Available, "available in an evacuated domain")
	assert.Equal(t, d.Endpoints("desk")[0].ColdRate, 3.0)
	set(6, "x")
	assert.Assert(t, d.Endpoints("desk")[0].Available, "not available after the evacuation")
}
