package move

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// runner drives one generation of one move.
type runner struct {
	key      string
	plan     Plan
	judge    *Judge
	reader   sumReader
	stage    Stage // in force
	eligible bool

	// Last known state of the record in the store.
	recordLoaded bool
	record       *Record
	revision     int64

	takenBack   bool // in force, but may not be recorded yet
	reason      string
	late        bool
	expectedEnd time.Time

	pendingWrite     *Record // next record to write
	unconfirmedWrite *Record // written with unknown outcome
	backoff          *backoff.ExponentialBackOff
	notBefore        time.Time

	grantedState pb.MoveState // state of the last grant published by this runner
	grantedAt    time.Time
}

func newRunner(key string, plan Plan, now time.Time) *runner {
	r := &runner{key: key, plan: plan, reason: "the move record is being read", expectedEnd: plan.By}
	r.backoff = backoff.NewExponentialBackOff()
	r.backoff.MaxInterval = 10 * time.Second
	r.backoff.RandomizationFactor = 0 // scheduleRetry adds jitter from the controller's seeded source
	r.stage = Stage{State: pb.MoveState_MOVE_WAITING, Since: now}
	return r
}

func (r *runner) fields() []zap.Field {
	return []zap.Field{
		zap.String("service", r.plan.Service), zap.String("move", r.plan.Move), zap.Uint64("generation", r.plan.Generation),
		zap.String("from", r.plan.From), zap.String("to", r.plan.To), zap.Float64("share", r.stage.Share),
		zap.String("reason", r.reason),
	}
}

func (r *runner) recordedState() pb.MoveState {
	if r.record == nil {
		return pb.MoveState_MOVE_UNSPECIFIED
	}
	return r.record.Stage.State
}

// isJudged reports whether the judge decides on the move.
func (r *runner) isJudged() bool {
	return r.judge != nil && !r.takenBack && r.recordedState() != pb.MoveState_MOVE_DONE
}

func (r *runner) inProgress() bool { return r.isJudged() && r.stage.Share > 0 }

// applyGrants applies grants published by other controllers: a take-back is final,
// and as long as the record has not been read, the stage is that of the last
// grant.
func (r *runner) applyGrants(c *Controller, now time.Time, grants []*pb.Record) {
	for _, record := range grants {
		g := decodeGrant(record)
		if g == nil || g.GetMove() != r.plan.Move || g.GetGeneration() != r.plan.Generation {
			continue
		}
		if g.GetState() == pb.MoveState_MOVE_TAKEN_BACK {
			if !r.takenBack && r.recordedState() != pb.MoveState_MOVE_TAKEN_BACK {
				r.takeBack(c, now, g.GetReason())
			}
			continue
		}
		if r.judge == nil && g.GetState() != pb.MoveState_MOVE_DONE && g.GetFencing() < c.fencing {
			r.stage = Stage{
				State: g.GetState(), Share: g.GetShare(), NonIdempotent: g.GetNonIdempotentShare(),
				MaxNewTargets: int(g.GetMaxNewTargets()), Since: now,
			}
			switch r.stage.State {
			case pb.MoveState_MOVE_HOLDING:
				r.stage.Full = now
				r.stage.Probing = r.stage.Share < 1
			case pb.MoveState_MOVE_LATE:
				r.stage.State = pb.MoveState_MOVE_MOVING
			}
			r.startJudge(now)
		}
	}
}

func (r *runner) startJudge(now time.Time) { r.judge = NewJudge(r.plan, r.stage, now) }

// tick passes the evidence to the judge and applies its decision.
func (r *runner) tick(c *Controller, now time.Time, evidence []*pb.Record, targets Targets) {
	r.judge.Observe(now, r.reader.Sums(evidence, r.plan.Identity))
	d := r.judge.Decide(now, targets)
	r.expectedEnd = d.ExpectedEnd
	if r.pendingWrite == nil && r.unconfirmedWrite == nil {
		r.reason = d.Reason
	}
	r.setLate(c, d.Late)
	switch d.Action {
	case ActionTakeBack:
		r.takeBack(c, now, d.Reason)
	case ActionSpread:
		r.applyStage(c, now, d.Next)
	case ActionLower:
		r.applyStage(c, now, d.Next)
		eventProbe.Log(c.options.Logger, r.fields()...)
	case ActionStep, ActionFinish:
		if r.recordLoaded && r.pendingWrite == nil && r.unconfirmedWrite == nil && c.options.LeaseValid() {
			r.prepareWrite(c, now, d.Next, d.Reason)
		}
	}
}

