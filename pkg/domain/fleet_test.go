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

// bound is the stated time for a version to be in force everywhere.
const bound = 8 * time.Second

var shape = domaintest.Shape{Domains: 3, PerDomain: 8, Services: 4, Depends: 1, Seed: 1}

func run(t *testing.T, body func(t *testing.T, f *domaintest.Fleet)) {
	t.Helper()
	domaintest.Run(t, shape, func(t *testing.T, f *domaintest.Fleet) {
		f.Start()
		f.Await("all endpoints are known", 10*time.Second, func() bool { return allUsable(f) })
		body(t, f)
		assert.Equal(t, f.Reverts(), 0)
	})
}

// allUsable reports whether every running daemon would use every target of the
// services that it subscribes to.
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

// unusedBy reports whether no daemon but the target's own would use it.
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

func others(f *domaintest.Fleet, except ...*domaintest.Node) []*domaintest.Node {
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
// in time by each of the ways that a distributor can learn of it, and against
// progress that reports it everywhere too early or not at all.
func TestVersionInForce(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		v := f.Accept(domaintest.ServiceName(0))
		f.Await("version from the store", bound, domaintest.InForce(v, f.Nodes...))

		f.Store.SetFaults(standin.Faults{Down: true})
		distributors, plain := f.Distributors(0)
		reply, err := distributors[0].Server.PushHead(t.Context(), &pb.PushHeadRequest{Config: f.Next(domaintest.ServiceName(1))})
		assert.NilError(t, err)
		// Half a second is below exchangeConfigDelay, after which a version that
		// was not passed on at once would arrive.
		f.Await("version pushed while the store is down", 500*time.Millisecond, domaintest.InForce(reply.GetVersion(), f.Nodes...))

		f.Await("progress", bound, func() bool {
			progress, err := plain[0].Member.Progress(t.Context())
			everywhere, lacking, unknown := domain.InForce(progress, reply.GetVersion())
			return err == nil && everywhere && len(lacking) == 0 && len(unknown) == 0 && len(progress) == shape.Domains
		})
		progress, err := plain[0].Member.Progress(t.Context())
		assert.NilError(t, err)
		everywhere, _, _ := domain.InForce(progress, reply.GetVersion()+1)
		assert.Assert(t, !everywhere)
	})
}

// TestStaleDistributor guards against a daemon that stays behind because its
// primary distributor is cut off from the store and all other distributors.
func TestStaleDistributor(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, plain := f.Distributors(0)
		stale := distributors[0]
		own := map[string]bool{stale.Name: true}
		for _, n := range plain {
			own[n.Name] = true
		}
		stale.Store.Cut(true)
		f.Network.SetCut(func(from, to string) bool {
			return (from == stale.Name && !own[to]) || (to == stale.Name && !own[from])
		})
		v := f.Accept(domaintest.ServiceName(0), domaintest.ServiceName(1), domaintest.ServiceName(2), domaintest.ServiceName(3))
		f.Await("version in force despite a stale primary", bound, domaintest.InForce(v, others(f, stale)...))
		f.Network.SetCut(nil)
		stale.Store.Cut(false)
		f.Await("the stale distributor catches up", bound, domaintest.InForce(v, f.Nodes...))
	})
}

// TestSupersededDistributor guards against a distributor that works on after
// another daemon took its slot, and against two distributors in one slot.
func TestSupersededDistributor(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, plain := f.Distributors(0)
		old := distributors[0]
		f.Network.SetCut(func(from, to string) bool { return from == old.Name || to == old.Name })
		old.Store.Cut(true)
		first := old.Server.Distributor().Fencing()
		f.Await("a successor takes the slot", 20*time.Second, func() bool {
			for _, n := range plain {
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
		f.Await("the fleet is whole", 30*time.Second, func() bool { return f.Settled() && allUsable(f) })
	})
}

// TestRestartWithNothing guards against a restarted daemon that serves an
// older version than before, or that finds no distributor while the store is
// down.
func TestRestartWithNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{{"store up", standin.Faults{}}, {"store down", standin.Faults{Down: true}}, {"store slow", standin.Faults{Latency: 9 * time.Second}}} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T, f *domaintest.Fleet) {
				_, plain := f.Distributors(1)
				v := f.Accept(domaintest.ServiceName(0))
				f.Await("in force", bound, domaintest.InForce(v, f.Nodes...))
				f.Store.SetFaults(c.faults)
				n := plain[0]
				n.Crash()
				time.Sleep(time.Second)
				n.Restart()
				assert.Equal(t, n.Member.Snapshot().Version(), uint64(0))
				f.Await("the daemon is back", bound, func() bool { return !n.ReadyAt().IsZero() })
				assert.Assert(t, n.Member.Snapshot().Version() >= v)
				f.Await("it is used again", bound, func() bool { return allUsable(f) })
				assert.Assert(t, n.Member.Lease().After(time.Now()))
			})
		})
	}
}

