package move

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Verdict is what a decision asks for.
type Verdict int

// Verdicts.
const (
	VerdictWait     Verdict = iota // nothing changes
	VerdictStep                    // raise to the next stage, once recorded
	VerdictSpread                  // same shares on more targets, at once
	VerdictLower                   // lower to the next stage, at once
	VerdictTakeBack                // final
	VerdictFinish                  // the hold time is over
)

// Decision is the answer of the judge.
type Decision struct {
	Verdict     Verdict
	Next        Stage
	Reason      string
	Late        bool
	ExpectedEnd time.Time
}

// Decide returns what comes next. Sums must have been observed before.
func (j *Judge) Decide(now time.Time, targets Targets) Decision {
	j.noteTargets(now, targets)
	d := j.decide(now)
	if d.Verdict == VerdictSpread {
		return d
	}
	d.Next.Since = now
	d.Next.Attempts = j.newAttempts()
	if d.Next.Full.IsZero() {
		d.Next.Full = j.stage.Full
	}
	return d
}

// targetMemory is how long a target that is not counted any more is still
// expected back: counts flap when health misleads.
const targetMemory = time.Minute

// noteTargets keeps the targets, and their load before and during the move.
func (j *Judge) noteTargets(now time.Time, targets Targets) {
	j.targets.Old = targets.Old
	if targets.New >= j.targets.New || now.Sub(j.counted) > targetMemory {
		j.targets.New, j.counted = targets.New, now
	}
	if j.targets.New == 0 {
		j.newSince = time.Time{}
	} else if j.newSince.IsZero() {
		j.newSince = now
	}
	rate := j.meter.total()
	if j.targets.Old > 0 && (j.stage.Share == 0 || j.reference == 0) {
		j.reference = rate / float64(j.targets.Old)
	}
	if j.stage.Share > 0 && j.stage.MaxNewTargets > 0 && now.Sub(j.stage.Since) >= planShortest {
		j.worked = max(j.worked, j.stage.Share*rate/float64(j.stage.MaxNewTargets))
	}
}

func (j *Judge) decide(now time.Time) Decision {
	rate := j.meter.total()
	shares := j.remaining(now, rate)
	d := Decision{ExpectedEnd: j.expectedEnd(now, shares, rate)}
	if e := j.EValue(); e >= 1/j.plan.Caution.FalseAlarmRate {
		d.Verdict, d.Reason = VerdictTakeBack, j.explain()
		d.Next = Stage{State: pb.MoveState_MOVE_TAKEN_BACK}
		return d
	}
	if j.stage.Share >= 1 || j.stage.Probing {
		return j.decideHold(now, rate, d)
	}
	d.Late = d.ExpectedEnd.After(j.plan.By) && (j.stage.Share > 0 || j.meter.settled(now, planningWait))
	if m := j.targetsFor(j.stage.Share, rate); j.stage.Share > 0 && m > j.stage.MaxNewTargets {
		d.Verdict, d.Next = VerdictSpread, j.stage
		d.Next.MaxNewTargets = m
		d.Reason = fmt.Sprintf("%.3g calls/s: the share goes to %d targets of the new version", rate, m)
		return d
	}
	next := j.boundByLoad(shares[0], rate)
	if reason := j.obstacle(now, next, rate, len(shares)); reason != "" {
		d.Reason = reason
		return d
	}
	d.Verdict = VerdictStep
	d.Next = j.stageAt(now, next, rate)
	d.Reason = fmt.Sprintf("%d attempts on the new version in this step, e-value %.2g", j.stageAttempts(), j.EValue())
	return d
}

// stageAt returns the stage for a share. Routes that are not idempotent follow
// one step behind; they go along when there are no others.
func (j *Judge) stageAt(now time.Time, share, rate float64) Stage {
	if share > 1-1e-6 {
		share = 1
	}
	next := Stage{State: pb.MoveState_MOVE_MOVING, Share: share, NonIdempotent: j.stage.Share, MaxNewTargets: j.targetsFor(share, rate)}
	switch {
	case share < 1 && j.hasIdempotent():
	case j.stage.Share > 0 && j.stage.NonIdempotent == 0 && j.hasOther():
		// With one partial share only, the other routes get it in a step of their own.
		next.Share, next.NonIdempotent = j.stage.Share, j.stage.Share
		next.MaxNewTargets = j.stage.MaxNewTargets
		return next
	default:
		next.NonIdempotent = share
	}
	if share >= 1 {
		next.State, next.MaxNewTargets, next.Full = pb.MoveState_MOVE_HOLDING, 0, now
	}
	return next
}

