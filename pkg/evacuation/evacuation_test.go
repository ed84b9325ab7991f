package evacuation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
)

// facts is a table of facts that keeps the one of the highest rank.
type facts map[string]fleet.Fact

func (f facts) set(all []fleet.Fact) {
	for _, fact := range all {
		if known, ok := f[fact.Key]; !ok || known.Rank < fact.Rank {
			f[fact.Key] = fact
		}
	}
}

func (f facts) list() []fleet.Fact {
	var all []fleet.Fact
	for _, fact := range f {
		all = append(all, fact)
	}
	return all
}

func evacuated(s *State, domain string) bool {
	inForce, _ := Domain{s, domain}.Status()
	return inForce
}

// TestStaleFacts guards against a late fact that restores an evacuation that has ended, or
// ends one that began later.
func TestStaleFacts(t *testing.T) {
	c := &clock.Manual{}
	s := State{Clock: c}
	at := func(revision int64, domains ...string) []fleet.Fact {
		var w Watch
		w.List(domains, revision)
		return []fleet.Fact{w.fact("z", time.UnixMilli(revision))}
	}
	assert.DeepEqual(t, s.Apply(at(5, "z")), []Change{{"z", true, 5}})
	assert.Assert(t, evacuated(&s, "z") && !evacuated(&s, "y"))
	assert.Equal(t, s.Since()["z"], time.UnixMilli(5))
	assert.Equal(t, len(s.Apply(at(4))), 0)
	assert.Assert(t, evacuated(&s, "z"), "ended by an older state")
	c.Advance(time.Second)
	assert.DeepEqual(t, s.Apply(at(7)), []Change{{"z", false, 7}})
	inForce, endedAt := Domain{&s, "z"}.Status()
	assert.Assert(t, !inForce)
	assert.Equal(t, endedAt, c.Now())
	assert.Equal(t, len(s.Apply(at(6, "z"))), 0)
	assert.Assert(t, !evacuated(&s, "z"), "restored by an older state")
	assert.Equal(t, len(s.Since()), 0)
	assert.Equal(t, len(s.Apply([]fleet.Fact{{Key: "order/z", Rank: 99}, {Key: factPrefix + "z", Rank: 99, Payload: []byte("[")}})), 0)
}

// TestOrphanedEvacuation guards against an evacuation that stays in force since the watcher
// that saw its begin was lost, and its fact reaches a watcher that has seen the end.
func TestOrphanedEvacuation(t *testing.T) {
	var lost, other Watch
	lost.List([]string{"z"}, 10)
	other.List(nil, 12)
	table := facts{}
	table.set(other.Correct(table.list(), time.Now()))
	table.set(lost.Correct(nil, time.Now()))
	table.set(other.Correct(table.list(), time.Now()))
	s := State{Clock: &clock.Manual{}}
	s.Apply(table.list())
	assert.Assert(t, !evacuated(&s, "z"))
}

// TestFactsFollowTheStore guards against facts that differ from the operator's entries after
// a watcher has read them, whatever other watchers read and whenever, and against facts
// that are written again without a change.
func TestFactsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := []string{"x", "y", "z"}
		history := []map[string]bool{{}} // entries by revision
		log := []Event{{}}
		watchers := make([]Watch, 3)
		table := facts{}
		read := func(w *Watch, revision int) {
			if w.revision == 0 || rapid.Bool().Draw(t, "list") {
				var listed []string
				for domain := range history[revision] {
					listed = append(listed, domain)
				}
				w.List(listed, int64(revision))
			} else if int(w.revision) <= revision {
				w.Events(log[w.revision+1:revision+1], int64(revision))
			}
			table.set(w.Correct(table.list(), time.Now()))
		}
		change := func() {
			event := Event{rapid.SampledFrom(domains).Draw(t, "domain"), rapid.Bool().Draw(t, "removed")}
			next := make(map[string]bool)
			for domain := range history[len(history)-1] {
				next[domain] = true
			}
			delete(next, event.Domain)
			if !event.Removed {
				next[event.Domain] = true
			}
			history, log = append(history, next), append(log, event)
		}
		change()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "change") {
				change()
			}
			// An answer may be as old as the store's history.
			read(&watchers[rapid.IntRange(0, 2).Draw(t, "watcher")], rapid.IntRange(1, len(history)-1).Draw(t, "revision"))
		}
		last := &watchers[rapid.IntRange(0, 2).Draw(t, "last")]
		read(last, len(history)-1)
		s := State{Clock: &clock.Manual{}}
		s.Apply(table.list())
		for _, domain := range domains {
			if evacuated(&s, domain) != history[len(history)-1][domain] {
				t.Fatalf("%s: in force %v, entries %v", domain, evacuated(&s, domain), history)
			}
		}
		if again := last.Correct(table.list(), time.Now()); len(again) > 0 {
			t.Fatalf("written again: %v", again)
		}
	})
}
