package rollout

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/proxy/balance"
)

// rankedPlan is a plan with the rank of its fact.
type rankedPlan struct {
	Plan
	rank uint64
}

// rankedOrder is an order with the rank of its fact.
type rankedOrder struct {
	*Order
	rank uint64
}

// Follower holds the plans in force for all services and chooses the targets of
// requests accordingly.
type Follower struct {
	// Random returns a number in [0, 1) that decides which version a request gets.
	// Tests replace it.
	Random func() float64

	logger *zap.Logger
	plans  atomic.Pointer[map[string]*rankedPlan]
	// unplanned has, by service, the plans that apply to orders for which no controller
	// has published a plan, or one that contradicts what the operator was told.
	unplanned atomic.Pointer[map[string]*Plan]

	refreshing sync.Mutex             // serializes Refresh
	orders     map[string]rankedOrder // by service, used by Refresh only

	mu           sync.Mutex
	versionInUse map[string]string   // by service, for services without a plan
	rolledBack   map[string][]string // IDs of orders that were rolled back, by service
}

var (
	_ proxy.VersionChooser   = (*Follower)(nil)
	_ proxy.VersionExplainer = (*Follower)(nil)
	_ proxy.VersionPolicy    = (*Follower)(nil)
)

// NewFollower returns a follower without plans.
func NewFollower(logger *zap.Logger) *Follower {
	f := &Follower{Random: rand.Float64, logger: logger, orders: make(map[string]rankedOrder), versionInUse: make(map[string]string), rolledBack: make(map[string][]string)}
	f.plans.Store(&map[string]*rankedPlan{})
	f.unplanned.Store(&map[string]*Plan{})
	return f
}

// Refresh applies the plans and orders among the facts of the fleet that are newer than
// the current ones.
func (f *Follower) Refresh(facts []fleet.Fact) {
	f.refreshing.Lock()
	defer f.refreshing.Unlock()
	f.refreshPlans(facts)
	f.refreshOrders(facts)
}

func (f *Follower) refreshPlans(facts []fleet.Fact) {
	current := *f.plans.Load()
	next := maps.Clone(current) // facts may have been read before those of the latest call
	changed := false
	for _, fact := range facts {
		service, ok := serviceOfPlan(fact.Key)
		if !ok {
			continue
		}
		if old := current[service]; old != nil && old.rank >= fact.Rank {
			continue
		}
		plan, err := Decode[Plan](fact.Key, fact.Payload)
		if err != nil {
			eventPlanRejected.Log(f.logger, zap.Error(err))
			continue
		}
		changed = true
		next[service] = &rankedPlan{Plan: *plan, rank: fact.Rank}
		f.recordEnd(plan)
		eventPlanFollowed.Log(f.logger, zap.String("service", service), zap.String("target", plan.Target),
			zap.String("state", string(plan.State)), zap.Float64("share", plan.Share), zap.Bool("closing", plan.Closing),
			zap.Uint64("rank", fact.Rank), zap.String("reason", plan.Reason))
	}
	if changed {
		f.plans.Store(&next)
	}
}

// refreshOrders applies the orders and derives the plans of those that have none.
func (f *Follower) refreshOrders(facts []fleet.Fact) {
	for _, fact := range facts {
		service, ok := serviceOfOrder(fact.Key)
		if !ok || f.orders[service].rank >= fact.Rank {
			continue
		}
		order, err := Decode[Order](fact.Key, fact.Payload)
		if err != nil {
			eventPlanRejected.Log(f.logger, zap.Error(err))
			continue
		}
		f.orders[service] = rankedOrder{order, fact.Rank}
	}
	before, next := *f.unplanned.Load(), make(map[string]*Plan)
	for service, order := range f.orders {
		plan := unplanned(order.Order, f.plan(service))
		if plan == nil {
			continue
		}
		next[service] = plan
		if old := before[service]; old == nil || old.Order != plan.Order || old.State != plan.State {
			event := eventOrderWithoutPlan
			if published := f.plan(service); published != nil && published.isFor(order.Order) {
				event = eventEndDiffers
			}
			event.Log(f.logger, zap.String("service", service), zap.String("target", plan.Target),
				zap.String("state", string(plan.State)), zap.Int64("revision", order.Revision))
		}
	}
	f.unplanned.Store(&next)
}

// unplanned returns the plan that applies to an order until a controller publishes one, or
// nil if the published plan is that of the order or of a later one. A published plan whose
// end is not the one that the operator was told does not apply: the operator stops targets
// by what it was told.
func unplanned(order *Order, published *rankedPlan) *Plan {
	var previous *Plan
	if published != nil {
		switch {
		case published.isFor(order) && order.Final() && published.State != Active && published.State != order.State:
			return published.ended(order.State)
		case published.isFor(order), published.OrderRevision > order.Revision:
			return nil
		}
		previous = &published.Plan
	}
	plan := &Plan{
		Order: order.ID(), OrderRevision: order.Revision, Service: order.Service, Target: order.Target, State: Active,
		Forbidden: forbiddenVersions(previous, order.Target),
	}
	if order.Final() {
		plan.State = order.State
	}
	return plan
}

