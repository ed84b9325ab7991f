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
	// holdWindow and holdWindowHighRate limit the number of recent attempts by
	// which a route is monitored while the old version gets no calls to compare
	// with.
	holdWindow         = 40
	holdWindowHighRate = 200
	// Limits that start a probe. They are low because a probe costs little.
	minProbeFailures  = 3
	probeRateMargin   = 0.03 // above the failure rate of the old version
	probeSigmas       = 4    // standard deviations above that rate
	maxSlowRatio      = 0.85
	minProbeResponses = 10
	minProbeCrashes   = 2
	// A probe that finds no difference lasts at least minProbeTime and
	// minProbeCalls calls to both versions, which is four latency windows. It
	// continues while the e-value is at least probeClearEValue, up to
	// maxProbeFactor times as long.
	minProbeTime     = 30 * time.Second
	minProbeCalls    = 4 * minWindowAttempts
	probeClearEValue = 1.5
	maxProbeFactor   = 10
	// Shares of the new version in a probe, at high and low traffic. A failure of
	// the new version has a weight of about log(1/share), so a share of about a
	// third gives the most evidence per call.
	probeShareHighRate = 0.5
	probeShareLowRate  = 0.3
	highRate           = 20 // calls/s
	// maxHoldFactor limits the extension of the hold time at low traffic.
	maxHoldFactor = 12
)

// holdMonitor monitors the new version by route while it has all traffic.
type holdMonitor struct {
	routes map[string]*recentCounts
	// probeBaseline holds the counts of the old version in the last probe, so that
	// a persistent common cause does not start another one.
	probeBaseline map[string]*recentCounts
}

// reset clears the counts at the start of a stage. The old version's counts of
// the last probe are kept.
func (h *holdMonitor) reset() { h.routes = nil }

// observeOld adds a window of the old version during a probe.
func (h *holdMonitor) observeOld(route string, b *baseline, oldCounts *Counts) {
	if h.probeBaseline == nil {
		h.probeBaseline = map[string]*recentCounts{}
	}
	r, ok := h.probeBaseline[route]
	if !ok {
		r = &recentCounts{}
		h.probeBaseline[route] = r
	}
	r.add(oldCounts, b.responses.quantile(medianQuantile))
}

type recentCounts struct{ attempts, failed, crashed, responses, slow, lastAttempts float64 }

