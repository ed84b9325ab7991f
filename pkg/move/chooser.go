package move

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Choice is the version for one attempt.
type Choice struct {
	Version string
	// AlternateVersion is the version of the move in progress that was not chosen,
	// empty if no move is in progress.
	AlternateVersion string
	// MaxTargets limits the number of targets that get the new version's share;
	// 0 means all. All callers select the same targets.
	MaxTargets int
}

// Chooser selects the version for each attempt from the service's bundle and the
// received grants. Choose and Report are lock-free.
type Chooser struct {
	epoch time.Time // origin of all durations, on the monotonic clock

	mu       sync.Mutex
	services map[string]*serviceGrants
	current  atomic.Pointer[map[string]*servicePlan]
}

// serviceGrants holds the bundle and the grants received for one service.
type serviceGrants struct {
	bundle  *config.Bundle
	fencing uint64                // highest one received
	grants  map[string]*moveGrant // by move
}

// moveGrant holds the latest grant of a move and its state in this daemon.
type moveGrant struct {
	grant      *pb.Grant
	receivedAt time.Duration
	takenBack  map[uint64]bool // by generation
	breaker    *localBreaker
}

// servicePlan is the immutable routing decision that Choose reads.
type servicePlan struct {
	base               string // version used while no move is in progress
	from, to           string
	share              float64
	nonIdempotentShare float64 // share of non-idempotent routes
	maxTargets         int
	expires            time.Duration
	breaker            *localBreaker
	takenBack          map[string]bool // new versions that were taken back
	active             map[string]uint64
}

// NewChooser returns a chooser without bundles and grants. All later times are
// measured from now, which must have a monotonic clock reading in production.
func NewChooser(now time.Time) *Chooser {
	c := &Chooser{epoch: now, services: map[string]*serviceGrants{}}
	c.current.Store(&map[string]*servicePlan{})
	return c
}

// SetBundle sets the bundle in force of a service.
func (c *Chooser) SetBundle(bundle *config.Bundle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(bundle.Service.Name)
	s.bundle = bundle
	c.publish(bundle.Service.Name, s)
}

func (c *Chooser) service(name string) *serviceGrants {
	s, ok := c.services[name]
	if !ok {
		s = &serviceGrants{grants: map[string]*moveGrant{}}
		c.services[name] = s
	}
	return s
}

// Apply applies a grant record and reports whether it changed or renewed a grant.
// Grants with a lower fencing number or counter are rejected, but a take-back is
// accepted in any order.
func (c *Chooser) Apply(record *pb.Record, now time.Time) bool {
	g := decodeGrant(record)
	if g == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(g.GetService())
	if !s.apply(g, now.Sub(c.epoch)) {
		return false
	}
	c.publish(g.GetService(), s)
	return true
}

func (s *serviceGrants) apply(g *pb.Grant, now time.Duration) bool {
	h, ok := s.grants[g.GetMove()]
	if !ok {
		h = &moveGrant{takenBack: map[uint64]bool{}, breaker: &localBreaker{}}
		s.grants[g.GetMove()] = h
	}
	takenBack := g.GetState() == pb.MoveState_MOVE_TAKEN_BACK
	newlyTakenBack := takenBack && !h.takenBack[g.GetGeneration()]
	if takenBack {
		h.takenBack[g.GetGeneration()] = true
	}
	if g.GetFencing() < s.fencing || !newer(g, h.grant) {
		if newlyTakenBack && h.grant == nil {
			h.grant, h.receivedAt = g, now
		}
		return newlyTakenBack
	}
	s.fencing = g.GetFencing()
	if h.grant != nil && h.grant.GetGeneration() != g.GetGeneration() {
		h.breaker = &localBreaker{}
	}
	h.grant, h.receivedAt = g, now
	return true
}

func newer(g, current *pb.Grant) bool {
	if current == nil {
		return true
	}
	return cmp.Or(
		cmp.Compare(g.GetGeneration(), current.GetGeneration()),
		cmp.Compare(g.GetFencing(), current.GetFencing()),
		cmp.Compare(g.GetCounter(), current.GetCounter()),
	) > 0
}

// publish replaces the plan of one service. It copies the map because readers use
// it without a lock. This is rare: only changes of bundles and grants publish.
func (c *Chooser) publish(name string, s *serviceGrants) {
	if s.bundle == nil {
		return
	}
	next := map[string]*servicePlan{}
	for service, plan := range *c.current.Load() {
		next[service] = plan
	}
	next[name] = s.buildPlan()
	c.current.Store(&next)
}

