package move

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Action is what the caller of Decide has to do.
type Action int

// Actions.
const (
	ActionWait     Action = iota // keep the stage
	ActionStep                   // enter the next stage once it is recorded
	ActionSpread                 // distribute the same shares to more targets immediately
	ActionLower                  // lower the share to the next stage immediately
	ActionTakeBack               // end the move on the old version; final
	ActionFinish                 // end the move on the new version
)

// Decision is the result of Judge.Decide.
type Decision struct {
	Action      Action
	Next        Stage
	Reason      string
	Late        bool
	ExpectedEnd time.Time
}

// Decide decides on the next stage from the sums passed to Observe.
func (j *Judge) Decide(now time.Time, targets Targets) Decision {
	j.updateTargets(now, targets)
	d := j.decide(now)
	if d.Action == ActionSpread {
		return d
	}
	d.Next.Since = now
	d.Next.Attempts = j.newAttempts()
	if d.Next.Full.IsZero() {
		d.Next.Full = j.stage.Full
	}
	return d
}

// targetCountRetention is how long the number of new targets does not decrease.
// Missing targets may return, because counts flap when health checks are wrong.
const targetCountRetention = time.Minute

// updateTargets sets the number of targets, and updates their load before and
// during the move.
func (j *Judge) updateTargets(now time.Time, targets Targets) {
	j.targets.Old = targets.Old
	if targets.New >= j.targets.New || now.Sub(j.newTargetsConfirmed) > targetCountRetention {
		j.targets.New, j.newTargetsConfirmed = targets.New, now
	}
	if j.targets.New == 0 {
		j.newTargetsSince = time.Time{}
	} else if j.newTargetsSince.IsZero() {
		j.newTargetsSince = now
	}
	rate := j.meter.total()
	if j.targets.Old > 0 && (j.stage.Share == 0 || j.oldTargetRate == 0) {
		j.oldTargetRate = rate / float64(j.targets.Old)
	}
	if j.stage.Share > 0 && j.stage.MaxNewTargets > 0 && now.Sub(j.stage.Since) >= planMinPeriod {
		j.provenLoad = max(j.provenLoad, j.stage.Share*rate/float64(j.stage.MaxNewTargets))
	}
}

func (j *Judge) decide(now time.Time) Decision {
	rate := j.meter.total()
	shares := j.remainingShares(now, rate)
	d := Decision{ExpectedEnd: j.expectedEnd(now, shares, rate)}
	if e := j.EValue(); e >= 1/j.plan.Caution.FalseAlarmRate {
		d.Action, d.Reason = ActionTakeBack, j.explain()
		d.Next = Stage{State: pb.MoveState_MOVE_TAKEN_BACK}
		return d
	}
	if j.stage.Share >= 1 || j.stage.Probing {
		return j.decideHold(now, rate, d)
	}
	d.Late = d.ExpectedEnd.After(j.plan.By) && (j.stage.Share > 0 || j.meter.isReliable(now, maxRateWait))
	if count := j.targetsFor(j.stage.Share, rate); j.stage.Share > 0 && count > j.stage.MaxNewTargets {
		d.Action, d.Next = ActionSpread, j.stage
		d.Next.MaxNewTargets = count
		d.Reason = fmt.Sprintf("%.3g calls/s: the share goes to %d targets of the new version", rate, count)
		return d
	}
	next := j.limitByLoad(shares[0], rate)
	if reason := j.stepBlocker(now, next, rate, len(shares)); reason != "" {
		d.Reason = reason
		return d
	}
	d.Action = ActionStep
	d.Next = j.nextStage(now, next, rate)
	d.Reason = fmt.Sprintf("%d attempts on the new version in this step, e-value %.2g", j.stageAttempts(), j.EValue())
	return d
}

