package fleet

import (
	"fmt"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// TestPermits guards against requests for permits, or their answers, that do not
// arrive at the daemon that they are for, also if they do not fit one datagram.
func TestPermits(t *testing.T) {
	const count = 100
	var granted, messages atomic.Int64
	a := startDaemon(t, "a", 1, func(o *Options) {
		o.HandlePermitGrants = func(from string, grants []*pb.PermitGrant) {
			assert.Check(t, from == "b")
			granted.Add(int64(len(grants)))
		}
	})
	b := startDaemon(t, "b", 1, func(o *Options) {
		o.HandlePermitRequests = func(from string, requests []*pb.PermitRequest) []*pb.PermitGrant {
			assert.Check(t, from == "a")
			messages.Add(1)
			var grants []*pb.PermitGrant
			for _, r := range requests {
				grants = append(grants, &pb.PermitGrant{Workspace: r.GetWorkspace(), Sequence: r.GetSequence(), Granted: r.GetWanted()})
			}
			return grants
		}
	})
	assert.Assert(t, b.Exchange(t.Context(), "a", a.address))
	waitFor(t, "both members are live", func() bool { return len(a.table.Live()) == 2 && len(b.table.Live()) == 2 })
	requests := make([]*pb.PermitRequest, count)
	for i := range requests {
		requests[i] = &pb.PermitRequest{Workspace: fmt.Sprint("workspace-", i), Sequence: uint64(1700000000000 + i), Wanted: 1}
	}
	a.SendPermitRequests("b", requests)
	waitFor(t, "all requests are answered", func() bool { return granted.Load() == count })
	assert.Assert(t, messages.Load() <= 3, "%d datagrams", messages.Load())
	a.SendPermitRequests("gone", requests)
	before := messages.Load()
	b.handlePermits(&pb.SyncRequest{From: "stranger", PermitRequests: requests[:1]})
	assert.Equal(t, messages.Load(), before, "a daemon that cannot get the answer was granted permits")
}
