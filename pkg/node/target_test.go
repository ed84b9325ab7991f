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

// trackerTest is a tracker with its gate and the state that it published.
type trackerTest struct {
	*targetTracker
	state fleet.State
}

func newTrackerTest() *trackerTest {
	tracker := &trackerTest{}
	gate := proxy.NewGate(proxy.GateOptions{
		Config: &routing.Current{}, Clock: &clock.Manual{}, Uplink: proxy.NewUplink(0), DrainPeriod: time.Second, Logger: zap.NewNop(),
	})
	tracker.targetTracker = &targetTracker{
		service: "desk", address: "t:1", heartbeat: time.Second, gate: gate, clock: &clock.Manual{}, logger: zap.NewNop(),
		update: func(change func(*fleet.State)) { change(&tracker.state) },
	}
	tracker.entry = newStoredEntry(daemonEntry{}, nil, "daemon", zap.NewNop(), tracker.handleLeftTarget)
	return tracker
}

func announcement(id string, startMS, sequence int64) *Announcement {
	return &Announcement{ID: id, Service: "desk", Address: "t:1", Version: "v1", Slots: 4, StartMS: startMS, Sequence: sequence}
}

// usable reports whether requests are sent to the target.
func (t *trackerTest) usable() bool {
	return t.gate.Load() != nil && t.state.Target != nil && !t.state.Target.Leaving
}

// TestLateAnnouncementAfterRestart guards against a request to a target whose
// departure the previous process of the daemon acknowledged. A delayed heartbeat
// arrives at the new process, which has no record of the departure.
func TestLateAnnouncementAfterRestart(t *testing.T) {
	tracker := newTrackerTest()
	assert.Assert(t, tracker.HandleAnnouncement(announcement("t", 5, 7)))
	assert.Assert(t, !tracker.usable(), "used before the peers had time to report")
	tracker.handleLeftTarget("t", 5)
	tracker.release()
	assert.Assert(t, !tracker.usable(), "used although it had left")
	assert.Assert(t, tracker.HandleAnnouncement(announcement("t", 5, 8)))
	assert.Assert(t, !tracker.usable(), "a late heartbeat made it available again")
	assert.Assert(t, tracker.HandleAnnouncement(announcement("t", 6, 1)))
	assert.Assert(t, tracker.usable(), "not available after a restart under the same ID")
}

// TestPeersReportDifferentStarts guards against the departure of an earlier start that
// masks the departure of a later one with the same ID.
func TestPeersReportDifferentStarts(t *testing.T) {
	tracker := newTrackerTest()
	tracker.handleLeftTarget("t", 5)
	tracker.handleLeftTarget("t", 9)
	tracker.handleLeftTarget("t", 5)
	tracker.release()
	tracker.HandleAnnouncement(announcement("t", 9, 3))
	assert.Assert(t, !tracker.usable())
}

// TestLateReportOfLeftTarget guards against a departed target that stays in use when
// the peers report it after its release.
func TestLateReportOfLeftTarget(t *testing.T) {
	tracker := newTrackerTest()
	tracker.release()
	tracker.HandleAnnouncement(announcement("t", 5, 7))
	assert.Assert(t, tracker.usable())
	tracker.handleLeftTarget("t", 5)
	assert.Assert(t, !tracker.usable())
}

// TestLeavingBeforeRelease guards against a departure that is acknowledged before the
// release of the target and lost when the target is released.
func TestLeavingBeforeRelease(t *testing.T) {
	for name, leave := range map[string]func(tracker *trackerTest){
		"removed": func(tracker *trackerTest) { tracker.HandleRemoval("t") },
		"leaving": func(tracker *trackerTest) {
			a := announcement("t", 5, 8)
			a.Leaving = true
			tracker.HandleAnnouncement(a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTrackerTest()
			tracker.HandleAnnouncement(announcement("t", 5, 7))
			leave(tracker)
			tracker.release()
			assert.Assert(t, !tracker.usable())
			tracker.HandleAnnouncement(announcement("t", 5, 6))
			assert.Assert(t, !tracker.usable())
			tracker.HandleAnnouncement(announcement("t", 5, 9))
			assert.Assert(t, !tracker.usable(), "a late heartbeat made it available again")
		})
	}
}

// TestRemovalOfUnknownTarget guards against a late heartbeat that makes a removed
// target available again, if the removal is the first request about the target that
// a new process receives.
func TestRemovalOfUnknownTarget(t *testing.T) {
	tracker := newTrackerTest()
	tracker.release()
	tracker.HandleRemoval("t")
	tracker.HandleAnnouncement(announcement("t", 5, 7))
	assert.Assert(t, !tracker.usable())
	tracker.HandleAnnouncement(announcement("t", time.Now().Add(time.Minute).UnixMilli(), 1))
	assert.Assert(t, tracker.usable(), "not available after a restart under the same ID")
}

