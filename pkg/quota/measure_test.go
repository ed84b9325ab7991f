package quota

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// zipfFleet is a fleet whose workspaces have a Zipf-distributed demand.
type zipfFleet struct {
	*simulation
	demand map[string]float64
}

func newZipfFleet(seed uint64, nodes, workspaces int, sum float64) *zipfFleet {
	const exponent, headroom = 1.2, 1.6
	weights, total := make([]float64, workspaces), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
		total += weights[i]
	}
	limits, demand := make(map[string]Limit), make(map[string]float64)
	for i, weight := range weights {
		name := fmt.Sprintf("w-%d", i+1)
		demand[name] = weight / total * sum
		limits[name] = Limit{Rate: headroom * demand[name], Burst: headroom * demand[name]}
	}
	return &zipfFleet{simulation: newSimulation(seed, nodes, limits), demand: demand}
}

func (z *zipfFleet) measure(d time.Duration, factor map[string]float64) {
	end := z.now.Add(d)
	for _, workspace := range slices.Sorted(maps.Keys(z.demand)) {
		rate := z.demand[workspace]
		if f := factor[workspace]; f > 0 {
			rate *= f
		}
		z.load(workspace, rate, end, z.nodes)
	}
	z.run(d + 100*time.Millisecond)
}

// totals returns the requests that ran, were over the limit, and had no accountant.
func (z *zipfFleet) totals(except string) (runs, refused, unknown int) {
	for workspace := range z.demand {
		if workspace != except {
			runs += len(z.runs[workspace])
			refused += z.refusals[workspace]
			unknown += z.unknown[workspace]
		}
	}
	return runs, refused, unknown
}

// worstShare returns the highest share of the bound that a workspace used.
func (z *zipfFleet) worstShare() (share float64) {
	for workspace, limit := range z.limits {
		share = max(share, float64(z.worst(workspace))/testBounds.Runs(limit))
	}
	return share
}

// TestCost guards against refusals below the limit, and against more datagrams than
// one request for permits and one answer for each request.
func TestCost(t *testing.T) {
	for _, c := range []struct {
		name, over string
		loss       float64
	}{{"calm", "", 0}, {"losses", "", 0.01}, {"first over its limit", "w-1", 0}, {"tenth over its limit", "w-10", 0}} {
		t.Run(c.name, func(t *testing.T) {
			z := newZipfFleet(1, 88, 86, 1100)
			z.loss = c.loss
			z.run(20 * time.Second)
			z.measure(20*time.Second, map[string]float64{c.over: 7.5})
			runs, refused, unknown := z.totals(c.over)
			ratio := float64(refused+unknown) / float64(runs+refused+unknown)
			t.Logf("%d ran, %d over the limit, %d without accountant, %.3f datagrams and %.3f waits a request, worst 5 s span %.2f of the bound",
				runs, refused, unknown, float64(z.messages)/float64(runs), float64(z.waited)/float64(runs), z.worstShare())
			if c.over != "" {
				t.Logf("over its limit: %d ran of %.0f allowed by the rate, %d refused, worst span %d of %.0f", len(z.runs[c.over]),
					20*z.limits[c.over].Rate, z.refusals[c.over]+z.unknown[c.over], z.worst(c.over), testBounds.Runs(z.limits[c.over]))
				assert.Assert(t, float64(len(z.runs[c.over])) >= 0.95*20*z.limits[c.over].Rate)
			}
			assert.Assert(t, ratio < 0.001, "refused %v below the limit", ratio)
			assert.Assert(t, z.worstShare() <= 1)
			assert.Assert(t, float64(z.messages) <= 2*float64(runs+refused+unknown)*1.1 || c.over != "")
		})
	}
}
