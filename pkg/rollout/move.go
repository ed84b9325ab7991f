package rollout

import (
	"bytes"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// move is the task that runs one order on the controller.
type move struct {
	controller *Controller
	order      Order
	receivedAt clock.Instant

	plan           *Plan
	revision       int64
	rank           uint64
	started        clock.Instant
	stepEnd        time.Duration // earliest end of the current step, since the order
	judge          Judge
	attemptsAtStep int  // attempts at the new version when the current step started
	planRecorded   bool // the plan is in the store
	replaced       bool // by a later order
}

// run advances the order until it ends, is replaced or another daemon becomes the
// controller.
func (m *move) run(ctx context.Context) {
	if !m.retry(ctx, "load plan", m.resumeOrStart) || m.replaced {
		return
	}
	if m.plan.State == Active && m.order.Reported != m.order.Target && m.controller.Tasks.Submit(func() {
		m.reportState(ctx, Active)
	}) != nil {
		return
	}
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for m.plan.State == Active && !m.replaced && m.controller.isLeader() {
		m.judge.Add(time.Now(), m.controller.Collector.Sums(m.order.Service, m.plan.Order))
		m.decide(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	// An end that could not be recorded is left to the next controller.
	if m.plan.State != Active && m.planRecorded && !m.replaced && !m.order.Final() {
		m.retry(ctx, "report state", m.reportEnd)
	}
}

// retry repeats a store operation until it succeeds. It reports false if ctx ends
// or another daemon becomes the controller before that.
func (m *move) retry(ctx context.Context, operation string, run func(context.Context) error) bool {
	for {
		attempt, cancel := context.WithTimeout(ctx, storeTimeout)
		err := run(attempt)
		cancel()
		if err == nil {
			return true
		}
		m.logWriteFailed(operation, err)
		select {
		case <-ctx.Done():
			return false
		case <-time.After(storeRetry):
		}
		if !m.controller.isLeader() {
			return false
		}
	}
}

// resumeOrStart continues the plan of the order, or starts a new one if there is none.
func (m *move) resumeOrStart(ctx context.Context) error {
	c := m.controller
	previous, revision, err := c.Records.LoadPlan(ctx, m.order.Service)
	if err != nil {
		return err
	}
	m.revision = revision
	era := eraOf(m.order.Revision)
	known, rank := c.Follower.Plan(m.order.Service)
	// The store may have returned from a copy that lacks the plan in force.
	lost := known != nil && eraOfRank(rank) < era && (previous == nil || eraOf(previous.OrderRevision) < era)
	if lost {
		previous = known
	}
	if previous != nil && previous.isFor(&m.order) {
		return m.resume(ctx, previous, lost)
	}
	m.started = m.receivedAt
	plan := &Plan{
		Order: m.order.ID(), OrderRevision: m.order.Revision, Service: m.order.Service, Target: m.order.Target, State: Active,
		Forbidden: forbiddenVersions(previous, m.order.Target),
	}
	if previous != nil && previous.replaces(plan) {
		m.endReplaced(previous.Target) // this daemon has not received the later order yet
		return nil
	}
	if m.order.Final() {
		plan.State = m.order.State
	} else {
		plan.Share = steps[0].share
	}
	return m.save(ctx, plan)
}

// resume continues a plan of the order. It is recorded again if it may be lost.
func (m *move) resume(ctx context.Context, previous *Plan, lost bool) error {
	c := m.controller
	plan := *previous
	plan.Order, plan.OrderRevision = m.order.ID(), m.order.Revision
	m.started = m.receivedAt
	if continued := c.Clock.Now().Add(-plan.Elapsed); continued < m.started {
		m.started = continued
	}
	switch {
	case m.order.Final() && plan.State != m.order.State:
		if plan.State != Active {
			m.logEndDiffers(plan.State, m.order.State)
		}
		return m.save(ctx, plan.ended(m.order.State))
	case plan.State == Active && c.Follower.WasRolledBack(m.order.Service, previous.Order):
		plan.State, plan.Reason = RolledBack, "rolled back before"
	case !lost && plan.Order == previous.Order:
		m.follow(&plan, m.revision)
		return nil
	}
	return m.save(ctx, &plan)
}

// save records a plan and then puts it in force. If another controller has written the
// record in the meantime, its plan is adopted instead, unless the move goes on there and is
// to be rolled back here. So the first recorded end of a move stands. The plan of a later
// order ends this move.
func (m *move) save(ctx context.Context, plan *Plan) error {
	c := m.controller
	plan.Elapsed = c.Clock.Now().Sub(m.started)
	revision, err := c.Records.SavePlan(ctx, plan, m.revision)
	if err == nil {
		m.follow(plan, revision)
		return nil
	}
	if !store.IsConflict(err) && !store.IsOutcomeUnknown(err) {
		return err
	}
	recorded, revision, readErr := c.Records.LoadPlan(ctx, m.order.Service)
	if readErr != nil {
		return err // the next attempt fails again and repeats the read
	}
	switch {
	case recorded != nil && recorded.replaces(plan):
		m.endReplaced(recorded.Target)
		return nil
	case recorded != nil && bytes.Equal(Encode(recorded), Encode(plan)):
		m.follow(plan, revision) // only the response was lost
		return nil
	}
	unchanged := revision == m.revision
	m.revision = revision
	if unchanged || recorded == nil || recorded.Order != plan.Order || plan.State == RolledBack && recorded.State == Active {
		return err // the next attempt replaces the record
	}
	m.adopt(recorded, revision)
	return nil
}

// endReplaced ends the move, since the operator has ordered another target version.
func (m *move) endReplaced(by string) {
	m.replaced = true
	eventOrderReplaced.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("target", m.order.Target), zap.String("by", by))
}

// adopt continues with a plan that another controller has recorded.
func (m *move) adopt(recorded *Plan, revision int64) {
	fields := []zap.Field{
		zap.String("service", m.order.Service), zap.String("target", recorded.Target), zap.Int64("revision", revision),
		zap.String("state", string(recorded.State)), zap.Float64("share", recorded.Share), zap.Bool("closing", recorded.Closing),
	}
	if m.plan != nil {
		fields = append(fields, zap.String("own_state", string(m.plan.State)), zap.Float64("own_share", m.plan.Share), zap.Bool("own_closing", m.plan.Closing))
	}
	eventPlanAdopted.Log(m.controller.Logger, fields...)
	m.follow(recorded, revision)
	m.startStep()
}

// follow puts a recorded plan in force.
func (m *move) follow(plan *Plan, revision int64) {
	m.plan, m.revision, m.planRecorded = plan, revision, true
	m.publish(Rank(revision))
}

func (m *move) publish(rank uint64) {
	m.rank = max(m.rank, rank)
	m.controller.SetFact(PlanKey(m.order.Service), rank, Encode(m.plan))
}

// decide evaluates the evidence and rolls the move back, advances it by one step or
// completes it.
func (m *move) decide(ctx context.Context) {
	known, rank := m.controller.Follower.Plan(m.order.Service)
	if known != nil && known.replaces(m.plan) {
		m.endReplaced(known.Target)
		return
	}
	if reason := m.judge.Fault(); reason != "" {
		m.rollBack(ctx, reason)
		return
	}
	if m.controller.Follower.WasRolledBack(m.order.Service, m.plan.Order) {
		m.rollBack(ctx, "another daemon rolled it back")
		return
	}
	if known != nil && known.Order == m.plan.Order && rank > m.rank {
		m.reload(ctx)
		return
	}
	elapsed := m.controller.Clock.Now().Sub(m.started)
	if m.plan.Closing {
		m.complete(ctx)
		return
	}
	index := m.currentStep()
	if elapsed < time.Duration(steps[index].until*float64(m.order.Duration)) || elapsed < m.stepEnd || m.judge.Attempts()-m.attemptsAtStep < stepAttempts {
		return
	}
	next := *m.plan
	if index+1 < len(steps) {
		next.Share = steps[index+1].share
	} else {
		next.Closing = true
	}
	m.advance(ctx, &next)
}

// reload adopts the recorded plan of the order, which another controller has written.
func (m *move) reload(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	recorded, revision, err := m.controller.Records.LoadPlan(ctx, m.order.Service)
	switch {
	case err != nil:
		m.logWriteFailed("load plan", err)
	case recorded != nil && recorded.Order == m.plan.Order && revision > m.revision:
		m.adopt(recorded, revision)
	}
}

// minStepDuration returns the shortest time for which a step is to last that starts at a
// time since the order. A controller that takes over late must not raise the share before
// the evidence of the current step is in. Steps that started late are shortened by up to
// half, so that the move ends in time if possible.
func minStepDuration(index int, start, order time.Duration) time.Duration {
	if index == 0 || order <= 0 {
		return 0
	}
	remaining := steps[len(steps)-1].until - steps[index-1].until
	available := completeBy - start.Seconds()/order.Seconds()
	scale := min(max(available/remaining, minStepScale), 1)
	return time.Duration(scale * (steps[index].until - steps[index-1].until) * float64(order))
}

// currentStep returns the index of the step whose share is in force.
func (m *move) currentStep() int {
	for i := range steps {
		if m.plan.Share <= steps[i].share {
			return i
		}
	}
	return len(steps) - 1
}

// advance records and publishes a plan with a larger share, or the closing plan.
// The plan is recorded before it is published, so the record that a successor
// reads is never behind the plan in force.
func (m *move) advance(ctx context.Context, next *Plan) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.save(ctx, next); err != nil {
		m.logWriteFailed("record a step", err)
		return
	}
	if m.plan == next {
		m.startStep()
		m.logStep("evidence")
	}
}

// startStep starts the evaluation of the share in force.
func (m *move) startStep() {
	m.attemptsAtStep = m.judge.Attempts()
	m.judge.StartStep()
	elapsed := m.controller.Clock.Now().Sub(m.started)
	m.stepEnd = elapsed + minStepDuration(m.currentStep(), elapsed, m.order.Duration)
}

func (m *move) logWriteFailed(operation string, err error) {
	eventPlanWriteFailed.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("access", operation), zap.Error(err))
}

