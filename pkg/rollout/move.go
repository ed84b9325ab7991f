package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
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
	publishedAt    clock.Instant // when advance last published a plan
	stepEnd        time.Duration // earliest end of the current step, since the order
	judge          Judge
	attemptsAtStep int // attempts at the new version when the current step started
}

// run advances the order until it ends or another daemon becomes the controller.
func (m *move) run(ctx context.Context) {
	if !m.retry(ctx, "load plan", m.resumeOrStart) {
		return
	}
	if m.plan.State == Active && m.order.Reported != m.order.Target && m.controller.Tasks.Submit(func() {
		m.reportState(ctx, Active)
	}) != nil {
		return
	}
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for m.plan.State == Active && m.controller.isLeader() {
		m.judge.Add(time.Now(), m.controller.Collector.Sums(m.order.Service, m.plan.Order))
		m.decide(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	if m.plan.State != Active && !m.order.Final() {
		m.retry(ctx, "report state", func(ctx context.Context) error { return m.report(ctx, m.plan.State) })
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
		eventPlanWriteFailed.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("access", operation), zap.Error(err))
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
	m.plan = &Plan{
		Order: m.order.ID(), OrderRevision: m.order.Revision, Service: m.order.Service, Target: m.order.Target, State: Active,
		Forbidden: forbiddenVersions(previous, m.order.Target),
	}
	if m.order.Final() {
		m.plan.State = m.order.State
	} else {
		m.plan.Share = steps[0].share
	}
	return m.save(ctx)
}

// resume continues a plan of the order. It is recorded again if it may be lost.
func (m *move) resume(ctx context.Context, previous *Plan, lost bool) error {
	c := m.controller
	plan := *previous
	plan.Order, plan.OrderRevision = m.order.ID(), m.order.Revision
	m.plan = &plan
	m.started = m.receivedAt
	if continued := c.Clock.Now().Add(-plan.Elapsed); continued < m.started {
		m.started = continued
	}
	switch {
	case plan.State == Active && m.order.Final():
		plan.State = m.order.State
	case plan.State == Active && c.Follower.WasRolledBack(m.order.Service, previous.Order):
		plan.State, plan.Reason = RolledBack, "rolled back before"
	case !lost && plan.Order == previous.Order:
		m.publish(Rank(m.revision))
		return nil
	}
	return m.save(ctx)
}

// save records the plan and publishes it. If the write conflicts or its outcome is
// unknown, the record is read again before the next attempt.
func (m *move) save(ctx context.Context) error {
	c := m.controller
	m.plan.Elapsed = c.Clock.Now().Sub(m.started)
	revision, err := c.Records.SavePlan(ctx, m.plan, m.revision)
	if err != nil {
		m.reloadRevision(ctx, err)
		return err
	}
	m.revision = revision
	m.publish(Rank(revision))
	return nil
}

// reloadRevision reads the revision of the record after a conflict or a write with
// an unknown outcome. If another controller has completed the move, its plan is
// adopted.
func (m *move) reloadRevision(ctx context.Context, cause error) {
	if !store.IsConflict(cause) && !store.IsOutcomeUnknown(cause) {
		return
	}
	recorded, revision, err := m.controller.Records.LoadPlan(ctx, m.order.Service)
	if err != nil || recorded == nil {
		return // the next attempt fails again and repeats the read
	}
	m.revision = revision
	if recorded.Order == m.plan.Order && recorded.State == Completed {
		m.plan = recorded
		m.publish(Rank(revision))
	}
}

func (m *move) publish(rank uint64) {
	m.rank = max(m.rank, rank)
	m.controller.SetFact(PlanKey(m.order.Service), rank, Encode(m.plan))
}

// decide evaluates the evidence and rolls the move back, advances it by one step or
// completes it.
func (m *move) decide(ctx context.Context) {
	if reason := m.judge.Fault(); reason != "" {
		m.rollBack(ctx, reason)
		return
	}
	if m.controller.Follower.WasRolledBack(m.order.Service, m.plan.Order) {
		m.rollBack(ctx, "another daemon rolled it back")
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
	previous := m.plan
	m.plan = next
	attempt, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.save(attempt); err != nil {
		eventPlanWriteFailed.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.Error(err))
		if m.plan == next {
			m.plan = previous
		}
		return
	}
	m.attemptsAtStep = m.judge.Attempts()
	m.judge.StartStep()
	m.publishedAt = m.controller.Clock.Now()
	elapsed := m.publishedAt.Sub(m.started)
	m.stepEnd = elapsed + minStepDuration(m.currentStep(), elapsed, m.order.Duration)
	m.logStep("evidence")
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
	next := *m.plan
	next.State, next.Share, next.Closing, next.Reason = RolledBack, 0, false, reason
	m.plan = &next
	m.publish(m.rank + 1)
	m.logStep(reason)
	m.retry(ctx, "record the roll-back", m.save)
}

// complete ends the move once every live daemon has confirmed that no request is in
// flight at an old target.
func (m *move) complete(ctx context.Context) {
	c := m.controller
	for _, member := range c.Table.Live() {
		if !c.Collector.ConfirmedClosing(m.order.Service, member.Name, m.rank, m.publishedAt) {
			eventClosingWaits.Log(c.Logger, zap.String("service", m.order.Service), zap.String("member", member.Name))
			return
		}
	}
	// When the operator receives this report, it stops the old targets. That is safe
	// even if the completed plan cannot be recorded, because no daemon uses them any
	// more.
	if !m.reportState(ctx, Completed) {
		return
	}
	next := *m.plan
	next.State = Completed
	m.plan = &next
	m.logStep("every daemon has confirmed")
	m.retry(ctx, "record the end", m.save)
}

func (m *move) reportState(ctx context.Context, state State) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.report(ctx, state); err != nil {
		eventStatusFailed.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("state", string(state)), zap.Error(err))
		return false
	}
	return true
}

func (m *move) report(ctx context.Context, state State) error {
	if err := m.controller.Records.ReportState(ctx, &m.order, state); err != nil {
		return err
	}
	eventStatusSet.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("target", m.order.Target), zap.String("state", string(state)))
	return nil
}
