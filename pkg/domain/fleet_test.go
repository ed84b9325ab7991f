package domain_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/domain/domaintest"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

// propagationLimit is the specified time for a version to be in force everywhere.
const propagationLimit = 8 * time.Second

var shape = domaintest.Shape{Domains: 3, PerDomain: 8, Services: 4, Depends: 1, Seed: 1}

func runFleet(t *testing.T, body func(t *testing.T, f *domaintest.Fleet)) {
	t.Helper()
	domaintest.Run(t, shape, func(t *testing.T, f *domaintest.Fleet) {
		f.Start()
		f.Await("every daemon has all endpoints", 10*time.Second, func() bool { return allUsable(f) })
		body(t, f)
		assert.Equal(t, f.Reverts(), 0)
	})
}

// allUsable reports whether every target is usable to every daemon that subscribes
// to its service.
func allUsable(f *domaintest.Fleet) bool {
	for _, n := range f.Nodes {
		for _, other := range f.Nodes {
			if subscribes(n, other) && !n.Usable(other) {
				return false
			}
		}
	}
	return true
}

func subscribes(n, other *domaintest.Node) bool {
	for _, service := range append([]string{n.Service}, n.Depends...) {
		if service == other.Service {
			return true
		}
	}
	return false
}

// unusedBy returns a condition that is true if the target is usable to no daemon
// other than itself and those in except.
func unusedBy(f *domaintest.Fleet, target *domaintest.Node, except ...*domaintest.Node) func() bool {
	return func() bool {
		for _, n := range f.Nodes {
			skip := n == target
			for _, e := range except {
				skip = skip || n == e
			}
			if !skip && subscribes(n, target) && n.Usable(target) {
				return false
			}
		}
		return true
	}
}

func nodesExcept(f *domaintest.Fleet, except ...*domaintest.Node) []*domaintest.Node {
	var nodes []*domaintest.Node
	for _, n := range f.Nodes {
		keep := true
		for _, e := range except {
			keep = keep && n != e
		}
		if keep {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// TestVersionInForce guards against a version that does not reach every daemon
// in time, whether distributors read it from the store or receive it in a push,
// and against progress that reports it as in force everywhere too early or not at
// all.
func TestVersionInForce(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		v := f.Accept(domaintest.ServiceName(0))
		f.Await("the version from the store is in force", propagationLimit, domaintest.InForce(v, f.Nodes...))

		f.Store.SetFaults(standin.Faults{Down: true})
		distributors, members := f.Distributors(0)
		reply, err := distributors[0].Server.PushHead(t.Context(), &pb.PushHeadRequest{Config: f.Next(domaintest.ServiceName(1))})
		assert.NilError(t, err)
		// 500 ms is less than exchangeConfigDelay, the time after which the version
		// would arrive even if it were not sent without delay.
		f.Await("the version pushed while the store is down is in force", 500*time.Millisecond, domaintest.InForce(reply.GetVersion(), f.Nodes...))

		f.Await("progress reports the version everywhere", propagationLimit, func() bool {
			progress, err := members[0].Member.Progress(t.Context())
			everywhere, lacking, unknown := domain.InForce(progress, reply.GetVersion())
			return err == nil && everywhere && len(lacking) == 0 && len(unknown) == 0 && len(progress) == shape.Domains
		})
		progress, err := members[0].Member.Progress(t.Context())
		assert.NilError(t, err)
		everywhere, _, _ := domain.InForce(progress, reply.GetVersion()+1)
		assert.Assert(t, !everywhere)
	})
}

// TestStaleDistributor guards against a daemon that lacks a version because its
// primary distributor is cut off from the store and from all other distributors.
func TestStaleDistributor(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, members := f.Distributors(0)
		stale := distributors[0]
		local := map[string]bool{stale.Name: true}
		for _, n := range members {
			local[n.Name] = true
		}
		stale.Store.Cut(true)
		f.Network.SetCut(func(from, to string) bool {
			return (from == stale.Name && !local[to]) || (to == stale.Name && !local[from])
		})
		v := f.Accept(domaintest.ServiceName(0), domaintest.ServiceName(1), domaintest.ServiceName(2), domaintest.ServiceName(3))
		f.Await("the version is in force despite a stale primary", propagationLimit, domaintest.InForce(v, nodesExcept(f, stale)...))
		f.Network.SetCut(nil)
		stale.Store.Cut(false)
		f.Await("the version is in force at the stale distributor", propagationLimit, domaintest.InForce(v, f.Nodes...))
	})
}

// TestSupersededDistributor guards against a distributor that keeps its role after
// another daemon acquired its slot, and against two distributors in one slot.
func TestSupersededDistributor(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, members := f.Distributors(0)
		old := distributors[0]
		f.Network.SetCut(func(from, to string) bool { return from == old.Name || to == old.Name })
		old.Store.Cut(true)
		first := old.Server.Distributor().Fencing()
		f.Await("a successor acquires the slot", 20*time.Second, func() bool {
			for _, n := range members {
				if d := n.Server.Distributor(); d != nil && d.Held() && d.Fencing() > first {
					return true
				}
			}
			return false
		})
		assert.Assert(t, !old.Server.Distributor().Held())
		old.Store.Cut(false)
		f.Await("the old distributor stops", 20*time.Second, func() bool { return old.Server.Distributor() == nil })
		f.Network.SetCut(nil)
		f.Await("all daemons are settled and usable", 30*time.Second, func() bool { return f.Settled() && allUsable(f) })
	})
}