// TestClockWentBack guards against a restarted daemon whose records lose
// against those of its earlier run because its clock went back.
func TestClockWentBack(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		_, plain := f.Distributors(0)
		n := plain[0]
		ahead := domaintest.EndpointRecord(n.Name, n.Domain, n.Service, pb.EndpointState_ENDPOINT_READY)
		ahead.Owner, ahead.Incarnation, ahead.Counter = n.Name, n.Member.Incarnation()+1_000_000, 7
		distributors, _ := f.Distributors(0)
		for _, d := range distributors {
			d.Server.Distributor().Publish(ahead)
		}
		n.Stop()
		n.Restart()
		f.Await("it has a higher incarnation", bound, func() bool { return n.Member.Incarnation() > ahead.GetIncarnation() })
		f.Await("it is used again", bound, func() bool { return allUsable(f) })
		n.Announce(pb.EndpointState_ENDPOINT_LEAVING)
		f.Await("its records hold", 2*time.Second, unusedBy(f, n))
	})
}

// TestBothDistributorsDie guards against a domain that finds no distributors
// after both died together, and against leases granted without one.
func TestBothDistributorsDie(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(map[bool]string{false: "store up", true: "store down"}[down], func(t *testing.T) {
			run(t, func(t *testing.T, f *domaintest.Fleet) {
				distributors, plain := f.Distributors(0)
				f.Store.SetFaults(standin.Faults{Down: down})
				for _, d := range distributors {
					d.Vanish()
				}
				time.Sleep(4 * time.Second)
				for _, n := range plain {
					assert.Assert(t, !n.Member.Lease().After(time.Now()), "%s still has a membership lease", n.Name)
				}
				took := 4*time.Second + f.Await("every daemon is fed again", 20*time.Second, func() bool {
					for _, n := range plain {
						if len(n.Member.Status().Distributors) == 0 {
							return false
						}
					}
					return true
				})
				t.Logf("fed again after %v", took)
				if down {
					for _, n := range plain {
						assert.Assert(t, !n.Member.Lease().After(time.Now()), "lease from a distributor without one")
					}
					// Another domain learns of a version and passes it on.
					source, _ := f.Distributors(1)
					delta := f.Next(domaintest.ServiceName(2))
					_, err := source[0].Server.PushHead(t.Context(), &pb.PushHeadRequest{Config: delta})
					assert.NilError(t, err)
					f.Await("the acting distributor feeds", bound, domaintest.InForce(delta.GetVersion(), others(f, distributors...)...))
					f.Store.SetFaults(standin.Faults{})
				}
				f.Await("successors hold both leases", 60*time.Second, func() bool {
					held := 0
					for _, n := range plain {
						if d := n.Server.Distributor(); d != nil && d.Held() {
							held++
						}
					}
					return held == 2
				})
				f.Await("no acting distributor is left", bound, func() bool {
					for _, n := range plain {
						if d := n.Server.Distributor(); d != nil && d.Slot() < 0 {
							return false
						}
					}
					return true
				})
				f.Await("non-idempotent work may start", bound, func() bool {
					for _, n := range plain {
						if !n.Member.Lease().After(time.Now()) {
							return false
						}
					}
					return true
				})
				f.Await("the dead are unused", 30*time.Second, func() bool {
					return unusedBy(f, distributors[0], distributors[1])() && unusedBy(f, distributors[1], distributors[0])()
				})
			})
		})
	}
}

// TestStoreTroubles guards against versions that are late while the store is
// slow or loses answers, and against members that lose their leases with it.
func TestStoreTroubles(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
	}{
		{"slow", standin.Faults{Latency: 700 * time.Millisecond}},
		{"loses answers", standin.Faults{LoseAnswer: 0.5}},
		{"crosses events", standin.Faults{CrossOrder: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(t *testing.T, f *domaintest.Fleet) {
				for range 6 {
					f.Store.SetFaults(standin.Faults{})
					v := f.Accept(domaintest.ServiceName(int(f.Version()) % shape.Services))
					f.Store.SetFaults(c.faults)
					f.Await("in force", bound, domaintest.InForce(v, f.Nodes...))
					time.Sleep(3 * time.Second)
				}
				for _, n := range f.Nodes {
					assert.Assert(t, n.Member.Lease().After(time.Now()))
				}
			})
		})
	}
}

