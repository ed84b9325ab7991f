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
	// Other is the other version of the move under way, empty without one.
	Other string
	// MaxTargets limits the targets to which the new version's share goes, the
	// first ones in the order of their names; 0 stands for all.
	MaxTargets int
}

// Chooser gives the version for each attempt from the service's bundle and the
// grants that arrived. Choose and Report are lock-free.
type Chooser struct {
	epoch time.Time // times are measured from here on the monotonic clock

	mu       sync.Mutex
	services map[string]*serviceGrants
	current  atomic.Pointer[map[string]*servicePlan]
}

// serviceGrants is what arrived for one service.
type serviceGrants struct {
	bundle  *config.Bundle
	fencing uint64                   // largest one heard of
	grants  map[string]*grantHistory // by move
}

// grantHistory holds the newest grant of a move.
type grantHistory struct {
	grant     *pb.Grant
	arrived   time.Duration
	takenBack map[uint64]bool // by generation
	local     *localFault
}

// servicePlan is the immutable result that Choose reads.
type servicePlan struct {
	base       string // version without a move under way
	from, to   string
	share      float64
	other      float64 // share of routes that are not idempotent
	maxTargets int
	expires    time.Duration
	local      *localFault
	takenBack  map[string]bool // target versions
	active     map[string]uint64
}

// NewChooser returns a chooser without bundles and grants. The time must have
// a monotonic reading in production; all later times are compared with it.
func NewChooser(now time.Time) *Chooser {
	c := &Chooser{epoch: now, services: map[string]*serviceGrants{}}
	c.current.Store(&map[string]*servicePlan{})
	return c
}

// SetBundle takes the bundle that is now in force.
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
		s = &serviceGrants{grants: map[string]*grantHistory{}}
		c.services[name] = s
	}
	return s
}

// Apply takes a grant record and reports whether it changed or renewed
// anything. Lower fencing numbers and counters are rejected; "taken back" is
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
		h = &grantHistory{takenBack: map[uint64]bool{}, local: &localFault{}}
		s.grants[g.GetMove()] = h
	}
	taken := g.GetState() == pb.MoveState_MOVE_TAKEN_BACK
	fresh := taken && !h.takenBack[g.GetGeneration()]
	if taken {
		h.takenBack[g.GetGeneration()] = true
	}
	if g.GetFencing() < s.fencing || !newer(g, h.grant) {
		if fresh && h.grant == nil {
			h.grant, h.arrived = g, now
		}
		return fresh
	}
	s.fencing = g.GetFencing()
	if h.grant != nil && h.grant.GetGeneration() != g.GetGeneration() {
		h.local = &localFault{}
	}
	h.grant, h.arrived = g, now
	return true
}

func newer(g, held *pb.Grant) bool {
	if held == nil {
		return true
	}
	return cmp.Or(
		cmp.Compare(g.GetGeneration(), held.GetGeneration()),
		cmp.Compare(g.GetFencing(), held.GetFencing()),
		cmp.Compare(g.GetCounter(), held.GetCounter()),
	) > 0
}

// publish replaces the plan of one service. The map is copied because readers
// use it without a lock; it changes only when bundles or grants do.
func (c *Chooser) publish(name string, s *serviceGrants) {
	if s.bundle == nil {
		return
	}
	next := map[string]*servicePlan{}
	for service, plan := range *c.current.Load() {
		next[service] = plan
	}
	next[name] = s.plan()
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

func (s *serviceGrants) plan() *servicePlan {
	p := &servicePlan{base: s.bundle.Service.Version, takenBack: map[string]bool{}, active: map[string]uint64{}}
	for _, m := range SortMoves(s.bundle.Service.Moves) {
		h, ok := s.grants[m.Name]
		if !ok || h.grant == nil {
			continue
		}
		p.addMove(&m, s.bundle.Generations[m.Name], h)
	}
	s.addBlocked(p)
	return p
}

// addMove enters one move. The newest grant holds until the new generation's
// first one arrives, provided that both shift the same versions.
func (p *servicePlan) addMove(m *config.Move, generation uint64, h *grantHistory) {
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
	p.share, p.other = clampShare(g.GetShare()), clampShare(g.GetNonIdempotentShare())
	p.maxTargets = int(g.GetMaxNewTargets())
	p.expires = h.arrived + time.Duration(g.GetTermMs())*time.Millisecond
	p.local = h.local
	p.active[m.Name] = max(generation, g.GetGeneration())
}

func clampShare(share float64) float64 {
	if !(share > 0) { // also rejects NaN
		return 0
	}
	return min(share, 1)
}

// addBlocked lists the target versions that were taken back. A version is free
// again when a later generation of the move wants it, or when the operators
// made it the service's version.
func (s *serviceGrants) addBlocked(p *servicePlan) {
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

// Choose returns the version for an attempt. Point is in [0,1): a random number
// for idempotent routes, so that an attempt's version does not depend on the
// request, and a hash of the key for others, so that a key keeps its version
// while the share does not pass it.
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
		share = p.other
	}
	at := now.Sub(c.epoch)
	if point < share && !p.local.isStopped(int64(at), at > p.expires) {
		return Choice{Version: p.to, Other: p.from, MaxTargets: p.maxTargets}
	}
	return Choice{Version: p.from, Other: p.to}
}

// Report tells the chooser the outcome of an attempt, for the daemon's own
// reaction to a plain fault. It reports whether this outcome stopped the
// daemon's share of the new version.
func (c *Chooser) Report(service, version string, outcome Outcome, now time.Time) bool {
	p, ok := (*c.current.Load())[service]
	if !ok || p.to == "" || outcome == OutcomeExcluded || (version != p.to && version != p.from) {
		return false
	}
	return p.local.observe(version == p.to, outcome != OutcomeOK, int64(now.Sub(c.epoch)))
}

// TakenBack reports whether a target version of a service was taken back, so
// that its target side refuses new work.
func (c *Chooser) TakenBack(service, version string) bool {
	p, ok := (*c.current.Load())[service]
	return ok && p.takenBack[version]
}

// Active reports whether a move is under way, for Recorder.Update.
func (c *Chooser) Active(service string) func(move string, generation uint64) bool {
	p := (*c.current.Load())[service]
	return func(move string, generation uint64) bool {
		return p != nil && p.active[move] != 0 && p.active[move] == generation
	}
}
