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
)

// followed is a plan with its rank.
type followed struct {
	Plan
	rank uint64
}

// Follower applies the plans of all services to the choice of targets.
type Follower struct {
	// Random draws the version of a request; tests replace it.
	Random func() float64

	logger *zap.Logger
	plans  atomic.Pointer[map[string]*followed]

	mu     sync.Mutex
	usual  map[string]string   // version in use, of services without a plan
	undone map[string][]string // versions that were rolled back, by service
}

var (
	_ proxy.VersionChooser = (*Follower)(nil)
	_ proxy.VersionPolicy  = (*Follower)(nil)
)

// NewFollower returns a follower without plans.
func NewFollower(logger *zap.Logger) *Follower {
	f := &Follower{Random: rand.Float64, logger: logger, usual: make(map[string]string), undone: make(map[string][]string)}
	f.plans.Store(&map[string]*followed{})
	return f
}

// Refresh takes the plans from the facts of the fleet.
func (f *Follower) Refresh(facts []fleet.Fact) {
	held := *f.plans.Load()
	next := make(map[string]*followed, len(held))
	changed := false
	for _, fact := range facts {
		service, ok := serviceOfPlan(fact.Key)
		if !ok {
			continue
		}
		if old := held[service]; old != nil && old.rank >= fact.Rank {
			next[service] = old
			continue
		}
		plan, err := Decode[Plan](fact.Key, fact.Payload)
		if err != nil {
			eventPlanRejected.Log(f.logger, zap.Error(err))
			continue
		}
		changed = true
		next[service] = &followed{Plan: *plan, rank: fact.Rank}
		f.noteUndone(plan)
		eventPlanFollowed.Log(f.logger, zap.String("service", service), zap.String("target", plan.Target),
			zap.String("state", string(plan.State)), zap.Float64("share", plan.Share), zap.Bool("closing", plan.Closing),
			zap.Uint64("rank", fact.Rank), zap.String("reason", plan.Reason))
	}
	if changed {
		f.plans.Store(&next)
	}
}

// noteUndone remembers a version that was rolled back. A plan of a controller
// that does not know it yet does not bring the version back.
func (f *Follower) noteUndone(plan *Plan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mark := plan.Order
	if plan.State == RolledBack && !slices.Contains(f.undone[plan.Service], mark) {
		f.undone[plan.Service] = append(f.undone[plan.Service], mark)
	}
}

// Undone reports whether an order was rolled back.
func (f *Follower) Undone(service, order string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.undone[service], order)
}

func (f *Follower) plan(service string) *followed { return (*f.plans.Load())[service] }

// Plan returns the plan of a service and its rank, nil without one.
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
	if version == p.Target && f.Undone(service, p.Order) {
		return false
	}
	return p.allows(version)
}

// Choose implements proxy.VersionChooser.
func (f *Follower) Choose(service string, endpoints []*proxy.Endpoint) []*proxy.Endpoint {
	p := f.plan(service)
	if p == nil {
		return f.chooseUsual(service, endpoints)
	}
	undone := f.Undone(service, p.Order)
	wantNew := p.State == Active && !undone && f.Random() < p.Share
	var old, target []*proxy.Endpoint
	for _, e := range endpoints {
		switch {
		case !p.allows(e.Version) || undone && e.Version == p.Target:
		case e.Version == p.Target:
			target = append(target, e)
		default:
			old = append(old, e)
		}
	}
	switch {
	case p.State == Completed || p.Closing:
		return target
	case wantNew && usable(target):
		return target
	case usable(old) || p.Share < spillShare:
		return old
	}
	return target
}

// spillShare is the share from which on the target version also takes the
// requests for which no old target is left.
const spillShare = 0.5

func usable(endpoints []*proxy.Endpoint) bool {
	return slices.ContainsFunc(endpoints, func(e *proxy.Endpoint) bool { return e.Available })
}

// chooseUsual returns the endpoints of the version that most targets have.
// Targets of a version that the operator has not ordered yet get nothing.
func (f *Follower) chooseUsual(service string, endpoints []*proxy.Endpoint) []*proxy.Endpoint {
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

func (f *Follower) chooseMajority(service string, endpoints []*proxy.Endpoint) []*proxy.Endpoint {
	counts := make(map[string]int)
	for _, e := range endpoints {
		counts[e.Version]++
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	version := f.usual[service]
	if counts[version] == 0 {
		versions := make([]string, 0, len(counts))
		for v := range counts {
			versions = append(versions, v)
		}
		version = slices.MaxFunc(versions, func(a, b string) int {
			return cmp.Or(cmp.Compare(counts[a], counts[b]), cmp.Compare(b, a))
		})
		f.usual[service] = version
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *proxy.Endpoint) bool { return e.Version != version })
}
