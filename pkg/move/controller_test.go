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

// simulation runs a service with one caller under traffic, in steps of a second.
type simulation struct {
	t                 *testing.T
	now               time.Time
	table             *movetest.Table
	services          *movetest.Services
	store             *standin.Store
	bundle            *config.Bundle
	chooser           *Chooser
	recorder          *Recorder
	sum               *DomainSum
	nonIdempotentOnly bool // the idempotent route gets no calls
	newVersionFails   bool // all calls to the new version fail
	leaseValid        bool
	controller        *Controller
	maxShare          float64 // largest share so far
	point             float64
}

func newSimulation(t *testing.T) *simulation {
	s := &simulation{
		t: t, now: testStart, table: movetest.NewTable(), services: &movetest.Services{}, store: standin.New(1),
		bundle: testBundle(), chooser: NewChooser(testStart), recorder: NewRecorder("orders", "a", "caller", 1),
		sum: NewDomainSum("a", "d0", 1), leaseValid: true,
	}
	s.bundle.Service.Moves[0].By = testStart.Add(10 * time.Minute)
	s.services.SetTargets("orders", "v1", 10)
	s.services.SetTargets("orders", "v2", 10)
	s.setBundle(s.bundle)
	s.controller = s.startController(1)
	return s
}

func (s *simulation) setBundle(b *config.Bundle) {
	s.bundle = b
	s.services.SetBundles(b)
	s.chooser.SetBundle(b)
}

func (s *simulation) startController(fencing uint64) *Controller {
	c := NewController(Options{
		Owner: "c", Records: s.table, Services: s.services, Store: s.store, LeaseValid: func() bool { return s.leaseValid },
		Author: func(uint64) string { return "amina" }, Spawn: func(f func()) { f() },
	})
	c.Start(fencing, 0)
	return c
}

// runUntil advances until the condition is true, and fails the test at the limit.
func (s *simulation) runUntil(limit time.Duration, until func() bool) {
	s.t.Helper()
	for end := s.now.Add(limit); !until(); s.advance() {
		if s.now.After(end) {
			s.t.Fatalf("condition not reached within %v: %+v", limit, s.reports())
		}
	}
}

func (s *simulation) advance() {
	s.now = s.now.Add(time.Second)
	for _, record := range s.table.Records(pb.RecordKind_RECORD_GRANT, "orders") {
		s.chooser.Apply(record, s.now)
	}
	s.recorder.Update(s.bundle, s.chooser.Active("orders"))
	for i := range 100 {
		route, idempotent := "look-up", true
		if i%4 == 0 || s.nonIdempotentOnly {
			route, idempotent = "order", false
		}
		s.point += 0.381966 // low-discrepancy points make the run deterministic
		s.point -= float64(int(s.point))
		version := s.chooser.Choose("orders", idempotent, s.point, s.now).Version
		outcome := OutcomeOK
		if version == "v2" && s.newVersionFails {
			outcome = OutcomeFailed
		}
		s.recorder.Record(route, version, outcome, 5*time.Millisecond)
	}
	s.sum.Apply(s.recorder.Records()...)
	for _, record := range s.sum.Records() {
		s.table.Apply(record)
	}
	if s.controller != nil {
		assert.NilError(s.t, s.controller.Tick(context.Background(), s.now))
	}
	s.maxShare = max(s.maxShare, share(s.chooser, true, s.now))
}

func (s *simulation) reports() []Report {
	if s.controller == nil {
		return nil
	}
	return s.controller.Reports(s.now)
}

// state is empty before the controller's first tick.
func (s *simulation) state() StateName {
	if reports := s.reports(); len(reports) > 0 {
		return reports[0].State
	}
	return ""
}

func (s *simulation) recorded() *Record {
	s.t.Helper()
	object, err := s.store.Get(context.Background(), RecordKey("orders", "m"))
	assert.NilError(s.t, err)
	record, err := DecodeRecord(object.Key, object.Value)
	assert.NilError(s.t, err)
	return record
}

// TestMoveWithoutIdempotentTraffic guards against a move that waits for evidence
// of an idempotent route without calls.
func TestMoveWithoutIdempotentTraffic(t *testing.T) {
	s := newSimulation(t)
	s.nonIdempotentOnly = true
	s.runUntil(20*time.Minute, func() bool { return s.state() == StateDone })
	record := s.recorded()
	assert.Assert(t, !record.Stage.Full.After(record.By))
}