// SortMoves returns the moves of a service in the order in which they run.
func SortMoves(moves []config.Move) []config.Move {
	sorted := slices.Clone(moves)
	slices.SortStableFunc(sorted, func(a, b config.Move) int {
		return cmp.Or(a.By.Compare(b.By), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

func (s *serviceGrants) buildPlan() *servicePlan {
	p := &servicePlan{base: s.bundle.Service.Version, takenBack: map[string]bool{}, active: map[string]uint64{}}
	for _, m := range SortMoves(s.bundle.Service.Moves) {
		h, ok := s.grants[m.Name]
		if !ok || h.grant == nil {
			continue
		}
		p.addMove(&m, s.bundle.Generations[m.Name], h)
	}
	s.addTakenBack(p)
	return p
}

// addMove adds one move to the plan. The latest grant stays in force until the
// first one of a new generation is received, provided that both generations shift
// the same versions.
func (p *servicePlan) addMove(m *config.Move, generation uint64, h *moveGrant) {
	g := h.grant
	if h.takenBack[max(generation, g.GetGeneration())] || h.takenBack[g.GetGeneration()] {
		return
	}
	if g.GetFrom() != m.From || g.GetTo() != m.To || m.From != p.base {
		return
	}
	if g.GetState() == pb.MoveState_MOVE_DONE {
		p.base = m.To
		return
	}
	if p.to != "" {
		return
	}
	p.from, p.to = m.From, m.To
	p.share, p.nonIdempotentShare = clampShare(g.GetShare()), clampShare(g.GetNonIdempotentShare())
	p.maxTargets = int(g.GetMaxNewTargets())
	p.expires = h.receivedAt + time.Duration(g.GetTermMs())*time.Millisecond
	p.breaker = h.breaker
	p.active[m.Name] = max(generation, g.GetGeneration())
}

func clampShare(share float64) float64 {
	if !(share > 0) { // also rejects NaN
		return 0
	}
	return min(share, 1)
}

// addTakenBack adds the versions that were taken back. A version is allowed again
// when a later generation of the move has it, or when the operators made it the
// service's version.
func (s *serviceGrants) addTakenBack(p *servicePlan) {
	for name, h := range s.grants {
		if h.grant == nil || !h.takenBack[h.grant.GetGeneration()] {
			continue
		}
		to := h.grant.GetTo()
		if s.bundle.Generations[name] <= h.grant.GetGeneration() && s.bundle.Service.Version != to {
			p.takenBack[to] = true
		}
	}
}

// Choose selects the version for an attempt. Point is in [0,1). For idempotent
// routes it is a random number, so that the version does not depend on the
// request. For other routes it is a hash of the idempotency key, so that a key
// keeps its version until the share crosses its point.
func (c *Chooser) Choose(service string, idempotent bool, point float64, now time.Time) Choice {
	p, ok := (*c.current.Load())[service]
	if !ok {
		return Choice{}
	}
	if p.to == "" {
		return Choice{Version: p.base}
	}
	share := p.share
	if !idempotent {
		share = p.nonIdempotentShare
	}
	at := now.Sub(c.epoch)
	if point < share && !p.breaker.isOpen(int64(at), at > p.expires) {
		return Choice{Version: p.to, AlternateVersion: p.from, MaxTargets: p.maxTargets}
	}
	return Choice{Version: p.from, AlternateVersion: p.to}
}

// Report adds the outcome of an attempt to the daemon's local circuit breaker. It
// returns whether this outcome opened the breaker, which stops the daemon's share
// of the new version.
func (c *Chooser) Report(service, version string, outcome Outcome, now time.Time) bool {
	p, ok := (*c.current.Load())[service]
	if !ok || p.to == "" || outcome == OutcomeExcluded || (version != p.to && version != p.from) {
		return false
	}
	return p.breaker.observe(version == p.to, outcome != OutcomeOK, int64(now.Sub(c.epoch)))
}

// TakenBack reports whether a version of a service was taken back, so that its
// targets have to refuse new calls.
func (c *Chooser) TakenBack(service, version string) bool {
	p, ok := (*c.current.Load())[service]
	return ok && p.takenBack[version]
}

// Active returns a function for Recorder.Update that reports whether a move of
// the service is in progress.
func (c *Chooser) Active(service string) func(move string, generation uint64) bool {
	p := (*c.current.Load())[service]
	return func(move string, generation uint64) bool {
		return p != nil && p.active[move] != 0 && p.active[move] == generation
	}
}
