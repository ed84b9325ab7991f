package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// comfortableFree is the part of free slots above which all calls stay in the
// daemon's own domain. Below it they spill over, the more the fewer are free.
const comfortableFree = 0.3

// tieMargin makes small differences a tie, which the random draw decides. A
// rest of an old penalty then keeps no endpoint out of use.
const tieMargin = 0.9

// balancer chooses the endpoint of an attempt.
type balancer struct {
	name, domain string
	joined       func(address string) // called for each endpoint that joins a subset

	mu       sync.Mutex
	services map[string]*serviceState
	seed     *rand.Rand
}

// serviceState is the state of the endpoints of one service.
type serviceState struct {
	mu        sync.Mutex
	random    *rand.Rand
	endpoints []*pb.Endpoint // the view that the state was built from
	targets   map[string]*targetState
	subset    []*targetState
	used      time.Time

	// Buffers of a choice, which holds the mutex throughout.
	group, open, soft, near, far []*targetState
}

// pick is a chosen endpoint.
type pick struct {
	service *serviceState
	target  *targetState
	reason  string
}

func newBalancer(name, domain string, seed uint64, joined func(string)) *balancer {
	return &balancer{
		name: name, domain: domain, joined: joined, services: map[string]*serviceState{},
		seed: rand.New(rand.NewPCG(seed, 0)),
	}
}

// state returns the locked state of a service, brought up to the given view.
func (b *balancer) state(service string, endpoints []*pb.Endpoint, now time.Time) *serviceState {
	b.mu.Lock()
	s, ok := b.services[service]
	if !ok {
		s = &serviceState{targets: map[string]*targetState{}, random: rand.New(rand.NewPCG(b.seed.Uint64(), b.seed.Uint64()))}
		b.services[service] = s
	}
	b.mu.Unlock()
	s.mu.Lock()
	s.used = now
	if !sameView(s.endpoints, endpoints) {
		b.refresh(s, endpoints, now)
	}
	return s
}

