package fleet

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/link/linktest"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// daemon is one member of a test fleet on loopback.
type daemon struct {
	*Fleet
	table   *Table
	config  *routing.Current
	address string
	stop    context.CancelFunc
	left    atomic.Value // ID of the last target reported as left
}

// startDaemon starts a daemon whose options are changed by changes.
func startDaemon(t *testing.T, name string, incarnation uint64, changes ...func(*Options)) *daemon {
	t.Helper()
	const attempts = 20
	for range attempts {
		listener := linktest.Listen(t)
		datagrams, err := net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			return startDaemonAt(t, name, incarnation, listener, datagrams, changes...)
		}
		assert.NilError(t, listener.Close()) // another process has the UDP port
	}
	t.Fatal("no port that is free for TCP and UDP")
	return nil
}

func startDaemonAt(
	t *testing.T, name string, incarnation uint64, listener net.Listener, datagrams net.PacketConn, changes ...func(*Options),
) *daemon {
	t.Helper()
	tasks, err := ants.NewPool(256, ants.WithNonblocking(true))
	assert.NilError(t, err)
	address := listener.Addr().String()
	d := &daemon{
		config: &routing.Current{}, address: address,
		table: NewTable(name, incarnation, State{Zone: "z", SyncAddress: address}, clock.Boot{}),
	}
	history := &History{}
	options := Options{
		Table: d.table, Peers: link.NewPeers(link.DialTCP), Datagrams: datagrams, Tasks: tasks, Config: d.config, History: history,
		Logger: zap.NewNop(), HandleReport: func(string, []byte) {},
		HandleLeftTarget: func(target string, _ int64) { d.left.Store(target) },
		ApplyConfig:      func(c *routing.Config) { d.applyConfig(c, history) },
	}
	for _, change := range changes {
		change(&options)
	}
	d.Fleet = New(options)
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() { _ = d.Serve(ctx, listener) }()
	go func() { _ = d.ReceiveDatagrams(ctx) }()
	go d.Run(ctx)
	t.Cleanup(func() { cancel(); tasks.Release() })
	return d
}

func (d *daemon) applyConfig(c *routing.Config, history *History) {
	if d.config.Advance(c) {
		history.Add(c)
	}
}

func startFleet(t *testing.T, names ...string) []*daemon {
	daemons := make([]*daemon, 0, len(names))
	for i, name := range names {
		d := startDaemon(t, name, 1)
		if i > 0 {
			assert.Assert(t, d.Exchange(t.Context(), names[0], daemons[0].address))
		}
		daemons = append(daemons, d)
	}
	return daemons
}

