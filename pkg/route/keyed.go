package route

import (
	"slices"
	"time"

	"github.com/google/uuid"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// maxKeyDraws limits the keys generated for one call without a key. Finding a home
// of the chosen version takes 1/share draws on average. With a share of 5%, 4 of 100
// calls find none and go to a home of another version.
const maxKeyDraws = 64

// maxChoiceDraws is the number of keys after which a home that is found ends the
// search, even if it is the first and there is no choice of two. Each key costs a
// hash of every endpoint of the service.
const maxChoiceDraws = 8

// keyedPlan is a key with the endpoint that is its home.
type keyedPlan struct {
	key       string
	createdMS int64
	pick      *pick
}

// planKey selects the home of the key that the caller sent.
func (r *Router) planKey(service *config.Service, endpoints []*pb.Endpoint, key string, now time.Time) (*keyedPlan, error) {
	home := r.options.Homes.Home(key, endpoints)
	if home.Status != HomeFound {
		return nil, homeError(home)
	}
	p := r.balancer.pickNamed(service.Name, endpoints, home.Endpoint, "home of the key", now)
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

// planNewKey assigns a key to a call that has none. The home of a key is fixed, so
// planNewKey generates keys until two of them have a usable home of the chosen
// version, and uses the key whose home has the lower score. Homes of a version with
// a small share are rare, so after maxChoiceDraws keys the next home found ends the
// search.
func (r *Router) planNewKey(service *config.Service, endpoints []*pb.Endpoint, version string, tried []string, now time.Time) (*keyedPlan, error) {
	var best, fallback *keyedPlan
	var lastError error
	found := 0
	for draw := range maxKeyDraws {
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
		plan.pick = r.balancer.lookupNamed(service.Name, endpoints, home.Endpoint, now)
		if home.Endpoint.GetVersion() != version || !r.balancer.eligible(plan.pick, tried, now) {
			fallback = plan
			continue
		}
		if best == nil || r.balancer.less(plan.pick, best.pick, time.Duration(service.ColdStart), now) {
			best = plan
		}
		if found++; found == 2 || draw >= maxChoiceDraws {
			break
		}
	}
	if best == nil {
		best = fallback
	}
	if best == nil {
		return nil, lastError
	}
	best.pick.reason = "home of an assigned key"
	r.balancer.start(best.pick)
	return best, nil
}

// lookupNamed returns a pick of the given endpoint without starting an attempt.
func (b *balancer) lookupNamed(service string, endpoints []*pb.Endpoint, e *pb.Endpoint, now time.Time) *pick {
	s := b.lockState(service, endpoints, now)
	defer s.mu.Unlock()
	t := s.targets[e.GetName()]
	if t == nil {
		// The home finder uses the same list of endpoints, so the endpoint has
		// departed. The balancer keeps no state of departed endpoints.
		t = &targetState{endpoint: e}
	}
	return &pick{service: s, target: t}
}

func (b *balancer) pickNamed(service string, endpoints []*pb.Endpoint, e *pb.Endpoint, reason string, now time.Time) *pick {
	p := b.lookupNamed(service, endpoints, e, now)
	p.reason = reason
	b.start(p)
	return p
}

func (b *balancer) start(p *pick) {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	p.target.inFlight++
}

// eligible reports whether an assigned key may have p's endpoint as its home.
func (b *balancer) eligible(p *pick, tried []string, now time.Time) bool {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	if slices.Contains(tried, p.target.endpoint.GetName()) {
		return false
	}
	ok, _ := p.target.available(now)
	return ok && usable(p.target.endpoint)
}

// less reports whether p's endpoint has a lower score than q's.
func (b *balancer) less(p, q *pick, coldStart time.Duration, now time.Time) bool {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	median := medianLatency(p.service.subset)
	return p.target.score(now, coldStart, median) < q.target.score(now, coldStart, median)
}