// nextStage returns the stage for a share. Non-idempotent routes follow one step
// behind the idempotent ones, or without delay if the idempotent routes have too
// little traffic.
func (j *Judge) nextStage(now time.Time, share, rate float64) Stage {
	if share > 1-1e-6 {
		share = 1
	}
	next := Stage{State: pb.MoveState_MOVE_MOVING, Share: share, NonIdempotent: j.stage.Share, MaxNewTargets: j.targetsFor(share, rate)}
	switch {
	case share < 1 && j.hasIdempotentTraffic():
	case j.stage.Share > 0 && j.stage.NonIdempotent == 0 && j.hasNonIdempotentRoutes():
		// After a single partial share, the non-idempotent routes get it in a
		// separate step before the last one.
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

// hasIdempotentTraffic reports whether idempotent routes get enough attempts to
// be moved first. Otherwise the move would wait for their evidence beyond its
// set time.
func (j *Judge) hasIdempotentTraffic() bool {
	var idempotent, all uint64
	for name, t := range j.totals {
		n := t.Old.Attempts + t.New.Attempts
		all += n
		if j.plan.Routes[name] {
			idempotent += n
		}
	}
	return float64(idempotent) >= minIdempotentTraffic*float64(all) && idempotent > 0
}

// hasNonIdempotentRoutes reports whether the service has non-idempotent routes.
func (j *Judge) hasNonIdempotentRoutes() bool {
	return slices.Contains(slices.Collect(maps.Values(j.plan.Routes)), false)
}

// stepBlocker returns the reason that prevents the next step, or an empty string.
func (j *Judge) stepBlocker(now time.Time, next, rate float64, steps int) string {
	c := &j.plan.Caution
	switch {
	case j.targets.New == 0:
		return "no target of the new version is announced"
	case now.Sub(j.newTargetsSince) < j.plan.ColdStart:
		return "the first targets of the new version are in their cold start"
	case j.stage.Share == 0 && !j.meter.isReliable(now, min(maxRateWait, max(0, j.plan.By.Sub(j.startedAt)/20))):
		return "the traffic of the old version is being measured"
	case j.suspicious():
		return "the new version is under suspicion: " + j.explain()
	case j.stage.Share > 0 && j.stageAttempts() < c.MinEvidence:
		return fmt.Sprintf("%d of %d attempts that the step needs", j.stageAttempts(), c.MinEvidence)
	case now.Sub(j.stage.Since) < j.dwell(steps):
		return fmt.Sprintf("the step lasts until %s", j.stage.Since.Add(j.dwell(steps)).UTC().Format(time.TimeOnly))
	}
	if reason := j.routeBlocker(next); reason != "" && (j.stage.NonIdempotent > 0 || !j.hasNonIdempotentRoutes()) {
		return reason
	}
	return j.loadBlocker(next, rate)
}

// minFailureRateDifference is the difference of failure rates below which a step
// is not delayed: with thousands of attempts even a few failures raise the
// e-value above the suspicion level.
const minFailureRateDifference = 0.01

// suspicious reports whether the evidence against the new version is too strong
// for a further step.
func (j *Judge) suspicious() bool {
	e, s, route := j.evidence.value()
	if e < j.plan.Caution.Suspicion {
		return false
	}
	if s == signalMedian || s == signalTail || e*j.plan.Caution.FalseAlarmRate > 0.25 {
		return true // the latency signals already include a tolerance
	}
	var oldCounts, newCounts Counts
	for name, t := range j.totals {
		if route == "" || name == route {
			oldCounts.add(&t.Old)
			newCounts.add(&t.New)
		}
	}
	return newCounts.failureRate()-oldCounts.failureRate() >= minFailureRateDifference
}

// routeBlocker requires evidence of each route with at least a tenth of the
// attempts before the last step.
func (j *Judge) routeBlocker(next float64) string {
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

// limitByLoad limits the next share so that the load per target stays near the
// largest one that the new version has handled.
func (j *Judge) limitByLoad(next, rate float64) float64 {
	if j.stage.Share == 0 || rate <= 0 {
		return next
	}
	growth := maxLoadGrowth
	if j.stage.Share*float64(max(j.targets.New, j.targets.Old)) <= 1+1e-9 {
		growth = singleTargetGrowth
	}
	allowed := growth * max(j.provenLoad, j.stage.Share*rate/float64(max(j.stage.MaxNewTargets, 1)))
	bound := allowed * float64(j.targetsFor(next, rate)) / rate
	if bound >= fullShareThreshold {
		return next
	}
	return min(next, bound)
}

// loadBlocker returns the reason why the announced targets cannot handle the load
// of the next step, or an empty string.
func (j *Judge) loadBlocker(next, rate float64) string {
	if next < j.stage.Share*minRaiseFactor {
		return fmt.Sprintf("the next step needs more targets of the new version; %.3g calls/s on each have worked", j.provenLoad)
	}
	busy := next * rate * j.meanServiceTime().Seconds()
	if capacity := maxSlotUse * float64(j.plan.Slots*j.targets.New); j.plan.Slots > 0 && busy > capacity {
		return fmt.Sprintf("the next step fills %.3g slots, %d targets of the new version offer %.3g", busy, j.targets.New, capacity)
	}
	return ""
}

// meanServiceTime is the mean latency of the old version over all routes.
func (j *Judge) meanServiceTime() time.Duration {
	var sum float64
	var n uint64
	for _, b := range j.baselines {
		for i, c := range b.responses {
			sum += float64(c) * float64(bucketEnd(i))
			n += c
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / float64(n))
}
