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
	// judgeInterval is the time between looks at the evidence: a small part of
	// the time in which a bad version must be stopped.
	judgeInterval = 100 * time.Millisecond
	// ReportInterval is the time between reports of a daemon's evidence.
	ReportInterval = 150 * time.Millisecond
	// controllerDuty names the controller in the ranking of members.
	controllerDuty = "moves"
	// ControllerCandidates is the number of members that collect evidence.
	ControllerCandidates = 2
	// storeTimeout bounds one access to the store.
	storeTimeout = 1500 * time.Millisecond
	// storeRetry is the time between attempts at the store.
	storeRetry = 250 * time.Millisecond
	// stepAttempts is the number of attempts at the new version that a step
	// needs before the share is raised.
	stepAttempts = 10
)

// step is a share of the requests and the part of the order's duration until
// which it is held at least.
type step struct{ share, until float64 }

// steps keep the share below a tenth, the bound on what a bad version may get,
// until faults that begin late have had time to show. The last part of the
// duration is left for the confirmations of all daemons.
var steps = []step{{0.08, 0.36}, {0.3, 0.50}, {0.6, 0.61}, {1, 0.70}}

// Records keeps plans and reports to the operator.
type Records interface {
	// LoadPlan returns the plan of a service and its revision, nil without one.
	LoadPlan(ctx context.Context, service string) (*Plan, int64, error)
	// SavePlan writes a plan if its revision is still ifRevision; 0 creates it.
	SavePlan(ctx context.Context, plan *Plan, ifRevision int64) (int64, error)
	// ReportState tells the operator the state of an order.
	ReportState(ctx context.Context, order *Order, state State) error
}

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	Table     *fleet.Table
	Facts     func(key string, rank uint64, payload []byte) bool
	Follower  *Follower
	Collector *Collector
	Records   Records
	Clock     clock.Clock
	Tasks     *ants.Pool
	Logger    *zap.Logger
}

// Controller judges the moves while its daemon is ranked first for that.
type Controller struct {
	ControllerOptions
	mu      sync.Mutex
	running map[string]bool // by order ID
	leads   bool
}

// NewController returns a Controller. Nothing runs before Run.
func NewController(options ControllerOptions) *Controller {
	return &Controller{ControllerOptions: options, running: make(map[string]bool)}
}

// Candidates returns the daemons that may control, best first.
func Candidates(t *fleet.Table) []string {
	ranked := t.Rank(controllerDuty, func(m fleet.Member) bool { return !m.State.StoreFails })
	return ranked[:min(len(ranked), ControllerCandidates)]
}

func (c *Controller) isLeader() bool {
	candidates := Candidates(c.Table)
	return len(candidates) > 0 && candidates[0] == c.Table.Own().Name
}

// Run starts a task for each open order while this daemon is the controller.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		open := c.openOrders()
		leads := len(open) > 0 && c.isLeader()
		if leads != c.leads {
			c.leads = leads
			if leads {
				eventControllerStarted.Log(c.Logger, zap.Int("orders", len(open)))
			} else {
				eventControllerStopped.Log(c.Logger)
			}
		}
		if leads {
			for _, o := range open {
				c.start(ctx, o)
			}
		}
	}
}

// openOrder is an order without a reported end, and when it was heard of.
type openOrder struct {
	Order
	heard clock.Instant
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
		plan, _ := c.Follower.Plan(order.Service)
		ended := plan != nil && plan.Order == order.ID() && plan.State != Active
		if !order.Final() || !ended {
			open = append(open, openOrder{*order, fact.At()})
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
		m := &move{controller: c, order: o.Order, heard: o.heard}
		m.run(ctx)
	}
	if err := c.Tasks.Submit(task); err != nil {
		delete(c.running, o.ID())
		eventPlanWriteFailed.Log(c.Logger, zap.String("service", o.Service), zap.Error(err))
	}
}

// carryForbidden returns the versions that must stay out after a former order.
func carryForbidden(former *Plan, target string) []string {
	if former == nil {
		return nil
	}
	forbidden := slices.Clone(former.Forbidden)
	if former.State == RolledBack && !slices.Contains(forbidden, former.Target) {
		forbidden = append(forbidden, former.Target)
	}
	return slices.DeleteFunc(forbidden, func(v string) bool { return v == target })
}
