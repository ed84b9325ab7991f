package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/link"
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

// dialer opens connections that can be silenced. Later connections work.
type dialer struct {
	mu    sync.Mutex
	conns []*silentConn
}

func (d *dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := link.DialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := &silentConn{Conn: conn}
	d.conns = append(d.conns, c)
	return c, nil
}

// silence silences the open connections and returns their number.
func (d *dialer) silence() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.silent.Store(true)
	}
	return len(d.conns)
}

// silentConn drops what is written once it is silent.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestFetchOverSilentConnection guards against a daemon that stays behind because its
// open connections to peers no longer deliver.
func TestFetchOverSilentConnection(t *testing.T) {
	const bound = time.Second
	holder := startDaemon(t, "b", 1)
	connections := &dialer{}
	receiver := startDaemon(t, "a", 1, func(o *Options) { o.Peers = link.NewPeers(connections.dial) })
	member := NewTable("b", 1, State{Zone: "z", SyncAddress: holder.address}, receiver.table.clock)
	receiver.merge([]*pb.MemberState{member.localState()}, nil)
	holder.ApplyConfig(&routing.Config{Version: 1})
	receiver.table.recordConfigVersion("b", 1)
	receiver.fetchConfig()
	assert.Equal(t, receiver.config.Load().Version(), uint64(1))
	assert.Assert(t, connections.silence() > 0)
	holder.ApplyConfig(&routing.Config{Version: 2})
	receiver.table.recordConfigVersion("b", 2)
	started := time.Now()
	receiver.fetchConfig()
	assert.Equal(t, receiver.config.Load().Version(), uint64(2))
	assert.Assert(t, time.Since(started) < bound, "the fetch took %v", time.Since(started))
}

// TestFactsBeforeFirstConfig guards against a daemon that has just started and applies the
// configuration of a peer without the facts that the peer had when it applied it. Requests
// would reach targets that these facts rule out.
func TestFactsBeforeFirstConfig(t *testing.T) {
	const key = "orders/desk"
	var known atomic.Bool
	holder := startDaemon(t, "b", 1)
	receiver := startDaemon(t, "a", 1, func(o *Options) {
		o.ApplyConfig = func(c *routing.Config) {
			_, ok := o.Table.Fact(key)
			known.Store(ok)
			o.Config.Advance(c)
		}
	})
	holder.table.SetFact(key, 7, []byte("{}"))
	holder.ApplyConfig(&routing.Config{Version: 1})
	assert.NilError(t, receiver.handleDatagram(holder.encodeWithLocalState(&pb.SyncRequest{})))
	waitFor(t, "the configuration is in force", func() bool { return receiver.config.Load().Version() == 1 })
	assert.Assert(t, known.Load(), "the configuration was applied without a fact of the peer")
}
