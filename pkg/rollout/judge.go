package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// recentWindow is the sliding window that is evaluated to detect faults that
	// begin late. It is shorter than the time within which a bad version must be
	// stopped.
	recentWindow = 2500 * time.Millisecond
	// minFailures is the number of failures of the new version below which chance
	// is too likely an explanation.
	minFailures = 5
	// minAttempts is the number of successful attempts that each version needs
	// before latencies are compared.
	minAttempts = 8
	// minLogLikelihoodRatio is the log likelihood ratio above which the new version
	// is considered worse. Chance exceeds it in about e^-9 of the evaluations. A
	// move of seconds has about a hundred evaluations, most of them of the same
	// attempts.
	minLogLikelihoodRatio = 9
	// minExcessRate is the smallest relevant difference between the failure rates
	// of the new and the old version.
	minExcessRate = 0.08
	// slowBucketDistance is the number of latency buckets (half octaves) by which a
	// response must exceed the upper quartile of the old version to count as slow:
	// a factor of 2.8.
	slowBucketDistance = 3
	// slowQuantile is the latency quantile of the old version to which
	// slowBucketDistance is added.
	slowQuantile = 0.75
)

// sample is the total evidence at one point in time.
type sample struct {
	at   time.Time
	sums Sums
}

// Judge compares the old and the new version of one move by their evidence.
type Judge struct {
	samples   []sample
	stepStart Sums // total evidence when the share was last raised
}

// StartStep starts a step. The attempts since then are also evaluated separately,
// so that the earlier good attempts do not hide a fault under the new load.
func (j *Judge) StartStep() {
	if len(j.samples) > 0 {
		j.stepStart = j.samples[len(j.samples)-1].sums
	}
}

// Add adds a sample with the total evidence since the order, and drops the samples
// that the recent window no longer needs.
func (j *Judge) Add(now time.Time, sums Sums) {
	j.samples = append(j.samples, sample{now, sums.clone()})
	for len(j.samples) > 2 && now.Sub(j.samples[1].at) > recentWindow {
		j.samples = j.samples[1:]
	}
}

// Attempts returns the total number of attempts at the new version.
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

// Fault returns why the new version is worse than the old one, or an empty string
// if it is not. It evaluates the whole move, the recent window and the last step:
// in each case the errors and latencies per route, and the errors over all routes.
func (j *Judge) Fault() string {
	if len(j.samples) == 0 {
		return ""
	}
	last := j.samples[len(j.samples)-1].sums
	if reason := findFault(last, "whole move"); reason != "" {
		return reason
	}
	recent := difference(last, j.samples[0].sums)
	if reason := findFault(recent, "last seconds"); reason != "" {
		return reason
	}
	// A step may be too short for enough attempts at the old version, so the old
	// version's counts are those of the recent window.
	sinceStep := Sums{OldSide: recent[OldSide], NewSide: difference(last, j.stepStart)[NewSide]}
	return findFault(sinceStep, "since the last step")
}

func difference(last, first Sums) Sums {
	d := make(Sums)
	for side, routes := range last {
		for route, counts := range routes {
			earlier := &Counts{}
			if first[side] != nil && first[side][route] != nil {
				earlier = first[side][route]
			}
			diff := counts.sub(earlier)
			d.at(side, route).add(&diff)
		}
	}
	return d
}

func findFault(s Sums, window string) string {
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
		if reason := compareCounts(old, c); reason != "" {
			return fmt.Sprintf("%s, route %s: %s", window, route, reason)
		}
	}
	if reason := compareErrors(&allOld, &allNew); reason != "" {
		return fmt.Sprintf("%s: %s", window, reason)
	}
	return ""
}

func compareCounts(oldCounts, newCounts *Counts) string {
	if reason := compareErrors(oldCounts, newCounts); reason != "" {
		return reason
	}
	return compareLatency(oldCounts, newCounts)
}

func compareErrors(oldCounts, newCounts *Counts) string {
	if newCounts.Failures < minFailures {
		return ""
	}
	if llr := logLikelihoodRatio(oldCounts.Failures, oldCounts.Attempts, newCounts.Failures, newCounts.Attempts); llr > minLogLikelihoodRatio {
		return fmt.Sprintf("%d of %d failed, %d of %d at the old version", newCounts.Failures, newCounts.Attempts, oldCounts.Failures, oldCounts.Attempts)
	}
	return ""
}

// compareLatency compares the numbers of slow responses as if they were failures.
// A response is slow if its latency is far above the upper quartile of the old
// version.
func compareLatency(oldCounts, newCounts *Counts) string {
	if newCounts.Attempts-newCounts.Failures < minAttempts || oldCounts.Attempts-oldCounts.Failures < minAttempts {
		return ""
	}
	slowLimit := oldCounts.quantileBucket(slowQuantile) + slowBucketDistance
	oldSlow, newSlow := oldCounts.countAbove(slowLimit), newCounts.countAbove(slowLimit)
	if newSlow < minFailures {
		return ""
	}
	if logLikelihoodRatio(oldSlow, oldCounts.Attempts, newSlow, newCounts.Attempts) > minLogLikelihoodRatio {
		return fmt.Sprintf("%d of %d slow, %d of %d at the old version", newSlow, newCounts.Attempts, oldSlow, oldCounts.Attempts)
	}
	return ""
}

// logLikelihoodRatio returns the log likelihood ratio of two separate failure rates
// against one common rate, or 0 unless the new rate exceeds the old one by
// minExcessRate.
func logLikelihoodRatio(oldFailed, oldAttempts, newFailed, newAttempts int) float64 {
	// The prior of one successful attempt and half a failed one prevents a small
	// sample from proving that the old version never fails.
	kOld, nOld := float64(oldFailed)+0.5, float64(oldAttempts)+1.5
	kNew, nNew := float64(newFailed), float64(newAttempts)
	if nNew == 0 || kNew/nNew < kOld/nOld+minExcessRate {
		return 0
	}
	common := (kOld + kNew) / (nOld + nNew)
	return logLikelihood(kOld, nOld, kOld/nOld) + logLikelihood(kNew, nNew, kNew/nNew) - logLikelihood(kOld, nOld, common) - logLikelihood(kNew, nNew, common)
}

func logLikelihood(failures, n, rate float64) float64 {
	sum := 0.0
	if failures > 0 {
		sum += failures * math.Log(rate)
	}
	if n > failures {
		sum += (n - failures) * math.Log(1-rate)
	}
	return sum
}
