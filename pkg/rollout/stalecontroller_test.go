package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/fleet/fleettest"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// suspension is the time for which the controller of these tests does not run. Its peers
// count as silent after less.
const suspension = 4 * time.Second

// closingPlan is the plan of a move whose old targets get no new requests.
func closingPlan() *Plan {
	return &Plan{Order: "7/v2", OrderRevision: 7, Service: testService, Target: "v2", State: Active, Share: 1, Closing: true}
}

// staleMove is the move of a controller in a fleet with one more daemon, at the time at
// which the old targets get no new requests.
type staleMove struct {
	*simulation
	move  *move
	clock *clock.Manual
	peer  *fleet.Table
}

func newStaleMove(t *testing.T) *staleMove {
	c := &clock.Manual{}
	s := &staleMove{simulation: newSimulation(t, 7501), clock: c, peer: fleet.NewTable("vm-2", 1, fleet.State{}, c)}
	t.Cleanup(s.tasks.Release)
	s.table, s.collector = fleet.NewTable("vm", 1, fleet.State{}, c), NewCollector(c)
	s.hearPeer()
	controller := s.controller()
	controller.Clock = c
	s.records.plan, s.records.revision = closingPlan(), 9
	s.move = &move{
		controller: controller, order: Order{Service: testService, Target: "v2", Duration: orderDuration, Revision: 7, Created: 7},
		plan: closingPlan(), revision: 9,
	}
	s.move.publish(Rank(9))
	return s
}

// hearPeer delivers a heartbeat of the other daemon.
func (s *staleMove) hearPeer() {
	s.t.Helper()
	s.peer.AdvanceHeartbeat()
	fleettest.Hear(s.t, s.table, s.peer)
}

// report delivers the reports of both daemons, the other one with the given number of
// requests in flight at an old target.
func (s *staleMove) report(oldInFlight int) {
	for daemon, inFlight := range map[string]int{"vm": 0, "vm-2": oldInFlight} {
		s.collector.Receive(daemon, &Report{Moves: map[string]*MoveReport{
			testService: {Order: "7/v2", Rank: Rank(9), OldInFlight: inFlight, Sums: make(Sums)},
		}})
	}
}

// evaluate lets the controller evaluate the move for a time in which it hears the other
// daemon.
func (s *staleMove) evaluate(d time.Duration, oldInFlight int) {
	const round = 500 * time.Millisecond
	for ; d > 0 && s.move.plan.State == Active; d -= round {
		s.clock.Advance(round)
		s.table.AdvanceHeartbeat()
		s.hearPeer()
		s.report(oldInFlight)
		s.move.decide(s.t.Context())
	}
}

// rollBackAsSuccessor records and reports a rollback, as another controller does. The
// returned function delivers its plan to the suspended one.
func (s *staleMove) rollBackAsSuccessor() (deliver func()) {
	s.t.Helper()
	plan := closingPlan()
	plan.State, plan.Share, plan.Closing, plan.Reason = RolledBack, 0, false, "170 of 775 failed"
	revision, err := s.records.SavePlan(s.t.Context(), plan, s.records.revision)
	assert.NilError(s.t, err)
	assert.NilError(s.t, s.records.ReportState(s.t.Context(), &s.move.order, RolledBack))
	return func() { s.move.controller.SetFact(PlanKey(testService), Rank(revision), Encode(plan)) }
}

// TestSuspendedController guards against a controller that returns from a suspension and
// writes a move down as completed that its successor has rolled back: after the next start
// of the daemons the version in use was refused for good.
func TestSuspendedController(t *testing.T) {
	for name, heardFirst := range map[string]bool{"evaluates first": false, "hears of the rollback first": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStaleMove(t)
				s.evaluate(5*time.Second, 1)
				assert.Equal(t, s.records.plan.State, Active, "completed while a request was in flight at an old target")
				s.clock.Advance(suspension)
				deliver := s.rollBackAsSuccessor()
				if heardFirst {
					deliver()
				}
				s.move.decide(t.Context())
				if !heardFirst {
					deliver()
				}
				s.evaluate(5*time.Second, 0)
				assert.Equal(t, s.records.plan.State, RolledBack, "the record of the successor was overwritten")
				assert.Equal(t, s.records.state(), RolledBack)
				assert.Equal(t, s.move.plan.State, RolledBack)
				restarted := NewFollower(zap.NewNop())
				restarted.Refresh([]fleet.Fact{{Key: PlanKey(testService), Rank: Rank(s.records.revision), Payload: Encode(s.records.plan)}})
				assert.Assert(t, restarted.Allowed(testService, "v1") && !restarted.Allowed(testService, "v2"))
			})
		})
	}
}

// TestUnheardDaemon guards against a move that is completed after a suspension of its
// controller while a daemon that was not heard meanwhile still uses an old target.
func TestUnheardDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleMove(t)
		s.evaluate(5*time.Second, 1)
		s.clock.Advance(suspension)
		s.move.decide(t.Context())
		assert.Equal(t, s.records.plan.State, Active, "completed by a controller that had heard nobody since its return")
		assert.Equal(t, s.records.state(), State(""))
		s.evaluate(5*time.Second, 1)
		assert.Equal(t, s.records.plan.State, Active, "completed while a request was in flight at an old target")
		s.evaluate(5*time.Second, 0)
		assert.Equal(t, s.records.plan.State, Completed)
	})
}

