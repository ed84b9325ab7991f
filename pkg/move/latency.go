package move

import "time"

const (
	// busyStrata is the rate from which latencies are compared by domain. With
	// less traffic the domains are taken together, because a comparison needs
	// richWindow answers of one time.
	busyStrata = 5 // calls/s
	// calmTime is how long after an overload latencies are left out.
	calmTime = 10 * time.Second
)

// latencyWindow collects answers until there are enough of them to compare the
// versions within the window.
type latencyWindow struct {
	median, tail comparison
	limits       [2]int // set at the first answer of the window
}

// compareLatency counts how many answers are above limits from the old
// version's own distribution. The new version's limits are higher by the
// tolerance.
func (j *Judge) compareLatency(w *window, sum *Sum, b *baseline, o, n *Counts, granted float64) {
	key := stratumKey{route: sum.Route}
	if j.meter.total() >= busyStrata {
		key.domain = sum.Domain
	}
	l, ok := j.latency[key]
	if !ok {
		l = &latencyWindow{limits: [2]int{b.old.quantile(medianQuantile), b.old.quantile(tailQuantile)}}
		j.latency[key] = l
	}
	for i, c := range [2]*comparison{&l.median, &l.tail} {
		c.events[0] += o.Latency.above(l.limits[i])
		c.events[1] += n.Latency.above(l.limits[i] + j.plan.Caution.LatencyTolerance)
		c.attempts[0] += o.Latency.total()
		c.attempts[1] += n.Latency.total()
	}
	if l.median.attempts[0]+l.median.attempts[1] < richWindow {
		return
	}
	w.add(signalMedian, sum.Route, l.median.ratios(granted))
	w.add(signalTail, sum.Route, l.tail.ratios(granted))
	delete(j.latency, key)
}

// overloaded reports whether the new targets bear clearly more calls than an
// old target does or did before the move, or did so a moment ago. Their latency
// then says nothing about the version; it is known before the window's
// outcomes are.
func (j *Judge) overloaded(now time.Time) bool {
	if j.stage.MaxNewTargets == 0 || j.targets.Old == 0 || j.reference == 0 {
		return false
	}
	oldRate, newRate := j.meter.rates(currentAttempts, currentShortest)
	load := newRate / float64(j.stage.MaxNewTargets)
	if newRate >= busyStrata/2 && load > overloadFactor*max(j.reference, oldRate/float64(j.targets.Old)) {
		j.calmSince = now
	}
	return !j.calmSince.IsZero() && now.Sub(j.calmSince) < calmTime
}
