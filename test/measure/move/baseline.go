package move

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/move"
)

// baselinePolicy is a policy that the controller is compared with.
type baselinePolicy interface {
	// share of calls that go to the new version.
	share(lookup bool) float64
	observe(isNew bool, outcome move.Outcome)
	tick(w *world) move.Report
}

func newBaseline(w *world) baselinePolicy {
	if w.s.Policy == PolicyThreshold {
		return &thresholdPolicy{since: w.start}
	}
	return &schedulePolicy{}
}

// schedulePolicy raises the share linearly to reach all at 90% of the time. It
// never takes a version back.
type schedulePolicy struct{ current float64 }

func (p *schedulePolicy) share(bool) float64         { return p.current }
func (p *schedulePolicy) observe(bool, move.Outcome) {}
func (p *schedulePolicy) tick(w *world) move.Report {
	planned := time.Duration(0.9 * float64(w.s.Traffic.Duration))
	elapsed := w.now.Sub(w.start)
	p.current = min(1, float64(elapsed)/float64(planned))
	report := move.Report{State: move.StateMoving, By: w.start.Add(w.s.Traffic.Duration), ExpectedEnd: w.start.Add(planned)}
	if elapsed >= w.s.Traffic.Duration {
		report.State = move.StateDone
	}
	return report
}

// Figures of the threshold baseline: five equal steps; the new version is taken
// back when more than thresholdRate of its attempts in a step failed, of at
// least thresholdAttempts.
const (
	thresholdRate     = 0.05
	thresholdAttempts = 20
)

var thresholdShares = []float64{0, 0.05, 0.1, 0.25, 0.5, 1}

// thresholdPolicy takes fixed steps and compares the error rate of the new
// version with a fixed limit.
type thresholdPolicy struct {
	stage            int
	since            time.Time
	attempts, failed int
	takenBack        bool
	full             time.Time
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

func (p *thresholdPolicy) tick(w *world) move.Report {
	report := move.Report{State: move.StateMoving, By: w.start.Add(w.s.Traffic.Duration), ExpectedEnd: p.full}
	if p.attempts >= thresholdAttempts && float64(p.failed) > thresholdRate*float64(p.attempts) {
		p.takenBack = true
	}
	if p.takenBack {
		report.State = move.StateTakenBack
		return report
	}
	last := len(thresholdShares) - 1
	planned := time.Duration(0.9 * float64(w.s.Traffic.Duration) / float64(last))
	if w.now.Sub(p.since) < planned {
		return report
	}
	if p.stage == last {
		report.State = move.StateDone
		return report
	}
	p.stage, p.since, p.attempts, p.failed = p.stage+1, w.now, 0, 0
	if p.stage == last {
		p.full = w.now
	}
	return report
}
