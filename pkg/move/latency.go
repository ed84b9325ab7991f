package move

import "time"

const (
	// minRateByDomain is the rate from which latencies are compared by domain.
	// With less traffic the domains are pooled, because a comparison needs
	// minWindowAttempts responses of the same period.
	minRateByDomain = 5 // calls/s
	// overloadCooldown is how long latencies are ignored after an overload.
	overloadCooldown = 10 * time.Second
)

// latencyWindow accumulates responses until it has enough of them to compare
// the versions.
type latencyWindow struct {
	median, tail comparison
	limits       [2]int // buckets of the median and the tail, set when the window starts
}

// compareLatency counts the responses that are slower than the median and the
// tail quantile of the old version's distribution. The limits for the new
// version are higher by the tolerance.
func (j *Judge) compareLatency(w *window, sum *Sum, b *baseline, oldCounts, newCounts *Counts, granted float64) {
	key := stratumKey{route: sum.Route}
	if j.meter.total() >= minRateByDomain {
		key.domain = sum.Domain
	}
	lw, ok := j.latency[key]
	if !ok {
		lw = &latencyWindow{limits: [2]int{b.responses.quantile(medianQuantile), b.responses.quantile(tailQuantile)}}
		j.latency[key] = lw
	}
	for i, c := range [2]*comparison{&lw.median, &lw.tail} {
		c.events[0] += oldCounts.Latency.above(lw.limits[i])
		c.events[1] += newCounts.Latency.above(lw.limits[i] + j.plan.Caution.LatencyTolerance)
		c.attempts[0] += oldCounts.Latency.total()
		c.attempts[1] += newCounts.Latency.total()
	}
	if lw.median.attempts[0]+lw.median.attempts[1] < minWindowAttempts {
		return
	}
	w.add(signalMedian, sum.Route, lw.median.logLikelihoodRatios(granted))
	w.add(signalTail, sum.Route, lw.tail.logLikelihoodRatios(granted))
	delete(j.latency, key)
}

// overloaded reports whether a new target currently handles, or handled within
// overloadCooldown, clearly more calls than an old target does now or did before
// the move. The latency of an overloaded target is no evidence about the
// version. The check uses only calls of earlier windows, so that it does not
// depend on the outcomes of the current one.
func (j *Judge) overloaded(now time.Time) bool {
	if j.stage.MaxNewTargets == 0 || j.targets.Old == 0 || j.oldTargetRate == 0 {
		return false
	}
	oldRate, newRate := j.meter.rates(currentMinAttempts, currentMinPeriod)
	load := newRate / float64(j.stage.MaxNewTargets)
	if newRate >= minRateByDomain/2 && load > overloadFactor*max(j.oldTargetRate, oldRate/float64(j.targets.Old)) {
		j.lastOverload = now
	}
	return !j.lastOverload.IsZero() && now.Sub(j.lastOverload) < overloadCooldown
}
