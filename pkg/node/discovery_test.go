package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/fleet"
)

// TestSurvivorsDecideTheRelease guards against a target that is used again although it
// has left, because one daemon that outlived the others was cut off when it left.
func TestSurvivorsDecideTheRelease(t *testing.T) {
	const started = 100_000
	young, old := uint64(started-uint64(olderPeerAge.Milliseconds())), uint64(10)
	for _, c := range []struct {
		name         string
		incarnations []uint64 // of the peers
		older        bool
	}{
		{"no peers", nil, false},
		{"all lost together", []uint64{young, young, started + 5, young}, false},
		{"one survivor", []uint64{young, old, young, young}, false},
		{"half survived", []uint64{young, old, young, old}, false},
		{"most survived", []uint64{old, old, young, old}, true},
		{"one restarted", []uint64{old, old, old}, true},
	} {
		live := []fleet.Member{{Name: "self", Incarnation: started, Self: true}}
		for _, incarnation := range c.incarnations {
			live = append(live, fleet.Member{Incarnation: incarnation})
		}
		assert.Equal(t, mostAreOlder(live, started), c.older, c.name)
	}
}