// TestRestartWithNothing guards against a daemon that, after a restart without
// stored state, serves an older version than before, or finds no distributor while
// the store is down.
func TestRestartWithNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{{"store up", standin.Faults{}}, {"store down", standin.Faults{Down: true}}, {"store slow", standin.Faults{Latency: 9 * time.Second}}} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
				_, members := f.Distributors(1)
				v := f.Accept(domaintest.ServiceName(0))
				f.Await("the version is in force", propagationLimit, domaintest.InForce(v, f.Nodes...))
				f.Store.SetFaults(c.faults)
				n := members[0]
				n.Crash()
				time.Sleep(time.Second)
				n.Restart()
				assert.Equal(t, n.Member.Snapshot().Version(), uint64(0))
				f.Await("the restarted daemon is ready", propagationLimit, func() bool { return !n.ReadyAt().IsZero() })
				assert.Assert(t, n.Member.Snapshot().Version() >= v)
				f.Await("the daemon is used again", propagationLimit, func() bool { return allUsable(f) })
				assert.Assert(t, n.Member.Lease().After(time.Now()))
			})
		})
	}
}

// TestRestartWithEarlierClock guards against a restarted daemon whose records do
// not replace those of its previous run because its clock was set back.
func TestRestartWithEarlierClock(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		_, members := f.Distributors(0)
		n := members[0]
		ahead := domaintest.EndpointRecord(n.Name, n.Domain, n.Service, pb.EndpointState_ENDPOINT_READY)
		ahead.Owner, ahead.Incarnation, ahead.Counter = n.Name, n.Member.Incarnation()+1_000_000, 7
		distributors, _ := f.Distributors(0)
		for _, d := range distributors {
			d.Server.Distributor().Publish(ahead)
		}
		n.Stop()
		n.Restart()
		f.Await("the daemon has a higher incarnation than its previous run", propagationLimit, func() bool { return n.Member.Incarnation() > ahead.GetIncarnation() })
		f.Await("the daemon is used again", propagationLimit, func() bool { return allUsable(f) })
		n.Announce(pb.EndpointState_ENDPOINT_LEAVING)
		f.Await("the daemon's new records replace the previous ones", 2*time.Second, unusedBy(f, n))
	})
}

// TestBothDistributorsDie guards against a domain without distributors after both
// failed together, and against membership leases granted by a distributor without
// a lease.
func TestBothDistributorsDie(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(map[bool]string{false: "store up", true: "store down"}[down], func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
				distributors, members := f.Distributors(0)
				f.Store.SetFaults(standin.Faults{Down: down})
				for _, d := range distributors {
					d.Vanish()
				}
				time.Sleep(4 * time.Second)
				for _, n := range members {
					assert.Assert(t, !n.Member.Lease().After(time.Now()), "%s still has a membership lease", n.Name)
				}
				elapsed := 4*time.Second + f.Await("every daemon is connected to a distributor again", 20*time.Second, func() bool {
					for _, n := range members {
						if len(n.Member.Status().Distributors) == 0 {
							return false
						}
					}
					return true
				})
				t.Logf("connected to a distributor again after %v", elapsed)
				if down {
					for _, n := range members {
						assert.Assert(t, !n.Member.Lease().After(time.Now()), "a distributor without a lease granted a membership lease")
					}
					// A distributor of another domain receives a version and sends it on.
					source, _ := f.Distributors(1)
					delta := f.Next(domaintest.ServiceName(2))
					_, err := source[0].Server.PushHead(t.Context(), &pb.PushHeadRequest{Config: delta})
					assert.NilError(t, err)
					f.Await("the version from the acting distributor is in force", propagationLimit, domaintest.InForce(delta.GetVersion(), nodesExcept(f, distributors...)...))
					f.Store.SetFaults(standin.Faults{})
				}
				f.Await("successors hold both leases", 60*time.Second, func() bool {
					held := 0
					for _, n := range members {
						if d := n.Server.Distributor(); d != nil && d.Held() {
							held++
						}
					}
					return held == 2
				})
				f.Await("no acting distributor remains", propagationLimit, func() bool {
					for _, n := range members {
						if d := n.Server.Distributor(); d != nil && d.Slot() < 0 {
							return false
						}
					}
					return true
				})
				f.Await("every daemon has a membership lease", propagationLimit, func() bool {
					for _, n := range members {
						if !n.Member.Lease().After(time.Now()) {
							return false
						}
					}
					return true
				})
				f.Await("the vanished distributors are unused", 30*time.Second, func() bool {
					return unusedBy(f, distributors[0], distributors[1])() && unusedBy(f, distributors[1], distributors[0])()
				})
			})
		})
	}
}