// TestLateHeartbeatIsNoSignOfLife guards against a delayed heartbeat that hides the
// silence of a target, and against a target that stays down after its next heartbeat.
func TestLateHeartbeatIsNoSignOfLife(t *testing.T) {
	tracker := newTrackerTest()
	c := tracker.targetTracker.clock.(*clock.Manual)
	tracker.release()
	tracker.HandleAnnouncement(announcement("t", 5, 7))
	c.Advance(maxMissedHeartbeats * time.Second)
	tracker.HandleAnnouncement(announcement("t", 4, 9))
	tracker.HandleAnnouncement(announcement("t", 5, 6))
	c.Advance(time.Second)
	tracker.checkSilence()
	assert.Assert(t, tracker.state.Target.Down)
	tracker.HandleAnnouncement(announcement("t", 5, 7))
	assert.Assert(t, tracker.state.Target.Down, "a repeated heartbeat")
	tracker.HandleAnnouncement(announcement("t", 5, 8))
	assert.Assert(t, !tracker.state.Target.Down)
}

// TestLeavingInResponseIsPublished guards against peers that go on using a target whose
// responses say that it is leaving, and against a heartbeat that makes it available again.
func TestLeavingInResponseIsPublished(t *testing.T) {
	tracker := newTrackerTest()
	tracker.release()
	assert.Assert(t, tracker.HandleAnnouncement(announcement("t", 5, 7)))
	tracker.handleLeaving("other")
	assert.Assert(t, !tracker.state.Target.Leaving, "another target was drained")
	tracker.handleLeaving("t")
	assert.Assert(t, tracker.state.Target.Leaving)
	assert.Assert(t, tracker.HandleAnnouncement(announcement("t", 5, 8)))
	assert.Assert(t, tracker.state.Target.Leaving, "a heartbeat made it available again")
}

// TestPublishedColdPhase guards against peers that take a target for warm after it has
// become cold again, and against a publication with each heartbeat of a cold phase.
func TestPublishedColdPhase(t *testing.T) {
	tracker := newTrackerTest()
	c := tracker.targetTracker.clock.(*clock.Manual)
	tracker.release()
	sequence := int64(0)
	hear := func(left time.Duration) int64 {
		c.Advance(time.Second)
		sequence++
		a := announcement("t", 5, sequence)
		a.WarmupLeft = left
		tracker.HandleAnnouncement(a)
		return tracker.state.Target.WarmupLeftMS
	}
	assert.Equal(t, hear(20*time.Second), int64(20000))
	published := tracker.state.Target
	assert.Equal(t, hear(19*time.Second), int64(20000))
	assert.Assert(t, tracker.state.Target == published, "the same end was published again")
	assert.Equal(t, hear(30*time.Second), int64(30000), "cold again within the cold phase")
	tracker.handleLeaving("t")
	assert.Assert(t, tracker.state.Target.Leaving)
	assert.Equal(t, hear(0), int64(0))
}

// TestHeartbeatsAsEvidence guards against a target whose late heartbeats, sent before its
// acknowledged departure, count as evidence that it has not left.
func TestHeartbeatsAsEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		before, after []*Announcement // received before and after the longest delay of a heartbeat
		want          bool
	}{
		"none":                {nil, nil, false},
		"late ones only":      {[]*Announcement{announcement("t", 5, 7), announcement("t", 5, 8)}, nil, false},
		"first one delayed":   {nil, []*Announcement{announcement("t", 5, 7)}, false},
		"repeated":            {[]*Announcement{announcement("t", 5, 7)}, []*Announcement{announcement("t", 5, 7)}, false},
		"out of order":        {[]*Announcement{announcement("t", 5, 7)}, []*Announcement{announcement("t", 5, 6)}, false},
		"another target":      {[]*Announcement{announcement("t", 5, 7)}, []*Announcement{announcement("u", 9, 1)}, false},
		"another start":       {[]*Announcement{announcement("t", 5, 7)}, []*Announcement{announcement("t", 9, 1)}, false},
		"regular ones":        {[]*Announcement{announcement("t", 5, 7)}, []*Announcement{announcement("t", 5, 8)}, true},
		"started in the wait": {nil, []*Announcement{announcement("t", 5, 1), announcement("t", 5, 2)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newTrackerTest()
			manual := tracker.targetTracker.clock.(*clock.Manual)
			end := manual.Now().Add(maxHeartbeatDelay)
			manual.Advance(time.Second)
			for _, a := range c.before {
				tracker.HandleAnnouncement(a)
			}
			manual.Advance(maxHeartbeatDelay)
			for _, a := range c.after {
				tracker.HandleAnnouncement(a)
			}
			assert.Equal(t, tracker.sentHeartbeatsSince(end), c.want)
		})
	}
}
