package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

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

	mu           sync.Mutex
	members      map[string]*Member
	ordered      []*Member // by name
	buckets      [bucketCount]bucket
	removed      map[string]*pb.MemberDigest // last digests of removed members
	facts        map[string]Fact
	version      uint64 // incremented with each change of a state or fact
	factsVersion uint64 // incremented with each change of a fact
	changed      chan struct{}
	ranks        map[string]ranking // by role
	live         liveCount
	followedFrom clock.Instant // since when this daemon has followed its peers without a suspension
}

// NewTable returns a table with the local daemon as its only member.
func NewTable(self string, incarnation uint64, state State, c clock.Clock) *Table {
	t := &Table{
		self: self, clock: c, members: make(map[string]*Member), facts: make(map[string]Fact),
		removed: make(map[string]*pb.MemberDigest), ranks: make(map[string]ranking),
		changed: make(chan struct{}), version: 1, followedFrom: c.Now(),
	}
	t.insert(&Member{
		Name: self, Incarnation: incarnation, Counter: 1, Heartbeat: 1, State: &state, LastHeartbeat: c.Now(), StateChangedAt: c.Now(), Self: true,
	})
	return t
}

// insert adds a member. The caller holds mu.
func (t *Table) insert(m *Member) {
	t.members[m.Name] = m
	at, _ := slices.BinarySearchFunc(t.ordered, m.Name, compareNames)
	t.ordered = slices.Insert(t.ordered, at, m)
	t.buckets[bucketOf(m.Name)].insert(m)
}

// remove removes a member. The caller holds mu.
func (t *Table) remove(m *Member) {
	delete(t.members, m.Name)
	if at, found := slices.BinarySearchFunc(t.ordered, m.Name, compareNames); found {
		t.ordered = slices.Delete(t.ordered, at, at+1)
	}
	t.buckets[bucketOf(m.Name)].remove(m.Name)
}

// supersede marks the state of a member as changed. The caller holds mu.
func (t *Table) supersede(m *Member) { t.buckets[bucketOf(m.Name)].stale = true }

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
	t.supersede(local)
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
	members := make([]Member, 0, len(t.ordered))
	for _, m := range t.ordered {
		members = append(members, *m)
	}
	return members
}

// Each calls visit with each member, ordered by name, without copying the table.
// The member is valid during the call only, and visit must not use the table.
func (t *Table) Each(visit func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.ordered {
		visit(m)
	}
}

// Member returns the member with the given name.
func (t *Table) Member(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Live returns the members with a recent heartbeat that are not leaving.
func (t *Table) Live() []Member {
	now := t.clock.Now()
	return slices.DeleteFunc(t.Members(), func(m Member) bool { return !m.Live(now) })
}

// AdvanceHeartbeat increments the local heartbeat. It returns for how long this daemon was
// suspended, 0 if it was not.
func (t *Table) AdvanceHeartbeat() (suspended time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, local := t.clock.Now(), t.members[t.self]
	if gap := now.Sub(local.LastHeartbeat); gap > maxRoundGap {
		suspended, t.followedFrom = gap, now
	}
	local.Heartbeat++
	local.LastHeartbeat = now
	return suspended
}

// Followed returns for how long this daemon has followed its peers without a suspension.
// A peer that was not heard for a longer time need not be silent: this daemon may not have
// listened. After a suspension it returns 0 even before the next round.
func (t *Table) Followed() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if now.Sub(t.members[t.self].LastHeartbeat) > maxRoundGap {
		return 0
	}
	return now.Sub(t.followedFrom)
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
	t.factsVersion++
	t.notify()
	return true
}

// FactsVersion returns a counter that is incremented with each change of a fact.
func (t *Table) FactsVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.factsVersion
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

func (t *Table) localState() *pb.MemberState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[t.self].encode()
}

// advanceHeartbeat records a newer heartbeat of a member and the load published with it.
// The caller holds mu.
func (t *Table) advanceHeartbeat(m *Member, heartbeat uint64, load byte) {
	if heartbeat <= m.Heartbeat || m.Self {
		return
	}
	now := t.clock.Now()
	wasLive := m.Live(now)
	m.Heartbeat, m.LastHeartbeat, m.load = heartbeat, now, load
	if wasLive != m.Live(now) {
		t.notify()
	}
}

// recordConfigVersion records the configuration version of a member, as reported by
// the member itself.
func (t *Table) recordConfigVersion(name string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[name]; m != nil {
		m.ConfigVersion = max(m.ConfigVersion, version)
	}
}

// refute raises the local incarnation above that of a newer state that a peer has
// of this daemon. Such a state remains from an earlier process if the wall clock
// went backwards between the two starts.
func (t *Table) refute(d *pb.MemberDigest) {
	local := t.members[t.self]
	local.Incarnation = d.GetIncarnation() + 1
	local.Counter++
	t.supersede(local)
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
				t.advanceHeartbeat(m, d.GetBeat(), byte(d.GetLoad()))
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
		if !ok && t.wasRemoved(d) {
			continue
		}
		if !ok || d.GetIncarnation() > m.Incarnation {
			joined = append(joined, d.GetName())
		}
		t.replace(m, d, state)
		changed = true
	}
	for _, f := range facts {
		if stored, ok := t.facts[f.GetKey()]; ok && stored.Rank >= f.GetRank() {
			continue
		}
		t.facts[f.GetKey()] = Fact{Key: f.GetKey(), Rank: f.GetRank(), Payload: f.GetPayload(), receivedAt: t.clock.Now()}
		t.factsVersion++
		changed = true
	}
	if changed {
		t.notify()
	}
	return joined, decodeErr
}

// replace stores the state of a member, which is nil if the member is new. The caller
// holds mu.
func (t *Table) replace(m *Member, d *pb.MemberDigest, state *State) {
	now := t.clock.Now()
	next := Member{
		Name: d.GetName(), Incarnation: d.GetIncarnation(), Counter: d.GetCounter(), Heartbeat: d.GetBeat(), load: byte(d.GetLoad()),
		State: state, LastHeartbeat: now, StateChangedAt: now, LeftTarget: leftTargetOf(m),
	}
	if m == nil {
		delete(t.removed, next.Name)
		t.insert(&next)
		return
	}
	if next.Incarnation == m.Incarnation {
		next.ConfigVersion = m.ConfigVersion
		if m.Heartbeat > next.Heartbeat {
			next.Heartbeat, next.load = m.Heartbeat, m.load
		}
	}
	*m = next
	t.supersede(m)
}

// wasRemoved reports whether a digest shows no sign of life of a removed member since
// its removal. Peers that have not removed the member yet still list it. The caller
// holds mu.
func (t *Table) wasRemoved(d *pb.MemberDigest) bool {
	last := t.removed[d.GetName()]
	return last != nil && (d.GetIncarnation() < last.GetIncarnation() ||
		d.GetIncarnation() == last.GetIncarnation() && d.GetBeat() <= last.GetBeat())
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
	for _, m := range slices.Clone(t.ordered) {
		if m.Self || now.Sub(m.LastHeartbeat) <= removeAfter {
			continue
		}
		if len(t.removed) >= maxRemoved {
			clear(t.removed) // a forgotten member is added once more, and removed again
		}
		t.removed[m.Name] = m.digest()
		t.remove(m)
		t.notify()
	}
}

// ReceivedAt returns when the fact was stored in the local table.
func (f Fact) ReceivedAt() clock.Instant { return f.receivedAt }
