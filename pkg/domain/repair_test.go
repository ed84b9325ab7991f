package domain_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/domain/domaintest"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// endpointOf returns the record of the endpoint of n in the table of reader.
func endpointOf(t *testing.T, reader, n *domaintest.Node) *pb.Record {
	t.Helper()
	for _, r := range reader.Member.Table().Records(pb.RecordKind_RECORD_ENDPOINT, n.Service) {
		if r.GetOwner() == n.Name {
			return r
		}
	}
	t.Fatalf("%s has no endpoint of %s", reader.Name, n.Name)
	return nil
}

// TestFalseLossIsRefuted guards against a running daemon that stays lost because it
// does not receive the liveness record or does not refute it.
func TestFalseLossIsRefuted(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, members := f.Distributors(0)
		r := endpointOf(t, members[0], members[0])
		distributors[0].Server.Distributor().Publish(&pb.Record{
			Kind: pb.RecordKind_RECORD_LIVENESS, Service: r.GetService(), Key: r.GetKey(), Owner: r.GetOwner(),
			Incarnation: r.GetIncarnation(), Counter: 2 * r.GetCounter(),
		})
		f.Await("the loss reaches every daemon", time.Second, unusedBy(f, members[0]))
		f.Await("the daemon refutes the loss", 2*time.Second, func() bool { return allUsable(f) })
	})
}

// TestPartitionedDaemonReturns guards against a daemon that was declared lost while
// it was cut off and does not receive that record when it is connected again.
func TestPartitionedDaemonReturns(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		_, members := f.Distributors(0)
		n := members[0]
		f.Network.SetCut(func(from, to string) bool { return (from == n.Name) != (to == n.Name) })
		v := f.Accept(n.Service)
		f.Await("only the cut daemon lacks the version", 2*time.Second, func() bool {
			progress, err := members[1].Member.Progress(t.Context())
			everywhere, lacking, unknown := domain.InForce(progress, v)
			return err == nil && !everywhere && len(unknown) == 0 && len(lacking) == 1 && lacking[0] == n.Name
		})
		f.Await("the daemon is lost", 6*time.Second, unusedBy(f, n))
		time.Sleep(10 * time.Second)
		f.Network.SetCut(nil)
		f.Await("the daemon is used again and has the newest version", propagationLimit, func() bool {
			return allUsable(f) && domaintest.InForce(v, n)()
		})
	})
}

// TestRestartWithOtherService guards against an endpoint that stays usable after
// the process that announced it has ended.
func TestRestartWithOtherService(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		_, members := f.Distributors(0)
		n, before := members[0], members[0].Service
		n.Crash()
		n.Service, n.Depends = domaintest.ServiceName(3), nil
		if before == n.Service {
			n.Service = domaintest.ServiceName(2)
		}
		n.Restart()
		f.Await("the previous endpoint is unused", propagationLimit, func() bool {
			for _, other := range nodesExcept(f, n) {
				for _, e := range other.Member.Table().Endpoints(before) {
					if e.GetName() == n.Name && e.Usable() {
						return false
					}
				}
			}
			return true
		})
		f.Await("the new endpoint is used", propagationLimit, func() bool { return allUsable(f) })
	})
}

// TestRepair guards against a record that a daemon lacks permanently, whatever the
// cause.
func TestRepair(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, _ := f.Distributors(0)
		distributors[0].Server.Distributor().Publish(domaintest.GrantRecord(domaintest.ServiceName(0), "m", 1, 3, 1, 0, true))
		f.Await("the grant is taken back", 2*time.Second, func() bool { return takenBack(f) })
		for _, n := range f.Nodes {
			n.Member.Table().Sweep(time.Now().Add(48 * time.Hour))
		}
		assert.Assert(t, !takenBack(f))
		f.Await("the records are sent again", propagationLimit, func() bool { return takenBack(f) })
	})
}

// TestJoinRateLimit guards against a reconnect storm in which a distributor accepts
// all joins at once.
func TestJoinRateLimit(t *testing.T) {
	runFleet(t, func(t *testing.T, f *domaintest.Fleet) {
		const joins = 60
		distributors, _ := f.Distributors(0)
		var mu sync.Mutex
		var tasks sync.WaitGroup
		deferred := 0
		for i := range joins {
			name := "storm-" + string(rune('a'+i))
			f.Network.Listen(name, func(c net.Conn) { go c.Close() })
			tasks.Go(func() {
				conn, err := link.NewPeers(f.Network.Dial(name)).Dial(t.Context(), distributors[0].Name)
				assert.Check(t, err)
				defer conn.Close()
				stream, err := pb.NewDRPCMeshClient(conn).Join(t.Context())
				assert.Check(t, err)
				assert.Check(t, stream.Send(&pb.MemberReport{Name: name, Domain: distributors[0].Domain, First: true, Sequence: 1}))
				update, err := stream.Recv()
				mu.Lock()
				defer mu.Unlock()
				if err == nil && update.GetRetryAfterMs() > 0 {
					deferred++
				}
			})
		}
		tasks.Wait()
		assert.Assert(t, deferred >= joins*2/3 && deferred < joins, "%d of %d joins deferred", deferred, joins)
	})
}
