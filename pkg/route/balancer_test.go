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

// TestSubsetBound guards against a daemon that connects to more target sides
// than the bound, to unusable ones, or to no target of a version that has some.
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

// TestSubsetPrefersOwnDomain guards against a subset far away although the own
// domain has targets, and one with nowhere to spill to.
func TestSubsetPrefersOwnDomain(t *testing.T) {
	near := 0
	for _, e := range subset("caller", "a", append(endpoints("a", "v1", 50), endpoints("b", "v1", 50)...)) {
		if e.GetDomain() == "a" {
			near++
		}
	}
	assert.Equal(t, near, maxSubset-remoteReserve)
}

// TestSpill guards against calls that leave the domain while it has free slots,
// and against calls that stay while only others have.
func TestSpill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := func(label string) []*targetState {
			list := make([]*targetState, rapid.IntRange(1, 8).Draw(t, label))
			for i := range list {
				slots := int32(rapid.IntRange(1, 20).Draw(t, label+" slots"))
				used := int32(rapid.IntRange(0, 25).Draw(t, label+" used"))
				list[i] = &targetState{endpoint: &pb.Endpoint{}, load: &pb.Load{Slots: slots, InUse: used}, loadAt: epoch}
			}
			return list
		}
		near, far := group("near"), group("far")
		p := spill(near, far, epoch, 0)
		nearFree, nearSlots := capacity(near, epoch, 0)
		farFree, _ := capacity(far, epoch, 0)
		assert.Assert(t, p >= 0 && p <= 1)
		switch {
		case nearFree >= comfortableFree*nearSlots:
			assert.Equal(t, p, 0.0)
		case nearFree == 0 && farFree > 0:
			assert.Equal(t, p, 1.0)
		case nearFree > 0 && farFree == 0:
			assert.Equal(t, p, 0.0)
		}
		// One more call in the domain never keeps more calls in it.
		near[0].load.InUse++
		more := spill(near, far, epoch, 0)
		if farFree > 0 {
			assert.Assert(t, more >= p-1e-12, "%v after %v", more, p)
		}
	})
}

// TestBudgetBound guards against retries beyond a tenth of the first attempts
// and the minimum, whatever the order of calls and failures.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget()
		firsts, retries, now := 0, 0, epoch
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				b.first()
				firsts++
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			default:
				if b.retry(now) {
					retries++
				}
			}
			bound := float64(firsts)/10 + minRetryBurst + minRetriesPerSecond*now.Sub(epoch).Seconds()
			assert.Assert(t, float64(retries) <= bound+1e-9, "%d retries, %d first attempts", retries, firsts)
		}
	})
}

// pickAndEnd makes one attempt with the given verdict.
func pickAndEnd(b *balancer, service *config.Service, list []*pb.Endpoint, now time.Time, judge func(*pb.Endpoint) verdict) (*pb.Endpoint, error) {
	p, err := b.choose(service, list, Choice{Version: "v1"}, nil, now)
	if err != nil {
		return nil, err
	}
	e := p.target.endpoint
	p.done(judge(e), time.Millisecond, nil, now, time.Duration(service.ColdStart))
	return e, nil
}

// TestBadEndpointIsSetAside guards against an endpoint that keeps failing and
// still gets calls, one that never gets another chance, and a fault that most
// share taking all endpoints out of use.
func TestBadEndpointIsSetAside(t *testing.T) {
	b, service, list := testBalancer(1), &config.Service{Name: "s"}, endpoints("a", "v1", 5)
	bad := true
	judge := func(e *pb.Endpoint) verdict {
		if bad && e.GetName() == list[0].GetName() {
			return verdictBad
		}
		return verdictGood
	}
	// 20 calls are under way at any time, and the bad endpoint fails at once, so
	// that it always looks the least busy.
	var underWay []*pick
	count := func(from, to time.Duration) int {
		n := 0
		for at := from; at < to; at += 10 * time.Millisecond {
			now := epoch.Add(at)
			p, err := b.choose(service, list, Choice{Version: "v1"}, nil, now)
			assert.NilError(t, err)
			if p.target.endpoint == list[0] {
				n++
			}
			if judge(p.target.endpoint) == verdictBad {
				p.done(verdictBad, time.Millisecond, nil, now, 0)
				continue
			}
			if underWay = append(underWay, p); len(underWay) > 20 {
				underWay[0].done(verdictGood, 200*time.Millisecond, nil, now, 0)
				underWay = underWay[1:]
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

	all := func(*pb.Endpoint) verdict { return verdictBad }
	for i := range 1000 {
		_, err := pickAndEnd(b, service, list, epoch.Add(3*time.Minute+time.Duration(i)*time.Millisecond), all)
		assert.NilError(t, err)
	}
	gone := func(*pb.Endpoint) verdict { return verdictGone }
	var none *NoEndpointError
	var err error
	for i := 0; err == nil && i < 100; i++ {
		_, err = pickAndEnd(b, service, list, epoch.Add(5*time.Minute), gone)
	}
	assert.Assert(t, errors.As(err, &none), "got %v", err)
	assert.Equal(t, none.SetAside, 5)
}

// TestColdTargetRamps guards against a new target that gets its whole share
// before it has warmed up, or keeps a small one afterwards.
func TestColdTargetRamps(t *testing.T) {
	b := testBalancer(3)
	service := &config.Service{Name: "s", ColdStart: config.Duration(10 * time.Second)}
	old := endpoints("a", "v1", 4)
	good := func(*pb.Endpoint) verdict { return verdictGood }
	_, err := pickAndEnd(b, service, old, epoch, good)
	assert.NilError(t, err)
	list := endpoints("a", "v1", 5)
	share := func(at time.Duration) float64 {
		n := 0
		for range 2000 {
			e, err := pickAndEnd(b, service, list, epoch.Add(at), good)
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

// TestLoadAges guards against an endpoint avoided for good because of one
// answer that reported it busy, and against a busy endpoint preferred.
func TestLoadAges(t *testing.T) {
	busy := &targetState{endpoint: &pb.Endpoint{}, load: &pb.Load{Slots: 10, InUse: 10, Queued: 10}, loadAt: epoch}
	idle := &targetState{endpoint: &pb.Endpoint{}, load: &pb.Load{Slots: 10, InUse: 1}, loadAt: epoch}
	assert.Assert(t, busy.score(epoch, 0, 0) > 5*idle.score(epoch, 0, 0))
	later := epoch.Add(5 * time.Second)
	assert.Assert(t, busy.score(later, 0, 0) < 1.1*idle.score(later, 0, 0))
}

// TestConcentration guards against a small share spread over all new targets,
// and daemons that choose different ones.
func TestConcentration(t *testing.T) {
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