func (m *move) logStep(reason string) {
	eventPlanStep.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("target", m.plan.Target),
		zap.String("state", string(m.plan.State)), zap.Float64("share", m.plan.Share), zap.Bool("closing", m.plan.Closing),
		zap.Int("attempts", m.judge.Attempts()), zap.Duration("elapsed", m.controller.Clock.Now().Sub(m.started)),
		zap.Duration("duration", m.order.Duration), zap.String("reason", reason))
}

// rollBack withdraws the new version immediately and records the rollback in the
// store afterwards.
func (m *move) rollBack(ctx context.Context, reason string) {
	next := m.plan.ended(RolledBack)
	next.Reason = reason
	m.plan, m.planRecorded = next, false
	m.publish(m.rank + 1)
	m.logStep(reason)
	m.retry(ctx, "record the roll-back", func(ctx context.Context) error { return m.save(ctx, next) })
}

// complete ends the move once every daemon has confirmed that no request is in flight at
// an old target. The end is recorded before the operator, who then stops the old targets,
// is told: the conditional write fails if another controller has ended the move.
func (m *move) complete(ctx context.Context) {
	if !m.isConfirmed() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := m.plan.ended(Completed)
	if err := m.save(ctx, next); err != nil {
		m.logWriteFailed("record the end", err)
		return
	}
	if m.plan == next {
		m.logStep("every daemon has confirmed")
	}
}

