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
	key    string
	plan   Plan
	judge  *Judge
	reader sumReader
	stage  Stage // in force
	inTurn bool

	// What the store holds, as far as this runner knows.
	loaded   bool
	record   *Record
	revision int64

	takenBack bool // in force, perhaps not yet recorded
	reason    string
	late      bool
	expected  time.Time

	wanted    *Record // to be written
	uncertain *Record // written, answer lost
	backoff   *backoff.ExponentialBackOff
	notBefore time.Time

	granted   pb.MoveState // state of the last grant published here
	grantedAt time.Time
}

func newRunner(key string, plan Plan, now time.Time) *runner {
	r := &runner{key: key, plan: plan, reason: "the move record is being read", expected: plan.By}
	r.backoff = backoff.NewExponentialBackOff()
	r.backoff.MaxInterval = 10 * time.Second
	r.backoff.RandomizationFactor = 0 // jitter comes from the controller's seeded source
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

// running reports whether the move is to be judged.
func (r *runner) running() bool {
	return r.judge != nil && !r.takenBack && r.recordedState() != pb.MoveState_MOVE_DONE
}

func (r *runner) underWay() bool { return r.running() && r.stage.Share > 0 }

// adoptGrants takes what other controllers published: a take-back is final, and
// while the record cannot be read the last grant tells the stage.
func (r *runner) adoptGrants(c *Controller, now time.Time, grants []*pb.Record) {
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

// tick observes the evidence and acts on the judge's decision.
func (r *runner) tick(c *Controller, now time.Time, evidence []*pb.Record, targets Targets) {
	r.judge.Observe(now, r.reader.Sums(evidence, r.plan.Identity))
	d := r.judge.Decide(now, targets)
	r.expected = d.ExpectedEnd
	if r.wanted == nil && r.uncertain == nil {
		r.reason = d.Reason
	}
	r.noteLate(c, d.Late)
	switch d.Verdict {
	case VerdictTakeBack:
		r.takeBack(c, now, d.Reason)
	case VerdictSpread:
		r.enter(c, now, d.Next)
	case VerdictLower:
		r.enter(c, now, d.Next)
		eventProbe.Log(c.options.Logger, r.fields()...)
	case VerdictStep, VerdictFinish:
		if r.loaded && r.wanted == nil && r.uncertain == nil && c.options.LeaseValid() {
			r.want(c, now, d.Next, d.Reason)
		}
	}
}

func (r *runner) noteLate(c *Controller, late bool) {
	if late && !r.late {
		eventLate.Log(c.options.Logger, append(r.fields(), zap.Time("by", r.plan.By), zap.Time("expected", r.expected))...)
	}
	if late != r.late {
		r.grantedAt = time.Time{} // tell the new state at once
	}
	r.late = late
}

// want prepares a write; it replaces a step that waits to be written.
func (r *runner) want(c *Controller, now time.Time, stage Stage, reason string) {
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
	r.wanted = next
}

// enter puts a stage into force and grants it.
func (r *runner) enter(c *Controller, now time.Time, stage Stage) {
	r.stage = stage
	if r.judge != nil {
		r.judge.SetStage(now, stage)
	}
	r.publish(c, now)
}

// takeBack ends the move at once. The record follows when the store answers.
func (r *runner) takeBack(c *Controller, now time.Time, reason string) {
	full := r.stage.Full
	r.takenBack, r.reason, r.late = true, reason, false
	r.stage = Stage{State: pb.MoveState_MOVE_TAKEN_BACK, Since: now, Full: full}
	r.publish(c, now)
	r.want(c, now, r.stage, reason)
	eventTakenBack.Log(c.options.Logger, r.fields()...)
}

// state is what the grant says.
func (r *runner) state() pb.MoveState {
	if r.late && (r.stage.State == pb.MoveState_MOVE_MOVING || r.stage.State == pb.MoveState_MOVE_WAITING) {
		return pb.MoveState_MOVE_LATE
	}
	return r.stage.State
}

// publish grants the stage in force.
func (r *runner) publish(c *Controller, now time.Time) {
	c.counter++
	r.granted, r.grantedAt = r.state(), now
	c.options.Records.Publish(grantRecord(c.options.Owner, &pb.Grant{
		Service: r.plan.Service, Move: r.plan.Move, Generation: r.plan.Generation, Fencing: c.fencing, Counter: c.counter,
		Share: r.stage.Share, NonIdempotentShare: r.stage.NonIdempotent, TermMs: GrantTerm.Milliseconds(),
		State: r.state(), From: r.plan.From, To: r.plan.To, Reason: r.reason, MaxNewTargets: int32(r.stage.MaxNewTargets),
	}))
}

// renew publishes the grant again before its term ends. The grant of an ended
// move has no term and is published once by each controller.
func (r *runner) renew(c *Controller, now time.Time) {
	if !r.loaded && r.judge == nil && !r.takenBack {
		return // nothing is known that could be granted
	}
	ended := r.stage.State == pb.MoveState_MOVE_DONE || r.stage.State == pb.MoveState_MOVE_TAKEN_BACK
	if ended && r.granted == r.stage.State {
		return
	}
	if !r.inTurn && !ended {
		return
	}
	if ended || now.Sub(r.grantedAt) >= grantRenewal {
		r.publish(c, now)
	}
}

func (r *runner) report() Report {
	report := Report{
		Identity: r.plan.Identity, State: stateNames[r.state()], Share: r.stage.Share, NonIdempotent: r.stage.NonIdempotent,
		By: r.plan.By, ExpectedEnd: r.expected, Reason: r.reason,
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
	case !r.inTurn:
		report.State, report.Reason = StateWaiting, "the move's old version does not have the service's traffic yet"
	}
	return report
}

func sortReports(reports []Report) {
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Move, b.Move))
	})
}
