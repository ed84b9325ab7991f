package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// move is the task of one order on the controller.
type move struct {
	controller *Controller
	order      Order
	heard      clock.Instant

	plan     *Plan
	revision int64
	rank     uint64
	started  clock.Instant
	closedAt clock.Instant // when the closing plan was published
	judge    Judge
	atStep   int // attempts at the new version when the step began
}

// run takes the order to its end, or until another daemon is the controller.
func (m *move) run(ctx context.Context) {
	if !m.retry(ctx, "load plan", m.adopt) {
		return
	}
	if m.plan.State == Active && m.order.Reported != m.order.Target && m.controller.Tasks.Submit(func() {
		m.reportState(ctx, Active)
	}) != nil {
		return
	}
	ticker := time.NewTicker(judgeInterval)
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

// retry repeats an access to the store until it succeeds, or another daemon is
// the controller.
func (m *move) retry(ctx context.Context, what string, access func(context.Context) error) bool {
	for {
		attempt, cancel := context.WithTimeout(ctx, storeTimeout)
		err := access(attempt)
		cancel()
		if err == nil {
			return true
		}
		eventPlanWriteFailed.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("access", what), zap.Error(err))
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

// adopt continues the recorded plan of the order, or begins a new one.
func (m *move) adopt(ctx context.Context) error {
	c := m.controller
	recorded, revision, err := c.Records.LoadPlan(ctx, m.order.Service)
	if err != nil {
		return err
	}
	now := c.Clock.Now()
	if recorded != nil && recorded.Order == m.order.ID() {
		m.plan, m.revision = recorded, revision
		m.started = m.heard
		if continued := now.Add(-recorded.Elapsed); continued < m.started {
			m.started = continued
		}
		if recorded.State == Active && m.order.Final() {
			m.plan.State = m.order.State
			return m.save(ctx)
		}
		if recorded.State == Active && c.Follower.Undone(m.order.Service, recorded.Order) {
			m.plan.State, m.plan.Reason = RolledBack, "rolled back before"
			return m.save(ctx)
		}
		m.publish(Rank(revision))
		return nil
	}
	m.started = m.heard
	m.plan = &Plan{
		Order: m.order.ID(), Service: m.order.Service, Target: m.order.Target, State: Active,
		Forbidden: carryForbidden(recorded, m.order.Target),
	}
	if m.order.Final() {
		m.plan.State = m.order.State
	} else {
		m.plan.Share = steps[0].share
	}
	m.revision = revision
	return m.save(ctx)
}

// save records the plan and publishes it. After a lost answer the plan is read
// again before the next attempt.
func (m *move) save(ctx context.Context) error {
	c := m.controller
	m.plan.Elapsed = c.Clock.Now().Sub(m.started)
	revision, err := c.Records.SavePlan(ctx, m.plan, m.revision)
	if err != nil {
		m.refresh(ctx, err)
		return err
	}
	m.revision = revision
	m.publish(Rank(revision))
	return nil
}

// refresh takes the revision of the record after a conflict or a lost answer.
// Another controller may have ended the move.
func (m *move) refresh(ctx context.Context, cause error) {
	if !store.IsConflict(cause) && !store.IsOutcomeUnknown(cause) {
		return
	}
	recorded, revision, err := m.controller.Records.LoadPlan(ctx, m.order.Service)
	if err != nil || recorded == nil {
		return // the next attempt fails in the same way and reads again
	}
	m.revision = revision
	if recorded.Order == m.plan.Order && recorded.State == Completed {
		m.plan = recorded
		m.publish(Rank(revision))
	}
}

func (m *move) publish(rank uint64) {
	m.rank = max(m.rank, rank)
	m.controller.Facts(PlanKey(m.order.Service), rank, Encode(m.plan))
}

// decide takes the move one step further, or back.
func (m *move) decide(ctx context.Context) {
	if reason := m.judge.Fault(); reason != "" {
		m.rollBack(ctx, reason)
		return
	}
	if m.controller.Follower.Undone(m.order.Service, m.plan.Order) {
		m.rollBack(ctx, "another daemon rolled it back")
		return
	}
	elapsed := m.controller.Clock.Now().Sub(m.started)
	if m.plan.Closing {
		m.complete(ctx)
		return
	}
	at := m.step()
	if elapsed < time.Duration(steps[at].until*float64(m.order.Duration)) || m.judge.Attempts()-m.atStep < stepAttempts {
		return
	}
	next := *m.plan
	if at+1 < len(steps) {
		next.Share = steps[at+1].share
	} else {
		next.Closing = true
	}
	m.change(ctx, &next)
}

// step returns the index of the step whose share is in force.
func (m *move) step() int {
	for i := range steps {
		if m.plan.Share <= steps[i].share {
			return i
		}
	}
	return len(steps) - 1
}

// change raises the share. It comes into force only once it is recorded, so a
// successor never finds less recorded than is in force.
func (m *move) change(ctx context.Context, next *Plan) {
	former := m.plan
	m.plan = next
	attempt, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := m.save(attempt); err != nil {
		eventPlanWriteFailed.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.Error(err))
		if m.plan == next {
			m.plan = former
		}
		return
	}
	m.atStep = m.judge.Attempts()
	m.judge.Step()
	m.closedAt = m.controller.Clock.Now()
	m.logStep("evidence")
}

func (m *move) logStep(reason string) {
	eventPlanStep.Log(m.controller.Logger, zap.String("service", m.order.Service), zap.String("target", m.plan.Target),
		zap.String("state", string(m.plan.State)), zap.Float64("share", m.plan.Share), zap.Bool("closing", m.plan.Closing),
		zap.Int("attempts", m.judge.Attempts()), zap.Duration("elapsed", m.controller.Clock.Now().Sub(m.started)),
		zap.Duration("duration", m.order.Duration), zap.String("reason", reason))
}

// rollBack takes the new version out at once; the store is told afterwards.
func (m *move) rollBack(ctx context.Context, reason string) {
	next := *m.plan
	next.State, next.Share, next.Closing, next.Reason = RolledBack, 0, false, reason
	m.plan = &next
	m.publish(m.rank + 1)
	m.logStep(reason)
	m.retry(ctx, "record the roll-back", m.save)
}

// complete ends the move once every live daemon has confirmed that no request
// is at an old target.
func (m *move) complete(ctx context.Context) {
	c := m.controller
	for _, member := range c.Table.Live() {
		if !c.Collector.Closed(m.order.Service, member.Name, m.rank, m.closedAt) {
			eventClosingWaits.Log(c.Logger, zap.String("service", m.order.Service), zap.String("member", member.Name))
			return
		}
	}
	// The operator stops the old targets with the report; no daemon uses them
	// any more, whether or not the plan is recorded as completed.
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
