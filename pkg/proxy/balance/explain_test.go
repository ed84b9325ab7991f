package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

// TestExplainChoices guards against an explanation that names another target or reason
// than the one by which requests are sent.
func TestExplainChoices(t *testing.T) {
	request := &attempt.Request{Route: "r", Objective: 400 * time.Millisecond}
	pause := func(b *Balancer, all []*Endpoint) {
		for _, e := range all {
			s := b.statsFor(e.Target)
			s.unresponsive, s.consecutiveFailures, s.pausedUntil = true, failuresToPause, time.Now().Add(time.Second)
		}
	}
	for _, c := range []struct {
		name      string
		near, far float64 // loads
		change    func(b *Balancer, all []*Endpoint)
		domain    string // of the chosen target
		reason    Reason
	}{
		{"own domain", 0.3, 0.3, nil, "near", OwnDomain},
		{"own domain full", 3, 0.3, nil, "far", OwnDomainFull},
		{"no room", 3, 3, nil, "near", NoRoom},
		{"own domain paused", 0.3, 0.3, func(b *Balancer, all []*Endpoint) { pause(b, all[:4]) }, "far", OwnDomainEmpty},
		{"all paused", 0.3, 0.3, pause, "near", AllPaused},
		{"no target", 0.3, 0.3, func(_ *Balancer, all []*Endpoint) {
			for _, e := range all {
				e.Available = false
			}
		}, "", NoTarget},
		{"cold share", 0.3, 0.3, func(b *Balancer, all []*Endpoint) {
			all[2].ColdRate, all[2].WarmAt = 1, time.Now().Add(time.Minute)
			b.statsFor(all[2].Target).cold.skipped = minColdSkip * len(all)
			b.statsFor(all[2].Target).callsSinceLoad = 1
		}, "near", ColdShareDue},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { // the known loads do not age
				b, all := New(zap.NewNop()), twoDomains(c.near, c.far)
				if c.change != nil {
					c.change(b, all)
				}
				got := b.Explain(request, all)
				assert.Equal(t, got.Reason, c.reason)
				assert.Equal(t, len(got.Candidates), len(all))
				chosen := b.Choose(request, all, nil)
				for _, e := range []*Endpoint{got.Chosen, chosen} {
					domain := ""
					if e != nil {
						domain = e.Domain
					}
					assert.Equal(t, domain, c.domain)
				}
				for _, candidate := range got.Candidates {
					used := candidate.Endpoint.Available && candidate.Paused == 0
					assert.Equal(t, candidate.Evaluated, used, candidate.Endpoint.Target)
					assert.Equal(t, candidate.Full, used && candidate.Load > 2, candidate.Endpoint.Target)
				}
			})
		})
	}
}

// TestExplainChangesNothing guards against an explanation that counts as a call, adopts a
// load, creates statistics or takes the turn of a cold target.
func TestExplainChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, all := New(zap.NewNop()), twoDomains(0.5, 0.2)
		all[1].ColdRate, all[1].WarmAt = 1, time.Now().Add(time.Minute)
		request := &attempt.Request{Route: "r", Objective: 400 * time.Millisecond}
		e := b.Choose(request, all, nil)
		b.Done(e, request, &Result{Failed: true, Took: time.Millisecond, Load: &attempt.Load{Slots: 6, Busy: 1}})
		b.RecordSize("r", 5000)
		time.Sleep(time.Second)
		all[0].PublishLoad(0.9, time.Now())
		delete(b.stats, all[7].Target)
		state := func() string {
			text := fmt.Sprint(b.runTimes, b.responseKB, len(b.stats), b.evaluated == nil)
			for _, e := range all {
				if s := b.stats[e.Target]; s != nil {
					text += fmt.Sprintf(" %s:%+v", e.Target, *s)
				}
			}
			return text
		}
		before := state()
		for range 50 {
			b.Explain(request, all)
		}
		assert.Equal(t, state(), before)
	})
}

// TestSameChoicesAfterExplanations guards against explanations that shift the requests of
// a cold target, whose share is counted.
func TestSameChoicesAfterExplanations(t *testing.T) {
	request := &attempt.Request{Route: "r", Objective: 400 * time.Millisecond}
	turns := func(explanations int) (turns []int) {
		b, all := New(zap.NewNop()), endpoints(3)
		all[2].ColdRate, all[2].WarmAt = 1, time.Now().Add(time.Minute)
		b.runTimes["r"] = 50 * time.Millisecond
		b.statsFor("c").load = attempt.Load{Busy: 4, Queued: 4, Slots: 4, At: time.Now()}
		for i := range 60 {
			for range explanations {
				b.Explain(request, all)
			}
			e := b.Choose(request, all, nil)
			if e.Target == "c" {
				turns = append(turns, i)
			}
			b.Done(e, request, &Result{Refused: true, Neutral: true})
		}
		return turns
	}
	synctest.Test(t, func(t *testing.T) {
		without := turns(0)
		assert.Assert(t, len(without) > 2, "%v", without)
		assert.DeepEqual(t, turns(7), without)
	})
}
