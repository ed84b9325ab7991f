package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

func endpoints(n int) []*Endpoint {
	var all []*Endpoint
	for i := range n {
		all = append(all, &Endpoint{Target: string(rune('a' + i)), Service: "s", Slots: 4, SameDomain: true, Available: true})
	}
	return all
}

// chooseRepeatedly makes n calls and returns how often each target was chosen.
// took returns the response time of an endpoint.
func chooseRepeatedly(b *Balancer, call *attempt.Request, all []*Endpoint, n int, took func(*Endpoint) time.Duration) map[string]int {
	chosen := make(map[string]int)
	for range n {
		e := b.Choose(call, all, nil)
		chosen[e.Target]++
		load := &attempt.Load{Slots: 4, ServiceTime: took(e)}
		b.Done(e, call, &Result{Answered: true, Ran: took(e), Took: took(e), Load: load})
	}
	return chosen
}

// TestTargetsAreComparedByRoute guards against comparing targets across routes.
// A target that had served mostly short requests had a low average and
// attracted more of them: one of four targets got nine tenths of the short
// requests.
func TestTargetsAreComparedByRoute(t *testing.T) {
	b := New(zap.NewNop())
	all := endpoints(4)
	long, short := &attempt.Request{Route: "long", Objective: time.Second}, &attempt.Request{Route: "short", Objective: time.Second}
	// All targets but the first have served long requests before the first short one.
	chooseRepeatedly(b, long, all[1:], 60, func(*Endpoint) time.Duration { return 200 * time.Millisecond })
	chosen := chooseRepeatedly(b, short, all, 400, func(*Endpoint) time.Duration { return 30 * time.Millisecond })
	for _, e := range all {
		assert.Assert(t, chosen[e.Target] >= 20, "%s got %d of 400", e.Target, chosen[e.Target])
	}
}

// TestSlowTargetGetsFewerCalls guards against an even distribution over targets
// of different speed.
func TestSlowTargetGetsFewerCalls(t *testing.T) {
	b := New(zap.NewNop())
	chosen := chooseRepeatedly(b, &attempt.Request{Route: "r", Objective: time.Second}, endpoints(2), 300, func(e *Endpoint) time.Duration {
		if e.Target == "a" {
			return 300 * time.Millisecond
		}
		return 100 * time.Millisecond
	})
	assert.Assert(t, chosen["a"] < chosen["b"]/4, "%v", chosen)
}

// TestFullTargetIsAvoided guards against calls to full targets, which would
// refuse them, while a slower target has free slots.
func TestFullTargetIsAvoided(t *testing.T) {
	b := New(zap.NewNop())
	all := endpoints(2)
	call := &attempt.Request{Route: "r", Objective: 600 * time.Millisecond}
	b.runTimes["r"] = 200 * time.Millisecond
	b.statsFor("a").load = attempt.Load{Busy: 4, Queued: 4, Slots: 4, ServiceTime: 200 * time.Millisecond, At: time.Now()}
	b.statsFor("b").load = attempt.Load{Busy: 1, Slots: 4, ServiceTime: 500 * time.Millisecond, At: time.Now()}
	b.statsFor("b").slowness = 2.5
	assert.Equal(t, b.Choose(call, all, nil).Target, "b")
}

// TestSlowLinkIsAvoided guards against requesting large responses from a target
// whose link they would saturate.
func TestSlowLinkIsAvoided(t *testing.T) {
	b := New(zap.NewNop())
	all := endpoints(2)
	all[0].LinkMbps, all[1].LinkMbps = 10, 200
	call := &attempt.Request{Route: "sheets", Objective: time.Second}
	b.RecordSize("sheets", 90_000)
	for range 20 {
		e := b.Choose(call, all, nil)
		assert.Equal(t, e.Target, "b")
		b.Done(e, call, &Result{Refused: true, Neutral: true})
	}
}

// TestFailingTargetIsPaused guards against further calls to a failing target,
// and against a target that is never retried.
func TestFailingTargetIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(zap.NewNop())
		all, call := endpoints(1), &attempt.Request{Route: "r", Objective: time.Second}
		other := &Endpoint{Target: "z", Service: "s", Slots: 4, Available: true}
		for range failuresToPause {
			e := b.Choose(call, all, nil)
			b.Done(e, call, &Result{Failed: true})
		}
		assert.Equal(t, b.Choose(call, append(all, other), nil).Target, "z")
		time.Sleep(2 * pauseMax)
		assert.Equal(t, b.Choose(call, all, nil).Target, "a")
	})
}

// TestBackloggedLinkIsAvoided guards against choosing a target for large
// responses although its link has a backlog.
func TestBackloggedLinkIsAvoided(t *testing.T) {
	b := New(nil)
	b.RecordSize("bulk", 90<<10)
	endpoint := func(target string) *Endpoint {
		return &Endpoint{Target: target, Service: "s", SameDomain: true, Slots: 9, LinkMbps: 10, Available: true}
	}
	congested, idle := endpoint("congested"), endpoint("idle")
	call := &attempt.Request{Route: "bulk", Objective: time.Second}
	report := func(e *Endpoint, kb float64) {
		b.Done(e, call, &Result{Answered: true, Took: 200 * time.Millisecond, Ran: 100 * time.Millisecond, Load: &attempt.Load{Slots: 9, Uplink: kb}})
	}
	report(congested, 500)
	report(idle, 0)
	for range 20 {
		assert.Equal(t, b.Choose(call, []*Endpoint{congested, idle}, nil).Target, "idle")
		b.Done(idle, call, &Result{Answered: true, Took: 200 * time.Millisecond, Ran: 100 * time.Millisecond, Load: &attempt.Load{Slots: 9}})
	}
}
