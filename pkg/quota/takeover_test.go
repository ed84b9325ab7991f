package quota

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// takeover is a fleet with the demand of one workspace, whose accountant fails.
type takeover struct {
	*simulation
	accountant *simNode
}

func newTakeover(limit Limit, demand float64) *takeover {
	s := newSimulation(1, 20, map[string]Limit{"w": limit})
	s.spread = 1
	s.run(20 * time.Second)
	name := s.nodes[0].members.Accountants(s.now, "w")[0]
	at := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == name })
	t := &takeover{s, s.nodes[at]}
	clients := slices.Delete(slices.Clone(s.nodes), at, at+1)
	s.load("w", demand, s.now.Add(30*time.Second), clients)
	s.run(5 * time.Second)
	return t
}

func (t *takeover) restartAllButLeaving() {
	leaving := t.nodes[(slices.Index(t.nodes, t.accountant)+1)%len(t.nodes)]
	leaving.retired = true
	for _, n := range t.nodes {
		if n != leaving {
			n.restart()
		}
	}
}

func (t *takeover) restartAll() {
	for _, n := range t.nodes {
		n.restart()
	}
}

// refusedFor returns the time from now to the end of the last second with refusals.
func (t *takeover) refusedFor() (last time.Duration, refused int) {
	for i := range 20 {
		before := t.refusals["w"] + t.unknown["w"]
		t.run(time.Second)
		if n := t.refusals["w"] + t.unknown["w"] - before; n > 0 {
			last, refused = time.Duration(i+1)*time.Second, refused+n
		}
	}
	return last, refused
}

// TestAccountantFails guards against a workspace that is refused for longer than a new
// accountant needs, also after a restart of the whole fleet, and against refusals after an announced stop and after a short pause
// of the accountant of a small workspace.
func TestAccountantFails(t *testing.T) {
	large, small := Limit{Rate: 480, Burst: 480}, Limit{Rate: 2, Burst: 2}
	for _, c := range []struct {
		name    string
		limit   Limit
		fail    func(f *takeover)
		longest time.Duration
		refused int
	}{
		{"lost, large", large, func(f *takeover) { f.accountant.pausedUntil = f.now.Add(time.Hour) }, 5 * time.Second, 1300},
		{"lost, small", small, func(f *takeover) { f.accountant.pausedUntil = f.now.Add(time.Hour) }, 10 * time.Second, 3},
		{"paused, small", small, func(f *takeover) { f.accountant.pausedUntil = f.now.Add(2 * time.Second) }, 0, 0},
		{"stops, large", large, func(f *takeover) { f.accountant.retired = true }, 0, 0},
		{"restarts, large", large, func(f *takeover) { f.accountant.restart() }, 4 * time.Second, 1100},
		{"all but a leaving one restart, large", large, func(f *takeover) { f.restartAllButLeaving() }, 4 * time.Second, 500},
		{"all restart, large", large, func(f *takeover) { f.restartAll() }, 4 * time.Second, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTakeover(c.limit, c.limit.Rate/1.6)
			c.fail(f)
			last, refused := f.refusedFor()
			t.Logf("%d refused until %v", refused, last)
			assert.Assert(t, last <= c.longest, "refused until %v", last)
			assert.Assert(t, refused <= c.refused, "%d refused", refused)
			assert.Assert(t, float64(f.worst("w")) <= testBounds.Runs(c.limit))
		})
	}
}
