package move

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/move"
)

// baselinePolicy is a policy that the controller is compared with.
type baselinePolicy interface {
	// share returns the share of calls that go to the new version.
	share(lookup bool) float64
	observe(isNew bool, outcome move.Outcome)
	tick(sim *simulation) move.Report
}

func newBaseline(sim *simulation) baselinePolicy {
	if sim.scenario.Policy == PolicyThreshold {
		return &thresholdPolicy{stepStart: sim.start}
	}
	return &schedulePolicy{}
}

// schedulePolicy raises the share linearly. It reaches all calls at 90% of the
// duration.
// It never takes a version back.
type schedulePolicy struct{ current float64 }

func (p *schedulePolicy) share(bool) float64         { return p.current }
func (p *schedulePolicy) observe(bool, move.Outcome) {}
func (p *schedulePolicy) tick(sim *simulation) move.Report {
	planned := time.Duration(0.9 * float64(sim.scenario.Traffic.Duration))
	elapsed := sim.now.Sub(sim.start)
	p.current = min(1, float64(elapsed)/float64(planned))
	report := move.Report{State: move.StateMoving, By: sim.start.Add(sim.scenario.Traffic.Duration), ExpectedEnd: sim.start.Add(planned)}
	if elapsed >= sim.scenario.Traffic.Duration {
		report.State = move.StateDone
	}
	return report
}

// Parameters of the threshold baseline. It has a step for each of thresholdShares,
// of equal length, and reaches the last one at 90% of the move's duration. The new
// version is taken back when it got at least thresholdAttempts attempts in a step
// and more than thresholdRate of them failed.
const (
	thresholdRate     = 0.05
	thresholdAttempts = 20
)

var thresholdShares = []float64{0, 0.05, 0.1, 0.25, 0.5, 1}

// thresholdPolicy raises the share in fixed steps and compares the error rate of
// the new version with a fixed limit.
type thresholdPolicy struct {
	stage            int
	stepStart        time.Time
	attempts, failed int
	takenBack        bool
	fullShareAt      time.Time
}

func (p *thresholdPolicy) share(bool) float64 {
	if p.takenBack {
		return 0
	}
	return thresholdShares[p.stage]
}

func (p *thresholdPolicy) observe(isNew bool, outcome move.Outcome) {
	if !isNew || outcome == move.OutcomeExcluded {
		return
	}
	p.attempts++
	if outcome != move.OutcomeOK {
		p.failed++
	}
}

func (p *thresholdPolicy) tick(sim *simulation) move.Report {
	report := move.Report{State: move.StateMoving, By: sim.start.Add(sim.scenario.Traffic.Duration), ExpectedEnd: p.fullShareAt}
	if p.attempts >= thresholdAttempts && float64(p.failed) > thresholdRate*float64(p.attempts) {
		p.takenBack = true
	}
	if p.takenBack {
		report.State = move.StateTakenBack
		return report
	}
	last := len(thresholdShares) - 1
	planned := time.Duration(0.9 * float64(sim.scenario.Traffic.Duration) / float64(last))
	if sim.now.Sub(p.stepStart) < planned {
		return report
	}
	if p.stage == last {
		report.State = move.StateDone
		return report
	}
	p.stage, p.stepStart, p.attempts, p.failed = p.stage+1, sim.now, 0, 0
	if p.stage == last {
		p.fullShareAt = sim.now
	}
	return report
}