// TestLapsedLeaseFeedsOn guards against a domain that loses its feed or its
// membership leases because the store is down, and against a daemon declared
// departed by a distributor without a lease.
func TestLapsedLeaseFeedsOn(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		f.Store.SetFaults(standin.Faults{Down: true})
		time.Sleep(time.Minute)
		distributors, plain := f.Distributors(0)
		assert.Equal(t, len(distributors), 2)
		for _, d := range distributors {
			assert.Assert(t, !d.Server.Distributor().Held())
		}
		for _, n := range f.Nodes {
			assert.Assert(t, n.Member.Lease().After(time.Now()))
		}
		plain[0].Vanish()
		time.Sleep(30 * time.Second)
		for _, n := range others(f, plain[0]) {
			for _, e := range n.Member.Table().Endpoints(plain[0].Service) {
				if e.GetName() == plain[0].Name {
					assert.Assert(t, e.Lost && !e.Departed)
				}
			}
		}
	})
}

// TestHeadWentBack guards against a store that was restored from an older copy
// and takes daemons back, also ones that restart.
func TestHeadWentBack(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		old, err := f.Store.Get(t.Context(), config.HeadKey)
		assert.NilError(t, err)
		v := f.Accept(domaintest.ServiceName(0))
		f.Await("in force", bound, domaintest.InForce(v, f.Nodes...))
		now, err := f.Store.Get(t.Context(), config.HeadKey)
		assert.NilError(t, err)
		_, err = f.Store.Update(t.Context(), config.HeadKey, old.Value, now.Revision)
		assert.NilError(t, err)
		time.Sleep(40 * time.Second)
		_, plain := f.Distributors(0)
		plain[0].Crash()
		plain[0].Restart()
		f.Await("the restarted daemon is ready", bound, func() bool { return !plain[0].ReadyAt().IsZero() })
		for _, n := range f.Nodes {
			assert.Equal(t, n.Member.Snapshot().Version(), v)
		}
	})
}

// TestPrimariesAreSpread guards against a domain whose daemons all burden the
// distributor that came first.
func TestPrimariesAreSpread(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, plain := f.Distributors(0)
		distributors[0].Vanish()
		time.Sleep(30 * time.Second)
		count := map[int32]int{}
		for _, n := range append(plain, distributors[1]) {
			for _, d := range n.Member.Status().Distributors {
				if d.Primary {
					count[d.Slot]++
				}
			}
		}
		assert.Equal(t, count[0]+count[1], shape.PerDomain-1)
		assert.Assert(t, count[0] >= 2 && count[1] >= 2, "primaries: %v", count)
	})
}

// TestSubscribe guards against a subscription that returns before bundle and
// endpoints are held, or that waits for a service that does not exist.
func TestSubscribe(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		n := f.Nodes[0]
		service := domaintest.ServiceName(2)
		_, held := n.Member.Snapshot().Bundle(service)
		assert.Assert(t, !held)
		assert.NilError(t, n.Member.Subscribe(t.Context(), service))
		_, held = n.Member.Snapshot().Bundle(service)
		assert.Assert(t, held)
		assert.Equal(t, len(n.Member.Table().Endpoints(service)), len(f.Nodes)/shape.Services)
		var unknown *domain.UnknownServiceError
		assert.Assert(t, asError(n.Member.Subscribe(t.Context(), "absent"), &unknown))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		f.Network.SetCut(func(string, string) bool { return true })
		assert.ErrorIs(t, n.Member.Subscribe(ctx, domaintest.ServiceName(3)), context.DeadlineExceeded)
	})
}

// TestHint guards against a version that a call carried and that no
// distributor asks the store for.
func TestHint(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, plain := f.Distributors(0)
		delta := f.Next(domaintest.ServiceName(0))
		plain[0].Member.NoteVersion(delta.GetVersion())
		f.Await("the distributor knows of the version", time.Second, func() bool {
			for _, s := range plain[0].Member.Status().Distributors {
				if s.Version < delta.GetVersion() {
					return false
				}
			}
			return len(distributors) == 2
		})
	})
}
