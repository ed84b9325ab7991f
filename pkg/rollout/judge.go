package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// recentWindow is the window in which a fault that begins late must show. It
	// is a part of the time in which a bad version has to be stopped.
	recentWindow = 2500 * time.Millisecond
	// minBad is the number of bad answers of the new version below which chance
	// explains too much.
	minBad = 5
	// minAttempts is the number of attempts needed to compare latencies.
	minAttempts = 8
	// errorLimit is the log likelihood ratio from which on the new version counts
	// as worse. Chance exceeds it in about e^-9 of the looks; a move of seconds
	// has some hundred of them, most of which see the same attempts.
	errorLimit = 9
	// excessRate is the failure rate above the old version's that matters.
	excessRate = 0.08
	// slowBuckets is the distance in latency buckets (half octaves) between the
	// old version's upper quartile and answers that count as slow: 2.8 times.
	slowBuckets = 3
	// slowQuantile is the quantile of the old version that slowness starts from.
	slowQuantile = 0.75
)

// sample is the sum of all evidence at one time.
type sample struct {
	at   time.Time
	sums Sums
}

// Judge compares the versions of one move.
type Judge struct {
	samples []sample
	step    Sums // when the share was last raised
}

// Step begins a step. A fault that shows under the new load is looked for in the
// attempts since then, apart from the earlier good ones.
func (j *Judge) Step() {
	if len(j.samples) > 0 {
		j.step = j.samples[len(j.samples)-1].sums
	}
}

// Add takes the sum of all evidence since the order.
func (j *Judge) Add(now time.Time, sums Sums) {
	j.samples = append(j.samples, sample{now, sums.clone()})
	for len(j.samples) > 2 && now.Sub(j.samples[1].at) > recentWindow {
		j.samples = j.samples[1:]
	}
}

// Attempts returns the attempts at the new version.
func (j *Judge) Attempts() int {
	if len(j.samples) == 0 {
		return 0
	}
	n := 0
	for _, counts := range j.samples[len(j.samples)-1].sums[NewSide] {
		n += counts.Attempts
	}
	return n
}

// Fault returns why the new version is worse than the old one, empty if it is
// not. It looks at the whole move, its last seconds and its last step, at all routes
// together and at each one.
func (j *Judge) Fault() string {
	if len(j.samples) == 0 {
		return ""
	}
	last := j.samples[len(j.samples)-1].sums
	if reason := faultOf(last, "whole move"); reason != "" {
		return reason
	}
	recent := difference(last, j.samples[0].sums)
	if reason := faultOf(recent, "last seconds"); reason != "" {
		return reason
	}
	// A step is short; the old version is known from the last seconds.
	sinceStep := Sums{OldSide: recent[OldSide], NewSide: difference(last, j.step)[NewSide]}
	return faultOf(sinceStep, "since the last step")
}

func difference(last, first Sums) Sums {
	d := make(Sums)
	for side, routes := range last {
		for route, counts := range routes {
			before := &Counts{}
			if first[side] != nil && first[side][route] != nil {
				before = first[side][route]
			}
			diff := counts.sub(before)
			d.at(side, route).add(&diff)
		}
	}
	return d
}

func faultOf(s Sums, window string) string {
	var allOld, allNew Counts
	for _, c := range s[OldSide] {
		allOld.add(c)
	}
	for route, c := range s[NewSide] {
		allNew.add(c)
		old := s[OldSide][route]
		if old == nil {
			old = &Counts{}
		}
		if reason := compare(old, c); reason != "" {
			return fmt.Sprintf("%s, route %s: %s", window, route, reason)
		}
	}
	if reason := compareErrors(&allOld, &allNew); reason != "" {
		return fmt.Sprintf("%s: %s", window, reason)
	}
	return ""
}

func compare(before, after *Counts) string {
	if reason := compareErrors(before, after); reason != "" {
		return reason
	}
	return compareLatency(before, after)
}

func compareErrors(before, after *Counts) string {
	if after.Bad < minBad {
		return ""
	}
	if llr := excess(before.Bad, before.Attempts, after.Bad, after.Attempts); llr > errorLimit {
		return fmt.Sprintf("%d of %d failed, %d of %d at the old version", after.Bad, after.Attempts, before.Bad, before.Attempts)
	}
	return ""
}

// compareLatency treats answers that are much slower than most of the old
// version's as failures.
func compareLatency(before, after *Counts) string {
	if after.Attempts-after.Bad < minAttempts || before.Attempts-before.Bad < minAttempts {
		return ""
	}
	limit := before.quantileBucket(slowQuantile) + slowBuckets
	slowBefore, slowAfter := before.slowerThan(limit), after.slowerThan(limit)
	if slowAfter < minBad {
		return ""
	}
	if excess(slowBefore, before.Attempts, slowAfter, after.Attempts) > errorLimit {
		return fmt.Sprintf("%d of %d slow, %d of %d at the old version", slowAfter, after.Attempts, slowBefore, before.Attempts)
	}
	return ""
}

// excess returns the log likelihood ratio of two separate rates against one
// common rate, if the later rate is clearly the larger.
func excess(badBefore, before, badAfter, after int) float64 {
	// One imagined good and half a bad attempt keep a small sample from proving
	// that the old version never fails.
	b, n := float64(badBefore)+0.5, float64(before)+1.5
	x, m := float64(badAfter), float64(after)
	if m == 0 || x/m < b/n+excessRate {
		return 0
	}
	common := (b + x) / (n + m)
	return logLikelihood(b, n, b/n) + logLikelihood(x, m, x/m) - logLikelihood(b, n, common) - logLikelihood(x, m, common)
}

func logLikelihood(bad, n, rate float64) float64 {
	l := 0.0
	if bad > 0 {
		l += bad * math.Log(rate)
	}
	if n > bad {
		l += (n - bad) * math.Log(1-rate)
	}
	return l
}
