package move

import (
	"math"
	"time"
)

const (
	// scheduleReserve is the fraction of the time that is not planned, as a reserve
	// for waiting.
	scheduleReserve = 0.3
	// minFirstShare is the smallest first share, for services with many targets.
	minFirstShare = 0.01
	// maxPartialShare limits the shares before the last step. Near 1 the old
	// version would get too few calls for a comparison.
	maxPartialShare = 0.6
	// minFirstRate is the rate of calls that the first share should get, in
	// calls/s. At a lower rate an obvious fault is not found within seconds, and
	// it affects just as many calls.
	minFirstRate = 4
	// singleTargetGrowth limits the growth of the load per target while a single
	// target handles the whole share, maxLoadGrowth after that.
	singleTargetGrowth = 2.6
	maxLoadGrowth      = 1.3
	minRaiseFactor     = 1.05
	fullShareThreshold = 0.85 // a limit by load is ignored at or above this share, to allow the last step
	// minIdempotentTraffic is the fraction of the attempts that idempotent routes
	// must get to be moved ahead of the non-idempotent ones.
	minIdempotentTraffic = 0.05
	// minTrafficGrowth is the growth of traffic above which a share is distributed
	// to more targets. The ratio of two rates of planMinAttempts attempts has a
	// standard deviation of 0.14.
	minTrafficGrowth = 1.6
	// overloadFactor is the load of new targets, relative to that of old ones,
	// above which their latency is no evidence about the version.
	overloadFactor = 1.6
	// maxSlotUse is the maximum fraction of the slots of the new targets that a
	// step is expected to use.
	maxSlotUse = 0.8
	// maxPlannedTime limits the expected duration of steps without traffic.
	maxPlannedTime = 24 * time.Hour
	// maxRateWait limits the wait for a reliable rate to plan with.
	maxRateWait = 2 * time.Minute
)

// shareSteps returns the shares of a move to n targets. The first ones load one
// target with a quarter, half and all of its final load. The later ones double
// the number of targets, so that each of them has about its final load.
func shareSteps(n int) []float64 {
	var shares []float64
	for share := 0.25 / float64(max(n, 1)); share < maxPartialShare; share *= 2 {
		if share >= minFirstShare {
			shares = append(shares, share)
		}
	}
	return append(shares, 1)
}

// stepTime is the expected duration of a step at a share.
func (j *Judge) stepTime(share, rate float64) time.Duration {
	if rate <= 0 {
		return maxPlannedTime
	}
	seconds := float64(j.plan.Caution.MinEvidence) / (share * rate)
	return max(j.plan.Caution.MinDwell, time.Duration(math.Min(seconds, maxPlannedTime.Seconds())*float64(time.Second)))
}

// remainingShares returns the shares of the steps still to come. The smallest
// ones are left out until the rest fits into the time until the set time. A move
// that has not begun keeps at least one partial share.
func (j *Judge) remainingShares(now time.Time, rate float64) []float64 {
	all := shareSteps(max(j.targets.New, j.targets.Old))
	for j.stage.Share == 0 && len(all) > 2 && all[0]*rate < minFirstRate && all[1]*float64(max(j.targets.New, j.targets.Old)) <= 1+1e-9 {
		all = all[1:]
	}
	for len(all) > 1 && all[0] <= j.stage.Share*1.01 {
		all = all[1:]
	}
	available := time.Duration((1 - scheduleReserve) * float64(j.plan.By.Sub(now)))
	minSteps := 1
	if j.stage.Share == 0 {
		minSteps = 2
	}
	for len(all) > minSteps && j.plannedTime(all, rate) > available {
		all = all[1:]
	}
	return all
}

// plannedTime is the expected total duration of the partial shares.
func (j *Judge) plannedTime(shares []float64, rate float64) time.Duration {
	var sum time.Duration
	for _, s := range shares {
		if s < 1 {
			sum = min(sum+j.stepTime(s, rate), maxPlannedTime)
		}
	}
	return sum
}

// dwell is the duration of the current step: the remaining time divided by the
// number of steps, so that a fault has time to appear while it affects few calls.
func (j *Judge) dwell(steps int) time.Duration {
	if j.stage.Share == 0 {
		return 0
	}
	left := time.Duration((1 - scheduleReserve) * float64(j.plan.By.Sub(j.stage.Since)) / float64(max(steps, 1)))
	c := &j.plan.Caution
	limit := c.MaxDwell
	if perSecond := j.stage.Share * j.meter.total(); perSecond > 0 { // at low traffic, use the time for evidence
		limit = max(limit, time.Duration(math.Min(float64(c.GoodEvidence)/perSecond, maxPlannedTime.Seconds())*float64(time.Second)))
	}
	return min(max(left, c.MinDwell), limit)
}

// newAttempts returns the attempts on the new version since the generation
// began.
func (j *Judge) newAttempts() uint64 {
	var n uint64
	for _, t := range j.totals {
		n += t.New.Attempts
	}
	return n
}

// stageAttempts returns the attempts on the new version in this stage.
func (j *Judge) stageAttempts() uint64 {
	n := j.newAttempts()
	if n < j.stage.Attempts {
		return 0
	}
	return n - j.stage.Attempts
}

// expectedEnd estimates when all traffic will be on the new version.
func (j *Judge) expectedEnd(now time.Time, shares []float64, rate float64) time.Time {
	if j.stage.Share >= 1 || j.stage.Probing {
		return j.stage.Full
	}
	wait := j.plannedTime(shares, rate)
	if j.stage.Share > 0 {
		current := j.plan.Caution.MinDwell - now.Sub(j.stage.Since)
		if missing := int64(j.plan.Caution.MinEvidence) - int64(j.stageAttempts()); missing > 0 {
			perSecond := j.stage.Share * rate
			if perSecond <= 0 {
				current = maxPlannedTime
			} else {
				current = max(current, time.Duration(math.Min(float64(missing)/perSecond, maxPlannedTime.Seconds())*float64(time.Second)))
			}
		}
		wait += max(current, 0)
	}
	return now.Add(min(wait, maxPlannedTime))
}

// targetsFor returns the number of targets that get a share: as many as keep each
// at about its final load, and more when the traffic has grown clearly since
// before the move.
func (j *Judge) targetsFor(share, rate float64) int {
	announced := j.targets.New
	all := float64(max(announced, j.targets.Old))
	if j.oldTargetRate > 0 && j.targets.Old > 0 {
		// Only a clear growth counts. A reaction to noise would take load off the
		// targets that have to prove that they can handle it.
		if growth := rate / (j.oldTargetRate * float64(j.targets.Old)); growth > minTrafficGrowth {
			all *= growth
		}
	}
	count := int(math.Ceil(share*all - 1e-9))
	return min(max(count, 1), max(announced, 1))
}