// observe adds a window of the new version. A response is slow if it exceeds the
// median of the old version by more than the tolerance.
func (h *holdMonitor) observe(route string, b *baseline, newCounts *Counts, tolerance int) {
	if newCounts.Attempts == 0 {
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
	r.add(newCounts, b.responses.quantile(medianQuantile)+tolerance)
}

// add adds a window and reduces the weight of older ones.
func (r *recentCounts) add(c *Counts, limit int) {
	maxAttempts := float64(holdWindow)
	if r.lastAttempts >= holdWindow/2 || float64(c.Attempts) >= holdWindow/2 {
		maxAttempts = holdWindowHighRate
	}
	r.lastAttempts = float64(c.Attempts)
	if r.attempts > maxAttempts {
		keep := maxAttempts / 2 / r.attempts
		*r = recentCounts{r.attempts * keep, r.failed * keep, r.crashed * keep, r.responses * keep, r.slow * keep, r.lastAttempts}
	}
	r.attempts += float64(c.Attempts)
	r.failed += float64(c.Failures)
	r.crashed += float64(c.Crashes)
	r.responses += float64(c.Latency.total())
	r.slow += float64(c.Latency.above(limit))
}

// degradedRoute describes a route on which the new version performs worse than
// the old one did, or returns an empty string.
func (h *holdMonitor) degradedRoute(totals map[string]*RouteCounts) string {
	for _, name := range slices.Sorted(maps.Keys(h.routes)) {
		r := h.routes[name]
		var oldFailureRate float64
		if t, ok := totals[name]; ok && t.Old.Attempts > 0 {
			oldFailureRate = float64(t.Old.Failures) / float64(t.Old.Attempts)
		}
		oldSlowRatio := 0.5
		if baseline := h.probeBaseline[name]; baseline != nil && baseline.attempts > 0 {
			oldFailureRate = max(oldFailureRate, baseline.failed/baseline.attempts)
			oldSlowRatio = max(oldSlowRatio, baseline.slow/max(baseline.responses, 1))
		}
		switch {
		case r.failed >= max(minProbeFailures, maxLikelyFailures(oldFailureRate+probeRateMargin, r.attempts)):
			return fmt.Sprintf("%.0f of the last %.0f attempts failed on route %q", r.failed, r.attempts, name)
		case r.crashed >= minProbeCrashes:
			return fmt.Sprintf("%.0f of the last %.0f attempts crashed on route %q", r.crashed, r.attempts, name)
		case r.responses >= minProbeResponses && r.slow/r.responses > maxSlowRatio && oldSlowRatio < maxSlowRatio-0.1:
			return fmt.Sprintf("%.0f of the last %.0f answers were slow on route %q", r.slow, r.responses, name)
		}
	}
	return ""
}

// maxLikelyFailures returns the number of failures that n attempts at a failure
// rate are unlikely to exceed.
func maxLikelyFailures(rate, n float64) float64 {
	rate = min(rate, 1)
	return rate*n + probeSigmas*math.Sqrt(n*rate*(1-rate))
}

// decideHold decides after the last step. When the new version performs worse
// than the old one did, it starts a probe: part of the traffic returns to the old
// version for a limited time, because only a comparison over the same period
// distinguishes a fault of the new version from a common cause such as a failing
// dependency.
func (j *Judge) decideHold(now time.Time, rate float64, d Decision) Decision {
	if j.stage.Probing {
		return j.decideProbe(now, d)
	}
	c := &j.plan.Caution
	if reason := j.monitor.degradedRoute(j.totals); reason != "" {
		share := probeShareLowRate
		if rate >= highRate {
			share = probeShareHighRate
		}
		d.Action, d.Reason = ActionLower, "comparing with the old version again: "+reason
		d.Next = Stage{
			State: pb.MoveState_MOVE_HOLDING, Share: share, NonIdempotent: share,
			Probing: true, Full: j.stage.Full,
		}
		return d
	}
	// A probe counts as hold time because it compares the versions.
	elapsed := min(now.Sub(j.stage.Full), now.Sub(j.stage.Since)+c.Hold-c.MinDwell)
	if elapsed < c.Hold || (j.stageAttempts() < 2*c.GoodEvidence && elapsed < maxHoldFactor*c.Hold) {
		d.Reason = fmt.Sprintf("old targets are kept for %v after the last step", c.Hold)
		return d
	}
	d.Action = ActionFinish
	d.Next = Stage{State: pb.MoveState_MOVE_DONE, Share: 1, NonIdempotent: 1, Full: j.stage.Full}
	d.Reason = fmt.Sprintf("all traffic worked on the new version for %v with %d attempts, e-value %.2g",
		elapsed.Round(time.Second), j.stageAttempts(), j.EValue())
	return d
}

// decideProbe ends a probe that found no difference between the versions.
func (j *Judge) decideProbe(now time.Time, d Decision) Decision {
	elapsed, e := now.Sub(j.stage.Since), j.EValue()
	calls := j.meter.old + j.meter.new - j.callsBeforeStage
	enough := elapsed >= minProbeTime && calls >= minProbeCalls && !j.suspicious()
	if !enough || (e >= probeClearEValue && elapsed < maxProbeFactor*minProbeTime && calls < maxProbeFactor*minProbeCalls) {
		d.Reason = fmt.Sprintf("comparing with the old version, e-value %.2g", e)
		return d
	}
	d.Action = ActionStep
	d.Next = Stage{State: pb.MoveState_MOVE_HOLDING, Share: 1, NonIdempotent: 1, Full: j.stage.Full}
	d.Reason = "both versions do alike; the cause is a common one"
	return d
}
