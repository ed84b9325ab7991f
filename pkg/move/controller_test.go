package move

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/move/movetest"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

// rig is a service under traffic with one caller, driven second by second.
type rig struct {
	t          *testing.T
	now        time.Time
	table      *movetest.Table
	services   *movetest.Services
	store      *standin.Store
	bundle     *config.Bundle
	chooser    *Chooser
	recorder   *Recorder
	sum        *DomainSum
	ordersOnly bool // no call comes on the idempotent route
	bad        bool // the new version fails
	lease      bool
	c          *Controller
	top        float64 // largest share seen
	carry      float64
}

func newRig(t *testing.T) *rig {
	r := &rig{
		t: t, now: testStart, table: movetest.NewTable(), services: &movetest.Services{}, store: standin.New(1),
		bundle: testBundle(), chooser: NewChooser(testStart), recorder: NewRecorder("orders", "a", "caller", 1),
		sum: NewDomainSum("a", "d0", 1), lease: true,
	}
	r.bundle.Service.Moves[0].By = testStart.Add(10 * time.Minute)
	r.services.SetTargets("orders", "v1", 10)
	r.services.SetTargets("orders", "v2", 10)
	r.setBundle(r.bundle)
	r.c = r.controller(1)
	return r
}

func (r *rig) setBundle(b *config.Bundle) {
	r.bundle = b
	r.services.SetBundles(b)
	r.chooser.SetBundle(b)
}

func (r *rig) controller(fencing uint64) *Controller {
	c := NewController(Options{
		Owner: "c", Records: r.table, Services: r.services, Store: r.store, LeaseValid: func() bool { return r.lease },
		Author: func(uint64) string { return "amina" }, Spawn: func(f func()) { f() },
	})
	c.Start(fencing, 0)
	return c
}

// run advances until the condition holds, or fails after a time.
func (r *rig) run(limit time.Duration, until func() bool) {
	r.t.Helper()
	for end := r.now.Add(limit); !until(); r.second() {
		if r.now.After(end) {
			r.t.Fatalf("not reached in %v: %+v", limit, r.reports())
		}
	}
}

func (r *rig) second() {
	r.now = r.now.Add(time.Second)
	for _, record := range r.table.Records(pb.RecordKind_RECORD_GRANT, "orders") {
		r.chooser.Apply(record, r.now)
	}
	r.recorder.Update(r.bundle, r.chooser.Active("orders"))
	for i := range 100 {
		route, idempotent := "look-up", true
		if i%4 == 0 || r.ordersOnly {
			route, idempotent = "order", false
		}
		r.carry += 0.381966 // low-discrepancy points, so that the run is the same each time
		r.carry -= float64(int(r.carry))
		version := r.chooser.Choose("orders", idempotent, r.carry, r.now).Version
		outcome := OutcomeOK
		if version == "v2" && r.bad {
			outcome = OutcomeFailed
		}
		r.recorder.Record(route, version, outcome, 5*time.Millisecond)
	}
	r.sum.Apply(r.recorder.Records()...)
	for _, record := range r.sum.Records() {
		r.table.Apply(record)
	}
	if r.c != nil {
		assert.NilError(r.t, r.c.Tick(context.Background(), r.now))
	}
	r.top = max(r.top, share(r.chooser, true, r.now))
}

func (r *rig) reports() []Report {
	if r.c == nil {
		return nil
	}
	return r.c.Reports(r.now)
}

// state is empty before the controller's first round.
func (r *rig) state() StateName {
	if reports := r.reports(); len(reports) > 0 {
		return reports[0].State
	}
	return ""
}

func (r *rig) recorded() *Record {
	r.t.Helper()
	object, err := r.store.Get(context.Background(), RecordKey("orders", "m"))
	assert.NilError(r.t, err)
	record, err := DecodeRecord(object.Key, object.Value)
	assert.NilError(r.t, err)
	return record
}

// TestMoveWithoutIdempotentTraffic guards against a move that waits for evidence
// of an idempotent route on which no call comes.
func TestMoveWithoutIdempotentTraffic(t *testing.T) {
	r := newRig(t)
	r.ordersOnly = true
	r.run(20*time.Minute, func() bool { return r.state() == StateDone })
	record := r.recorded()
	assert.Assert(t, !record.Stage.Full.After(record.By))
}