// isConfirmed reports whether every live daemon follows the closing plan and has no
// request in flight at an old target. A controller that was suspended waits until it would
// have heard all live daemons again.
func (m *move) isConfirmed() bool {
	c := m.controller
	if followed := c.Table.Followed(); followed < fleet.SilentAfter {
		eventClosingWaits.Log(c.Logger, zap.String("service", m.order.Service), zap.Duration("followed", followed))
		return false
	}
	since := c.Clock.Now().Add(-fleet.SilentAfter)
	for _, member := range c.Table.Live() {
		if !c.Collector.ConfirmedClosing(m.order.Service, member.Name, m.rank, since) {
			eventClosingWaits.Log(c.Logger, zap.String("service", m.order.Service), zap.String("member", member.Name))
			return false
		}
	}
	return true
}

// reportEnd reports the end of the move to the operator. The operator acts on the first
// end that it is told; if that is another one, the record is corrected.
func (m *move) reportEnd(ctx context.Context) error {
	err := m.report(ctx, m.plan.State)
	var ended *EndedError
	var replaced *ReplacedError
	switch {
	case errors.As(err, &replaced):
		m.endReplaced("")
		return nil
	case !errors.As(err, &ended):
		return err
	}
	m.logEndDiffers(m.plan.State, ended.State)
	return m.save(ctx, m.plan.ended(ended.State))
}

func (m *move) logEndDiffers(recorded, reported State) {
	eventEndDiffers.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("target", m.order.Target),
		zap.String("recorded", string(recorded)), zap.String("state", string(reported)))
}

func (m *move) reportState(ctx context.Context, state State) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.report(ctx, state); err != nil {
		eventStatusFailed.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("state", string(state)), zap.Error(err))
	}
}

func (m *move) report(ctx context.Context, state State) error {
	if err := m.controller.Records.ReportState(ctx, &m.order, state); err != nil {
		return err
	}
	eventStatusSet.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("target", m.order.Target), zap.String("state", string(state)))
	return nil
}
