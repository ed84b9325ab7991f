package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// spillFreeFraction is the fraction of free slots above which all calls stay in
// the daemon's failure domain. Below it, the share of calls sent to other domains
// grows as free slots decrease.
const spillFreeFraction = 0.3

// tieMargin is the score ratio above which two endpoints count as equal and the
// random draw decides. Otherwise a decayed penalty could keep an endpoint unused.
const tieMargin = 0.9

// balancer selects the endpoint of an attempt.
type balancer struct {
	name, domain string
	onJoin       func(address string) // called for each endpoint added to a subset

	mu         sync.Mutex
	services   map[string]*serviceState
	seedSource *rand.Rand
}

// serviceState is the state of the endpoints of one service.
type serviceState struct {
	mu        sync.Mutex
	random    *rand.Rand
	endpoints []*pb.Endpoint // the endpoint list that the state was built from
	targets   map[string]*targetState
	subset    []*targetState
	used      time.Time

	// Buffers reused by choose, which holds the mutex throughout.
	group, available, failing, local, remote []*targetState
}

// pick is a selected endpoint.
type pick struct {
	service *serviceState
	target  *targetState
	reason  string
}

func newBalancer(name, domain string, seed uint64, onJoin func(string)) *balancer {
	return &balancer{
		name: name, domain: domain, onJoin: onJoin, services: map[string]*serviceState{},
		seedSource: rand.New(rand.NewPCG(seed, 0)),
	}
}

// lockState returns the locked state of a service, updated to the given endpoints.
func (b *balancer) lockState(service string, endpoints []*pb.Endpoint, now time.Time) *serviceState {
	b.mu.Lock()
	s, ok := b.services[service]
	if !ok {
		s = &serviceState{targets: map[string]*targetState{}, random: rand.New(rand.NewPCG(b.seedSource.Uint64(), b.seedSource.Uint64()))}
		b.services[service] = s
	}
	b.mu.Unlock()
	s.mu.Lock()
	s.used = now
	if !sameEndpoints(s.endpoints, endpoints) {
		b.refresh(s, endpoints, now)
	}
	return s
}

// sameEndpoints compares the identity of two endpoint lists, which are immutable.
func sameEndpoints(a, b []*pb.Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// refresh applies a new list of endpoints. It keeps the statistics of endpoints
// that are still in the list.
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
				t.coldSince = now
			}
		case t.endpoint.GetAddress() != e.GetAddress() || t.endpoint.GetReadySinceMs() != e.GetReadySinceMs():
			// The target was restarted or replaced, so its statistics are
			// discarded. Calls in flight are still counted until they end.
			*t = targetState{inFlight: t.inFlight, coldSince: now}
		}
		t.endpoint = e
		targets[e.GetName()] = t
	}
	s.endpoints, s.targets, s.subset = endpoints, targets, nil
	for _, e := range subset(b.name, b.domain, endpoints) {
		t := targets[e.GetName()]
		s.subset = append(s.subset, t)
		if !inSubset[t] {
			b.onJoin(e.GetAddress())
		}
	}
}

// choose selects an endpoint of the chosen version that has not been tried yet, and
// starts an attempt.
func (b *balancer) choose(service *config.Service, endpoints []*pb.Endpoint, choice Choice, tried []string, now time.Time) (*pick, error) {
	s := b.lockState(service.Name, endpoints, now)
	defer s.mu.Unlock()
	coldStart := time.Duration(service.ColdStart)
	candidates, err := s.candidates(service.Name, choice, tried, now)
	if err != nil {
		return nil, err
	}
	if probe := s.dueProbe(candidates, now); probe != nil {
		return s.startAttempt(probe, "probe after set-aside"), nil
	}
	s.splitByDomain(candidates, b.domain)
	group, reason := s.local, "near"
	if s.random.Float64() < spill(s.local, s.remote, now, coldStart) {
		group, reason = s.remote, "spill"
	}
	return s.startAttempt(s.bestOfTwo(group, now, coldStart), reason), nil
}