// TestGoodVersionIsDoneInTime guards against a move that ends without a record,
// or late.
func TestGoodVersionIsDoneInTime(t *testing.T) {
	s := newSimulation(t)
	s.runUntil(20*time.Minute, func() bool { return s.state() == StateDone })
	record := s.recorded()
	assert.Equal(t, record.Stage.State, pb.MoveState_MOVE_DONE)
	assert.Assert(t, !record.Stage.Full.After(record.By))
	assert.Equal(t, share(s.chooser, false, s.now), 1.0)
	report := s.reports()[0]
	assert.Assert(t, strings.Contains(report.String(), "Nothing to do."), report.String())
}

// TestControllerKilledMidStep guards against a successor that restarts the move,
// raises the share immediately, or does not detect a fault.
func TestControllerKilledMidStep(t *testing.T) {
	s := newSimulation(t)
	s.runUntil(5*time.Minute, func() bool { return share(s.chooser, true, s.now) >= 0.2 })
	before := share(s.chooser, true, s.now)
	s.controller = nil
	s.runUntil(time.Minute, func() bool { return s.now.Second() == 0 })
	assert.Equal(t, share(s.chooser, true, s.now), before)
	s.controller = s.startController(2)
	s.advance()
	s.advance()
	assert.Equal(t, share(s.chooser, true, s.now), before)
	s.newVersionFails = true
	s.runUntil(30*time.Second, func() bool { return s.state() == StateTakenBack })
	assert.Equal(t, s.recorded().Fencing, uint64(2))
}

// TestPausedControllerIsSuperseded guards against a controller that is paused
// until its lease expires, and then raises a share or writes a record.
func TestPausedControllerIsSuperseded(t *testing.T) {
	s := newSimulation(t)
	s.runUntil(5*time.Minute, func() bool { return share(s.chooser, true, s.now) >= 0.1 })
	paused := s.controller
	s.controller = s.startController(2)
	s.runUntil(5*time.Minute, func() bool { return s.recorded().Fencing == 2 })
	recorded, grants := s.recorded(), len(s.table.Records(pb.RecordKind_RECORD_GRANT, "orders"))
	var superseded *SupersededError
	err := paused.Tick(context.Background(), s.now.Add(time.Hour))
	assert.Assert(t, errors.As(err, &superseded), "got %v", err)
	assert.DeepEqual(t, s.recorded(), recorded)
	assert.Equal(t, len(s.table.Records(pb.RecordKind_RECORD_GRANT, "orders")), grants)

	// Before the successor's grants are received, the record in the store has the
	// higher fencing number.
	alone := s.startController(1)
	alone.options.Records = movetest.NewTable()
	err = alone.Tick(context.Background(), s.now)
	assert.Assert(t, errors.As(err, &superseded), "got %v", err)
}

// TestStoreDownMidStep guards against a share raised without a record, and against
// a take-back that waits for the store, when the store fails or loses responses.
func TestStoreDownMidStep(t *testing.T) {
	for _, faults := range []standin.Faults{{Down: true}, {LoseResponse: 1}} {
		s := newSimulation(t)
		s.runUntil(5*time.Minute, func() bool { return share(s.chooser, true, s.now) >= 0.1 })
		before := share(s.chooser, true, s.now)
		s.store.SetFaults(faults)
		s.leaseValid = !faults.Down // a lease expires without the store
		s.maxShare = 0
		s.runUntil(10*time.Minute, func() bool { return s.now.After(testStart.Add(9 * time.Minute)) })
		if faults.Down {
			assert.Equal(t, s.maxShare, before)
		} else {
			assert.Equal(t, share(s.chooser, true, s.now), s.recorded().Stage.Share, "a write with unknown outcome is resolved by a read")
			assert.Assert(t, s.maxShare > before)
		}
		s.newVersionFails = true
		s.runUntil(time.Minute, func() bool { return s.chooser.TakenBack("orders", "v2") })
		if faults.Down {
			assert.Equal(t, s.state(), StateMoving)
			assert.Assert(t, s.reports()[0].Pending != "")
		}
		s.store.SetFaults(standin.Faults{})
		s.runUntil(time.Minute, func() bool { return s.state() == StateTakenBack })
		assert.Equal(t, s.recorded().Stage.State, pb.MoveState_MOVE_TAKEN_BACK)
	}
}

