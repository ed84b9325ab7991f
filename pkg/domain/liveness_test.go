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

// TestLeavingReachesCallers guards against a leaving target that gets new work
// after 2 s, also when one distributor of its domain has just vanished.
func TestLeavingReachesCallers(t *testing.T) {
	for _, lost := range []int{-1, 0, 1} {
		t.Run(map[int]string{-1: "both distributors", 0: "slot 1 only", 1: "slot 0 only"}[lost], func(t *testing.T) {
			run(t, func(t *testing.T, f *domaintest.Fleet) {
				distributors, plain := f.Distributors(0)
				var gone []*domaintest.Node
				if lost >= 0 {
					distributors[lost].Vanish()
					gone = append(gone, distributors[lost])
				}
				plain[0].Announce(pb.EndpointState_ENDPOINT_LEAVING)
				f.Await("no caller uses the leaving target", 2*time.Second, unusedBy(f, plain[0], gone...))
			})
		})
	}
}

// TestSilentDeath guards against a vanished daemon that callers go on using,
// and against one that is never declared departed.
func TestSilentDeath(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		_, plain := f.Distributors(2)
		plain[0].Vanish()
		took := f.Await("no caller uses the dead target", 5*time.Second, unusedBy(f, plain[0]))
		assert.Assert(t, took >= 2*time.Second, "declared lost after only %v", took)
		f.Await("it has departed", 8*time.Second, func() bool {
			for _, n := range others(f, plain[0]) {
				for _, e := range n.Member.Table().Endpoints(plain[0].Service) {
					if e.GetName() == plain[0].Name && !e.Departed {
						return false
					}
				}
			}
			return true
		})
		plain[0].Restart()
		f.Await("it is used again", bound, func() bool { return allUsable(f) })
	})
}

// TestPlannedStop guards against a planned stop that callers notice only by
// silence.
func TestPlannedStop(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		_, plain := f.Distributors(0)
		plain[0].Stop()
		f.Await("no caller uses the stopped target", 2*time.Second, unusedBy(f, plain[0]))
	})
}

// TestOneDistributorMissesDaemon guards against a daemon declared lost by one
// distributor although the other hears it.
func TestOneDistributorMissesDaemon(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, plain := f.Distributors(0)
		a, b := distributors[0].Name, plain[0].Name
		f.Network.SetCut(func(from, to string) bool { return from == a && to == b || from == b && to == a })
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, allUsable(f))
		}
	})
}