// TestGoodVersionIsDoneInTime guards against a move that ends without a record,
// or late.
func TestGoodVersionIsDoneInTime(t *testing.T) {
	r := newRig(t)
	r.run(20*time.Minute, func() bool { return r.state() == StateDone })
	record := r.recorded()
	assert.Equal(t, record.Stage.State, pb.MoveState_MOVE_DONE)
	assert.Assert(t, !record.Stage.Full.After(record.By))
	assert.Equal(t, share(r.chooser, false, r.now), 1.0)
	report := r.reports()[0]
	assert.Assert(t, strings.Contains(report.String(), "Nothing to do."), report.String())
}

// TestControllerKilledMidStep guards against a successor that begins anew,
// raises at once, or does not see the fault.
func TestControllerKilledMidStep(t *testing.T) {
	r := newRig(t)
	r.run(5*time.Minute, func() bool { return share(r.chooser, true, r.now) >= 0.2 })
	before := share(r.chooser, true, r.now)
	r.c = nil
	r.run(time.Minute, func() bool { return r.now.Second() == 0 })
	assert.Equal(t, share(r.chooser, true, r.now), before)
	r.c = r.controller(2)
	r.second()
	r.second()
	assert.Equal(t, share(r.chooser, true, r.now), before)
	r.bad = true
	r.run(30*time.Second, func() bool { return r.state() == StateTakenBack })
	assert.Equal(t, r.recorded().Fencing, uint64(2))
}

// TestPausedControllerIsSuperseded guards against a controller that was paused
// past its lease and then raises a share or writes a record.
func TestPausedControllerIsSuperseded(t *testing.T) {
	r := newRig(t)
	r.run(5*time.Minute, func() bool { return share(r.chooser, true, r.now) >= 0.1 })
	paused := r.c
	r.c = r.controller(2)
	r.run(5*time.Minute, func() bool { return r.recorded().Fencing == 2 })
	held, grants := r.recorded(), len(r.table.Records(pb.RecordKind_RECORD_GRANT, "orders"))
	var superseded *SupersededError
	err := paused.Tick(context.Background(), r.now.Add(time.Hour))
	assert.Assert(t, errors.As(err, &superseded), "got %v", err)
	assert.DeepEqual(t, r.recorded(), held)
	assert.Equal(t, len(r.table.Records(pb.RecordKind_RECORD_GRANT, "orders")), grants)

	// The same while the successor's grants have not arrived: the record tells.
	alone := r.controller(1)
	alone.options.Records = movetest.NewTable()
	err = alone.Tick(context.Background(), r.now)
	assert.Assert(t, errors.As(err, &superseded), "got %v", err)
}

// TestStoreDownMidStep guards against a share raised without a record, and
// against a take-back that waits for the store.
func TestStoreDownMidStep(t *testing.T) {
	for _, faults := range []standin.Faults{{Down: true}, {LoseAnswer: 1}} {
		r := newRig(t)
		r.run(5*time.Minute, func() bool { return share(r.chooser, true, r.now) >= 0.1 })
		before := share(r.chooser, true, r.now)
		r.store.SetFaults(faults)
		r.lease = !faults.Down // a lease lapses without the store
		r.top = 0
		r.run(10*time.Minute, func() bool { return r.now.After(testStart.Add(9 * time.Minute)) })
		if faults.Down {
			assert.Equal(t, r.top, before)
		} else {
			assert.Equal(t, share(r.chooser, true, r.now), r.recorded().Stage.Share, "a lost answer is settled by reading")
			assert.Assert(t, r.top > before)
		}
		r.bad = true
		r.run(time.Minute, func() bool { return r.chooser.TakenBack("orders", "v2") })
		if faults.Down {
			assert.Equal(t, r.state(), StateMoving)
			assert.Assert(t, r.reports()[0].Pending != "")
		}
		r.store.SetFaults(standin.Faults{})
		r.run(time.Minute, func() bool { return r.state() == StateTakenBack })
		assert.Equal(t, r.recorded().Stage.State, pb.MoveState_MOVE_TAKEN_BACK)
	}
}