// TestKilledWhileStoreIsDown guards against a take-back that is lost because the
// controller is killed before the store has recorded it.
func TestKilledWhileStoreIsDown(t *testing.T) {
	s := newSimulation(t)
	s.runUntil(5*time.Minute, func() bool { return share(s.chooser, true, s.now) >= 0.1 })
	s.store.SetFaults(standin.Faults{Down: true})
	s.newVersionFails = true
	s.runUntil(time.Minute, func() bool { return s.chooser.TakenBack("orders", "v2") })
	s.controller = nil
	s.advance()
	s.store.SetFaults(standin.Faults{})
	s.newVersionFails = false
	s.controller = s.startController(2)
	s.runUntil(time.Minute, func() bool { return s.state() == StateTakenBack })
	assert.Equal(t, s.recorded().Stage.State, pb.MoveState_MOVE_TAKEN_BACK)
	assert.Equal(t, share(s.chooser, true, s.now), 0.0)
}

// TestOperatorsRace guards against edits of a move in progress that are lost, that
// reset the share, or whose record lacks the author and the replaced generation.
func TestOperatorsRace(t *testing.T) {
	s := newSimulation(t)
	s.runUntil(5*time.Minute, func() bool { return share(s.chooser, true, s.now) >= 0.1 })
	before := share(s.chooser, true, s.now)
	for _, generation := range []uint64{4, 5} {
		b := testBundle()
		b.Service.Moves[0].By = testStart.Add(20 * time.Minute)
		b.Generations["m"] = generation
		if generation == 5 {
			b.Service.Moves[0].To = "v3"
		}
		s.setBundle(b)
		s.runUntil(time.Minute, func() bool {
			return s.recorded().Generation == generation
		})
		if generation == 4 {
			assert.Equal(t, share(s.chooser, true, s.now), before)
		}
	}
	record := s.recorded()
	assert.Equal(t, len(record.Replaced), 2)
	assert.Equal(t, record.Replaced[0].ByGeneration, uint64(4))
	assert.Equal(t, record.Replaced[1].Author, "amina")
	assert.Equal(t, record.Stage.Share, 0.0)
	assert.Equal(t, len(s.reports()), 1)
}

// TestRunUnderSlowStore guards against a control loop that blocks on a slow store,
// and against a controller that does not stop with its context.
func TestRunUnderSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t)
		s.store.SetFaults(standin.Faults{Latency: 5 * time.Second})
		c := NewController(Options{Owner: "c", Records: s.table, Services: s.services, Store: s.store})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- c.Run(ctx, 1, 0) }()
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Equal(t, c.Reports(time.Now())[0].State, StateWaiting)
		assert.Assert(t, len(s.table.Records(pb.RecordKind_RECORD_GRANT, "orders")) == 1)
		cancel()
		assert.NilError(t, <-done)
	})
}

// TestReportOfTakenBackMove guards against a report that lacks the version that
// gets the calls, the reason, or its counts.
func TestReportOfTakenBackMove(t *testing.T) {
	s := newSimulation(t)
	s.runUntil(5*time.Minute, func() bool { return share(s.chooser, true, s.now) >= 0.1 })
	s.newVersionFails = true
	s.runUntil(time.Minute, func() bool { return s.state() == StateTakenBack })
	report := s.reports()[0]
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

// TestServiceOfKeyedRoutesOnly guards against a move that never begins because the
// service has no idempotent route.
func TestServiceOfKeyedRoutesOnly(t *testing.T) {
	s := newSimulation(t)
	for i := range s.bundle.Service.Routes {
		s.bundle.Service.Routes[i].Idempotent = false
	}
	s.runUntil(20*time.Minute, func() bool { return s.state() == StateDone })
}

// TestWaitsForTargets guards against calls sent to a version without targets, and
// against a delayed move that is not reported as late.
func TestWaitsForTargets(t *testing.T) {
	s := newSimulation(t)
	s.services.SetTargets("orders", "v2", 0)
	s.runUntil(15*time.Minute, func() bool { return s.now.After(s.bundle.Service.Moves[0].By) })
	assert.Equal(t, s.maxShare, 0.0)
	assert.Equal(t, s.state(), StateLate)
	s.services.SetTargets("orders", "v2", 10)
	s.runUntil(20*time.Minute, func() bool { return s.state() == StateDone }) // a late move continues
}