// hasIdempotent reports whether idempotent routes bring enough attempts to go
// first. A route without traffic would bring no evidence, and the move would
// wait for it beyond its set time.
func (j *Judge) hasIdempotent() bool {
	var idempotent, all uint64
	for name, t := range j.totals {
		n := t.Old.Attempts + t.New.Attempts
		all += n
		if j.plan.Routes[name] {
			idempotent += n
		}
	}
	return float64(idempotent) >= leadingTraffic*float64(all) && idempotent > 0
}

// hasOther reports whether there are routes that are not idempotent.
func (j *Judge) hasOther() bool {
	return slices.Contains(slices.Collect(maps.Values(j.plan.Routes)), false)
}

// obstacle says what stands against the next step, nothing if it is allowed.
func (j *Judge) obstacle(now time.Time, next, rate float64, steps int) string {
	c := &j.plan.Caution
	switch {
	case j.targets.New == 0:
		return "no target of the new version is announced"
	case now.Sub(j.newSince) < j.plan.ColdStart:
		return "the first targets of the new version are in their cold start"
	case j.stage.Share == 0 && !j.meter.settled(now, min(planningWait, max(0, j.plan.By.Sub(j.began)/20))):
		return "the traffic of the old version is being measured"
	case j.suspicious():
		return "the new version is under suspicion: " + j.explain()
	case j.stage.Share > 0 && j.stageAttempts() < c.MinEvidence:
		return fmt.Sprintf("%d of %d attempts that the step needs", j.stageAttempts(), c.MinEvidence)
	case now.Sub(j.stage.Since) < j.dwell(steps):
		return fmt.Sprintf("the step lasts until %s", j.stage.Since.Add(j.dwell(steps)).UTC().Format(time.TimeOnly))
	}
	if reason := j.routeObstacle(next); reason != "" && (j.stage.NonIdempotent > 0 || !j.hasOther()) {
		return reason
	}
	return j.loadObstacle(next, rate)
}

// materialRate is the difference of failure rates below which a step is not
// delayed: with thousands of attempts a few failures are already suspicious.
const materialRate = 0.01

// suspicious reports whether the evidence against the new version is too strong
// for a further step.
func (j *Judge) suspicious() bool {
	e, s, route := j.test.value()
	if e < j.plan.Caution.Suspicion {
		return false
	}
	if s == signalMedian || s == signalTail || e*j.plan.Caution.FalseAlarmRate > 0.25 {
		return true // latencies have a tolerance of their own
	}
	var o, n Counts
	for name, t := range j.totals {
		if route == "" || name == route {
			o.add(&t.Old)
			n.add(&t.New)
		}
	}
	return n.failureRate()-o.failureRate() >= materialRate
}

// routeObstacle requires evidence of each main route before the last step.
func (j *Judge) routeObstacle(next float64) string {
	if next < 1 {
		return ""
	}
	var all uint64
	for _, t := range j.totals {
		all += t.Old.Attempts + t.New.Attempts
	}
	for name, t := range j.totals {
		if _, ok := j.plan.Routes[name]; !ok || (t.Old.Attempts+t.New.Attempts)*10 < all {
			continue
		}
		if need := j.plan.Caution.MinEvidence / 4; t.New.Attempts < need {
			return fmt.Sprintf("route %q has %d of %d attempts on the new version that the last step needs", name, t.New.Attempts, need)
		}
	}
	return ""
}

// boundByLoad limits the next share so that the load per target stays near one
// that the new version has worked at, or that the old version bore on a target
// before the move.
func (j *Judge) boundByLoad(next, rate float64) float64 {
	if j.stage.Share == 0 || rate <= 0 {
		return next
	}
	growth := loadGrowth
	if j.stage.Share*float64(max(j.targets.New, j.targets.Old)) <= 1+1e-9 {
		growth = exposedGrowth
	}
	allowed := growth * max(j.worked, j.stage.Share*rate/float64(max(j.stage.MaxNewTargets, 1)))
	bound := allowed * float64(j.targetsFor(next, rate)) / rate
	if bound >= nearlyAll {
		return next
	}
	return min(next, bound)
}

// loadObstacle keeps the next step within the slots of the announced targets.
func (j *Judge) loadObstacle(next, rate float64) string {
	if next < j.stage.Share*smallestRaise {
		return fmt.Sprintf("the next step needs more targets of the new version; %.3g calls/s on each have worked", j.worked)
	}
	busy := next * rate * j.meanServiceTime().Seconds()
	if capacity := capacityUse * float64(j.plan.Slots*j.targets.New); j.plan.Slots > 0 && busy > capacity {
		return fmt.Sprintf("the next step fills %.3g slots, %d targets of the new version offer %.3g", busy, j.targets.New, capacity)
	}
	return ""
}

// meanServiceTime is the old version's mean over all routes.
func (j *Judge) meanServiceTime() time.Duration {
	var sum float64
	var n uint64
	for _, b := range j.baselines {
		for i, c := range b.old {
			sum += float64(c) * float64(bucketEnd(i))
			n += c
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / float64(n))
}
