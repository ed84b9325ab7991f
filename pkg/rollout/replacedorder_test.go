package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestReplacedOrder guards against a controller that goes on with an order which the
// operator has replaced, and writes its plan over that of the new order.
func TestReplacedOrder(t *testing.T) {
	for name, act := range map[string]func(m *move, ctx context.Context){
		"completes":  func(m *move, ctx context.Context) { m.complete(ctx) },
		"advances":   func(m *move, ctx context.Context) { m.advance(ctx, closingPlan()) },
		"rolls back": func(m *move, ctx context.Context) { m.rollBack(ctx, "fault") },
		"starts again": func(m *move, ctx context.Context) {
			again := &move{controller: m.controller, order: m.order}
			assert.NilError(t, again.resumeOrStart(ctx))
			m.replaced = again.replaced
		},
		"evaluates": func(m *move, ctx context.Context) { m.decide(ctx) },
	} {
		for _, known := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStaleMove(t)
					s.evaluate(5*time.Second, 1)
					s.report(0)
					next := &Plan{Order: "7/v3", OrderRevision: 20, Service: testService, Target: "v3", State: Active, Share: steps[0].share}
					revision, err := s.records.SavePlan(t.Context(), next, 9)
					assert.NilError(t, err)
					if known {
						s.table.SetFact(PlanKey(testService), Rank(revision), Encode(next))
						s.follower.Refresh(s.table.Facts())
					}
					for range 2 { // the second attempt knows the revision of the record
						act(s.move, t.Context())
					}
					assert.Equal(t, s.records.plan.Order, next.Order, "the plan of the new order was overwritten")
					assert.Equal(t, s.records.revision, revision)
					assert.Assert(t, s.move.replaced)
					assert.Equal(t, s.records.state(), State(""))
					assert.Assert(t, !s.follower.WasRolledBack(testService, next.Order))
					if known {
						plan, _ := s.follower.Plan(testService)
						assert.Equal(t, plan.Order, next.Order)
					}
				})
			})
		}
	}
}

// TestReportOfReplacedOrder guards against a controller that reports the end of an order
// again and again although the operator has replaced the order.
func TestReportOfReplacedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleMove(t)
		s.records.replaced = true
		s.move.plan = closingPlan().ended(RolledBack)
		assert.Assert(t, s.move.retry(t.Context(), "report state", s.move.reportEnd))
		assert.Assert(t, s.move.replaced)
		assert.Equal(t, s.records.plan.State, Active)
	})
}
