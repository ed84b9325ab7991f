package route

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func endpoints(domain, version string, n int) []*pb.Endpoint {
	list := make([]*pb.Endpoint, n)
	for i := range list {
		name := fmt.Sprintf("%s-%s-%d", domain, version, i)
		list[i] = &pb.Endpoint{
			Name: name, Address: name, Domain: domain, Version: version,
			State: pb.EndpointState_ENDPOINT_READY, Slots: 10,
		}
	}
	return list
}

func testBalancer(seed uint64) *balancer { return newBalancer("caller", "a", seed, func(string) {}) }

// TestSubsetBound guards against a subset that exceeds maxSubset, contains unusable
// endpoints, or lacks endpoints of a version that has some.
func TestSubsetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*pb.Endpoint
		versions := map[string]int{}
		for _, domain := range []string{"a", "b", "c"} {
			for _, version := range []string{"v1", "v2", "v3"} {
				list := endpoints(domain, version, rapid.IntRange(0, 40).Draw(t, domain+version))
				for _, e := range list {
					e.State = rapid.SampledFrom([]pb.EndpointState{1, 1, 1, 2, 3}).Draw(t, "state")
					if usable(e) {
						versions[version]++
					}
				}
				all = append(all, list...)
			}
		}
		name := rapid.String().Draw(t, "name")
		chosen := subset(name, "a", all)
		found, seen := map[string]int{}, map[string]bool{}
		for _, e := range chosen {
			assert.Assert(t, usable(e) && !seen[e.GetName()])
			seen[e.GetName()] = true
			found[e.GetVersion()]++
		}
		total := 0
		for version, n := range versions {
			total += n
			assert.Assert(t, found[version] >= min(n, minPerVersion), "version %s has %d of %d", version, found[version], n)
		}
		assert.Assert(t, len(chosen) <= maxSubset)
		assert.Assert(t, len(chosen) >= min(total, maxSubset-len(versions)), "%d chosen of %d", len(chosen), total)
		assert.DeepEqual(t, names(chosen), names(subset(name, "a", all)))
	})
}

func names(list []*pb.Endpoint) []string {
	var result []string
	for _, e := range list {
		result = append(result, e.GetName())
	}
	return result
}

// TestSubsetPrefersLocalDomain guards against a subset of mostly remote endpoints
// although the local domain has enough, and against one without remote endpoints to
// spill over to.
func TestSubsetPrefersLocalDomain(t *testing.T) {
	local := 0
	for _, e := range subset("caller", "a", append(endpoints("a", "v1", 50), endpoints("b", "v1", 50)...)) {
		if e.GetDomain() == "a" {
			local++
		}
	}
	assert.Equal(t, local, maxSubset-remoteReserve)
}

// TestSpill guards against calls sent to remote domains while the local domain has
// enough free slots, and against calls kept local while only remote domains have free
// slots.
func TestSpill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := func(label string) []*targetState {
			list := make([]*targetState, rapid.IntRange(1, 8).Draw(t, label))
			for i := range list {
				slots := int32(rapid.IntRange(1, 20).Draw(t, label+" slots"))
				used := int32(rapid.IntRange(0, 25).Draw(t, label+" used"))
				list[i] = &targetState{endpoint: &pb.Endpoint{}, load: &pb.Load{Slots: slots, InUse: used}, loadReportedAt: epoch}
			}
			return list
		}
		local, remote := group("local"), group("remote")
		p := spill(local, remote, epoch, 0)
		localFree, localSlots := capacity(local, epoch, 0)
		remoteFree, _ := capacity(remote, epoch, 0)
		assert.Assert(t, p >= 0 && p <= 1)
		switch {
		case localFree >= spillFreeFraction*localSlots:
			assert.Equal(t, p, 0.0)
		case localFree == 0 && remoteFree > 0:
			assert.Equal(t, p, 1.0)
		case localFree > 0 && remoteFree == 0:
			assert.Equal(t, p, 0.0)
		}
		// An additional local call never decreases the fraction of remote calls.
		local[0].load.InUse++
		more := spill(local, remote, epoch, 0)
		if remoteFree > 0 {
			assert.Assert(t, more >= p-1e-12, "%v after %v", more, p)
		}
	})
}

// TestRetryBudgetBound guards against more retries than a tenth of the first attempts
// plus the minimum, in any order of calls and failures.
func TestRetryBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget()
		firstAttempts, retries, now := 0, 0, epoch
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				b.recordFirstAttempt()
				firstAttempts++
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			default:
				if b.allowRetry(now) {
					retries++
				}
			}
			limit := float64(firstAttempts)/10 + minRetryBurst + minRetriesPerSecond*now.Sub(epoch).Seconds()
			assert.Assert(t, float64(retries) <= limit+1e-9, "%d retries, %d first attempts", retries, firstAttempts)
		}
	})
}

// attemptWithFeedback selects an endpoint and ends the attempt with the feedback that
// feedbackOf returns for it.
func attemptWithFeedback(b *balancer, service *config.Service, list []*pb.Endpoint, now time.Time, feedbackOf func(*pb.Endpoint) feedback) (*pb.Endpoint, error) {
	p, err := b.choose(service, list, Choice{Version: "v1"}, nil, now)
	if err != nil {
		return nil, err
	}
	e := p.target.endpoint
	p.done(feedbackOf(e), time.Millisecond, nil, now, time.Duration(service.ColdStart))
	return e, nil
}