func (r *runner) setLate(c *Controller, late bool) {
	if late && !r.late {
		eventLate.Log(c.options.Logger, append(r.fields(), zap.Time("by", r.plan.By), zap.Time("expected", r.expectedEnd))...)
	}
	if late != r.late {
		r.grantedAt = time.Time{} // publish the new state immediately
	}
	r.late = late
}

// prepareWrite sets the next record to write. It replaces a pending one.
func (r *runner) prepareWrite(c *Controller, now time.Time, stage Stage, reason string) {
	c.writes++
	next := &Record{
		Identity: r.plan.Identity, By: r.plan.By, Stage: stage, Fencing: c.fencing, Write: c.writes,
		At: now, Reason: reason,
	}
	if r.record != nil {
		next.Replaced = r.record.Replaced
	}
	if r.judge != nil {
		next.Routes = r.judge.routeReports()
	}
	r.pendingWrite = next
}

// applyStage puts a stage into force and publishes its grant.
func (r *runner) applyStage(c *Controller, now time.Time, stage Stage) {
	r.stage = stage
	if r.judge != nil {
		r.judge.SetStage(now, stage)
	}
	r.publishGrant(c, now)
}

// takeBack ends the move immediately. The record is written when the store is
// available.
func (r *runner) takeBack(c *Controller, now time.Time, reason string) {
	full := r.stage.Full
	r.takenBack, r.reason, r.late = true, reason, false
	r.stage = Stage{State: pb.MoveState_MOVE_TAKEN_BACK, Since: now, Full: full}
	r.publishGrant(c, now)
	r.prepareWrite(c, now, r.stage, reason)
	eventTakenBack.Log(c.options.Logger, r.fields()...)
}

// state is the state to publish in the grant.
func (r *runner) state() pb.MoveState {
	if r.late && (r.stage.State == pb.MoveState_MOVE_MOVING || r.stage.State == pb.MoveState_MOVE_WAITING) {
		return pb.MoveState_MOVE_LATE
	}
	return r.stage.State
}

// publishGrant publishes a grant of the stage in force.
func (r *runner) publishGrant(c *Controller, now time.Time) {
	c.counter++
	r.grantedState, r.grantedAt = r.state(), now
	c.options.Records.Publish(grantRecord(c.options.Owner, &pb.Grant{
		Service: r.plan.Service, Move: r.plan.Move, Generation: r.plan.Generation, Fencing: c.fencing, Counter: c.counter,
		Share: r.stage.Share, NonIdempotentShare: r.stage.NonIdempotent, TermMs: GrantTerm.Milliseconds(),
		State: r.state(), From: r.plan.From, To: r.plan.To, Reason: r.reason, MaxNewTargets: int32(r.stage.MaxNewTargets),
	}))
}

// renewGrant publishes the grant again before its term ends. The grant of an
// ended move does not expire and is published once by each controller.
func (r *runner) renewGrant(c *Controller, now time.Time) {
	if !r.recordLoaded && r.judge == nil && !r.takenBack {
		return // the stage is unknown
	}
	ended := r.stage.State == pb.MoveState_MOVE_DONE || r.stage.State == pb.MoveState_MOVE_TAKEN_BACK
	if ended && r.grantedState == r.stage.State {
		return
	}
	if !r.eligible && !ended {
		return
	}
	if ended || now.Sub(r.grantedAt) >= grantRenewal {
		r.publishGrant(c, now)
	}
}

func (r *runner) report() Report {
	report := Report{
		Identity: r.plan.Identity, State: stateNames[r.state()], Share: r.stage.Share, NonIdempotent: r.stage.NonIdempotent,
		By: r.plan.By, ExpectedEnd: r.expectedEnd, Reason: r.reason,
	}
	if r.record != nil {
		report.Replaced = r.record.Replaced
	}
	if r.judge != nil {
		report.EValue, report.Limit = r.judge.EValue(), 1/r.plan.Caution.FalseAlarmRate
		report.Routes = r.judge.routeReports()
	}
	switch {
	case r.recordedState() == pb.MoveState_MOVE_DONE || r.recordedState() == pb.MoveState_MOVE_TAKEN_BACK:
		recorded := r.record.Report()
		recorded.EValue, recorded.Limit = report.EValue, report.Limit
		return recorded
	case r.takenBack:
		report.State = StateMoving
		report.Pending = "The new version gets no new calls as of now; this becomes \"taken back\" when the store has recorded it."
	case !r.eligible:
		report.State, report.Reason = StateWaiting, "the move's old version does not have the service's traffic yet"
	}
	return report
}

func sortReports(reports []Report) {
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Move, b.Move))
	})
}
