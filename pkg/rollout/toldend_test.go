package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/fleet"
)

// TestRecordContradictsReport guards against a service that is refused because a daemon
// which starts trusts a record of another end than the operator was told. The operator has
// stopped the targets by what it was told.
func TestRecordContradictsReport(t *testing.T) {
	allowed := map[State]string{Completed: "v2", RolledBack: "v1"}
	for _, c := range []struct{ recorded, told State }{{Completed, RolledBack}, {RolledBack, Completed}} {
		t.Run(string(c.told), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, 7601)
				defer s.tasks.Release()
				s.records.plan, s.records.revision, s.records.reported = closingPlan().ended(c.recorded), 9, c.told
				order := &Order{Service: testService, Target: "v2", Revision: 8, Created: 7, State: c.told, Reported: "v2"}
				s.table.SetFact(OrderKey(testService), Rank(order.Revision), Encode(order))
				s.table.SetFact(PlanKey(testService), Rank(9), Encode(s.records.plan))
				s.follower.Refresh(s.table.Facts())
				check := func(f *Follower, when string) {
					t.Helper()
					for _, v := range []string{"v1", "v2"} {
						assert.Equal(t, f.Allowed(testService, v), v == allowed[c.told], "%s: %s", when, v)
					}
					chosen := f.Choose(testService, testEndpoints)
					assert.Equal(t, len(chosen), 1, when)
					assert.Equal(t, chosen[0].Version, allowed[c.told], when)
				}
				check(s.follower, "before the record is corrected")
				ctx, cancel := context.WithCancel(t.Context())
				go s.controller().Run(ctx)
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
				check(s.follower, "after")
				assert.Equal(t, s.records.plan.State, c.told)
				assert.Equal(t, s.records.revision, int64(10), "the record is written once")
				restarted := NewFollower(zap.NewNop())
				restarted.Refresh([]fleet.Fact{{Key: PlanKey(testService), Rank: Rank(10), Payload: Encode(s.records.plan)}})
				check(restarted, "a daemon that knows the record only")
			})
		})
	}
}
