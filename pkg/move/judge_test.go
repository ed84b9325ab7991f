package move

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

var testStart = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

func testPlan() Plan {
	return Plan{
		Identity: Identity{Service: "orders", Move: "m", Generation: 3, From: "v1", To: "v2"},
		By:       testStart.Add(time.Hour), Caution: SettingsForCaution(config.CautionNormal),
		Routes: map[string]bool{"look-up": true, "order": false}, Slots: 10,
	}
}

// TestFalseAlarmRateIsBounded guards against a false alarm rate above the limit:
// without a fault, the e-process may reach the limit in at most 1/limit of the runs,
// however often it is evaluated.
func TestFalseAlarmRateIsBounded(t *testing.T) {
	const runs, windows, limit = 2000, 300, 20.0
	crossed := 0
	for run := range runs {
		rng := rand.New(rand.NewPCG(uint64(run), 7))
		process := newEProcess(1)
		highest := 0.0
		for i := range windows {
			failure, share := 0.02, 0.1
			if i%50 > 40 {
				failure = 0.6 // a common cause affects both versions
			}
			var c comparison
			for range rng.IntN(80) {
				v := 0
				if rng.Float64() < share {
					v = 1
				}
				c.attempts[v]++
				if rng.Float64() < failure {
					c.events[v]++
				}
			}
			process.update(c.logLikelihoodRatios(share))
			highest = max(highest, process.value())
		}
		if highest >= limit {
			crossed++
		}
	}
	assert.Assert(t, float64(crossed) <= runs/limit, "%d of %d runs reached %v", crossed, runs, limit)
}

// judgeFixture passes the sums of one domain to a judge.
type judgeFixture struct {
	j    *Judge
	now  time.Time
	sums map[string]*Sum
}

func newJudgeFixture(stage Stage) *judgeFixture {
	f := &judgeFixture{now: testStart, sums: map[string]*Sum{}}
	f.j = NewJudge(testPlan(), stage, f.now)
	for route, idempotent := range testPlan().Routes {
		f.sums[route] = &Sum{Route: route, Domain: "a", Idempotent: idempotent}
	}
	return f
}

func (f *judgeFixture) observe() {
	f.now = f.now.Add(time.Second)
	f.j.Observe(f.now, []Sum{*f.sums["look-up"], *f.sums["order"]})
}

func addOutcomes(c *Counts, ok, failed uint64, latency time.Duration) {
	c.Attempts += ok + failed
	c.Failures += failed
	c.Latency[bucketOf(latency)] += ok
}

func movingStage(share float64) Stage {
	return Stage{State: pb.MoveState_MOVE_MOVING, Share: share, NonIdempotent: share, MaxNewTargets: 1, Since: testStart}
}

// TestJudgeFindsFaults guards against a fault that the judge does not detect, and
// against common causes that it attributes to the new version.
func TestJudgeFindsFaults(t *testing.T) {
	type mix struct {
		oldOK, oldFailed, newOK, newFailed uint64
		oldLatency, newLatency             time.Duration
	}
	const fast, slow = 8 * time.Millisecond, 20 * time.Millisecond
	cases := []struct {
		name  string
		route string
		mix   mix
		want  bool
	}{
		{"equal", "order", mix{90, 0, 10, 0, fast, fast}, false},
		{"errors of the new version", "look-up", mix{90, 0, 7, 3, fast, fast}, true},
		{"errors on one route only", "order", mix{90, 0, 7, 3, fast, fast}, true},
		{"dependency fails for both", "look-up", mix{45, 45, 5, 5, fast, fast}, false},
		{"old version is worse", "look-up", mix{70, 20, 10, 0, fast, fast}, false},
		{"new version is slow", "look-up", mix{90, 0, 10, 0, fast, slow}, true},
		{"both versions are slow", "look-up", mix{90, 0, 10, 0, slow, slow}, false},
		{"new version is faster", "look-up", mix{90, 0, 10, 0, slow, fast}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newJudgeFixture(movingStage(0.1))
			for range 5 { // the latency distribution of the old version
				for _, s := range f.sums {
					addOutcomes(&s.Old, 90, 0, fast)
					addOutcomes(&s.New, 10, 0, fast)
				}
				f.observe()
			}
			action := ActionWait
			for i := 0; i < 30 && action != ActionTakeBack; i++ {
				s := f.sums[c.route]
				addOutcomes(&s.Old, c.mix.oldOK, c.mix.oldFailed, c.mix.oldLatency)
				addOutcomes(&s.New, c.mix.newOK, c.mix.newFailed, c.mix.newLatency)
				f.observe()
				action = f.j.Decide(f.now, Targets{Old: 10, New: 10}).Action
			}
			assert.Equal(t, action == ActionTakeBack, c.want, "e-value %v: %s", f.j.EValue(), f.j.explain())
		})
	}
}

