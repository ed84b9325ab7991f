package rollout

import (
	"cmp"
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

// Follower holds the plans in force for all services and chooses the targets of
// requests accordingly.
type Follower struct {
	// Random returns a number in [0, 1) that decides which version a request gets.
	// Tests replace it.
	Random func() float64

	logger *zap.Logger
	plans  atomic.Pointer[map[string]*rankedPlan]

	mu           sync.Mutex
	versionInUse map[string]string   // by service, for services without a plan
	rolledBack   map[string][]string // IDs of orders that were rolled back, by service
}

var (
	_ proxy.VersionChooser = (*Follower)(nil)
	_ proxy.VersionPolicy  = (*Follower)(nil)
)

// NewFollower returns a follower without plans.
func NewFollower(logger *zap.Logger) *Follower {
	f := &Follower{Random: rand.Float64, logger: logger, versionInUse: make(map[string]string), rolledBack: make(map[string][]string)}
	f.plans.Store(&map[string]*rankedPlan{})
	return f
}

// Refresh applies the plans among the facts of the fleet that are newer than the
// current ones.
func (f *Follower) Refresh(facts []fleet.Fact) {
	current := *f.plans.Load()
	next := make(map[string]*rankedPlan, len(current))
	changed := false
	for _, fact := range facts {
		service, ok := serviceOfPlan(fact.Key)
		if !ok {
			continue
		}
		if old := current[service]; old != nil && old.rank >= fact.Rank {
			next[service] = old
			continue
		}
		plan, err := Decode[Plan](fact.Key, fact.Payload)
		if err != nil {
			eventPlanRejected.Log(f.logger, zap.Error(err))
			continue
		}
		changed = true
		next[service] = &rankedPlan{Plan: *plan, rank: fact.Rank}
		f.recordRollback(plan)
		eventPlanFollowed.Log(f.logger, zap.String("service", service), zap.String("target", plan.Target),
			zap.String("state", string(plan.State)), zap.Float64("share", plan.Share), zap.Bool("closing", plan.Closing),
			zap.Uint64("rank", fact.Rank), zap.String("reason", plan.Reason))
	}
	if changed {
		f.plans.Store(&next)
	}
}

// recordRollback records the order of a plan that was rolled back. A plan from a
// controller without knowledge of the rollback then does not bring the version
// back into use.
func (f *Follower) recordRollback(plan *Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	order := plan.Order
	if plan.State == RolledBack && !slices.Contains(f.rolledBack[plan.Service], order) {
		f.rolledBack[plan.Service] = append(f.rolledBack[plan.Service], order)
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

// Allowed implements proxy.VersionPolicy.
func (f *Follower) Allowed(service, version string) bool {
	p := f.plan(service)
	if p == nil {
		return true
	}
	return p.allowsAfter(version, f.WasRolledBack(service, p.Order))
}

// Choose implements proxy.VersionChooser.
func (f *Follower) Choose(service string, endpoints []*balance.Endpoint) []*balance.Endpoint {
	p := f.plan(service)
	if p == nil {
		return f.chooseWithoutPlan(service, endpoints)
	}
	rolledBack := f.WasRolledBack(service, p.Order)
	wantNew := p.State == Active && !rolledBack && f.Random() < p.Share
	var old, target []*balance.Endpoint
	for _, e := range endpoints {
		switch {
		case !p.allowsAfter(e.Version, rolledBack):
		case e.Version == p.Target:
			target = append(target, e)
		default:
			old = append(old, e)
		}
	}
	switch {
	case rolledBack:
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

// chooseWithoutPlan returns the endpoints of the version in use. Targets of a
// version for which the operator has placed no order get no requests.
func (f *Follower) chooseWithoutPlan(service string, endpoints []*balance.Endpoint) []*balance.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	version := endpoints[0].Version
	for _, e := range endpoints {
		if e.Version != version {
			return f.chooseMajority(service, endpoints)
		}
	}
	return endpoints
}

// chooseMajority returns the endpoints of the version in use. If no endpoint has
// that version any more, it is replaced by the version of the most endpoints.
func (f *Follower) chooseMajority(service string, endpoints []*balance.Endpoint) []*balance.Endpoint {
	counts := make(map[string]int)
	for _, e := range endpoints {
		counts[e.Version]++
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.versionInUse[service]
	if counts[version] == 0 {
		versions := make([]string, 0, len(counts))
		for v := range counts {
			versions = append(versions, v)
		}
		version = slices.MaxFunc(versions, func(a, b string) int {
			return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(b, a))
		})
		f.versionInUse[service] = version
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *balance.Endpoint) bool { return e.Version != version })
}
