package move

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// holdMemory is the number of recent attempts that a route is watched by
	// while the old version gets no calls to compare with.
	holdMemory     = 40
	holdMemoryBusy = 200
	// Limits that start a probe. A probe costs little, so they are low.
	probeFailures = 3
	probeRate     = 0.03 // above the old version's rate
	probeSigmas   = 4    // standard deviations above that
	probeSlow     = 0.85
	probeAnswers  = 10
	probeCrashes  = 2
	// A probe that finds nothing lasts at least probeTime and probeCalls calls to
	// both versions: four windows for latencies. It goes on while the e-value is
	// above probeClear, up to probeFactor times as long.
	probeTime   = 30 * time.Second
	probeCalls  = 4 * richWindow
	probeClear  = 1.5
	probeFactor = 10
	// Shares of the new version in a probe, under much and little traffic. A new
	// failure weighs about log(1/share), so a third tells most for each call.
	probeShareBusy  = 0.5
	probeShareQuiet = 0.3
	busyRate        = 20 // calls/s
	// holdFactor bounds the hold time of a service with little traffic.
	holdFactor = 12
)

// holdWatch follows the new version by route while it has all traffic.
type holdWatch struct {
	routes map[string]*recentCounts
	// accepted is what the old version showed in the last probe. A common cause
	// that goes on does not start another one.
	accepted map[string]*recentCounts
}

// reset starts a stage. After a probe, what the old version did in it is kept.
func (h *holdWatch) reset() { h.routes = nil }

// observeOld adds what the old version does during a probe.
func (h *holdWatch) observeOld(route string, b *baseline, o *Counts) {
	if h.accepted == nil {
		h.accepted = map[string]*recentCounts{}
	}
	r, ok := h.accepted[route]
	if !ok {
		r = &recentCounts{}
		h.accepted[route] = r
	}
	r.add(o, b.old.quantile(medianQuantile))
}

type recentCounts struct{ n, failed, crashed, answered, slow, last float64 }

// observe adds a window; answers are slow above the old version's median.
func (h *holdWatch) observe(route string, b *baseline, n *Counts, tolerance int) {
	if n.Attempts == 0 {
		return
	}
	if h.routes == nil {
		h.routes = map[string]*recentCounts{}
	}
	r, ok := h.routes[route]
	if !ok {
		r = &recentCounts{}
		h.routes[route] = r
	}
	r.add(n, b.old.quantile(medianQuantile)+tolerance)
}

// add counts a window and forgets older ones by and by.
func (r *recentCounts) add(c *Counts, limit int) {
	memory := float64(holdMemory)
	if r.last >= holdMemory/2 || float64(c.Attempts) >= holdMemory/2 {
		memory = holdMemoryBusy
	}
	r.last = float64(c.Attempts)
	if r.n > memory {
		keep := memory / 2 / r.n
		*r = recentCounts{r.n * keep, r.failed * keep, r.crashed * keep, r.answered * keep, r.slow * keep, r.last}
	}
	r.n += float64(c.Attempts)
	r.failed += float64(c.Failures)
	r.crashed += float64(c.Crashes)
	r.answered += float64(c.Latency.total())
	r.slow += float64(c.Latency.above(limit))
}

// suspect names the route that looks worse than the old version did.
func (h *holdWatch) suspect(totals map[string]*RouteCounts) string {
	for _, name := range slices.Sorted(maps.Keys(h.routes)) {
		r := h.routes[name]
		var before float64
		if t, ok := totals[name]; ok && t.Old.Attempts > 0 {
			before = float64(t.Old.Failures) / float64(t.Old.Attempts)
		}
		slowBefore := 0.5
		if a := h.accepted[name]; a != nil && a.n > 0 {
			before = max(before, a.failed/a.n)
			slowBefore = max(slowBefore, a.slow/max(a.answered, 1))
		}
		switch {
		case r.failed >= max(probeFailures, unlikely(before+probeRate, r.n)):
			return fmt.Sprintf("%.0f of the last %.0f attempts failed on route %q", r.failed, r.n, name)
		case r.crashed >= probeCrashes:
			return fmt.Sprintf("%.0f of the last %.0f attempts crashed on route %q", r.crashed, r.n, name)
		case r.answered >= probeAnswers && r.slow/r.answered > probeSlow && slowBefore < probeSlow-0.1:
			return fmt.Sprintf("%.0f of the last %.0f answers were slow on route %q", r.slow, r.answered, name)
		}
	}
	return ""
}

// unlikely returns a number of failures that n attempts at a rate hardly reach.
func unlikely(rate, n float64) float64 {
	rate = min(rate, 1)
	return rate*n + probeSigmas*math.Sqrt(n*rate*(1-rate))
}

// decideHold watches the new version after the last step. When it looks worse
// than the old one did, a part of the traffic goes back to the old version for
// a while, because only a comparison over the same time tells a fault of the
// new version from a common cause such as a failing dependency.
func (j *Judge) decideHold(now time.Time, rate float64, d Decision) Decision {
	if j.stage.Probing {
		return j.decideProbe(now, d)
	}
	c := &j.plan.Caution
	if reason := j.hold.suspect(j.totals); reason != "" {
		share := probeShareQuiet
		if rate >= busyRate {
			share = probeShareBusy
		}
		d.Verdict, d.Reason = VerdictLower, "comparing with the old version again: "+reason
		d.Next = Stage{
			State: pb.MoveState_MOVE_HOLDING, Share: share, NonIdempotent: share,
			Probing: true, Full: j.stage.Full,
		}
		return d
	}
	// Probes count as hold time: they compare the versions as well as before.
	held := min(now.Sub(j.stage.Full), now.Sub(j.stage.Since)+c.Hold-c.MinDwell)
	if held < c.Hold || (j.stageAttempts() < 2*c.GoodEvidence && held < holdFactor*c.Hold) {
		d.Reason = fmt.Sprintf("old targets are kept for %v after the last step", c.Hold)
		return d
	}
	d.Verdict = VerdictFinish
	d.Next = Stage{State: pb.MoveState_MOVE_DONE, Share: 1, NonIdempotent: 1, Full: j.stage.Full}
	d.Reason = fmt.Sprintf("all traffic worked on the new version for %v with %d attempts, e-value %.2g",
		held.Round(time.Second), j.stageAttempts(), j.EValue())
	return d
}

// decideProbe ends a probe when the versions are alike.
func (j *Judge) decideProbe(now time.Time, d Decision) Decision {
	elapsed, e := now.Sub(j.stage.Since), j.EValue()
	calls := j.meter.old + j.meter.new - j.stageCalls
	enough := elapsed >= probeTime && calls >= probeCalls && !j.suspicious()
	if !enough || (e >= probeClear && elapsed < probeFactor*probeTime && calls < probeFactor*probeCalls) {
		d.Reason = fmt.Sprintf("comparing with the old version, e-value %.2g", e)
		return d
	}
	d.Verdict = VerdictStep
	d.Next = Stage{State: pb.MoveState_MOVE_HOLDING, Share: 1, NonIdempotent: 1, Full: j.stage.Full}
	d.Reason = "both versions do alike; the cause is a common one"
	return d
}
