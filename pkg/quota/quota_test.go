package quota

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBoundHolds guards against a schedule of losses, pauses, partitions and restarts
// in which the daemons together let more requests of a workspace run than the bound
// allows.
func TestBoundHolds(t *testing.T) {
	limits := map[string]Limit{"large": {Rate: 40, Burst: 40}, "flat": {Rate: 40, Burst: 1}, "small": {Rate: 2, Burst: 2}}
	rapid.Check(t, func(r *rapid.T) {
		const nodes = 5
		s := newSimulation(rapid.Uint64().Draw(r, "seed"), nodes, limits)
		s.spread = 2.0 / 3
		s.run(time.Duration(rapid.IntRange(0, 12).Draw(r, "quiet_s")) * time.Second)
		end := s.now.Add(20 * time.Second)
		for _, workspace := range slices.Sorted(maps.Keys(limits)) {
			s.load(workspace, limits[workspace].Rate*rapid.Float64Range(1, 4).Draw(r, "overload"), end, s.nodes)
		}
		for s.now < end {
			s.disrupt(r)
			s.run(time.Duration(rapid.IntRange(10, 4000).Draw(r, "wait_ms")) * time.Millisecond)
		}
		for workspace, limit := range limits {
			worst, allowed := s.worst(workspace), testBounds.Runs(limit)
			assert.Assert(r, float64(worst) <= allowed, "%s: %d runs in 5 s, allowed %v", workspace, worst, allowed)
		}
	})
}

// disrupt changes the state of the fleet.
func (s *simulation) disrupt(r *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(r, "node")]
	switch rapid.SampledFrom([]string{"partition", "isolate", "heal", "pause", "restart", "restart all", "loss"}).Draw(r, "disruption") {
	case "partition":
		for _, n := range s.nodes {
			n.group = rapid.IntRange(0, 2).Draw(r, "group")
		}
	case "isolate":
		n.group = 10
	case "heal":
		for _, n := range s.nodes {
			n.group = 0
		}
	case "pause":
		n.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(10, 8000).Draw(r, "pause_ms")) * time.Millisecond)
	case "restart":
		n.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(10, 5000).Draw(r, "down_ms")) * time.Millisecond)
		n.restart()
	case "restart all":
		for _, n := range s.nodes {
			n.pausedUntil = s.now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(r, "down_ms")) * time.Millisecond)
			n.restart()
		}
	case "loss":
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(r, "loss")
	}
}

// TestNothingRefusedBelowLimit guards against refusals of a workspace whose requests
// stay within its rate and burst, however they are spread over the daemons.
func TestNothingRefusedBelowLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := Limit{Rate: rapid.Float64Range(1, 100).Draw(r, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0.5, 2).Draw(r, "burst_s")
		s := newSimulation(rapid.Uint64().Draw(r, "seed"), 6, map[string]Limit{"w": limit})
		s.spread = 1
		s.run(20 * time.Second)
		tokens, at := limit.Burst, s.now
		for end := s.now.Add(15 * time.Second); s.now < end; {
			batch := rapid.IntRange(1, max(1, int(limit.Burst))).Draw(r, "batch")
			tokens = min(limit.Burst, tokens+s.now.Sub(at).Seconds()*limit.Rate)
			at = s.now
			nodes := s.nodes[:rapid.IntRange(1, len(s.nodes)).Draw(r, "daemons")]
			for i := range min(batch, int(tokens)) {
				nodes[i%len(nodes)].request("w")
				tokens--
			}
			s.run(time.Duration(rapid.IntRange(1, 1500).Draw(r, "wait_ms")) * time.Millisecond)
		}
		assert.Equal(r, s.refusals["w"]+s.unknown["w"], 0, "of %d requests", len(s.runs["w"]))
	})
}
