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

// endpointOf returns the record of a daemon's endpoint as another one holds it.
func endpointOf(t *testing.T, holder, n *domaintest.Node) *pb.Record {
	t.Helper()
	for _, r := range holder.Member.Table().Records(pb.RecordKind_RECORD_ENDPOINT, n.Service) {
		if r.GetOwner() == n.Name {
			return r
		}
	}
	t.Fatalf("%s has no endpoint of %s", holder.Name, n.Name)
	return nil
}

// TestWronglyLost guards against a living daemon that stays lost, because it
// does not learn of the declaration or does not refute it.
func TestWronglyLost(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, plain := f.Distributors(0)
		r := endpointOf(t, plain[0], plain[0])
		distributors[0].Server.Distributor().Publish(&pb.Record{
			Kind: pb.RecordKind_RECORD_LIVENESS, Service: r.GetService(), Key: r.GetKey(), Owner: r.GetOwner(),
			Incarnation: r.GetIncarnation(), Counter: 2 * r.GetCounter(),
		})
		f.Await("the declaration spreads", time.Second, unusedBy(f, plain[0]))
		f.Await("the daemon refutes it", 2*time.Second, func() bool { return allUsable(f) })
	})
}

// TestCutDaemonReturns guards against a daemon that was lost while it was cut
// off, and that nobody tells of it when it returns.
func TestCutDaemonReturns(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		_, plain := f.Distributors(0)
		n := plain[0]
		f.Network.SetCut(func(from, to string) bool { return (from == n.Name) != (to == n.Name) })
		v := f.Accept(n.Service)
		f.Await("only the cut daemon lacks the version", 2*time.Second, func() bool {
			progress, err := plain[1].Member.Progress(t.Context())
			everywhere, lacking, unknown := domain.InForce(progress, v)
			return err == nil && !everywhere && len(unknown) == 0 && len(lacking) == 1 && lacking[0] == n.Name
		})
		f.Await("it is lost", 6*time.Second, unusedBy(f, n))
		time.Sleep(10 * time.Second)
		f.Network.SetCut(nil)
		f.Await("it is used again, with the newest version", bound, func() bool {
			return allUsable(f) && domaintest.InForce(v, n)()
		})
	})
}

// TestRestartWithOtherService guards against an endpoint that outlives the
// process that announced it.
func TestRestartWithOtherService(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		_, plain := f.Distributors(0)
		n, before := plain[0], plain[0].Service
		n.Crash()
		n.Service, n.Depends = domaintest.ServiceName(3), nil
		if before == n.Service {
			n.Service = domaintest.ServiceName(2)
		}
		n.Restart()
		f.Await("the old endpoint is unused", bound, func() bool {
			for _, other := range others(f, n) {
				for _, e := range other.Member.Table().Endpoints(before) {
					if e.GetName() == n.Name && e.Usable() {
						return false
					}
				}
			}
			return true
		})
		f.Await("the new endpoint is used", bound, func() bool { return allUsable(f) })
	})
}

// TestRepair guards against a record that one daemon lacks for good, whatever
// the cause.
func TestRepair(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		distributors, _ := f.Distributors(0)
		distributors[0].Server.Distributor().Publish(domaintest.GrantRecord(domaintest.ServiceName(0), "m", 1, 3, 1, 0, true))
		f.Await("taken back", 2*time.Second, func() bool { return takenBack(f) })
		for _, n := range f.Nodes {
			n.Member.Table().Sweep(time.Now().Add(48 * time.Hour))
		}
		assert.Assert(t, !takenBack(f))
		f.Await("the records are sent again", bound, func() bool { return takenBack(f) })
	})
}

// TestAdmission guards against a storm of joins that a distributor takes in
// at once.
func TestAdmission(t *testing.T) {
	run(t, func(t *testing.T, f *domaintest.Fleet) {
		const joins = 60
		distributors, _ := f.Distributors(0)
		var mu sync.Mutex
		var tasks sync.WaitGroup
		refused := 0
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
					refused++
				}
			})
		}
		tasks.Wait()
		assert.Assert(t, refused >= joins*2/3 && refused < joins, "%d of %d joins refused", refused, joins)
	})
}
