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

// Fact is a replicated record that any daemon may replace by one of a higher rank.
// An example is the state of a move, ranked by its revision in the store.
type Fact struct {
	Key        string
	Rank       uint64
	Payload    []byte
	receivedAt clock.Instant
}

// Table is the local replica of the members and facts of the fleet. It is safe for
// concurrent use.
type Table struct {
	self  string
	clock clock.Clock

	mu      sync.Mutex
	members map[string]*Member
	facts   map[string]Fact
	version uint64 // incremented with each change of a state or fact
	changed chan struct{}
}

// NewTable returns a table with the local daemon as its only member.
func NewTable(self string, incarnation uint64, state State, c clock.Clock) *Table {
	t := &Table{
		self: self, clock: c, members: make(map[string]*Member), facts: make(map[string]Fact),
		changed: make(chan struct{}), version: 1,
	}
	t.members[self] = &Member{
		Name: self, Incarnation: incarnation, Counter: 1, Heartbeat: 1, State: &state, LastHeartbeat: c.Now(), StateChangedAt: c.Now(), Self: true,
	}
	return t
}

// Changed returns a channel that is closed on the next change of a state or fact.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Version returns a counter that is incremented with each change of a state or fact.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// notify increments the version and wakes the waiters of Changed. The caller holds mu.
func (t *Table) notify() {
	t.version++
	close(t.changed)
	t.changed = make(chan struct{})
}

// Update applies change to the local state and reports whether the state differs.
func (t *Table) Update(change func(*State)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := t.members[t.self]
	next := *local.State
	change(&next)
	if equalStates(local.State, &next) {
		return false
	}
	local.State = &next
	local.Counter++
	local.StateChangedAt = t.clock.Now()
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

// Local returns the member of the local daemon.
func (t *Table) Local() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return *t.members[t.self]
}

// Members returns all members, ordered by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.members))
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		members = append(members, *t.members[name])
	}
	return members
}

// Live returns the members with a recent heartbeat that are not leaving.
func (t *Table) Live() []Member {
	now := t.clock.Now()
	return slices.DeleteFunc(t.Members(), func(m Member) bool {
		return !m.Self && now.Sub(m.LastHeartbeat) > silentAfter || m.State.Leaving
	})
}

// highCapacityRatio is the fraction of the largest link and CPU limit in the fleet
// that a machine must reach in both to be ranked as a high-capacity machine.
const highCapacityRatio = 0.5

// Candidate is a daemon that is eligible for a role.
type Candidate struct {
	Name     string
	LinkMbps float64
	Cores    float64
}

// RankCandidates returns the names of the candidates for a role, best first, by
// rendezvous hashing. High-capacity machines precede all others, since roles cost
// CPU time and bandwidth. The order depends on the role and the set of candidates
// only, so all daemons compute the same one.
func RankCandidates(role string, candidates []Candidate) []string {
	var link, cores float64
	for _, c := range candidates {
		link, cores = max(link, c.LinkMbps), max(cores, c.Cores)
	}
	highCapacity := func(c Candidate) bool {
		return c.LinkMbps >= highCapacityRatio*link && c.Cores >= highCapacityRatio*cores
	}
	weight := func(c Candidate) uint64 { return xxhash.Sum64String(role + "/" + c.Name) }
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if highCapacity(a) != highCapacity(b) {
			if highCapacity(a) {
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

// Rank returns the names of the live members that are eligible for a role, best
// first. A nil eligible function accepts all members that are not stopping.
func (t *Table) Rank(role string, eligible func(Member) bool) []string {
	var candidates []Candidate
	for _, m := range t.Live() {
		if !m.State.Stopping && (eligible == nil || eligible(m)) {
			candidates = append(candidates, Candidate{m.Name, m.State.LinkMbps, m.State.Cores})
		}
	}
	return RankCandidates(role, candidates)
}

// AdvanceHeartbeat increments the local heartbeat.
func (t *Table) AdvanceHeartbeat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := t.members[t.self]
	local.Heartbeat++
	local.LastHeartbeat = t.clock.Now()
}

// SetFact stores a fact if its rank is higher than that of the stored one, and
// reports whether it did.
func (t *Table) SetFact(key string, rank uint64, payload []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stored, ok := t.facts[key]; ok && stored.Rank >= rank {
		return false
	}
	t.facts[key] = Fact{Key: key, Rank: rank, Payload: payload, receivedAt: t.clock.Now()}
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

func (t *Table) localState() *pb.MemberState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[t.self].encode()
}

// compare compares the digests of a peer with the table. It returns the states that
// are newer than those of the peer, and the names of members whose state is newer
// at the peer. Heartbeats of the digests are merged into the table. Without digests
// (a push) no states are returned.
func (t *Table) compare(digests []*pb.MemberDigest) (newer []*pb.MemberState, wanted []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(digests))
	for _, d := range digests {
		listed[d.GetName()] = true
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
			t.advanceHeartbeat(m, d.GetBeat())
		}
		if d.GetIncarnation() < m.Incarnation || d.GetCounter() < m.Counter {
			newer = append(newer, m.encode())
		}
	}
	if len(digests) == 0 {
		return newer, wanted
	}
	for name, m := range t.members {
		if !listed[name] && (m.Self || t.clock.Now().Sub(m.LastHeartbeat) < silentAfter) {
			newer = append(newer, m.encode())
		}
	}
	return newer, wanted
}

