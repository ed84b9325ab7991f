// Package evacuation holds which failure domains the operator evacuates, as the facts of
// the fleet tell it, and decides which facts a watcher of the operator's entries sets.
package evacuation

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
)

// factPrefix is the key prefix of the facts about evacuations. The failure domain
// follows. Their rank is the store revision at which the state was known.
const factPrefix = "evacuation/"

// payload is the content of a fact.
type payload struct {
	InForce bool  `json:"inForce"`
	SinceMS int64 `json:"sinceMS,omitempty"` // when the fleet learned of the evacuation, in Unix milliseconds
}

// decode returns the failure domain and the content of a fact. It reports false for a fact
// about something else.
func decode(fact *fleet.Fact) (domain string, content payload, ok bool) {
	domain, ok = strings.CutPrefix(fact.Key, factPrefix)
	if !ok || json.Unmarshal(fact.Payload, &content) != nil {
		return "", payload{}, false
	}
	return domain, content, true
}

// record is the known state of one domain.
type record struct {
	rank    uint64
	inForce bool
	since   time.Time
	endedAt clock.Instant
}

// State is the set of evacuated failure domains. It is safe for concurrent use.
type State struct {
	Clock clock.Clock

	mu      sync.Mutex
	domains map[string]record
}

// Change is a change of the state of a domain.
type Change struct {
	Domain  string
	InForce bool
	Rank    uint64
}

// Apply takes over the facts that are newer than the known state, and returns the changes
// that they cause. An evacuation ends at the time at which its end is learned.
func (s *State) Apply(facts []fleet.Fact) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Change
	for i := range facts {
		domain, content, ok := decode(&facts[i])
		known, exists := s.domains[domain]
		if !ok || exists && known.rank >= facts[i].Rank {
			continue
		}
		next := record{rank: facts[i].Rank, inForce: content.InForce, endedAt: known.endedAt}
		if content.InForce {
			next.since = time.UnixMilli(content.SinceMS)
		} else {
			next.endedAt = s.Clock.Now()
		}
		if s.domains == nil {
			s.domains = make(map[string]record)
		}
		s.domains[domain] = next
		if !exists || known.inForce != next.inForce {
			changes = append(changes, Change{domain, next.inForce, next.rank})
		}
	}
	return changes
}

// Since returns the domains that are being evacuated, and since when.
func (s *State) Since() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := make(map[string]time.Time)
	for domain, r := range s.domains {
		if r.inForce {
			since[domain] = r.since
		}
	}
	return since
}

// Domain is the view of State for one domain. It implements proxy.Evacuation.
type Domain struct {
	State *State
	Name  string
}

// Status reports whether an evacuation is in force, and when the last one ended, 0 if none
// did.
func (d Domain) Status() (inForce bool, endedAt clock.Instant) {
	d.State.mu.Lock()
	defer d.State.mu.Unlock()
	r := d.State.domains[d.Name]
	return r.inForce, r.endedAt
}

// Watch is the state of the operator's entries at one revision of the store, as a watcher
// reads it.
type Watch struct {
	revision int64
	domains  map[string]bool // that are being evacuated
}

// List replaces the state by a list of all entries.
func (w *Watch) List(domains []string, revision int64) {
	w.revision, w.domains = revision, make(map[string]bool, len(domains))
	for _, domain := range domains {
		w.domains[domain] = true
	}
}

// Event is a change of an entry.
type Event struct {
	Domain  string
	Removed bool
}

// Events applies changes, in the order of the store, up to a revision.
func (w *Watch) Events(events []Event, revision int64) {
	w.revision = revision
	for _, event := range events {
		if event.Removed {
			delete(w.domains, event.Domain)
		} else {
			w.domains[event.Domain] = true
		}
	}
}

// Correct returns the facts that differ from the entries and are older, with the state and
// the rank that they must get. Facts that another watcher has set at a later revision
// stay. It must be called after each answer of the store: an older fact may arrive at any
// time, from a watcher that was lost before it could read the end of the evacuation.
func (w *Watch) Correct(facts []fleet.Fact, now time.Time) []fleet.Fact {
	if w.revision <= 0 {
		return nil
	}
	missing := maps.Clone(w.domains)
	var corrections []fleet.Fact
	for i := range facts {
		domain, content, ok := decode(&facts[i])
		if !ok {
			continue
		}
		delete(missing, domain)
		if facts[i].Rank < uint64(w.revision) && content.InForce != w.domains[domain] {
			corrections = append(corrections, w.fact(domain, now))
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(missing)) {
		corrections = append(corrections, w.fact(domain, now))
	}
	return corrections
}

func (w *Watch) fact(domain string, now time.Time) fleet.Fact {
	content := payload{InForce: w.domains[domain]}
	if content.InForce {
		content.SinceMS = now.UnixMilli()
	}
	encoded, err := json.Marshal(content)
	if err != nil {
		panic("evacuation: encode fact: " + err.Error()) // cannot happen: all fields are plain values
	}
	return fleet.Fact{Key: factPrefix + domain, Rank: uint64(w.revision), Payload: encoded}
}