// TestBadEndpointIsSetAside guards against calls to an endpoint that keeps failing,
// an endpoint that is never probed again after it has recovered, and the loss of all
// endpoints to a fault that they share.
func TestBadEndpointIsSetAside(t *testing.T) {
	b, service, list := testBalancer(1), &config.Service{Name: "s"}, endpoints("a", "v1", 5)
	bad := true
	feedbackOf := func(e *pb.Endpoint) feedback {
		if bad && e.GetName() == list[0].GetName() {
			return feedbackFailure
		}
		return feedbackSuccess
	}
	// 20 calls are in flight at any time. The bad endpoint fails immediately, so it
	// always appears to be the least busy.
	var inFlight []*pick
	count := func(from, to time.Duration) int {
		n := 0
		for at := from; at < to; at += 10 * time.Millisecond {
			now := epoch.Add(at)
			p, err := b.choose(service, list, Choice{Version: "v1"}, nil, now)
			assert.NilError(t, err)
			if p.target.endpoint == list[0] {
				n++
			}
			if feedbackOf(p.target.endpoint) == feedbackFailure {
				p.done(feedbackFailure, time.Millisecond, nil, now, 0)
				continue
			}
			if inFlight = append(inFlight, p); len(inFlight) > 20 {
				inFlight[0].done(feedbackSuccess, 200*time.Millisecond, nil, now, 0)
				inFlight = inFlight[1:]
			}
		}
		return n
	}
	count(0, time.Second)
	faulty := count(time.Second, 60*time.Second) // 5,900 calls
	assert.Assert(t, faulty >= 2 && faulty <= 10, "%d calls to a bad endpoint in a minute", faulty)
	bad = false
	count(60*time.Second, 110*time.Second)
	good := count(110*time.Second, 120*time.Second) // 1,000 calls
	assert.Assert(t, good > 120, "a recovered endpoint got %d of 1000 calls", good)

	all := func(*pb.Endpoint) feedback { return feedbackFailure }
	for i := range 1000 {
		_, err := attemptWithFeedback(b, service, list, epoch.Add(3*time.Minute+time.Duration(i)*time.Millisecond), all)
		assert.NilError(t, err)
	}
	unavailable := func(*pb.Endpoint) feedback { return feedbackUnavailable }
	var noEndpoint *NoEndpointError
	var err error
	for i := 0; err == nil && i < 100; i++ {
		_, err = attemptWithFeedback(b, service, list, epoch.Add(5*time.Minute), unavailable)
	}
	assert.Assert(t, errors.As(err, &noEndpoint), "got %v", err)
	assert.Equal(t, noEndpoint.SetAside, 5)
}

// TestColdTargetRampsUp guards against a new target that gets its full share of calls
// during its cold start, or a reduced one after it.
func TestColdTargetRampsUp(t *testing.T) {
	b := testBalancer(3)
	service := &config.Service{Name: "s", ColdStart: config.Duration(10 * time.Second)}
	ready := endpoints("a", "v1", 4)
	good := func(*pb.Endpoint) feedback { return feedbackSuccess }
	_, err := attemptWithFeedback(b, service, ready, epoch, good)
	assert.NilError(t, err)
	list := endpoints("a", "v1", 5)
	share := func(at time.Duration) float64 {
		n := 0
		for range 2000 {
			e, err := attemptWithFeedback(b, service, list, epoch.Add(at), good)
			assert.NilError(t, err)
			if e.GetName() == list[4].GetName() {
				n++
			}
		}
		return float64(n) / 2000
	}
	assert.Assert(t, share(0) < 0.05)
	assert.Assert(t, share(time.Minute) > 0.15)
}

// TestReportedLoadDecays guards against an endpoint that is avoided forever after one
// answer reported it as busy, and against preferring a busy endpoint.
func TestReportedLoadDecays(t *testing.T) {
	busy := &targetState{endpoint: &pb.Endpoint{}, load: &pb.Load{Slots: 10, InUse: 10, Queued: 10}, loadReportedAt: epoch}
	idle := &targetState{endpoint: &pb.Endpoint{}, load: &pb.Load{Slots: 10, InUse: 1}, loadReportedAt: epoch}
	assert.Assert(t, busy.score(epoch, 0, 0) > 5*idle.score(epoch, 0, 0))
	later := epoch.Add(5 * time.Second)
	assert.Assert(t, busy.score(later, 0, 0) < 1.1*idle.score(later, 0, 0))
}

// TestMaxTargets guards against traffic with a target limit that is spread over more
// targets, including by daemons that select different ones.
func TestMaxTargets(t *testing.T) {
	list := endpoints("a", "v1", 40)
	chosen := map[string]bool{}
	for caller := range 20 {
		b := newBalancer(fmt.Sprint(caller), "a", uint64(caller), func(string) {})
		for range 20 {
			p, err := b.choose(&config.Service{Name: "s"}, list, Choice{Version: "v1", MaxTargets: 2}, nil, epoch)
			assert.NilError(t, err)
			chosen[p.target.endpoint.GetName()] = true
		}
	}
	assert.Equal(t, len(chosen), 2)
}

// TestBestOfTwoAvoidsFullEndpoint guards against calls sent to a full endpoint while
// the second endpoint drawn has free slots.
func TestBestOfTwoAvoidsFullEndpoint(t *testing.T) {
	b, service, list := testBalancer(5), &config.Service{Name: "s"}, endpoints("a", "v1", 10)
	s := b.lockState(service.Name, list, epoch)
	full := s.targets[list[3].GetName()]
	full.load, full.loadReportedAt = &pb.Load{Slots: 10, InUse: 10}, epoch
	s.mu.Unlock()
	for range 1000 {
		e, err := attemptWithFeedback(b, service, list, epoch, func(*pb.Endpoint) feedback { return feedbackNeutral })
		assert.NilError(t, err)
		assert.Assert(t, e != list[3])
	}
}
