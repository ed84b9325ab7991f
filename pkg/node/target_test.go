package node

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// keeperTest is a keeper with its gate and the state that it published.
type keeperTest struct {
	*targetKeeper
	state fleet.State
}

func newKeeperTest() *keeperTest {
	k := &keeperTest{}
	gate := proxy.NewGate(proxy.GateOptions{
		Config: &routing.Current{}, Clock: &clock.Manual{}, Uplink: proxy.NewUplink(0), DrainPeriod: time.Second, Logger: zap.NewNop(),
	})
	k.targetKeeper = &targetKeeper{
		service: "desk", address: "t:1", heartbeat: time.Second, gate: gate, clock: &clock.Manual{}, logger: zap.NewNop(),
		update: func(change func(*fleet.State)) { change(&k.state) },
	}
	return k
}

func announcement(id string, born, sequence int64) *Announcement {
	return &Announcement{ID: id, Service: "desk", Address: "t:1", Version: "v1", Slots: 4, Born: born, Sequence: sequence}
}

// usable reports whether requests are sent to the target.
func (k *keeperTest) usable() bool {
	return k.gate.Load() != nil && k.state.Target != nil && !k.state.Target.Leaving
}

// TestLateAnnouncementAfterRestart guards against a request to a target whose
// leaving the daemon's former process had acknowledged: a heartbeat that was
// delayed arrives at the new process, which knows nothing (seen as DRAIN on
// trouble-1 of the grown inzuzi-mesh).
func TestLateAnnouncementAfterRestart(t *testing.T) {
	k := newKeeperTest()
	assert.Assert(t, k.Announce(announcement("t", 5, 7)))
	assert.Assert(t, !k.usable(), "used before the peers were asked")
	k.noteLeft("t", 5)
	k.release()
	assert.Assert(t, !k.usable(), "used although it had left")
	assert.Assert(t, k.Announce(announcement("t", 5, 8)))
	assert.Assert(t, !k.usable(), "a late heartbeat brought it back")
	assert.Assert(t, k.Announce(announcement("t", 6, 1)))
	assert.Assert(t, k.usable(), "it has started again under its ID")
}

// TestPeersTellDifferentStarts guards against an earlier leaving, told first,
// that hides a later one of the same ID.
func TestPeersTellDifferentStarts(t *testing.T) {
	k := newKeeperTest()
	k.noteLeft("t", 5)
	k.noteLeft("t", 9)
	k.noteLeft("t", 5)
	k.release()
	k.Announce(announcement("t", 9, 3))
	assert.Assert(t, !k.usable())
}

// TestLeftTargetIsToldLate guards against peers that answer after the target
// came into use.
func TestLeftTargetIsToldLate(t *testing.T) {
	k := newKeeperTest()
	k.release()
	k.Announce(announcement("t", 5, 7))
	assert.Assert(t, k.usable())
	k.noteLeft("t", 5)
	assert.Assert(t, !k.usable())
}

// TestLeavingBeforeRelease guards against a leaving that is acknowledged and
// then forgotten when the target comes into use.
func TestLeavingBeforeRelease(t *testing.T) {
	for name, leave := range map[string]func(k *keeperTest){
		"removed": func(k *keeperTest) { k.Remove("t") },
		"leaving": func(k *keeperTest) {
			a := announcement("t", 5, 8)
			a.Leaving = true
			k.Announce(a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			k := newKeeperTest()
			k.Announce(announcement("t", 5, 7))
			leave(k)
			k.release()
			assert.Assert(t, !k.usable())
			k.Announce(announcement("t", 5, 6))
			assert.Assert(t, !k.usable())
			k.Announce(announcement("t", 5, 9))
			assert.Assert(t, !k.usable(), "a late heartbeat brought it back")
		})
	}
}

// TestRemovalOfUnknownTarget guards against a late heartbeat that brings back a
// target whose removal was the first that a new process heard of it.
func TestRemovalOfUnknownTarget(t *testing.T) {
	k := newKeeperTest()
	k.release()
	k.Remove("t")
	k.Announce(announcement("t", 5, 7))
	assert.Assert(t, !k.usable())
	k.Announce(announcement("t", time.Now().Add(time.Minute).UnixMilli(), 1))
	assert.Assert(t, k.usable(), "it has started again under its ID")
}