func (t *Table) advanceHeartbeat(m *Member, heartbeat uint64) {
	if heartbeat > m.Heartbeat && !m.Self {
		m.Heartbeat = heartbeat
		m.LastHeartbeat = t.clock.Now()
	}
}

// refute raises the local incarnation above that of a newer state that a peer has
// of this daemon. Such a state remains from an earlier process if the wall clock
// went backwards between the two starts.
func (t *Table) refute(d *pb.MemberDigest) {
	local := t.members[t.self]
	local.Incarnation = d.GetIncarnation() + 1
	local.Counter++
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

// apply merges states and facts of a peer into the table. It returns the names of
// the members that are new or have restarted. A state that cannot be decoded is
// ignored, and the last such error is returned.
func (t *Table) apply(states []*pb.MemberState, facts []*pb.Fact) ([]string, error) {
	var joined []string
	var decodeErr error
	changed := false
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, record := range states {
		d := record.GetDigest()
		m, ok := t.members[d.GetName()]
		if ok && !m.newer(d.GetIncarnation(), d.GetCounter()) {
			if d.GetIncarnation() == m.Incarnation {
				t.advanceHeartbeat(m, d.GetBeat())
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
			decodeErr = err
			continue
		}
		if !ok || d.GetIncarnation() > m.Incarnation {
			joined = append(joined, d.GetName())
		}
		now := t.clock.Now()
		t.members[d.GetName()] = &Member{
			Name: d.GetName(), Incarnation: d.GetIncarnation(), Counter: d.GetCounter(), Heartbeat: d.GetBeat(),
			State: state, LastHeartbeat: now, StateChangedAt: now, LeftTarget: leftTargetOf(m),
		}
		changed = true
	}
	for _, f := range facts {
		if stored, ok := t.facts[f.GetKey()]; ok && stored.Rank >= f.GetRank() {
			continue
		}
		t.facts[f.GetKey()] = Fact{Key: f.GetKey(), Rank: f.GetRank(), Payload: f.GetPayload(), receivedAt: t.clock.Now()}
		changed = true
	}
	if changed {
		t.notify()
	}
	return joined, decodeErr
}

// leftTargetOf returns the leaving target in the last state of a member, or the one
// carried over from an earlier process. A restarted daemon does not know that its
// previous process acknowledged the departure; its peers send it this target.
func leftTargetOf(m *Member) *Target {
	switch {
	case m == nil:
		return nil
	case m.State.Target != nil && m.State.Target.Leaving:
		return m.State.Target
	}
	return m.LeftTarget
}

// leftTarget returns the ID and start time of the target that left at the previous
// process of a member, or an empty ID if there is none.
func (t *Table) leftTarget(name string) (target string, startMS int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil && m.LeftTarget != nil {
		return m.LeftTarget.ID, m.LeftTarget.StartMS
	}
	return "", 0
}

// removeSilent removes the members without a heartbeat for removeAfter.
func (t *Table) removeSilent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for name, m := range t.members {
		if !m.Self && now.Sub(m.LastHeartbeat) > removeAfter {
			delete(t.members, name)
			t.notify()
		}
	}
}

// ReceivedAt returns when the fact was stored in the local table.
func (f Fact) ReceivedAt() clock.Instant { return f.receivedAt }
