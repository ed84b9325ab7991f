package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// derivedMaxAge is the age above which a ranking or count of the live members is
// computed again even if the version of the table is unchanged, since a member
// becomes silent without a new version.
const derivedMaxAge = 100 * time.Millisecond

// ranking is a cached result of Rank.
type ranking struct {
	version uint64
	at      clock.Instant
	names   []string
}

// liveCount is a cached result of LiveCount.
type liveCount struct {
	version uint64
	at      clock.Instant
	members int
}

// LiveCount returns the number of live members, at most derivedMaxAge old.
func (t *Table) LiveCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.live.version != t.version || now.Sub(t.live.at) > derivedMaxAge {
		t.live = liveCount{version: t.version, at: now}
		for _, m := range t.ordered {
			if m.Live(now) {
				t.live.members++
			}
		}
	}
	return t.live.members
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
	type ranked struct {
		name         string
		highCapacity bool
		weight       uint64
	}
	var link, cores float64
	for _, c := range candidates {
		link, cores = max(link, c.LinkMbps), max(cores, c.Cores)
	}
	order := make([]ranked, len(candidates))
	for i, c := range candidates {
		order[i] = ranked{
			name: c.Name, highCapacity: c.LinkMbps >= highCapacityRatio*link && c.Cores >= highCapacityRatio*cores,
			weight: xxhash.Sum64String(role + "/" + c.Name),
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.highCapacity != b.highCapacity {
			if a.highCapacity {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	names := make([]string, len(order))
	for i, c := range order {
		names[i] = c.name
	}
	return names
}

// Rank returns the names of the live members that are eligible for a role, best
// first. A nil eligible function accepts all members that are not stopping; a role
// must always be ranked with the same function. The result is at most derivedMaxAge
// old and must not be changed.
func (t *Table) Rank(role string, eligible func(*Member) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if r, ok := t.ranks[role]; ok && r.version == t.version && now.Sub(r.at) <= derivedMaxAge {
		return r.names
	}
	var candidates []Candidate
	for _, m := range t.ordered {
		if m.Live(now) && !m.State.Stopping && (eligible == nil || eligible(m)) {
			candidates = append(candidates, Candidate{m.Name, m.State.LinkMbps, m.State.Cores})
		}
	}
	names := RankCandidates(role, candidates)
	t.ranks[role] = ranking{t.version, now, names}
	return names
}