// TestJudgeIgnoresLostAndReorderedSums guards against evidence from repeated sums,
// and from sums that decrease, for example after the loss of a distributor.
func TestJudgeIgnoresLostAndReorderedSums(t *testing.T) {
	f := newJudgeFixture(movingStage(0.1))
	s := f.sums["look-up"]
	addOutcomes(&s.Old, 900, 0, time.Millisecond)
	addOutcomes(&s.New, 50, 50, time.Millisecond)
	f.observe() // counted before the judge was created
	e := f.j.EValue()
	f.observe() // repeated
	saved := *s
	*s = Sum{Route: "look-up", Domain: "a", Idempotent: true}
	f.observe() // lost
	*s = saved
	f.observe() // restored
	assert.Equal(t, f.j.EValue(), e)
}

// TestNoStepWithoutEvidence guards against a share that is raised only because
// time has passed, and against a delayed move that is not reported as late.
func TestNoStepWithoutEvidence(t *testing.T) {
	f := newJudgeFixture(movingStage(0.1))
	for f.now.Before(testStart.Add(2 * time.Hour)) {
		f.now = f.now.Add(30 * time.Second)
		addOutcomes(&f.sums["look-up"].Old, 2, 0, time.Millisecond)
		f.observe()
		d := f.j.Decide(f.now, Targets{Old: 10, New: 10})
		assert.Equal(t, d.Action, ActionWait, d.Reason)
		if f.now.After(testStart.Add(10 * time.Minute)) {
			assert.Assert(t, d.Late, "not late at %v, expected end %v", f.now, d.ExpectedEnd)
		}
	}
}

// TestStepsStayNearProvenLoad guards against a step that gives the new targets a
// load far above the one they have handled, or more than their slots allow.
func TestStepsStayNearProvenLoad(t *testing.T) {
	const rate = 100
	stage := Stage{State: pb.MoveState_MOVE_WAITING, Since: testStart}
	f := newJudgeFixture(stage)
	lookUps, orders := 0.0, 0.0
	proven := rate / 10.0 / 4 * singleTargetGrowth
	steps := 0
	for stage.Share < 1 && f.now.Before(testStart.Add(time.Hour)) {
		lookUps += rate * 0.7 * stage.Share
		orders += rate * 0.3 * stage.NonIdempotent
		n, m := uint64(lookUps), uint64(orders)
		lookUps, orders = lookUps-float64(n), orders-float64(m)
		addOutcomes(&f.sums["look-up"].New, n, 0, time.Millisecond)
		addOutcomes(&f.sums["look-up"].Old, rate*7/10-n, 0, time.Millisecond)
		addOutcomes(&f.sums["order"].New, m, 0, time.Millisecond)
		addOutcomes(&f.sums["order"].Old, rate*3/10-m, 0, time.Millisecond)
		f.observe()
		d := f.j.Decide(f.now, Targets{Old: 10, New: 10})
		if d.Action != ActionStep {
			continue
		}
		steps++
		targets := d.Next.MaxNewTargets
		if targets == 0 {
			targets = 10
		}
		load := d.Next.Share * rate / float64(targets)
		assert.Assert(t, load <= proven*1.01, "step to share %v has a load of %v per target, proven %v", d.Next.Share, load, proven)
		assert.Assert(t, d.Next.NonIdempotent < d.Next.Share || d.Next.Share == 1, "the share of non-idempotent routes must be smaller before the last step")
		proven = max(proven, load*singleTargetGrowth)
		stage = d.Next
		f.j.SetStage(f.now, stage)
	}
	assert.Equal(t, stage.Share, 1.0)
	assert.Assert(t, steps >= 4, "%d steps", steps)
	assert.Assert(t, f.now.Before(testPlan().By))
}
