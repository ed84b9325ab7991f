package domain_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/domain/domaintest"
	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

func asError(err error, target any) bool { return errors.As(err, target) }

// TestLeavingReachesCallers guards against a leaving target that still receives
// new work after 2 s, also if one distributor of its domain has just vanished.
func TestLeavingReachesCallers(t *testing.T) {
	for _, lost := range []int{-1, 0, 1} {
		t.Run(map[int]string{-1: "both distributors", 0: "slot 1 only", 1: "slot 0 only"}[lost], func(t *testing.T) {
			runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
				distributors, members := f.Distributors(0)
				var vanished []*domaintest.Node
				if lost >= 0 {
					distributors[lost].Vanish()
					vanished = append(vanished, distributors[lost])
				}
				members[0].Announce(pb.EndpointState_ENDPOINT_LEAVING)
				f.Await("no caller uses the leaving target", 2*time.Second, unusedBy(f, members[0], vanished...))
			})
		})
	}
}

// TestVanishedDaemon guards against a daemon that is still used, or is never
// declared departed, after its machine vanished without closing connections.
func TestVanishedDaemon(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		_, members := f.Distributors(2)
		members[0].Vanish()
		elapsed := f.Await("no caller uses the vanished target", 5*time.Second, unusedBy(f, members[0]))
		assert.Assert(t, elapsed >= 2*time.Second, "declared lost after only %v", elapsed)
		f.Await("the vanished daemon is declared departed", 8*time.Second, func() bool {
			for _, n := range nodesExcept(f, members[0]) {
				for _, e := range n.Member.Table().Endpoints(members[0].Service) {
					if e.GetName() == members[0].Name && !e.Departed {
						return false
					}
				}
			}
			return true
		})
		members[0].Restart()
		f.Await("the daemon is used again", propagationLimit, func() bool { return allUsable(f) })
	})
}

// TestReturnIsTold guards against a daemon that is not notified that it was
// declared departed while it was cut off, and so remains the home of keys that have
// moved.
func TestReturnIsTold(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		_, members := f.Distributors(2)
		n := members[0]
		f.Network.SetCut(func(from, to string) bool { return (from == n.Name) != (to == n.Name) })
		time.Sleep(15 * time.Second)
		assert.Equal(t, n.DepartedMS.Load(), int64(0))
		f.Network.SetCut(nil)
		f.Await("the daemon is used again", propagationLimit, func() bool { return allUsable(f) })
		assert.Assert(t, n.DepartedMS.Load() > 0)
	})
}

// TestPlannedStop guards against a planned stop that callers only detect by a
// timeout.
func TestPlannedStop(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		_, members := f.Distributors(0)
		members[0].Stop()
		f.Await("no caller uses the stopped target", 2*time.Second, unusedBy(f, members[0]))
	})
}

// TestOneDistributorCannotReachDaemon guards against a daemon declared lost by one
// distributor although the other one still receives its reports.
func TestOneDistributorCannotReachDaemon(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, members := f.Distributors(0)
		a, b := distributors[0].Name, members[0].Name
		f.Network.SetCut(func(from, to string) bool { return from == a && to == b || from == b && to == a })
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, allUsable(f))
		}
	})
}

// TestMassVanish guards against a domain that becomes unusable because its
// distributors, not its daemons, were lost, and against daemons that stay usable
// after they failed together, such as those of one rack.
func TestMassVanish(t *testing.T) {
	t.Run("distributors are lost", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
			// The distributor in slot 0 vanishes, and the one in slot 1 is temporarily
			// cut off from its member daemons.
			distributors, _ := f.Distributors(0)
			distributors[0].Vanish()
			remaining := distributors[1].Name
			f.Network.SetCut(func(from, to string) bool {
				return from[:3] == to[:3] && from[:3] == remaining[:3] && from != to && (from == remaining || to == remaining)
			})
			for range 80 {
				time.Sleep(100 * time.Millisecond)
				for _, n := range f.Domain(1) {
					for _, target := range f.Domain(0)[2:] {
						if target != distributors[0] && target != distributors[1] && subscribes(n, target) {
							assert.Assert(t, n.Usable(target), "%s is lost to %s", target.Name, n.Name)
						}
					}
				}
			}
			f.Network.SetCut(nil)
		})
	})
	t.Run("daemons are lost", func(t *testing.T) {
		runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
			_, members := f.Distributors(0)
			for _, n := range members[:4] {
				n.Vanish()
			}
			for _, n := range members[:4] {
				f.Await("the vanished daemons are unused", 6*time.Second, unusedBy(f, n, members[:4]...))
			}
		})
	})
}