// TestStoreTroubles guards against late versions while the store is slow, loses
// responses or reorders events, and against daemons that lose their membership
// leases because of it.
func TestStoreTroubles(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{
		{"slow", standin.Faults{Latency: 700 * time.Millisecond}},
		{"lost responses", standin.Faults{LoseResponse: 0.5}},
		{"reordered events", standin.Faults{ReorderEvents: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
				for range 6 {
					f.Store.SetFaults(standin.Faults{})
					v := f.Accept(domaintest.ServiceName(int(f.Version()) % shape.Services))
					f.Store.SetFaults(c.faults)
					f.Await("the version is in force", propagationLimit, domaintest.InForce(v, f.Nodes...))
					time.Sleep(3 * time.Second)
				}
				for _, n := range f.Nodes {
					assert.Assert(t, n.Member.Lease().After(time.Now()))
				}
			})
		})
	}
}

// TestLapsedLeaseFeedsOn guards against a domain that loses its distributors or
// its membership leases because distributor leases expire while the store is down,
// and against a daemon declared departed by a distributor without a lease.
func TestLapsedLeaseFeedsOn(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		f.Store.SetFaults(standin.Faults{Down: true})
		time.Sleep(time.Minute)
		distributors, members := f.Distributors(0)
		assert.Equal(t, len(distributors), 2)
		for _, d := range distributors {
			assert.Assert(t, !d.Server.Distributor().Held())
		}
		for _, n := range f.Nodes {
			assert.Assert(t, n.Member.Lease().After(time.Now()))
		}
		members[0].Vanish()
		time.Sleep(30 * time.Second)
		for _, n := range nodesExcept(f, members[0]) {
			for _, e := range n.Member.Table().Endpoints(members[0].Service) {
				if e.GetName() == members[0].Name {
					assert.Assert(t, e.Lost && !e.Departed)
				}
			}
		}
	})
}

// TestOlderHeadIsIgnored guards against daemons, running or restarted, that return
// to an older version after the store was restored from an older copy.
func TestOlderHeadIsIgnored(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		old, err := f.Store.Get(t.Context(), config.HeadKey)
		assert.NilError(t, err)
		v := f.Accept(domaintest.ServiceName(0))
		f.Await("the version is in force", propagationLimit, domaintest.InForce(v, f.Nodes...))
		current, err := f.Store.Get(t.Context(), config.HeadKey)
		assert.NilError(t, err)
		_, err = f.Store.Update(t.Context(), config.HeadKey, old.Value, current.Revision)
		assert.NilError(t, err)
		time.Sleep(40 * time.Second)
		_, members := f.Distributors(0)
		members[0].Crash()
		members[0].Restart()
		f.Await("the restarted daemon is ready", propagationLimit, func() bool { return !members[0].ReadyAt().IsZero() })
		for _, n := range f.Nodes {
			assert.Equal(t, n.Member.Snapshot().Version(), v)
		}
	})
}

// TestPrimariesAreBalanced guards against a domain whose daemons all have the
// distributor that started first as their primary.
func TestPrimariesAreBalanced(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, members := f.Distributors(0)
		distributors[0].Vanish()
		time.Sleep(30 * time.Second)
		count := map[int32]int{}
		for _, n := range append(members, distributors[1]) {
			for _, d := range n.Member.Status().Distributors {
				if d.Primary {
					count[d.Slot]++
				}
			}
		}
		assert.Equal(t, count[0]+count[1], shape.PerDomain-1)
		assert.Assert(t, count[0] >= 2 && count[1] >= 2, "daemons by slot of their primary: %v", count)
	})
}

// TestSubscribe guards against a subscription that returns before the bundle and
// the endpoints are available, or that waits for a service that does not exist.
func TestSubscribe(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		n := f.Nodes[0]
		service := domaintest.ServiceName(2)
		_, cached := n.Member.Snapshot().Bundle(service)
		assert.Assert(t, !cached)
		assert.NilError(t, n.Member.Subscribe(t.Context(), service))
		_, cached = n.Member.Snapshot().Bundle(service)
		assert.Assert(t, cached)
		assert.Equal(t, len(n.Member.Table().Endpoints(service)), len(f.Nodes)/shape.Services)
		var unknown *domain.UnknownServiceError
		assert.Assert(t, asError(n.Member.Subscribe(t.Context(), "absent"), &unknown))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		f.Network.SetCut(func(string, string) bool { return true })
		assert.ErrorIs(t, n.Member.Subscribe(ctx, domaintest.ServiceName(3)), context.DeadlineExceeded)
	})
}

// TestVersionFromCall guards against a version received with a call that does not
// reach the distributors, so that they do not read it from the store.
func TestVersionFromCall(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, members := f.Distributors(0)
		delta := f.Next(domaintest.ServiceName(0))
		members[0].Member.RecordVersion(delta.GetVersion())
		f.Await("the distributor knows of the version", time.Second, func() bool {
			for _, s := range members[0].Member.Status().Distributors {
				if s.Version < delta.GetVersion() {
					return false
				}
			}
			return len(distributors) == 2
		})
	})
}
