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

// twoDomains returns four targets in the own failure domain and four in another one,
// with the given published loads.
func twoDomains(nearLoad, farLoad float64) []*Endpoint {
	var all []*Endpoint
	for i := range 8 {
		e := &Endpoint{Target: fmt.Sprint(i), Service: "s", Slots: 6, Domain: "near", SameDomain: i < 4, Available: true}
		load := nearLoad
		if i >= 4 {
			e.Domain, load = "far", farLoad
		}
		e.PublishLoad(load, time.Now())
		all = append(all, e)
	}
	return all
}

// crossing returns the share of requests that leave the own domain, and that find no
// target.
func crossing(all []*Endpoint, attempted map[string]bool) (far, none float64) {
	const requests = 400
	b := New(zap.NewNop())
	request := &attempt.Request{Route: "r", Objective: 400 * time.Millisecond}
	for range requests {
		e := b.Choose(request, all, attempted)
		switch {
		case e == nil:
			none++
			continue
		case !e.SameDomain:
			far++
		}
		b.Done(e, request, &Result{Refused: true, Neutral: true})
	}
	return far / requests, none / requests
}

// TestOwnDomainIsUsed guards against traffic between failure domains that brings callers
// nothing: two thirds of the requests left a domain whose targets could serve them in
// time.
func TestOwnDomainIsUsed(t *testing.T) {
	for _, load := range []float64{0.3, 0.8} {
		far, none := crossing(twoDomains(load, 0.3), nil)
		assert.Equal(t, far, 0.0, "load %v", load)
		assert.Equal(t, none, 0.0)
	}
}

// TestExcessGoesWhereRoomIs guards against callers of a domain without room that are
// refused while another domain is idle, and against requests that cross domains to be
// refused there.
func TestExcessGoesWhereRoomIs(t *testing.T) {
	far, _ := crossing(twoDomains(3, 0.3), nil)
	assert.Equal(t, far, 1.0)
	far, _ = crossing(twoDomains(3, 1.2), nil)
	assert.Equal(t, far, 0.0)
	attempted := map[string]bool{"0": true, "1": true, "2": true, "3": true}
	far, none := crossing(twoDomains(1, 1.2), attempted)
	assert.Equal(t, far, 0.0)
	assert.Equal(t, none, 1.0, "refused at once")
}

// TestDomainWithoutTargets guards against a domain that is refused because it has no
// targets of its own, at any load of the others.
func TestDomainWithoutTargets(t *testing.T) {
	far, none := crossing(twoDomains(0, 1.2)[4:], nil)
	assert.Equal(t, far, 1.0)
	assert.Equal(t, none, 0.0)
}

// TestCommonFailures guards against a pause of most targets of a domain when all of them
// reject a part of their requests: the remaining ones got more than they could run.
func TestCommonFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := twoDomains(0.3, 1.2)
		b := New(zap.NewNop())
		request := &attempt.Request{Route: "r", Objective: 400 * time.Millisecond}
		used := make(map[string]bool)
		for range 200 {
			e := b.Choose(request, all, nil)
			used[e.Target] = true
			b.Done(e, request, &Result{Failed: true, Took: time.Millisecond})
		}
		assert.Equal(t, len(used), 4, "targets in use: %v", used)
		pausedOnly := 0
		for range 50 {
			if e := b.Choose(request, all, nil); b.stats[e.Target].pausedUntil.After(time.Now()) {
				pausedOnly++
			}
		}
		assert.Assert(t, pausedOnly > 0, "paused targets are used again")
	})
}

// TestFullDomainIsPaused guards against requests that cross domains one after the other
// although the first was refused: the published loads tell of room that is gone.
func TestFullDomainIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := twoDomains(3, 0.3)
		b := New(zap.NewNop())
		request := &attempt.Request{Route: "r", Objective: 400 * time.Millisecond}
		cross := func() bool {
			e := b.Choose(request, all, nil)
			b.Done(e, request, &Result{Refused: true, Neutral: true, QueueFull: !e.SameDomain})
			return !e.SameDomain
		}
		assert.Assert(t, cross())
		assert.Assert(t, !cross(), "right after a refusal")
		time.Sleep(fullDomainPause + time.Millisecond)
		for _, e := range all[:4] {
			e.PublishLoad(3, time.Now())
		}
		assert.Assert(t, cross(), "later")
	})
}
