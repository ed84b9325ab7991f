package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Fact is a record that any daemon may replace by one of a higher rank, such
// as the state of a move, whose rank is the store's revision.
type Fact struct {
	Key     string
	Rank    uint64
	Payload []byte
	at      clock.Instant
}

// Table holds the members and facts that a daemon knows of. It is safe for
// concurrent use.
type Table struct {
	self  string
	clock clock.Clock

	mu      sync.Mutex
	members map[string]*Member
	facts   map[string]Fact
	version uint64 // advances with each change of a state or fact
	changed chan struct{}
}

// NewTable returns a table that holds the daemon itself.
func NewTable(self string, incarnation uint64, state State, c clock.Clock) *Table {
	t := &Table{
		self: self, clock: c, members: make(map[string]*Member), facts: make(map[string]Fact),
		changed: make(chan struct{}), version: 1,
	}
	t.members[self] = &Member{
		Name: self, Incarnation: incarnation, Counter: 1, Beat: 1, State: &state, HeardAt: c.Now(), StateAt: c.Now(), Self: true,
	}
	return t
}

// Changed returns a channel that is closed with the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Version advances with each change of a state or fact.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

func (t *Table) notify() {
	t.version++
	close(t.changed)
	t.changed = make(chan struct{})
}

// Update changes the daemon's own state. It reports whether anything differs.
func (t *Table) Update(change func(*State)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.members[t.self]
	next := *own.State
	change(&next)
	if equalStates(own.State, &next) {
		return false
	}
	own.State = &next
	own.Counter++
	own.StateAt = t.clock.Now()
	t.notify()
	return true
}

func equalStates(a, b *State) bool {
	if (a.Target == nil) != (b.Target == nil) || a.Target != nil && *a.Target != *b.Target {
		return false
	}
	x, y := *a, *b
	x.Target, y.Target = nil, nil
	return x == y
}

// Own returns the daemon's own member.
func (t *Table) Own() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return *t.members[t.self]
}

// Members returns all known members, ordered by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.members))
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		members = append(members, *t.members[name])
	}
	return members
}

// Live returns the members whose beat advanced lately and that do not leave.
func (t *Table) Live() []Member {
	now := t.clock.Now()
	return slices.DeleteFunc(t.Members(), func(m Member) bool {
		return !m.Self && now.Sub(m.HeardAt) > silentAfter || m.State.Leaving
	})
}

// strongShare is the part of the largest machine's link and processor that a
// machine must have to be ranked with the strong ones.
const strongShare = 0.5

// Candidate is a daemon that may hold a duty.
type Candidate struct {
	Name     string
	LinkMbps float64
	Cores    float64
}

// RankCandidates returns the names of candidates for a duty, best first: those on
// strong machines before the others, since duties cost processor time and bytes.
// Every daemon computes the same order from the same candidates.
func RankCandidates(duty string, candidates []Candidate) []string {
	var link, cores float64
	for _, c := range candidates {
		link, cores = max(link, c.LinkMbps), max(cores, c.Cores)
	}
	strong := func(c Candidate) bool { return c.LinkMbps >= strongShare*link && c.Cores >= strongShare*cores }
	weight := func(c Candidate) uint64 { return xxhash.Sum64String(duty + "/" + c.Name) }
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if strong(a) != strong(b) {
			if strong(a) {
				return -1
			}
			return 1
		}
		return cmp.Compare(weight(b), weight(a))
	})
	names := make([]string, len(ranked))
	for i, c := range ranked {
		names[i] = c.Name
	}
	return names
}

// Rank returns the names of live members that may hold a duty, best first.
func (t *Table) Rank(duty string, usable func(Member) bool) []string {
	var candidates []Candidate
	for _, m := range t.Live() {
		if !m.State.Stopping && (usable == nil || usable(m)) {
			candidates = append(candidates, Candidate{m.Name, m.State.LinkMbps, m.State.Cores})
		}
	}
	return RankCandidates(duty, candidates)
}

// Beat advances the daemon's own beat.
func (t *Table) Beat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.members[t.self]
	own.Beat++
	own.HeardAt = t.clock.Now()
}

// SetFact stores a fact if its rank is higher than that of the held one.
func (t *Table) SetFact(key string, rank uint64, payload []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held, ok := t.facts[key]; ok && held.Rank >= rank {
		return false
	}
	t.facts[key] = Fact{Key: key, Rank: rank, Payload: payload, at: t.clock.Now()}
	t.notify()
	return true
}

// Fact returns the fact of a key.
func (t *Table) Fact(key string) (Fact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fact, ok := t.facts[key]
	return fact, ok
}

// Facts returns all facts in no particular order.
func (t *Table) Facts() []Fact {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.facts))
}