// sameView compares identities; views are immutable.
func sameView(a, b []*pb.Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// refresh takes a new view of the endpoints. What was learned about endpoints
// that are still there is kept.
func (b *balancer) refresh(s *serviceState, endpoints []*pb.Endpoint, now time.Time) {
	first := s.endpoints == nil
	inSubset := map[*targetState]bool{}
	for _, t := range s.subset {
		inSubset[t] = true
	}
	targets := make(map[string]*targetState, len(endpoints))
	for _, e := range endpoints {
		if e.GetDepartedMs() != 0 {
			continue
		}
		t := s.targets[e.GetName()]
		switch {
		case t == nil:
			t = &targetState{}
			if !first {
				t.coldFrom = now
			}
		case t.endpoint.GetAddress() != e.GetAddress() || t.endpoint.GetReadySinceMs() != e.GetReadySinceMs():
			// The target was restarted or replaced: what was learned no longer
			// holds, but the calls in flight still end here.
			*t = targetState{inFlight: t.inFlight, coldFrom: now}
		}
		t.endpoint = e
		targets[e.GetName()] = t
	}
	s.endpoints, s.targets, s.subset = endpoints, targets, nil
	for _, e := range subset(b.name, b.domain, endpoints) {
		t := targets[e.GetName()]
		s.subset = append(s.subset, t)
		if !inSubset[t] {
			b.joined(e.GetAddress())
		}
	}
}

// choose picks an endpoint of the version that has not been tried yet.
func (b *balancer) choose(service *config.Service, endpoints []*pb.Endpoint, choice Choice, tried []string, now time.Time) (*pick, error) {
	s := b.state(service.Name, endpoints, now)
	defer s.mu.Unlock()
	coldStart := time.Duration(service.ColdStart)
	candidates, err := s.candidates(service.Name, choice, tried, now)
	if err != nil {
		return nil, err
	}
	if probe := s.dueProbe(candidates, now); probe != nil {
		return s.take(probe, "probe after set-aside"), nil
	}
	s.splitByDomain(candidates, b.domain)
	group, reason := s.near, "near"
	if s.random.Float64() < spill(s.near, s.far, now, coldStart) {
		group, reason = s.far, "spill"
	}
	return s.take(s.bestOfTwo(group, now, coldStart), reason), nil
}

// candidates returns the usable endpoints, or a NoEndpointError that says why
// there is none. Endpoints set aside for failed answers are left out only while
// at least half remain, since a fault that most share is likely not theirs.
func (s *serviceState) candidates(service string, choice Choice, tried []string, now time.Time) ([]*targetState, error) {
	failure := NoEndpointError{Service: service, Version: choice.Version, Known: len(s.endpoints)}
	open, soft := s.open[:0], s.soft[:0]
	group := s.concentrated(service, choice)
	for _, t := range group {
		if slices.Contains(tried, t.endpoint.GetName()) {
			failure.Tried++
			continue
		}
		switch ok, probe := t.available(now); {
		case ok:
			open = append(open, t)
		case probe && !t.hard:
			failure.SetAside++
			soft = append(soft, t)
		default:
			failure.SetAside++
		}
	}
	if 2*len(open) < len(group) {
		open = append(open, soft...)
	}
	s.open, s.soft = open, soft
	if len(open) > 0 {
		return open, nil
	}
	for _, e := range s.endpoints {
		if !usable(e) {
			failure.NotReady++
		} else if e.GetVersion() != choice.Version {
			failure.OtherVersion++
		}
	}
	return nil, &failure
}

// concentrated returns the endpoints of a version, restricted to the targets
// that take its traffic. All daemons find the same ones.
func (s *serviceState) concentrated(service string, choice Choice) []*targetState {
	group := s.group[:0]
	defer func() { s.group = group }()
	if choice.MaxTargets <= 0 {
		for _, t := range s.subset {
			if t.endpoint.GetVersion() == choice.Version {
				group = append(group, t)
			}
		}
		return group
	}
	var ready []*pb.Endpoint
	for _, e := range s.endpoints {
		if usable(e) && e.GetVersion() == choice.Version {
			ready = append(ready, e)
		}
	}
	for _, e := range topByHash(service+" "+choice.Version, ready, min(choice.MaxTargets, maxSubset)) {
		group = append(group, s.targets[e.GetName()])
	}
	return group
}

// dueProbe returns an endpoint that is to be tried again, if any.
func (s *serviceState) dueProbe(candidates []*targetState, now time.Time) *targetState {
	for _, t := range candidates {
		if ok, probe := t.available(now); ok && probe {
			return t
		}
	}
	return nil
}

func (s *serviceState) splitByDomain(targets []*targetState, domain string) {
	s.near, s.far = s.near[:0], s.far[:0]
	for _, t := range targets {
		if t.endpoint.GetDomain() == domain {
			s.near = append(s.near, t)
		} else {
			s.far = append(s.far, t)
		}
	}
}

// spill returns the part of the calls that leaves the domain: the lack of free
// slots here, weighted by where free slots are.
func spill(near, far []*targetState, now time.Time, coldStart time.Duration) float64 {
	if len(near) == 0 {
		return 1
	}
	if len(far) == 0 {
		return 0
	}
	nearFree, nearSlots := capacity(near, now, coldStart)
	farFree, farSlots := capacity(far, now, coldStart)
	lack := max(0, 1-nearFree/(comfortableFree*nearSlots))
	if nearFree+farFree == 0 {
		return farSlots / (nearSlots + farSlots) // all are full: share the queues
	}
	return lack * farFree / (nearFree + farFree)
}

func capacity(targets []*targetState, now time.Time, coldStart time.Duration) (free, slots float64) {
	for _, t := range targets {
		free += t.free(now, coldStart)
		slots += t.slots() * t.ramp(now, coldStart)
	}
	return free, slots
}

// bestOfTwo draws two endpoints and takes the one with the lower score. A cold
// endpoint is drawn less often, relative to the warmest of the group.
func (s *serviceState) bestOfTwo(group []*targetState, now time.Time, coldStart time.Duration) *targetState {
	first := s.draw(group, nil, now, coldStart)
	if len(group) == 1 {
		return first
	}
	second := s.draw(group, first, now, coldStart)
	typical := typicalLatency(group)
	if second.score(now, coldStart, typical) < tieMargin*first.score(now, coldStart, typical) {
		return second
	}
	return first
}

func (s *serviceState) draw(group []*targetState, except *targetState, now time.Time, coldStart time.Duration) *targetState {
	total := 0.0
	for _, t := range group {
		if t != except {
			total += t.ramp(now, coldStart)
		}
	}
	at := s.random.Float64() * total
	var last *targetState
	for _, t := range group {
		if t == except {
			continue
		}
		last = t
		if at -= t.ramp(now, coldStart); at < 0 {
			break
		}
	}
	return last
}

// typicalLatency is the median of the smoothed latencies, 0 if none is known.
func typicalLatency(group []*targetState) float64 {
	var buffer [maxSubset]float64
	known := buffer[:0]
	for _, t := range group {
		if t.latency > 0 {
			known = append(known, t.latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

func (s *serviceState) take(t *targetState, reason string) *pick {
	t.inFlight++
	return &pick{service: s, target: t, reason: reason}
}

// done takes the outcome of the attempt. It reports whether the endpoint has
// left its cold start behind.
func (p *pick) done(v verdict, latency time.Duration, load *pb.Load, now time.Time, coldStart time.Duration) (warm bool) {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	p.target.inFlight = max(0, p.target.inFlight-1)
	p.target.observe(v, latency, load, now)
	return p.target.ramp(now, coldStart) >= 1
}

// sweep forgets services that were not used for a while.
func (b *balancer) sweep(before time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, s := range b.services {
		s.mu.Lock()
		if s.used.Before(before) {
			delete(b.services, name)
		}
		s.mu.Unlock()
	}
}
