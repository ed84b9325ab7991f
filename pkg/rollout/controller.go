package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
)

const (
	// evaluationInterval is the time between evaluations of the evidence, a small
	// part of the time within which a bad version must be stopped.
	evaluationInterval = 100 * time.Millisecond
	// ReportInterval is the time between two reports of evidence by a daemon.
	ReportInterval = 150 * time.Millisecond
	// controllerRole is the name of the controller role in the ranking of members.
	controllerRole = "moves"
	// ControllerCandidates is the number of members that collect evidence.
	ControllerCandidates = 2
	// storeTimeout bounds each store operation.
	storeTimeout = 1500 * time.Millisecond
	// storeRetry is the delay before a failed store operation is retried.
	storeRetry = 250 * time.Millisecond
	// stepAttempts is the minimum number of attempts at the new version within a
	// step before the share is raised.
	stepAttempts = 10
)

// step is a share of the requests for the new version. The share is not raised
// before the given fraction of the order's duration has passed.
type step struct{ share, until float64 }

// steps keep the share below 0.1, the limit for a bad version, until faults that
// begin late have had time to appear in the evidence. The remainder of the
// duration after the last step is reserved for the confirmations of all daemons.
var steps = []step{{0.08, 0.36}, {0.3, 0.50}, {0.6, 0.61}, {1, 0.70}}

const (
	// completeBy is the fraction of the order's duration in which the last step of a
	// move is to end. The rest is needed for the confirmations of all daemons.
	completeBy = 0.9
	// minStepScale is the fraction of its planned time that a step lasts at least.
	minStepScale = 0.5
)

// Records stores plans and reports the states of orders to the operator.
type Records interface {
	// LoadPlan returns the plan of a service and its revision, or nil if there is none.
	LoadPlan(ctx context.Context, service string) (*Plan, int64, error)
	// SavePlan writes a plan if the stored revision is still ifRevision, and returns
	// the new revision. An ifRevision of 0 creates the plan.
	SavePlan(ctx context.Context, plan *Plan, ifRevision int64) (int64, error)
	// ReportState reports the state of an order to the operator. A final state is never
	// changed: a report of another one returns EndedError, and that of Active has no effect.
	// The report of an order that the operator has replaced returns ReplacedError.
	ReportState(ctx context.Context, order *Order, state State) error
}

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	Table     *fleet.Table
	SetFact   func(key string, rank uint64, payload []byte) bool
	Follower  *Follower
	Collector *Collector
	Records   Records
	Clock     clock.Clock
	Tasks     *ants.Pool
	Logger    *zap.Logger
}

// Controller runs the moves while its daemon is ranked first for the controller
// role.
type Controller struct {
	ControllerOptions
	mu      sync.Mutex
	running map[string]bool // by order ID
	leading bool
}

// NewController returns a Controller, which does nothing until Run is called.
func NewController(options ControllerOptions) *Controller {
	return &Controller{ControllerOptions: options, running: make(map[string]bool)}
}

// Candidates returns the highest-ranked daemons that can take the controller role,
// the highest first. Daemons whose store operations fail are excluded.
func Candidates(t *fleet.Table) []string {
	ranked := t.Rank(controllerRole, func(m *fleet.Member) bool { return !m.State.StoreFails })
	return ranked[:min(len(ranked), ControllerCandidates)]
}

func (c *Controller) isLeader() bool {
	candidates := Candidates(c.Table)
	return len(candidates) > 0 && candidates[0] == c.Table.Local().Name
}

// Run starts a task for each open order while this daemon is the controller.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		open := c.openOrders()
		leading := len(open) > 0 && c.isLeader()
		if leading != c.leading {
			c.leading = leading
			if leading {
				eventControllerStarted.Log(c.Logger, zap.Int("orders", len(open)))
			} else {
				eventControllerStopped.Log(c.Logger)
			}
		}
		if leading {
			for _, o := range open {
				c.start(ctx, o)
			}
		}
	}
}

// openOrder is an order that has not ended, whose end is not yet reported to the operator,
// or whose plan does not record the reported end.
type openOrder struct {
	Order
	receivedAt clock.Instant // when this daemon received the order
}

func (c *Controller) openOrders() []openOrder {
	var open []openOrder
	for _, fact := range c.Table.Facts() {
		if _, ok := serviceOfOrder(fact.Key); !ok {
			continue
		}
		order, err := Decode[Order](fact.Key, fact.Payload)
		if err != nil {
			eventPlanRejected.Log(c.Logger, zap.Error(err))
			continue
		}
		plan, rank := c.Follower.Plan(order.Service)
		ended := plan != nil && plan.Order == order.ID() && plan.State == order.State && eraOfRank(rank) >= eraOf(order.Revision)
		if !order.Final() || !ended {
			open = append(open, openOrder{*order, fact.ReceivedAt()})
		}
	}
	return open
}

func (c *Controller) start(ctx context.Context, o openOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[o.ID()] {
		return
	}
	c.running[o.ID()] = true
	task := func() {
		defer func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.running, o.ID())
		}()
		m := &move{controller: c, order: o.Order, receivedAt: o.receivedAt}
		m.run(ctx)
	}
	if err := c.Tasks.Submit(task); err != nil {
		delete(c.running, o.ID())
		eventPlanWriteFailed.Log(c.Logger, zap.String("service", o.Service), zap.Error(err))
	}
}

// forbiddenVersions returns the versions that stay forbidden under a new order: those that
// the previous plan forbade, rolled back or had not yet moved to, except the new target.
func forbiddenVersions(previous *Plan, target string) []string {
	if previous == nil {
		return nil
	}
	forbidden := slices.Clone(previous.Forbidden)
	unproven := previous.State == Active && !previous.Closing
	if (previous.State == RolledBack || unproven) && !slices.Contains(forbidden, previous.Target) {
		forbidden = append(forbidden, previous.Target)
	}
	return slices.DeleteFunc(forbidden, func(v string) bool { return v == target })
}
