package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/proxy"
)

const (
	// maxMissedHeartbeats is the number of heartbeat intervals without an
	// announcement after which a target counts as down.
	maxMissedHeartbeats = 4
	// maxWarmupDrift is the difference in the end of the cold phase from which on it is
	// published again.
	maxWarmupDrift = time.Second
)

// targetTracker tracks the announcements of the local target and publishes its state
// to the gate and the fleet.
type targetTracker struct {
	service   string
	address   string
	heartbeat time.Duration
	gate      *proxy.Gate
	update    func(func(*fleet.State))
	entry     *storedEntry
	clock     clock.Clock
	logger    *zap.Logger

	mu               sync.Mutex
	released         bool // there is evidence that the target has not left
	current          *Announcement
	heardAgain       bool             // the current target has sent more than one heartbeat, without repeated and late ones
	left             map[string]int64 // start times of targets that have left, by ID
	leaving          bool
	silent           bool
	lastAnnouncement clock.Instant
	publishedWarmAt  clock.Instant // end of the cold phase in the published state
}

var _ AnnouncementHandler = (*targetTracker)(nil)

// HandleAnnouncement implements AnnouncementHandler.
func (t *targetTracker) HandleAnnouncement(a *Announcement) bool {
	if reason := t.rejectionReason(a); reason != "" {
		eventAnnouncementRejected.Log(t.logger, zap.String("target", a.ID), zap.String("reason", reason),
			zap.String("service", a.Service), zap.String("address", a.Address))
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && t.current.ID == a.ID {
		switch {
		case a.StartMS < t.current.StartMS:
			return false
		case a.StartMS == t.current.StartMS && a.Sequence <= t.current.Sequence:
			if a.StartMS == 0 {
				t.lastAnnouncement = t.clock.Now() // it may be a restart, whose sequence begins anew
			}
			return true // stale heartbeat; the current state is newer
		case a.StartMS > t.current.StartMS:
			t.leaving = false // the target restarted under the same ID
			t.gate.Close()
		}
	} else if t.current != nil && a.StartMS != 0 && a.StartMS < t.current.StartMS {
		eventAnnouncementRejected.Log(t.logger, zap.String("target", a.ID), zap.String("reason", "an earlier start than the held target"))
		return false
	} else {
		t.leaving = false
	}
	if a.Leaving {
		t.entry.recordDeparture(a.ID, a.StartMS)
	}
	t.lastAnnouncement, t.silent = t.clock.Now(), false
	first := t.current == nil || !t.released
	sameStart := t.current != nil && t.current.ID == a.ID && t.current.StartMS == a.StartMS
	changed := first || !sameStart || t.current.Leaving != a.Leaving || t.current.Slots != a.Slots || t.current.Version != a.Version
	t.heardAgain = sameStart
	t.current = a
	if changed {
		eventTargetAnnounced.Log(t.logger, zap.String("target", a.ID), zap.String("version", a.Version), zap.Int("slots", a.Slots),
			zap.Bool("leaving", a.Leaving), zap.Int64("sequence", a.Sequence), zap.Duration("warm_left", a.WarmupLeft))
	}
	if t.released {
		t.apply(a, first)
	}
	return true
}

// handleLeftTarget records a target whose departure a previous process of this daemon
// acknowledged. The target gets no requests, even if late heartbeats of it arrive.
func (t *targetTracker) handleLeftTarget(id string, startMS int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if recorded, ok := t.left[id]; ok && recorded >= startMS {
		return
	}
	t.recordLeft(id, startMS)
	eventTargetLeft.Log(t.logger, zap.String("target", id), zap.Int64("born", startMS))
	if t.released && t.current != nil && t.hasLeft(t.current) && !t.leaving {
		t.gate.Close()
		t.leaving = true
		t.publish()
	}
}

func (t *targetTracker) recordLeft(id string, startMS int64) {
	if t.left == nil {
		t.left = make(map[string]int64)
	}
	t.left[id] = max(t.left[id], startMS)
	t.entry.recordDeparture(id, startMS)
}

// AwaitDeparture implements AnnouncementHandler.
func (t *targetTracker) AwaitDeparture(id string) bool { return t.entry.awaitDeparture(id) }

func (t *targetTracker) hasLeft(a *Announcement) bool {
	startMS, ok := t.left[a.ID]
	return ok && a.StartMS <= startMS
}

// release makes the target available to the gate. It is called when the departures of
// earlier targets are known or the target has proved to be in use. It reports false if
// the target was available before.
func (t *targetTracker) release() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.released {
		return false
	}
	t.released = true
	if t.current != nil {
		t.apply(t.current, true)
	}
	return true
}