// TestMassVanish guards against a loss of the feed that makes a whole domain
// unusable, and against a rack that died and stays usable.
func TestMassVanish(t *testing.T) {
	t.Run("the feed is lost", func(t *testing.T) {
		run(t, func(t *testing.T, f *domaintest.Fleet) {
			// Slot 0 vanishes, and slot 1 loses its member daemons for a while.
			distributors, _ := f.Distributors(0)
			distributors[0].Vanish()
			alone := distributors[1].Name
			f.Network.SetCut(func(from, to string) bool {
				return from[:3] == to[:3] && from[:3] == alone[:3] && from != to && (from == alone || to == alone)
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
	t.Run("the daemons are dead", func(t *testing.T) {
		run(t, func(t *testing.T, f *domaintest.Fleet) {
			_, plain := f.Distributors(0)
			for _, n := range plain[:4] {
				n.Vanish()
			}
			for _, n := range plain[:4] {
				f.Await("the dead are unused", 6*time.Second, unusedBy(f, n, plain[:4]...))
			}
		})
	})
}

// TestDomainVanishes guards against a vanished domain that the others go on
// using, and against one that stays lost after it is back.
func TestDomainVanishes(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
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
		_, plain := f.Distributors(1)
		plain[0].Announce(pb.EndpointState_ENDPOINT_LEAVING)
		f.Await("both sides have the version", bound, domaintest.InForce(v, f.Nodes...))
		f.Network.SetCut(nil)
		f.Await("the domain is used again, with what changed meanwhile", bound, func() bool {
			return unusedBy(f, plain[0])() && f.Nodes[3].Usable(f.Nodes[3]) && usableBut(f, plain[0])
		})
	})
}

func usableBut(f *domaintest.Fleet, left *domaintest.Node) bool {
	for _, n := range f.Nodes {
		for _, other := range f.Nodes {
			if other != left && subscribes(n, other) && !n.Usable(other) {
				return false
			}
		}
	}
	return true
}

// TestCutDomainsRelay guards against records that do not pass between two
// domains that are cut off from each other while both reach a third.
func TestCutDomainsRelay(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		f.Network.SetCut(func(from, to string) bool {
			return from[:3] == "d00" && to[:3] == "d01" || from[:3] == "d01" && to[:3] == "d00"
		})
		time.Sleep(15 * time.Second)
		_, plain := f.Distributors(0)
		plain[0].Announce(pb.EndpointState_ENDPOINT_LEAVING)
		f.Await("the leaving is relayed", 2*time.Second, unusedBy(f, plain[0]))
		grant := domaintest.GrantRecord(domaintest.ServiceName(0), "m", 1, 3, 1, 0, true)
		distributors, _ := f.Distributors(0)
		distributors[0].Server.Distributor().Publish(grant)
		f.Await("the taking back is relayed", 2*time.Second, func() bool { return takenBack(f) })
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

// TestTakenBackFromAnyDaemon guards against a taking back that only reaches
// those who heard the controller, and against a later grant that undoes it.
func TestTakenBackFromAnyDaemon(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		service := domaintest.ServiceName(0)
		distributors, plain := f.Distributors(2)
		distributors[0].Server.Distributor().Publish(domaintest.GrantRecord(service, "m", 1, 3, 1, 0.5, false))
		plain[0].Member.Publish(domaintest.GrantRecord(service, "m", 1, 3, 2, 0, true))
		f.Await("taken back everywhere", 2*time.Second, func() bool { return takenBack(f) })
		distributors[0].Server.Distributor().Publish(domaintest.GrantRecord(service, "m", 1, 9, 1, 1, false))
		time.Sleep(3 * time.Second)
		assert.Assert(t, takenBack(f))
	})
}

// TestMassRestart guards against a fleet that restarts at once and does not
// come back in time or serves an older version.
func TestMassRestart(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		f.Accept(domaintest.ServiceName(0))
		time.Sleep(2 * time.Second)
		distributors, plain := f.Distributors(1)
		before := f.Store.Counts().Reads
		for _, n := range plain {
			n.Crash()
		}
		for _, n := range plain {
			n.Restart()
		}
		f.Await("the domain is back", bound, func() bool { return f.Settled() && allUsable(f) })
		assert.Equal(t, len(distributors), 2)
		reads := f.Store.Counts().Reads - before
		assert.Assert(t, reads <= int64(len(plain))+int64(3*len(f.Nodes)/4), "%d reads", reads)
	})
}

// TestNewDistributorKnowsNothing guards against a new distributor that takes
// its empty set of endpoints for the truth and removes those of daemons that
// have not yet joined it.
func TestNewDistributorKnowsNothing(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, _ := f.Distributors(0)
		for _, d := range distributors {
			d.Stop()
		}
		for range 300 {
			time.Sleep(50 * time.Millisecond)
			for _, n := range f.Domain(0) {
				for _, target := range f.Domain(0) {
					dead := target == distributors[0] || target == distributors[1] || n == distributors[0] || n == distributors[1]
					if !dead && subscribes(n, target) {
						assert.Assert(t, n.Usable(target), "%s is lost to %s", target.Name, n.Name)
					}
				}
			}
		}
	})
}

// TestSumsSurviveRepeats guards against evidence that is counted twice or lost
// when daemons restart.
func TestSumsSurviveRepeats(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		service := domaintest.ServiceName(0)
		_, plain := f.Distributors(0)
		bundle := &config.Bundle{
			Service: config.Service{
				Name: service, Routes: []config.Route{{Name: "main"}},
				Moves: []config.Move{{Name: "m", From: "v1", To: "v2"}},
			},
			Generations: map[string]uint64{"m": 1},
		}
		recorders := map[uint64]*move.Recorder{} // by incarnation and position
		report := func(i int, attempts int) {
			n := plain[i]
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
				n.Member.Publish(proto.Clone(record).(*pb.Record)) // a repeat
			}
		}
		report(0, 5)
		report(1, 7)
		time.Sleep(3 * time.Second)
		report(0, 1)
		time.Sleep(3 * time.Second)
		plain[0].Stop()
		plain[0].Restart()
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

// largestSum returns the attempts on a version in the larger of the sums that
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
