package fleet

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// TestLoadsSpread guards against a busy target that other daemons take for an idle one,
// and against one that counts as busy after it has become idle.
func TestLoadsSpread(t *testing.T) {
	s := newSpread(t, 60, 3)
	busy := s.fleets["sidecar-zone-1-4"].Table
	known := func(want float64) int {
		count := 0
		for _, f := range s.fleets {
			m, _ := f.Table.Member(busy.self)
			if !m.Self && math.Abs(m.TargetLoad()-want) < 0.05 {
				count++
			}
		}
		return count
	}
	for _, load := range []float64{1.5, 0.2} {
		busy.PublishLoad(EncodeLoad(load))
		for range 8 {
			s.round()
		}
		want := load
		if load < busyLoad {
			want = idleLoad
		}
		assert.Equal(t, known(want), 59, "daemons that know the load %v", load)
	}
}

// TestMalformedLoads guards against entries of a peer that point beyond the members.
func TestMalformedLoads(t *testing.T) {
	s := &pb.TableSummary{Heartbeats: make([]uint64, 3), Loads: []uint32{1<<loadBits | 40, math.MaxUint32, 7}}
	assert.DeepEqual(t, decodeLoads(s), []byte{0, 40, 0})
}