// TestDomainVanishes guards against a domain that is still used after it became
// unreachable, and against one that stays lost after it is reachable again.
func TestDomainVanishes(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		cut := func(from, to string) bool { return (from[:3] == "d00") != (to[:3] == "d00") }
		f.Network.SetCut(cut)
		f.Await("the domain is unused", 10*time.Second, func() bool {
			for _, target := range f.Domain(0) {
				if !unusedBy(f, target, f.Domain(0)...)() {
					return false
				}
			}
			return true
		})
		v := f.Accept(domaintest.ServiceName(0))
		_, members := f.Distributors(1)
		members[0].Announce(pb.EndpointState_ENDPOINT_LEAVING)
		f.Await("the version is in force on both sides of the partition", propagationLimit, domaintest.InForce(v, f.Nodes...))
		f.Network.SetCut(nil)
		f.Await("the domain is used again, except for the target that left meanwhile", propagationLimit, func() bool {
			return unusedBy(f, members[0])() && f.Nodes[3].Usable(f.Nodes[3]) && allUsableExcept(f, members[0])
		})
	})
}

func allUsableExcept(f *domaintest.Fleet, left *domaintest.Node) bool {
	for _, n := range f.Nodes {
		for _, other := range f.Nodes {
			if other != left && subscribes(n, other) && !n.Usable(other) {
				return false
			}
		}
	}
	return true
}

// TestCutDomainsRelay guards against records that are not relayed between two
// domains that are cut off from each other while both reach a third one.
func TestCutDomainsRelay(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		f.Network.SetCut(func(from, to string) bool {
			return from[:3] == "d00" && to[:3] == "d01" || from[:3] == "d01" && to[:3] == "d00"
		})
		time.Sleep(15 * time.Second)
		_, members := f.Distributors(0)
		members[0].Announce(pb.EndpointState_ENDPOINT_LEAVING)
		f.Await("the leaving target's record is relayed", 2*time.Second, unusedBy(f, members[0]))
		grant := domaintest.GrantRecord(domaintest.ServiceName(0), "m", 1, 3, 1, 0, true)
		distributors, _ := f.Distributors(0)
		distributors[0].Server.Distributor().Publish(grant)
		f.Await("the final grant is relayed", 2*time.Second, func() bool { return takenBack(f) })
	})
}

func takenBack(f *domaintest.Fleet) bool {
	service := domaintest.ServiceName(0)
	for _, n := range f.Nodes {
		if _, ok := n.Member.Snapshot().Bundle(service); !ok {
			continue
		}
		grants := n.Member.Table().Grants(service)
		if len(grants) != 1 || !grants[0].Final {
			return false
		}
	}
	return true
}

// TestTakenBackFromAnyDaemon guards against a final grant that only reaches the
// daemons connected to the controller's distributor, and against a later grant that
// replaces it.
func TestTakenBackFromAnyDaemon(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		service := domaintest.ServiceName(0)
		distributors, members := f.Distributors(2)
		distributors[0].Server.Distributor().Publish(domaintest.GrantRecord(service, "m", 1, 3, 1, 0.5, false))
		members[0].Member.Publish(domaintest.GrantRecord(service, "m", 1, 3, 2, 0, true))
		f.Await("the grant is taken back everywhere", 2*time.Second, func() bool { return takenBack(f) })
		distributors[0].Server.Distributor().Publish(domaintest.GrantRecord(service, "m", 1, 9, 1, 1, false))
		time.Sleep(3 * time.Second)
		assert.Assert(t, takenBack(f))
	})
}