// waitFor polls a condition until it is met. The timeout covers several exchange
// intervals.
func waitFor(t *testing.T, condition string, met func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if met() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

// TestJoin guards against a new member that stays unknown to all daemons except the
// one it contacted first.
func TestJoin(t *testing.T) {
	daemons := startFleet(t, "a", "b", "c", "d")
	for _, d := range daemons {
		waitFor(t, "all members are live", func() bool { return len(d.table.Live()) == 4 })
	}
}

// TestPush guards against a state change that is delayed until the next exchange.
// Peers must learn of a leaving target before its drain period ends.
func TestPush(t *testing.T) {
	daemons := startFleet(t, "a", "b", "c")
	for _, d := range daemons {
		waitFor(t, "all members are live", func() bool { return len(d.table.Live()) == 3 })
	}
	daemons[2].Update(func(s *State) { s.Target = &Target{ID: "t", Leaving: true} })
	waitFor(t, "the push arrives", func() bool {
		for _, m := range daemons[0].table.Members() {
			if m.Name == "c" && m.State.Target != nil && m.State.Target.Leaving {
				return true
			}
		}
		return false
	})
}

// TestConfigSpreads guards against daemons that stay on an old configuration. It
// covers the full configuration and deltas.
func TestConfigSpreads(t *testing.T) {
	daemons := startFleet(t, "a", "b")
	routes := []*routing.Route{{Name: "r", Host: "h", Prefix: "/a/", Split: []routing.Share{{Service: "s", Weight: 1}}}}
	for version := uint64(3); version < 9; version += 2 {
		routes = append(routes, &routing.Route{Name: string(rune('a' + version)), Host: "h", Prefix: "/b/", Timeout: time.Duration(version)})
		daemons[0].ApplyConfig(&routing.Config{Version: version, Routes: routes})
		daemons[0].push()
		waitFor(t, "the version spreads", func() bool { return daemons[1].config.Load().Version() == version })
		assert.Equal(t, len(daemons[1].config.Load().Config.Routes), len(routes))
	}
}

// TestRestartIsFound guards against a restarted daemon that stays isolated while
// the store is down. It has no list of peers, but its peers still have its address
// and must contact it.
func TestRestartIsFound(t *testing.T) {
	daemons := startFleet(t, "a", "b")
	waitFor(t, "both are live", func() bool { return len(daemons[0].table.Live()) == 2 })
	daemons[1].stop()
	address := daemons[1].address
	var listener net.Listener
	waitFor(t, "the port is free", func() bool {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	})
	var datagrams net.PacketConn
	waitFor(t, "the UDP port is free", func() bool {
		var err error
		datagrams, err = net.ListenPacket("udp", address)
		return err == nil
	})
	restarted := startDaemonAt(t, "b", 2, listener, datagrams)
	waitFor(t, "the restarted daemon is found", func() bool { return len(restarted.table.Live()) == 2 })
}

// TestRefute guards against a daemon whose clock went backwards between two starts:
// its peers would discard all its later states as stale.
func TestRefute(t *testing.T) {
	c := &clock.Manual{}
	table := NewTable("a", 5, State{}, c)
	_, err := table.apply([]*pb.MemberState{{
		Digest: &pb.MemberDigest{Name: "a", Incarnation: 9, Counter: 3}, Payload: []byte(`{"zone":"old"}`),
	}}, nil)
	assert.NilError(t, err)
	assert.Equal(t, table.Local().Incarnation, uint64(10))
	assert.Equal(t, table.Local().State.Zone, "")
}

// TestSilentMembersGetNoRole guards against roles assigned to unavailable members.
// Time during which the local daemon is suspended counts towards the silence.
func TestSilentMembersGetNoRole(t *testing.T) {
	c := &clock.Manual{}
	table := NewTable("a", 1, State{}, c)
	peerState := func(heartbeat uint64) *pb.MemberState {
		return &pb.MemberState{Digest: &pb.MemberDigest{Name: "b", Incarnation: 1, Counter: 1, Beat: heartbeat}, Payload: []byte(`{}`)}
	}
	_, err := table.apply([]*pb.MemberState{peerState(1)}, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(table.Rank("role", nil)), 2)
	c.Advance(SilentAfter + time.Second)
	assert.Equal(t, len(table.Rank("role", nil)), 1)
	_, err = table.apply([]*pb.MemberState{peerState(2)}, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(table.Rank("role", nil)), 2)
}

// TestOldNewsIsIgnored guards against stale states and facts that replace newer ones
// when messages arrive out of order.
func TestOldNewsIsIgnored(t *testing.T) {
	table := NewTable("a", 1, State{}, &clock.Manual{})
	state := func(incarnation, counter uint64, zone string) []*pb.MemberState {
		return []*pb.MemberState{{
			Digest: &pb.MemberDigest{Name: "b", Incarnation: incarnation, Counter: counter}, Payload: []byte(`{"zone":"` + zone + `"}`),
		}}
	}
	for _, s := range [][]*pb.MemberState{state(2, 1, "new"), state(1, 9, "old"), state(2, 1, "same")} {
		_, err := table.apply(s, []*pb.Fact{{Key: "k", Rank: 7, Payload: []byte("new")}})
		assert.NilError(t, err)
	}
	_, err := table.apply(nil, []*pb.Fact{{Key: "k", Rank: 6, Payload: []byte("old")}})
	assert.NilError(t, err)
	assert.Equal(t, table.Members()[1].State.Zone, "new")
	fact, _ := table.Fact("k")
	assert.Equal(t, string(fact.Payload), "new")
}

// TestUnreadableState guards against a merge that drops the other states if one
// state cannot be decoded.
func TestUnreadableState(t *testing.T) {
	table := NewTable("a", 1, State{}, &clock.Manual{})
	_, err := table.apply([]*pb.MemberState{
		{Digest: &pb.MemberDigest{Name: "b", Incarnation: 1, Counter: 1}, Payload: []byte(`{"zone":7}`)},
		{Digest: &pb.MemberDigest{Name: "c", Incarnation: 1, Counter: 1}, Payload: []byte(`{}`)},
	}, nil)
	assert.ErrorContains(t, err, "state of b")
	assert.Equal(t, len(table.Members()), 2)
}

// TestPushRepeatsLostDatagram guards against an update that a lost datagram delays
// until the next exchange.
func TestPushRepeatsLostDatagram(t *testing.T) {
	b := startDaemon(t, "b", 1)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	a := New(Options{Table: NewTable("a", 1, State{}, clock.Boot{}), Datagrams: &lossyConn{PacketConn: socket}, Config: &routing.Current{}, Logger: zap.NewNop()})
	_, err = a.Table.apply([]*pb.MemberState{b.table.localState()}, nil)
	assert.NilError(t, err)
	a.SetFact("plan", 7, []byte("new"))
	a.pushAll(t.Context())
	waitFor(t, "the repeated push arrives", func() bool { _, ok := b.table.Fact("plan"); return ok })
}

// lossyConn drops the first datagram sent.
type lossyConn struct {
	net.PacketConn
	sent atomic.Int32
}

func (l *lossyConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if l.sent.Add(1) == 1 {
		return len(p), nil
	}
	return l.PacketConn.WriteTo(p, to)
}

// TestPushFitsDatagrams guards against push messages larger than a datagram may be,
// and against facts that are lost when a push is split.
func TestPushFitsDatagrams(t *testing.T) {
	f := New(Options{Table: NewTable("a", 1, State{}, &clock.Manual{}), Config: &routing.Current{}})
	for i := range 20 {
		f.SetFact(fmt.Sprintf("fact-%d", i), 1, make([]byte, 300))
	}
	facts := 0
	for _, message := range f.pushMessages() {
		assert.Assert(t, proto.Size(message) <= maxDatagram, "%d bytes", proto.Size(message))
		facts += len(message.GetFacts())
	}
	assert.Equal(t, facts, 20)
	assert.Equal(t, len(f.pushMessages()), 1, "facts are pushed only once")
}

// TestRolesPreferHighCapacityMachines guards against roles on machines whose link or
// CPU limit they would exhaust.
func TestRolesPreferHighCapacityMachines(t *testing.T) {
	table := NewTable("a", 1, State{LinkMbps: 10, Cores: 0.16}, &clock.Manual{})
	for name, state := range map[string]string{
		"b": `{"linkMbps":200,"cores":0.8}`, "c": `{"linkMbps":200,"cores":0.16}`, "d": `{"linkMbps":150,"cores":0.6}`,
	} {
		_, err := table.apply([]*pb.MemberState{{Digest: &pb.MemberDigest{Name: name, Incarnation: 1, Counter: 1}, Payload: []byte(state)}}, nil)
		assert.NilError(t, err)
	}
	for _, role := range []string{"operator", "moves", "other"} {
		ranked := table.Rank(role, nil)
		assert.Equal(t, len(ranked), 4)
		best := slices.Sorted(slices.Values(ranked[:2]))
		assert.DeepEqual(t, best, []string{"b", "d"})
	}
}

// TestConfigReplyIsCached guards against a delta that is computed again for each of
// hundreds of peers.
func TestConfigReplyIsCached(t *testing.T) {
	d := startDaemon(t, "a", 1)
	d.ApplyConfig(&routing.Config{Version: 1, Routes: []*routing.Route{{Name: "r"}}})
	d.ApplyConfig(&routing.Config{Version: 2, Routes: []*routing.Route{{Name: "r", Host: "h"}}})
	first, err := d.configReply(1)
	assert.NilError(t, err)
	again, err := d.configReply(1)
	assert.NilError(t, err)
	assert.Assert(t, first == again && first.GetDelta())
	full, err := d.configReply(0)
	assert.NilError(t, err)
	assert.Assert(t, !full.GetDelta())
	d.ApplyConfig(&routing.Config{Version: 3})
	newer, err := d.configReply(1)
	assert.NilError(t, err)
	assert.Equal(t, newer.GetVersion(), uint64(3))
}

// TestFormerLeavingIsTold guards against a restarted daemon that uses a target whose
// departure its previous process acknowledged. Its peers must report the target,
// after an exchange as well as after an announcement.
func TestFormerLeavingIsTold(t *testing.T) {
	daemons := startFleet(t, "a", "b")
	waitFor(t, "both are live", func() bool { return len(daemons[0].table.Live()) == 2 && len(daemons[1].table.Live()) == 2 })
	daemons[1].Update(func(s *State) { s.Target = &Target{ID: "t", StartMS: 5, Leaving: true} })
	waitFor(t, "the peer has the leaving state", func() bool {
		m := daemons[0].table.Members()[1]
		return m.State.Target != nil && m.State.Target.Leaving
	})
	daemons[1].stop()
	for i, contact := range []func(d *daemon){
		func(d *daemon) { assert.Assert(t, d.Exchange(t.Context(), "a", daemons[0].address)) },
		func(d *daemon) { d.Announce(map[string]string{"a": daemons[0].address}) },
	} {
		restarted := startDaemon(t, "b", uint64(2+i))
		contact(restarted)
		waitFor(t, "the restarted daemon receives the left target", func() bool { return restarted.left.Load() == "t" })
		restarted.stop()
	}
}