// sentHeartbeatsSince reports whether the target has sent a heartbeat that arrived after
// an instant and was not the first one. A single heartbeat may have been delayed.
func (t *targetTracker) sentHeartbeatsSince(instant clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heardAgain && t.lastAnnouncement > instant
}

// rejectionReason returns why an announcement does not match the local target, or an
// empty string if it does.
func (t *targetTracker) rejectionReason(a *Announcement) string {
	switch {
	case a.Service != t.service:
		return "another service"
	case a.Address != t.address:
		return "another address"
	}
	return ""
}

// apply publishes an accepted announcement to the gate and the fleet. A target that is
// leaving in the first announcement that this process receives gets no requests: a
// previous process may have acknowledged the departure long ago.
func (t *targetTracker) apply(a *Announcement, first bool) {
	if a.Leaving && first || t.hasLeft(a) {
		t.leaving = true
		t.publish()
		return
	}
	if !t.leaving {
		t.gate.SetTarget(proxy.LocalTarget{
			ID: a.ID, Service: a.Service, Version: a.Version, Address: t.address, Slots: a.Slots,
			HeardAt: t.lastAnnouncement, WarmupLeft: a.WarmupLeft,
		})
	}
	if a.Leaving {
		t.startLeaving()
	}
	t.publish()
}

func (t *targetTracker) startLeaving() {
	if t.leaving {
		return
	}
	t.leaving = true
	t.entry.recordDeparture(t.current.ID, t.current.StartMS)
	t.gate.Leave(t.current.ID)
	eventTargetLeaves.Log(t.logger, zap.String("target", t.current.ID))
}

// HandleRemoval implements AnnouncementHandler. Some targets do not announce that they
// are leaving before their removal, and still serve for the drain period. A late
// heartbeat does not make a removed target available again.
func (t *targetTracker) HandleRemoval(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.ID != id {
		// The request does not contain a start time, so it covers all starts up
		// to now.
		t.recordLeft(id, time.Now().UnixMilli())
		return
	}
	if !t.released {
		t.recordLeft(id, t.current.StartMS)
		return
	}
	t.startLeaving()
	t.publish()
}

// handleLeaving starts to drain a target that says in a response that it is leaving.
func (t *targetTracker) handleLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.ID != id || t.leaving {
		return
	}
	t.startLeaving()
	t.publish()
}

// HandleUnreadable implements AnnouncementHandler.
func (t *targetTracker) HandleUnreadable(err error) {
	eventAnnouncementRejected.Log(t.logger, zap.Error(err))
}

func (t *targetTracker) publish() {
	a := t.current
	down := t.silent || t.gate.Down()
	state := &fleet.Target{
		ID: a.ID, Service: a.Service, Version: a.Version, StartMS: a.StartMS, Slots: a.Slots, Leaving: t.leaving, Down: down,
	}
	if a.WarmupLeft > 0 {
		state.WarmupLeftMS = a.WarmupLeft.Milliseconds()
	}
	t.update(func(s *fleet.State) { s.Target = t.withPublishedWarmup(s.Target, state) })
}

// withPublishedWarmup returns the state to publish. If only the remaining cold phase
// differs from the published state, and both end at about the same time, the published
// state stays, since peers count the cold phase from its publication.
func (t *targetTracker) withPublishedWarmup(published, next *fleet.Target) *fleet.Target {
	warmAt := t.lastAnnouncement.Add(time.Duration(next.WarmupLeftMS) * time.Millisecond)
	if published != nil && published.WarmupLeftMS > 0 && next.WarmupLeftMS > 0 && warmAt.Sub(t.publishedWarmAt).Abs() <= maxWarmupDrift {
		unchanged := *next
		unchanged.WarmupLeftMS = published.WarmupLeftMS
		if unchanged == *published {
			return published
		}
	}
	t.publishedWarmAt = warmAt
	return next
}

// refresh publishes the state of the target after a change in the gate.
func (t *targetTracker) refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && t.released {
		t.publish()
	}
}

// checkSilence marks the target as down if its heartbeats are missing.
func (t *targetTracker) checkSilence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || !t.released || t.silent || t.leaving {
		return
	}
	if age := t.clock.Now().Sub(t.lastAnnouncement); age > maxMissedHeartbeats*t.heartbeat {
		t.silent = true
		eventTargetSilent.Log(t.logger, zap.String("target", t.current.ID), zap.Duration("age", age))
		t.publish()
	}
}