// TestMassRestart guards against a domain whose daemons restart together and are
// not ready in time, serve an older version, or overload the store with reads.
func TestMassRestart(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		f.Accept(domaintest.ServiceName(0))
		time.Sleep(2 * time.Second)
		distributors, members := f.Distributors(1)
		before := f.Store.Counts().Reads
		for _, n := range members {
			n.Crash()
		}
		for _, n := range members {
			n.Restart()
		}
		f.Await("the domain is settled and usable", propagationLimit, func() bool { return f.Settled() && allUsable(f) })
		assert.Equal(t, len(distributors), 2)
		reads := f.Store.Counts().Reads - before
		assert.Assert(t, reads <= int64(len(members))+int64(3*len(f.Nodes)/4), "%d store reads", reads)
	})
}

// TestNewDistributorKeepsEndpoints guards against a new distributor that treats its
// empty endpoint set as complete and removes the endpoints of daemons that have not
// joined it yet.
func TestNewDistributorKeepsEndpoints(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, _ := f.Distributors(0)
		for _, d := range distributors {
			d.Stop()
		}
		for range 300 {
			time.Sleep(50 * time.Millisecond)
			for _, n := range f.Domain(0) {
				for _, target := range f.Domain(0) {
					stopped := target == distributors[0] || target == distributors[1] || n == distributors[0] || n == distributors[1]
					if !stopped && subscribes(n, target) {
						assert.Assert(t, n.Usable(target), "%s is lost to %s", target.Name, n.Name)
					}
				}
			}
		}
	})
}

// TestEvidenceIsCountedOnce guards against evidence that is counted twice when it is
// sent again, or lost when a daemon restarts.
func TestEvidenceIsCountedOnce(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		service := domaintest.ServiceName(0)
		_, members := f.Distributors(0)
		bundle := &config.Bundle{
			Service: config.Service{
				Name: service, Routes: []config.Route{{Name: "main"}},
				Moves: []config.Move{{Name: "m", From: "v1", To: "v2"}},
			},
			Generations: map[string]uint64{"m": 1},
		}
		recorders := map[uint64]*move.Recorder{} // by incarnation and position
		report := func(i int, attempts int) {
			n := members[i]
			id := n.Member.Incarnation()<<1 | uint64(i)
			if recorders[id] == nil {
				recorders[id] = move.NewRecorder(service, n.Domain, n.Name, n.Member.Incarnation())
				recorders[id].Update(bundle, func(string, uint64) bool { return true })
			}
			for range attempts {
				recorders[id].Record("main", "v2", move.OutcomeOK, time.Millisecond)
			}
			for _, record := range recorders[id].Records() {
				n.Member.Publish(record)
				n.Member.Publish(proto.Clone(record).(*pb.Record)) // sent again
			}
		}
		report(0, 5)
		report(1, 7)
		time.Sleep(3 * time.Second)
		report(0, 1)
		time.Sleep(3 * time.Second)
		members[0].Stop()
		members[0].Restart()
		time.Sleep(10 * time.Second)
		report(0, 2)
		time.Sleep(3 * time.Second)
		for i := range shape.Domains {
			distributors, _ := f.Distributors(i)
			for _, d := range distributors {
				assert.Equal(t, largestSum(t, d.Server.Distributor(), service, "v2"), uint64(6+7+2))
			}
		}
	})
}

// largestSum returns the larger number of attempts on a version in the sums that
// the distributors of the reporting domain publish.
func largestSum(t *testing.T, d *domain.Distributor, service, version string) uint64 {
	t.Helper()
	var largest uint64
	for _, record := range d.Records(pb.RecordKind_RECORD_EVIDENCE, service) {
		var evidence pb.Evidence
		assert.NilError(t, proto.Unmarshal(record.GetPayload(), &evidence))
		if evidence.GetVersion() == version {
			largest = max(largest, evidence.GetAttempts())
		}
	}
	return largest
}
