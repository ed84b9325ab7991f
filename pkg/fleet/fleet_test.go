package fleet

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
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
	d := &daemon{
		config: &routing.Current{}, address: address,
		table: NewTable(name, incarnation, State{Zone: "z", SyncAddress: address}, clock.Boot{}),
	}
	history := &History{}
	d.Fleet = New(Options{
		Table: d.table, Peers: link.NewPeers(link.DialTCP), Tasks: tasks, Config: d.config, History: history,
		Logger: zap.NewNop(), Report: func(string, []byte) {},
		Adopted: func(c *routing.Config) { d.adopt(c, history) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() { _ = d.Serve(ctx, listener) }()
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
	routes := []routing.Route{{Name: "r", Host: "h", Prefix: "/a/", Split: []routing.Share{{Service: "s", Weight: 1}}}}
	for version := uint64(3); version < 9; version += 2 {
		routes = append(routes, routing.Route{Name: string(rune('a' + version)), Host: "h", Prefix: "/b/", Timeout: time.Duration(version)})
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
