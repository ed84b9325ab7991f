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
	left    atomic.Value // target that had left before
}

func startDaemon(t *testing.T, name string, incarnation uint64) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return startDaemonAt(t, name, incarnation, listener)
}

func startDaemonAt(t *testing.T, name string, incarnation uint64, listener net.Listener) *daemon {
	t.Helper()
	tasks, err := ants.NewPool(256, ants.WithNonblocking(true))
	assert.NilError(t, err)
	address := listener.Addr().String()
	datagrams, err := net.ListenPacket("udp", address)
	assert.NilError(t, err)
	d := &daemon{
		config: &routing.Current{}, address: address,
		table: NewTable(name, incarnation, State{Zone: "z", SyncAddress: address}, clock.Boot{}),
	}
	history := &History{}
	d.Fleet = New(Options{
		Table: d.table, Peers: link.NewPeers(link.DialTCP), Datagrams: datagrams, Tasks: tasks, Config: d.config, History: history,
		Logger: zap.NewNop(), Report: func(string, []byte) {},
		Left:    func(target string, _ int64) { d.left.Store(target) },
		Adopted: func(c *routing.Config) { d.adopt(c, history) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() { _ = d.Serve(ctx, listener) }()
	go func() { _ = d.ReceiveNews(ctx) }()
	go d.Run(ctx)
	t.Cleanup(func() { cancel(); tasks.Release() })
	return d
}

func (d *daemon) adopt(c *routing.Config, history *History) {
	if d.config.Advance(c) {
		history.Add(c)
		d.table.Update(func(s *State) { s.ConfigVersion = c.Version })
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

// eventually waits until check holds; the bound is several exchange intervals.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

// TestJoin guards against members that are known to their first peer only.
func TestJoin(t *testing.T) {
	daemons := startFleet(t, "a", "b", "c", "d")
	for _, d := range daemons {
		eventually(t, "all members are live", func() bool { return len(d.table.Live()) == 4 })
	}
}

// TestPush guards against news that waits for the next exchange: a leaving
// target must be known before its drain period is over.
func TestPush(t *testing.T) {
	daemons := startFleet(t, "a", "b", "c")
	for _, d := range daemons {
		eventually(t, "all members are live", func() bool { return len(d.table.Live()) == 3 })
	}
	daemons[2].Update(func(s *State) { s.Target = &Target{ID: "t", Leaving: true} })
	eventually(t, "the push arrives", func() bool {
		for _, m := range daemons[0].table.Members() {
			if m.Name == "c" && m.State.Target != nil && m.State.Target.Leaving {
				return true
			}
		}
		return false
	})
}

// TestConfigSpreads guards against daemons that stay on an old configuration,
// with a delta and from nothing.
func TestConfigSpreads(t *testing.T) {
	daemons := startFleet(t, "a", "b")
	routes := []*routing.Route{{Name: "r", Host: "h", Prefix: "/a/", Split: []routing.Share{{Service: "s", Weight: 1}}}}
	for version := uint64(3); version < 9; version += 2 {
		routes = append(routes, &routing.Route{Name: string(rune('a' + version)), Host: "h", Prefix: "/b/", Timeout: time.Duration(version)})
		daemons[0].Adopted(&routing.Config{Version: version, Routes: routes})
		daemons[0].push()
		eventually(t, "the version spreads", func() bool { return daemons[1].config.Load().Version() == version })
		assert.Equal(t, len(daemons[1].config.Load().Config.Routes), len(routes))
	}
}

// TestRestartIsFound guards against a restarted daemon that nobody contacts
// while the store is down: it knows no peer, but its peers remember it.
func TestRestartIsFound(t *testing.T) {
	daemons := startFleet(t, "a", "b")
	eventually(t, "both are live", func() bool { return len(daemons[0].table.Live()) == 2 })
	daemons[1].stop()
	address := daemons[1].address
	var listener net.Listener
	eventually(t, "the port is free", func() bool {
		var err error
		listener, err = net.Listen("tcp", address)
		return err == nil
	})
	restarted := startDaemonAt(t, "b", 2, listener)
	eventually(t, "the restarted daemon is found", func() bool { return len(restarted.table.Live()) == 2 })
}

// TestRefute guards against a daemon whose clock went back: its peers would
// take every later state for an old one.
func TestRefute(t *testing.T) {
	c := &clock.Manual{}
	table := NewTable("a", 5, State{}, c)
	_, err := table.apply([]*pb.MemberState{{
		Digest: &pb.MemberDigest{Name: "a", Incarnation: 9, Counter: 3}, Payload: []byte(`{"zone":"old"}`),
	}}, nil)
	assert.NilError(t, err)
	assert.Equal(t, table.Own().Incarnation, uint64(10))
	assert.Equal(t, table.Own().State.Zone, "")
}

// TestSilentMembersHoldNoDuty guards against duties of members that are gone.
// The age counts the time in which this daemon was suspended.
func TestSilentMembersHoldNoDuty(t *testing.T) {
	c := &clock.Manual{}
	table := NewTable("a", 1, State{}, c)
	other := func(beat uint64) *pb.MemberState {
		return &pb.MemberState{Digest: &pb.MemberDigest{Name: "b", Incarnation: 1, Counter: 1, Beat: beat}, Payload: []byte(`{}`)}
	}
	_, err := table.apply([]*pb.MemberState{other(1)}, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(table.Rank("duty", nil)), 2)
	c.Advance(silentAfter + time.Second)
	assert.Equal(t, len(table.Rank("duty", nil)), 1)
	_, err = table.apply([]*pb.MemberState{other(2)}, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(table.Rank("duty", nil)), 2)
}

// TestOldNewsIsIgnored guards against states and facts that arrive out of order.
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

// TestUnreadableState guards against one bad state that hides the others.
func TestUnreadableState(t *testing.T) {
	table := NewTable("a", 1, State{}, &clock.Manual{})
	_, err := table.apply([]*pb.MemberState{
		{Digest: &pb.MemberDigest{Name: "b", Incarnation: 1, Counter: 1}, Payload: []byte(`{"zone":7}`)},
		{Digest: &pb.MemberDigest{Name: "c", Incarnation: 1, Counter: 1}, Payload: []byte(`{}`)},
	}, nil)
	assert.ErrorContains(t, err, "state of b")
	assert.Equal(t, len(table.Members()), 2)
}

// TestNewsOverLostDatagrams guards against news that a lost datagram keeps back
// until the next exchange.
func TestNewsOverLostDatagrams(t *testing.T) {
	b := startDaemon(t, "b", 1)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	a := New(Options{Table: NewTable("a", 1, State{}, clock.Boot{}), Datagrams: &lossy{PacketConn: socket}, Logger: zap.NewNop()})
	_, err = a.Table.apply([]*pb.MemberState{b.table.ownState()}, nil)
	assert.NilError(t, err)
	a.SetFact("plan", 7, []byte("new"))
	a.pushAll(t.Context())
	eventually(t, "the repeated push arrives", func() bool { _, known := b.table.Fact("plan"); return known })
}

// lossy loses the first datagram.
type lossy struct {
	net.PacketConn
	sent atomic.Int32
}

func (l *lossy) WriteTo(p []byte, to net.Addr) (int, error) {
	if l.sent.Add(1) == 1 {
		return len(p), nil
	}
	return l.PacketConn.WriteTo(p, to)
}

// TestNewsFitsDatagrams guards against news that is cut at the size of a frame.
func TestNewsFitsDatagrams(t *testing.T) {
	f := New(Options{Table: NewTable("a", 1, State{}, &clock.Manual{})})
	for i := range 20 {
		f.SetFact(fmt.Sprintf("fact-%d", i), 1, make([]byte, 300))
	}
	facts := 0
	for _, message := range f.news() {
		assert.Assert(t, proto.Size(message) <= maxDatagram, "%d bytes", proto.Size(message))
		facts += len(message.GetFacts())
	}
	assert.Equal(t, facts, 20)
	assert.Equal(t, len(f.news()), 1, "facts are pushed once")
}

// TestDutiesGoToStrongMachines guards against duties on machines whose link or
// processor they fill.
func TestDutiesGoToStrongMachines(t *testing.T) {
	table := NewTable("a", 1, State{LinkMbps: 10, Cores: 0.16}, &clock.Manual{})
	for name, state := range map[string]string{
		"b": `{"linkMbps":200,"cores":0.8}`, "c": `{"linkMbps":200,"cores":0.16}`, "d": `{"linkMbps":150,"cores":0.6}`,
	} {
		_, err := table.apply([]*pb.MemberState{{Digest: &pb.MemberDigest{Name: name, Incarnation: 1, Counter: 1}, Payload: []byte(state)}}, nil)
		assert.NilError(t, err)
	}
	for _, duty := range []string{"operator", "moves", "other"} {
		ranked := table.Rank(duty, nil)
		assert.Equal(t, len(ranked), 4)
		best := slices.Sorted(slices.Values(ranked[:2]))
		assert.DeepEqual(t, best, []string{"b", "d"})
	}
}

// TestConfigReplyIsMadeOnce guards against a holder that compares versions anew
// for each of hundreds of peers.
func TestConfigReplyIsMadeOnce(t *testing.T) {
	d := startDaemon(t, "a", 1)
	d.Adopted(&routing.Config{Version: 1, Routes: []*routing.Route{{Name: "r"}}})
	d.Adopted(&routing.Config{Version: 2, Routes: []*routing.Route{{Name: "r", Host: "h"}}})
	first, err := d.configReply(1)
	assert.NilError(t, err)
	again, err := d.configReply(1)
	assert.NilError(t, err)
	assert.Assert(t, first == again && first.GetDelta())
	whole, err := d.configReply(0)
	assert.NilError(t, err)
	assert.Assert(t, !whole.GetDelta())
	d.Adopted(&routing.Config{Version: 3})
	newer, err := d.configReply(1)
	assert.NilError(t, err)
	assert.Equal(t, newer.GetVersion(), uint64(3))
}

// TestFormerLeavingIsTold guards against a daemon that starts anew and uses a
// target whose leaving its former process had acknowledged.
func TestFormerLeavingIsTold(t *testing.T) {
	daemons := startFleet(t, "a", "b")
	eventually(t, "both are live", func() bool { return len(daemons[0].table.Live()) == 2 && len(daemons[1].table.Live()) == 2 })
	daemons[1].Update(func(s *State) { s.Target = &Target{ID: "t", Born: 5, Leaving: true} })
	eventually(t, "the leaving is known", func() bool {
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
		eventually(t, "the restarted daemon knows of it", func() bool { return restarted.left.Load() == "t" })
		restarted.stop()
	}
}