// candidates returns the usable endpoints, or a NoEndpointError with the reasons
// why there is none. Endpoints set aside for failed answers are excluded only
// while at least half of the endpoints remain, because a fault that most endpoints
// share is probably not caused by the endpoints.
func (s *serviceState) candidates(service string, choice Choice, tried []string, now time.Time) ([]*targetState, error) {
	failure := NoEndpointError{Service: service, Version: choice.Version, Total: len(s.endpoints)}
	available, failing := s.available[:0], s.failing[:0]
	group := s.versionTargets(service, choice)
	for _, t := range group {
		if slices.Contains(tried, t.endpoint.GetName()) {
			failure.Tried++
			continue
		}
		switch ok, probe := t.available(now); {
		case ok:
			available = append(available, t)
		case probe && !t.unreachable:
			failure.SetAside++
			failing = append(failing, t)
		default:
			failure.SetAside++
		}
	}
	if 2*len(available) < len(group) {
		available = append(available, failing...)
	}
	s.available, s.failing = available, failing
	if len(available) > 0 {
		return available, nil
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

// versionTargets returns the endpoints that receive the traffic of a version. If
// MaxTargets limits them, all daemons select the same endpoints.
func (s *serviceState) versionTargets(service string, choice Choice) []*targetState {
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

// dueProbe returns an endpoint that is due for a probe, or nil.
func (s *serviceState) dueProbe(candidates []*targetState, now time.Time) *targetState {
	for _, t := range candidates {
		if ok, probe := t.available(now); ok && probe {
			return t
		}
	}
	return nil
}

func (s *serviceState) splitByDomain(targets []*targetState, domain string) {
	s.local, s.remote = s.local[:0], s.remote[:0]
	for _, t := range targets {
		if t.endpoint.GetDomain() == domain {
			s.local = append(s.local, t)
		} else {
			s.remote = append(s.remote, t)
		}
	}
}

// spill returns the fraction of calls to send to other domains: the shortage of
// free local slots, weighted by the remote share of all free slots.
func spill(local, remote []*targetState, now time.Time, coldStart time.Duration) float64 {
	if len(local) == 0 {
		return 1
	}
	if len(remote) == 0 {
		return 0
	}
	localFree, localSlots := capacity(local, now, coldStart)
	remoteFree, remoteSlots := capacity(remote, now, coldStart)
	shortage := max(0, 1-localFree/(spillFreeFraction*localSlots))
	if localFree+remoteFree == 0 {
		return remoteSlots / (localSlots + remoteSlots) // no free slots anywhere: distribute by slots
	}
	return shortage * remoteFree / (localFree + remoteFree)
}

func capacity(targets []*targetState, now time.Time, coldStart time.Duration) (free, slots float64) {
	for _, t := range targets {
		free += t.free(now, coldStart)
		slots += t.slots() * t.ramp(now, coldStart)
	}
	return free, slots
}

// bestOfTwo draws two endpoints and returns the one with the lower score. The
// probability of drawing an endpoint is proportional to its ramp, so cold endpoints
// are drawn less often.
func (s *serviceState) bestOfTwo(group []*targetState, now time.Time, coldStart time.Duration) *targetState {
	first := s.drawWeighted(group, nil, now, coldStart)
	if len(group) == 1 {
		return first
	}
	second := s.drawWeighted(group, first, now, coldStart)
	median := medianLatency(group)
	if second.score(now, coldStart, median) < tieMargin*first.score(now, coldStart, median) {
		return second
	}
	return first
}

func (s *serviceState) drawWeighted(group []*targetState, except *targetState, now time.Time, coldStart time.Duration) *targetState {
	total := 0.0
	for _, t := range group {
		if t != except {
			total += t.ramp(now, coldStart)
		}
	}
	remaining := s.random.Float64() * total
	var last *targetState
	for _, t := range group {
		if t == except {
			continue
		}
		last = t
		if remaining -= t.ramp(now, coldStart); remaining < 0 {
			break
		}
	}
	return last
}

// medianLatency returns the median of the smoothed latencies, 0 if there are none.
func medianLatency(group []*targetState) float64 {
	var buffer [maxSubset]float64
	latencies := buffer[:0]
	for _, t := range group {
		if t.latency > 0 {
			latencies = append(latencies, t.latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

func (s *serviceState) startAttempt(t *targetState, reason string) *pick {
	t.inFlight++
	return &pick{service: s, target: t, reason: reason}
}

// done records the result of the attempt. It reports whether the endpoint has
// completed its cold start.
func (p *pick) done(f feedback, latency time.Duration, load *pb.Load, now time.Time, coldStart time.Duration) (warm bool) {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	p.target.inFlight = max(0, p.target.inFlight-1)
	p.target.observe(f, latency, load, now)
	return p.target.ramp(now, coldStart) >= 1
}

// removeUnused deletes the state of services last used before the given time.
func (b *balancer) removeUnused(before time.Time) {
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
