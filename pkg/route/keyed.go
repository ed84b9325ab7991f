package route

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// assignTries bounds the keys drawn for one call that has none. A home of the
// chosen version is found in one try of 1/share on average, and a share of 5%
// is missed in 4 of 100 calls, which then go to the other version.
const assignTries = 64

// keyedPlan is the home of a key with the key itself.
type keyedPlan struct {
	key       string
	createdMS int64
	pick      *pick
}

// planKey finds the home of the caller's key.
func (r *Router) planKey(service *config.Service, endpoints []*pb.Endpoint, key string, now time.Time) (*keyedPlan, error) {
	home := r.options.Homes.Home(key, endpoints)
	if home.Status != HomeFound {
		return nil, homeError(home)
	}
	p := r.balancer.takeNamed(service.Name, endpoints, home.Endpoint, "home of the key", now)
	return &keyedPlan{key: key, createdMS: home.CreatedMS, pick: p}, nil
}

func homeError(home Home) error {
	switch home.Status {
	case HomeUnknown:
		return &UnknownError{Reason: home.Reason}
	case HomeRefused:
		return &BadRequestError{Reason: home.Reason}
	default:
		return &NotRunError{Reason: home.Reason, RetryAfter: home.RetryAfter}
	}
}

// planNewKey draws keys for a call that has none, until two have a usable home
// of the chosen version, and takes the one whose home has less load. The home
// of a key cannot be chosen, but a key can.
func (r *Router) planNewKey(service *config.Service, endpoints []*pb.Endpoint, version string, tried []string, now time.Time) (*keyedPlan, error) {
	var best, other *keyedPlan
	var lastError error
	found := 0
	for range assignTries {
		id, err := uuid.NewV7()
		if err != nil {
			return nil, &NotRunError{Reason: "no key could be drawn", Cause: err}
		}
		home := r.options.Homes.Home(id.String(), endpoints)
		if home.Status != HomeFound {
			lastError = homeError(home)
			continue
		}
		plan := &keyedPlan{key: id.String(), createdMS: home.CreatedMS}
		plan.pick = r.balancer.peekNamed(service.Name, endpoints, home.Endpoint, now)
		if home.Endpoint.GetVersion() != version || !r.balancer.open(plan.pick, tried, now) {
			other = plan
			continue
		}
		if best == nil || r.balancer.less(plan.pick, best.pick, time.Duration(service.ColdStart), now) {
			best = plan
		}
		if found++; found == 2 {
			break
		}
	}
	if best == nil {
		best = other
	}
	if best == nil {
		return nil, lastError
	}
	best.pick.reason = "home of an assigned key"
	r.balancer.start(best.pick)
	return best, nil
}

// peekNamed returns a pick of a given endpoint without starting a call.
func (b *balancer) peekNamed(service string, endpoints []*pb.Endpoint, e *pb.Endpoint, now time.Time) *pick {
	s := b.state(service, endpoints, now)
	defer s.mu.Unlock()
	t := s.targets[e.GetName()]
	if t == nil {
		// The home finder was given the same endpoints, so it named an endpoint
		// that has departed under this name and the state keeps none for it.
		t = &targetState{endpoint: e}
	}
	return &pick{service: s, target: t}
}

func (b *balancer) takeNamed(service string, endpoints []*pb.Endpoint, e *pb.Endpoint, reason string, now time.Time) *pick {
	p := b.peekNamed(service, endpoints, e, now)
	p.reason = reason
	b.start(p)
	return p
}

func (b *balancer) start(p *pick) {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	p.target.inFlight++
}

// open reports whether a home may get an assigned key.
func (b *balancer) open(p *pick, tried []string, now time.Time) bool {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	if slices.Contains(tried, p.target.endpoint.GetName()) {
		return false
	}
	ok, _ := p.target.available(now)
	return ok && usable(p.target.endpoint)
}

// less reports whether p's endpoint is expected to answer sooner than q's.
func (b *balancer) less(p, q *pick, coldStart time.Duration, now time.Time) bool {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	typical := typicalLatency(p.service.subset)
	return p.target.score(now, coldStart, typical) < q.target.score(now, coldStart, typical)
}
