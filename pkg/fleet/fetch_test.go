package fleet

import (
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestFetchFromAnotherPeer guards against a daemon that stays behind because the first
// peer with a newer configuration does not answer.
func TestFetchFromAnotherPeer(t *testing.T) {
	daemons := startFleet(t, "a", "b")
	receiver, holder := daemons[0], daemons[1]
	for i := range maxFetchAttempts - 1 {
		silent, err := net.Listen("tcp", "127.0.0.1:0") // connections are opened by the kernel and never served
		assert.NilError(t, err)
		t.Cleanup(func() { _ = silent.Close() })
		member := NewTable(fmt.Sprintf("silent-%d", i), 1, State{Zone: "z", SyncAddress: silent.Addr().String()}, receiver.table.clock)
		receiver.merge([]*pb.MemberState{member.localState()}, nil)
	}
	for version := uint64(1); version <= 4; version++ {
		holder.ApplyConfig(&routing.Config{Version: version})
		receiver.table.Each(func(m *Member) { m.ConfigVersion = version })
		receiver.fetchConfig()
		assert.Equal(t, receiver.config.Load().Version(), version)
	}
}
