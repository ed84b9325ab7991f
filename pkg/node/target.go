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
	// silentIntervals is the number of heartbeat intervals without an
	// announcement after which a target counts as down.
	silentIntervals = 4
)

// targetKeeper holds what the target beside the daemon last said, and passes it
// on to the gate and to the fleet.
type targetKeeper struct {
	service   string
	address   string
	heartbeat time.Duration
	gate      *proxy.Gate
	update    func(func(*fleet.State))
	clock     clock.Clock
	logger    *zap.Logger

	mu      sync.Mutex
	open    bool // the peers were asked for the targets that have left
	held    *Announcement
	left    map[string]int64 // start times of targets that have left, by ID
	leaving bool
	silent  bool
	heardAt clock.Instant
}

var _ Announcer = (*targetKeeper)(nil)

// Announce implements Announcer.
func (k *targetKeeper) Announce(a *Announcement) bool {
	if reason := k.reject(a); reason != "" {
		eventTargetRejected.Log(k.logger, zap.String("target", a.ID), zap.String("reason", reason),
			zap.String("service", a.Service), zap.String("address", a.Address))
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heardAt, k.silent = k.clock.Now(), false
	if k.held != nil && k.held.ID == a.ID {
		switch {
		case a.Born < k.held.Born:
			return false
		case a.Born == k.held.Born && a.Sequence <= k.held.Sequence:
			return true // a late one; what is held is newer
		case a.Born > k.held.Born:
			k.leaving = false // it started anew under the same ID
			k.gate.Close()
		}
	} else if k.held != nil && a.Born != 0 && a.Born < k.held.Born {
		eventTargetRejected.Log(k.logger, zap.String("target", a.ID), zap.String("reason", "an earlier start than the held target"))
		return false
	} else {
		k.leaving = false
	}
	first := k.held == nil || !k.open
	changed := first || k.held.ID != a.ID || k.held.Born != a.Born || k.held.Leaving != a.Leaving || k.held.Slots != a.Slots || k.held.Version != a.Version
	k.held = a
	if changed {
		eventTargetAnnounced.Log(k.logger, zap.String("target", a.ID), zap.String("version", a.Version), zap.Int("slots", a.Slots),
			zap.Bool("leaving", a.Leaving), zap.Int64("sequence", a.Sequence), zap.Duration("warm_left", a.WarmLeft))
	}
	if k.open {
		k.apply(a, first)
	}
	return true
}

// noteLeft takes a target whose leaving a former process of this daemon has
// acknowledged. It gets no request, whatever arrives late of it.
func (k *targetKeeper) noteLeft(id string, born int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.left[id]; ok && known >= born {
		return
	}
	k.recordLeft(id, born)
	eventTargetLeft.Log(k.logger, zap.String("target", id), zap.Int64("born", born))
	if k.open && k.held != nil && k.hasLeft(k.held) && !k.leaving {
		k.gate.Close()
		k.leaving = true
		k.publish()
	}
}

func (k *targetKeeper) recordLeft(id string, born int64) {
	if k.left == nil {
		k.left = make(map[string]int64)
	}
	k.left[id] = max(k.left[id], born)
}

func (k *targetKeeper) hasLeft(a *Announcement) bool {
	born, ok := k.left[a.ID]
	return ok && a.Born <= born
}

// release lets the gate use the target. It is called once the peers had time to
// tell which targets have left.
func (k *targetKeeper) release() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open {
		return
	}
	k.open = true
	if k.held != nil {
		k.apply(k.held, true)
	}
}

func (k *targetKeeper) reject(a *Announcement) string {
	switch {
	case a.Service != k.service:
		return "another service"
	case a.Address != k.address:
		return "another address"
	}
	return ""
}

// apply passes an accepted announcement on. A target that says that it leaves
// in the first announcement a daemon hears may have been told so long ago by
// the daemon's former process, so it gets nothing any more.
func (k *targetKeeper) apply(a *Announcement, first bool) {
	if a.Leaving && first || k.hasLeft(a) {
		k.leaving = true
		k.publish()
		return
	}
	if !k.leaving {
		k.gate.SetTarget(proxy.LocalTarget{ID: a.ID, Service: a.Service, Version: a.Version, Address: k.address, Slots: a.Slots})
	}
	if a.Leaving {
		k.leave()
	}
	k.publish()
}

func (k *targetKeeper) leave() {
	if k.leaving {
		return
	}
	k.leaving = true
	k.gate.Leave(k.held.ID)
	eventTargetLeaves.Log(k.logger, zap.String("target", k.held.ID))
}

// Remove implements Announcer. Some targets say nothing before, and go on
// serving for the drain period. A late heartbeat does not bring them back.
func (k *targetKeeper) Remove(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held == nil || k.held.ID != id {
		// All starts up to now are meant; the target did not say which one it is.
		k.recordLeft(id, time.Now().UnixMilli())
		return
	}
	if !k.open {
		k.recordLeft(id, k.held.Born)
		return
	}
	k.leave()
	k.publish()
}

// Unreadable implements Announcer.
func (k *targetKeeper) Unreadable(err error) {
	eventTargetRejected.Log(k.logger, zap.Error(err))
}

func (k *targetKeeper) publish() {
	a := k.held
	down := k.silent || k.gate.Down()
	state := &fleet.Target{
		ID: a.ID, Service: a.Service, Version: a.Version, Born: a.Born, Slots: a.Slots, Leaving: k.leaving, Down: down,
	}
	if a.WarmLeft > 0 {
		state.WarmInMS = a.WarmLeft.Milliseconds()
	}
	k.update(func(s *fleet.State) {
		if s.Target != nil && s.Target.ID == state.ID && s.Target.WarmInMS > 0 && state.WarmInMS > 0 {
			// The time left counts from the first publication.
			state.WarmInMS = s.Target.WarmInMS
		}
		s.Target = state
	})
}

// refresh publishes a change of the gate's view.
func (k *targetKeeper) refresh() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held != nil && k.open {
		k.publish()
	}
}

// check notes a target that has fallen silent.
func (k *targetKeeper) check() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held == nil || !k.open || k.silent || k.leaving {
		return
	}
	if age := k.clock.Now().Sub(k.heardAt); age > silentIntervals*k.heartbeat {
		k.silent = true
		eventTargetSilent.Log(k.logger, zap.String("target", k.held.ID), zap.Duration("age", age))
		k.publish()
	}
}