// TestFirstRecordedEnd guards against a controller that writes over the decision of
// another one which has recorded a plan of the same order since this one read it.
func TestFirstRecordedEnd(t *testing.T) {
	ended := func(state State) *Plan { return closingPlan().ended(state) }
	step := func(share float64) *Plan {
		p := closingPlan()
		p.Share, p.Closing = share, false
		return p
	}
	for name, c := range map[string]struct {
		recorded, own *Plan
		want          State
		share         float64
	}{
		"completed over rolled back":   {ended(RolledBack), ended(Completed), RolledBack, 0},
		"rolled back over completed":   {ended(Completed), ended(RolledBack), Completed, 1},
		"step over rolled back":        {ended(RolledBack), step(1), RolledBack, 0},
		"step over completed":          {ended(Completed), step(1), Completed, 1},
		"step over a later step":       {step(1), step(0.6), Active, 1},
		"completed over an early step": {step(0.3), ended(Completed), Active, 0.3},
		"rolled back over a step":      {step(0.6), ended(RolledBack), RolledBack, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStaleMove(t)
				_, err := s.records.SavePlan(t.Context(), c.recorded, 9)
				assert.NilError(t, err)
				s.move.retry(t.Context(), "test", func(ctx context.Context) error { return s.move.save(ctx, c.own) })
				for source, plan := range map[string]*Plan{"record": s.records.plan, "controller": s.move.plan} {
					assert.Equal(t, plan.State, c.want, source)
					assert.Equal(t, plan.Share, c.share, source)
				}
				followed, rank := s.follower.Plan(testService)
				assert.Equal(t, followed.State, c.want)
				assert.Equal(t, rank, Rank(s.records.revision))
			})
		})
	}
}

// TestOwnWriteWithoutResponse guards against a controller that takes its own write, whose
// response was lost, for that of another one, and logs no step.
func TestOwnWriteWithoutResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleMove(t)
		s.records.loseAnswer = func() bool { return true }
		next := closingPlan().ended(Completed)
		assert.NilError(t, s.move.save(t.Context(), next))
		assert.Assert(t, s.move.plan == next, "adopted as the plan of another controller")
		assert.Equal(t, s.move.revision, s.records.revision)
		assert.Assert(t, s.move.planRecorded)
	})
}

// TestCompletedBeforeRollback guards against daemons that withhold the only version left: a
// rollback was published while another controller had already recorded the completion.
func TestCompletedBeforeRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleMove(t)
		_, err := s.records.SavePlan(t.Context(), closingPlan().ended(Completed), 9)
		assert.NilError(t, err)
		s.move.rollBack(t.Context(), "too late")
		assert.Equal(t, s.records.plan.State, Completed)
		assert.Equal(t, s.move.plan.State, Completed)
		assert.Assert(t, s.follower.Allowed(testService, "v2") && !s.follower.Allowed(testService, "v1"))
		chosen := s.follower.Choose(testService, testEndpoints)
		assert.Equal(t, len(chosen), 1)
		assert.Equal(t, chosen[0].Version, "v2")
	})
}

// TestLaterPlanOfAnotherController guards against a controller that waits for confirmations
// of its own plan although another one has recorded a later one, which daemons follow.
func TestLaterPlanOfAnotherController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleMove(t)
		s.evaluate(5*time.Second, 0)
		assert.Equal(t, s.records.plan.State, Completed)
		s = newStaleMove(t)
		later := closingPlan()
		later.Elapsed = time.Second
		revision, err := s.records.SavePlan(t.Context(), later, 9)
		assert.NilError(t, err)
		s.table.SetFact(PlanKey(testService), Rank(revision), Encode(later))
		s.follower.Refresh(s.table.Facts())
		s.move.decide(t.Context())
		assert.Equal(t, s.move.rank, Rank(revision))
		assert.Equal(t, s.move.revision, revision)
		assert.Equal(t, s.move.plan.State, Active)
	})
}

// TestEndToldBefore guards against a record of another end than the operator was told. The
// operator stops the targets by what it was told.
func TestEndToldBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleMove(t)
		assert.NilError(t, s.records.ReportState(t.Context(), &s.move.order, RolledBack))
		s.move.plan = closingPlan().ended(Completed)
		assert.Assert(t, s.move.retry(t.Context(), "report state", s.move.reportEnd))
		assert.Equal(t, s.records.plan.State, RolledBack)
		assert.Equal(t, s.records.state(), RolledBack)
		assert.Assert(t, s.follower.Allowed(testService, "v1") && !s.follower.Allowed(testService, "v2"))
	})
}

// TestUnrecordedRollback guards against a controller that reports a rollback which it could
// not record before it lost its role: its successor may record another end.
func TestUnrecordedRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleMove(t)
		s.move.controller.Records = &rejectedPlans{s.records}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.move.run(t.Context())
		}()
		synctest.Wait()
		s.follower.recordEnd(closingPlan().ended(RolledBack))
		time.Sleep(evaluationInterval + storeRetry/2)
		published, _ := s.follower.Plan(testService)
		assert.Equal(t, published.State, RolledBack)
		s.table.Update(func(state *fleet.State) { state.StoreFails = true }) // this daemon loses the role
		<-done
		assert.Equal(t, s.records.plan.State, Active)
		assert.Equal(t, s.records.state(), Active, "reported but not recorded")
	})
}

// rejectedPlans is a store that rejects the writes of plans.
type rejectedPlans struct{ *memoryRecords }

func (r *rejectedPlans) SavePlan(context.Context, *Plan, int64) (int64, error) {
	return 0, &store.UnavailableError{Op: "test", Cause: errUnavailable}
}
