package move

import (
	"math"
	"time"
)

const (
	// reserve is the part of the time that is left for waiting.
	reserve = 0.3
	// smallestShare is the first share of a service with many targets.
	smallestShare = 0.01
	// largestPartial is the largest share before the last step. Near 1 the old
	// version gets too few calls to compare with.
	largestPartial = 0.6
	// firstRate is the number of calls/s that the first share should bring. With
	// fewer a gross fault is not found within seconds, and the calls that meet
	// it are as many.
	firstRate = 4
	// exposedGrowth bounds the growth of load per target while a single target
	// bears the whole share, loadGrowth after that.
	exposedGrowth = 2.6
	loadGrowth    = 1.3
	smallestRaise = 1.05
	nearlyAll     = 0.85 // a bound from here on is taken for the last step
	// leadingTraffic is the part of the attempts that idempotent routes must
	// bring to be moved ahead of the others.
	leadingTraffic = 0.05
	// surge is the growth of traffic from which a share is spread. The ratio of
	// two rates of planAttempts attempts has a standard deviation of 0.14.
	surge = 1.6
	// overloadFactor is the load of new targets, relative to that of old ones,
	// from which their latency says nothing.
	overloadFactor = 1.6
	// capacityUse is the part of the slots of the new targets that a step may
	// expect to fill.
	capacityUse = 0.8
	// maxPlanned bounds the expected time of a step without traffic.
	maxPlanned = 24 * time.Hour
	// planningWait bounds the wait for a rate to plan by.
	planningWait = 2 * time.Minute
)

// ladder returns the shares of a move to n targets. The first ones load one
// target with a quarter, half and all of its later load; the later ones double
// the number of targets, so each works at about its final load.
func ladder(n int) []float64 {
	var shares []float64
	for s := 0.25 / float64(max(n, 1)); s < largestPartial; s *= 2 {
		if s >= smallestShare {
			shares = append(shares, s)
		}
	}
	return append(shares, 1)
}

// stepTime is the time that a step at a share is expected to take.
func (j *Judge) stepTime(share, rate float64) time.Duration {
	if rate <= 0 {
		return maxPlanned
	}
	seconds := float64(j.plan.Caution.MinEvidence) / (share * rate)
	return max(j.plan.Caution.MinDwell, time.Duration(math.Min(seconds, maxPlanned.Seconds())*float64(time.Second)))
}

// remaining returns the shares that are still to be taken, worked backwards
// from the set time: the smallest ones are left out until the rest fits. One
// share between none and all is always kept.
func (j *Judge) remaining(now time.Time, rate float64) []float64 {
	all := ladder(max(j.targets.New, j.targets.Old))
	for j.stage.Share == 0 && len(all) > 2 && all[0]*rate < firstRate && all[1]*float64(max(j.targets.New, j.targets.Old)) <= 1+1e-9 {
		all = all[1:]
	}
	for len(all) > 1 && all[0] <= j.stage.Share*1.01 {
		all = all[1:]
	}
	available := time.Duration((1 - reserve) * float64(j.plan.By.Sub(now)))
	keep := 1
	if j.stage.Share == 0 {
		keep = 2
	}
	for len(all) > keep && j.planned(all, rate) > available {
		all = all[1:]
	}
	return all
}

// planned is the expected time of the partial shares.
func (j *Judge) planned(shares []float64, rate float64) time.Duration {
	var sum time.Duration
	for _, s := range shares {
		if s < 1 {
			sum = min(sum+j.stepTime(s, rate), maxPlanned)
		}
	}
	return sum
}

// dwell is the time to stay at the current share: the time left, divided among
// the steps, so that a fault has time to show while few calls meet it.
func (j *Judge) dwell(steps int) time.Duration {
	if j.stage.Share == 0 {
		return 0
	}
	left := time.Duration((1 - reserve) * float64(j.plan.By.Sub(j.stage.Since)) / float64(max(steps, 1)))
	c := &j.plan.Caution
	limit := c.MaxDwell
	if perSecond := j.stage.Share * j.meter.total(); perSecond > 0 { // little traffic: use the time for evidence
		limit = max(limit, time.Duration(math.Min(float64(c.GoodEvidence)/perSecond, maxPlanned.Seconds())*float64(time.Second)))
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

// expectedEnd estimates when all traffic is on the new version.
func (j *Judge) expectedEnd(now time.Time, shares []float64, rate float64) time.Time {
	if j.stage.Share >= 1 || j.stage.Probing {
		return j.stage.Full
	}
	wait := j.planned(shares, rate)
	if j.stage.Share > 0 {
		current := j.plan.Caution.MinDwell - now.Sub(j.stage.Since)
		if missing := int64(j.plan.Caution.MinEvidence) - int64(j.stageAttempts()); missing > 0 {
			perSecond := j.stage.Share * rate
			if perSecond <= 0 {
				current = maxPlanned
			} else {
				current = max(current, time.Duration(math.Min(float64(missing)/perSecond, maxPlanned.Seconds())*float64(time.Second)))
			}
		}
		wait += max(current, 0)
	}
	return now.Add(min(wait, maxPlanned))
}

// targetsFor returns the number of targets to which a share is concentrated:
// as many as keep each at about its final load, and more when traffic has
// grown beyond what one target bore before the move.
func (j *Judge) targetsFor(share, rate float64) int {
	n := j.targets.New
	all := float64(max(n, j.targets.Old))
	if j.reference > 0 && j.targets.Old > 0 {
		// Only a clear growth counts: each spread on noise alone would take load
		// from the targets that are to prove that they bear it.
		if growth := rate / (j.reference * float64(j.targets.Old)); growth > surge {
			all *= growth
		}
	}
	m := int(math.Ceil(share*all - 1e-9))
	return min(max(m, 1), max(n, 1))
}