func (t *Table) encodeFacts() []*pb.Fact {
	t.mu.Lock()
	defer t.mu.Unlock()
	facts := make([]*pb.Fact, 0, len(t.facts))
	for _, fact := range t.facts {
		facts = append(facts, &pb.Fact{Key: fact.Key, Rank: fact.Rank, Payload: fact.Payload})
	}
	return facts
}

func (t *Table) digests() []*pb.MemberDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	digests := make([]*pb.MemberDigest, 0, len(t.members))
	for _, m := range t.members {
		digests = append(digests, m.digest())
	}
	return digests
}

func (t *Table) ownState() *pb.MemberState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[t.self].encode()
}

// answer compares the digests of a peer with the table: states that the peer
// lacks, and members of which the peer knows something newer. Beats advance.
func (t *Table) answer(digests []*pb.MemberDigest) (newer []*pb.MemberState, wanted []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	named := make(map[string]bool, len(digests))
	for _, d := range digests {
		named[d.GetName()] = true
		m, ok := t.members[d.GetName()]
		if !ok || m.newer(d.GetIncarnation(), d.GetCounter()) {
			if d.GetName() == t.self {
				t.refute(d)
			} else {
				wanted = append(wanted, d.GetName())
			}
			continue
		}
		if d.GetIncarnation() == m.Incarnation {
			t.advance(m, d.GetBeat())
		}
		if d.GetIncarnation() < m.Incarnation || d.GetCounter() < m.Counter {
			newer = append(newer, m.encode())
		}
	}
	if len(digests) == 0 {
		return newer, wanted
	}
	for name, m := range t.members {
		if !named[name] && (m.Self || t.clock.Now().Sub(m.HeardAt) < silentAfter) {
			newer = append(newer, m.encode())
		}
	}
	return newer, wanted
}

func (t *Table) advance(m *Member, beat uint64) {
	if beat > m.Beat && !m.Self {
		m.Beat = beat
		m.HeardAt = t.clock.Now()
	}
}

// refute takes an incarnation above one that another daemon knows under the
// own name: the time of day went back between two starts.
func (t *Table) refute(d *pb.MemberDigest) {
	own := t.members[t.self]
	own.Incarnation = d.GetIncarnation() + 1
	own.Counter++
	t.notify()
}

// states returns the states of the named members.
func (t *Table) states(names []string) []*pb.MemberState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []*pb.MemberState
	for _, name := range names {
		if m, ok := t.members[name]; ok {
			states = append(states, m.encode())
		}
	}
	return states
}

// apply takes states and facts of a peer. It returns the members that are new.
func (t *Table) apply(states []*pb.MemberState, facts []*pb.Fact) ([]string, error) {
	var joined []string
	var failed error
	changed := false
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range states {
		d := record.GetDigest()
		m, ok := t.members[d.GetName()]
		if ok && !m.newer(d.GetIncarnation(), d.GetCounter()) {
			if d.GetIncarnation() == m.Incarnation {
				t.advance(m, d.GetBeat())
			}
			continue
		}
		if d.GetName() == t.self {
			t.refute(d)
			changed = true
			continue
		}
		state, err := decodeState(record)
		if err != nil {
			failed = err
			continue
		}
		if !ok || d.GetIncarnation() > m.Incarnation {
			joined = append(joined, d.GetName())
		}
		now := t.clock.Now()
		t.members[d.GetName()] = &Member{
			Name: d.GetName(), Incarnation: d.GetIncarnation(), Counter: d.GetCounter(), Beat: d.GetBeat(),
			State: state, HeardAt: now, StateAt: now, Left: leftBefore(m),
		}
		changed = true
	}
	for _, f := range facts {
		if held, ok := t.facts[f.GetKey()]; ok && held.Rank >= f.GetRank() {
			continue
		}
		t.facts[f.GetKey()] = Fact{Key: f.GetKey(), Rank: f.GetRank(), Payload: f.GetPayload(), at: t.clock.Now()}
		changed = true
	}
	if changed {
		t.notify()
	}
	return joined, failed
}

// leftBefore returns the target that had left beside a daemon, as its last state
// says. A process that starts anew does not know that its former one acknowledged
// the leaving; its peers tell it.
func leftBefore(m *Member) *Target {
	switch {
	case m == nil:
		return nil
	case m.State.Target != nil && m.State.Target.Leaving:
		return m.State.Target
	}
	return m.Left
}

// left returns the target that had left beside a member's former process.
func (t *Table) left(name string) (target string, born int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil && m.Left != nil {
		return m.Left.ID, m.Left.Born
	}
	return "", 0
}

// forget removes members that have been silent for long, and those that left.
func (t *Table) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for name, m := range t.members {
		if !m.Self && now.Sub(m.HeardAt) > forgetAfter {
			delete(t.members, name)
			t.notify()
		}
	}
}

// At returns when this daemon first held the fact.
func (f Fact) At() clock.Instant { return f.at }