// recordEnd records the order of a plan that was rolled back. A plan from a controller
// without knowledge of the rollback then does not bring the version back into use. Only
// a completed plan does: it was recorded before the rollback, and the old targets end.
func (f *Follower) recordEnd(plan *Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	order, known := plan.Order, f.rolledBack[plan.Service]
	switch {
	case plan.State == Completed:
		f.rolledBack[plan.Service] = slices.DeleteFunc(known, func(o string) bool { return o == order })
	case plan.State == RolledBack && !slices.Contains(known, order):
		f.rolledBack[plan.Service] = append(known, order)
	}
}

// WasRolledBack reports whether this daemon has received a plan that rolled an
// order back.
func (f *Follower) WasRolledBack(service, order string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.rolledBack[service], order)
}

func (f *Follower) plan(service string) *rankedPlan { return (*f.plans.Load())[service] }

// Plan returns the plan of a service and its rank, or nil if there is none.
func (f *Follower) Plan(service string) (*Plan, uint64) {
	if p := f.plan(service); p != nil {
		return &p.Plan, p.rank
	}
	return nil, 0
}

// inForce returns the plan that determines the choice of versions of a service, nil if
// there is none, and whether its target version gets no requests at all.
func (f *Follower) inForce(service string) (p *Plan, withheld bool) {
	if p := (*f.unplanned.Load())[service]; p != nil {
		return p, p.State != Completed
	}
	if p := f.plan(service); p != nil {
		return &p.Plan, f.WasRolledBack(service, p.Order)
	}
	return nil, false
}

// Allowed implements proxy.VersionPolicy.
func (f *Follower) Allowed(service, version string) bool {
	p, withheld := f.inForce(service)
	return p == nil || p.allowsWith(version, withheld)
}

// Choose implements proxy.VersionChooser.
func (f *Follower) Choose(service string, endpoints []*balance.Endpoint) []*balance.Endpoint {
	p, withheld := f.inForce(service)
	if p == nil {
		return f.withoutPlan(service, endpoints, true)
	}
	wantNew := p.State == Active && !withheld && f.Random() < p.Share
	return p.choose(endpoints, withheld, wantNew)
}

// Explain implements proxy.VersionExplainer.
func (f *Follower) Explain(service string, endpoints []*balance.Endpoint) []proxy.VersionOption {
	p, withheld := f.inForce(service)
	if p == nil {
		return []proxy.VersionOption{{Share: 1, Endpoints: f.withoutPlan(service, endpoints, false)}}
	}
	old := p.choose(endpoints, withheld, false)
	if p.State != Active || withheld {
		return []proxy.VersionOption{{Share: 1, Endpoints: old}}
	}
	target := p.choose(endpoints, withheld, true)
	if slices.Equal(old, target) {
		return []proxy.VersionOption{{Share: 1, Endpoints: old}}
	}
	options := []proxy.VersionOption{{Share: 1 - p.Share, Endpoints: old}, {Share: p.Share, Endpoints: target}}
	return slices.DeleteFunc(options, func(o proxy.VersionOption) bool { return o.Share <= 0 })
}

// choose returns the endpoints for a request that is to run on the target version if
// wantNew is set. It returns none of that version if it is withheld.
func (p *Plan) choose(endpoints []*balance.Endpoint, withheld, wantNew bool) []*balance.Endpoint {
	var old, target []*balance.Endpoint
	for _, e := range endpoints {
		switch {
		case !p.allowsWith(e.Version, withheld):
		case e.Version == p.Target:
			target = append(target, e)
		default:
			old = append(old, e)
		}
	}
	switch {
	case withheld:
		return old
	case p.State == Completed || p.Closing:
		return target
	case wantNew && anyAvailable(target):
		return target
	case anyAvailable(old) || p.Share < spilloverMinShare:
		return old
	}
	return target
}

// spilloverMinShare is the share from which the target version also receives the
// requests for which no old target is available.
const spilloverMinShare = 0.5

func anyAvailable(endpoints []*balance.Endpoint) bool {
	return slices.ContainsFunc(endpoints, func(e *balance.Endpoint) bool { return e.Available })
}

// withoutPlan returns the endpoints of the version in use, and remembers it on request if
// there is a choice. Targets of a version for which the operator has placed no order get no
// requests.
func (f *Follower) withoutPlan(service string, endpoints []*balance.Endpoint, remember bool) []*balance.Endpoint {
	if !haveVersions(endpoints) {
		return endpoints
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	version := majority(f.versionInUse[service], endpoints)
	if remember {
		f.versionInUse[service] = version
	}
	return ofVersion(version, endpoints)
}

// haveVersions reports whether the endpoints have different versions.
func haveVersions(endpoints []*balance.Endpoint) bool {
	for _, e := range endpoints {
		if e.Version != endpoints[0].Version {
			return true
		}
	}
	return false
}

func ofVersion(version string, endpoints []*balance.Endpoint) []*balance.Endpoint {
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *balance.Endpoint) bool { return e.Version != version })
}

// majority returns the version in use. If no endpoint has it any more, the version of
// the most endpoints replaces it.
func majority(inUse string, endpoints []*balance.Endpoint) string {
	counts := make(map[string]int)
	for _, e := range endpoints {
		counts[e.Version]++
	}
	if counts[inUse] > 0 {
		return inUse
	}
	versions := make([]string, 0, len(counts))
	for v := range counts {
		versions = append(versions, v)
	}
	return slices.MaxFunc(versions, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(b, a))
	})
}