// TestKilledWhileStoreIsDown guards against a take-back that gets lost when the
// controller dies before it is recorded.
func TestKilledWhileStoreIsDown(t *testing.T) {
	r := newRig(t)
	r.run(5*time.Minute, func() bool { return share(r.chooser, true, r.now) >= 0.1 })
	r.store.SetFaults(standin.Faults{Down: true})
	r.bad = true
	r.run(time.Minute, func() bool { return r.chooser.TakenBack("orders", "v2") })
	r.c = nil
	r.second()
	r.store.SetFaults(standin.Faults{})
	r.bad = false
	r.c = r.controller(2)
	r.run(time.Minute, func() bool { return r.state() == StateTakenBack })
	assert.Equal(t, r.recorded().Stage.State, pb.MoveState_MOVE_TAKEN_BACK)
	assert.Equal(t, share(r.chooser, true, r.now), 0.0)
}

// TestOperatorsRace guards against an edit under way that is lost, that resets
// the share, or whose record does not say who replaced what.
func TestOperatorsRace(t *testing.T) {
	r := newRig(t)
	r.run(5*time.Minute, func() bool { return share(r.chooser, true, r.now) >= 0.1 })
	before := share(r.chooser, true, r.now)
	for _, generation := range []uint64{4, 5} {
		b := testBundle()
		b.Service.Moves[0].By = testStart.Add(20 * time.Minute)
		b.Generations["m"] = generation
		if generation == 5 {
			b.Service.Moves[0].To = "v3"
		}
		r.setBundle(b)
		r.run(time.Minute, func() bool {
			return r.recorded().Generation == generation
		})
		if generation == 4 {
			assert.Equal(t, share(r.chooser, true, r.now), before)
		}
	}
	record := r.recorded()
	assert.Equal(t, len(record.Replaced), 2)
	assert.Equal(t, record.Replaced[0].By, uint64(4))
	assert.Equal(t, record.Replaced[1].Author, "amina")
	assert.Equal(t, record.Stage.Share, 0.0)
	assert.Equal(t, len(r.reports()), 1)
}

// TestRunUnderSlowStore guards against a loop that waits for the store, and
// against a controller that does not end with its context.
func TestRunUnderSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.store.SetFaults(standin.Faults{Latency: 5 * time.Second})
		c := NewController(Options{Owner: "c", Records: r.table, Services: r.services, Store: r.store})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- c.Run(ctx, 1, 0) }()
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Equal(t, c.Reports(time.Now())[0].State, StateWaiting)
		assert.Assert(t, len(r.table.Records(pb.RecordKind_RECORD_GRANT, "orders")) == 1)
		cancel()
		assert.NilError(t, <-done)
	})
}

// TestReportOfTakenBackMove guards against a report that does not say which
// version gets the calls, or why, with counts.
func TestReportOfTakenBackMove(t *testing.T) {
	r := newRig(t)
	r.run(5*time.Minute, func() bool { return share(r.chooser, true, r.now) >= 0.1 })
	r.bad = true
	r.run(time.Minute, func() bool { return r.state() == StateTakenBack })
	report := r.reports()[0]
	assert.Equal(t, len(report.Routes), 2)
	assert.Assert(t, report.Routes[0].New.Failures > 0 && report.Routes[0].Old.Failures == 0)
	text := report.String()
	for _, want := range []string{
		"TAKEN BACK", "all traffic is on v1; v2 gets no calls", "attempts failed on the new version", "limit 500", "route look-up:",
	} {
		assert.Assert(t, strings.Contains(text, want), "%q is missing in:\n%s", want, text)
	}
	t.Log(text)
}

// TestServiceOfKeyedRoutesOnly guards against a move that never begins because
// no route is idempotent.
func TestServiceOfKeyedRoutesOnly(t *testing.T) {
	r := newRig(t)
	for i := range r.bundle.Service.Routes {
		r.bundle.Service.Routes[i].Idempotent = false
	}
	r.run(20*time.Minute, func() bool { return r.state() == StateDone })
}

// TestWaitsForTargets guards against calls sent to a version without targets,
// and against a move that hides that it will be late.
func TestWaitsForTargets(t *testing.T) {
	r := newRig(t)
	r.services.SetTargets("orders", "v2", 0)
	r.run(15*time.Minute, func() bool { return r.now.After(r.bundle.Service.Moves[0].By) })
	assert.Equal(t, r.top, 0.0)
	assert.Equal(t, r.state(), StateLate)
	r.services.SetTargets("orders", "v2", 10)
	r.run(20*time.Minute, func() bool { return r.state() == StateDone }) // late moves go on
}
