package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// applyTimeout is the time within which a confirmed configuration must be in force
	// at an undisturbed machine while the store is undisturbed.
	applyTimeout = 2 * time.Second
	// limitWindow, limitFactor and limitSlack bound the requests that a target may get
	// beyond the limit that it names.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	targetLimit = 5.0 // requests per second
	maxOverlay  = 6 * time.Second
	// cutShare is the share of the machines that are cut off from the store. All
	// watchers of the configuration are among them in two cuts of five.
	cutShare = 0.75
	// downtimeDivisor divides the duration of an overlay: killed daemons start again
	// within two seconds.
	downtimeDivisor = 3
)

// runOverlay injects faults of several machines beside the schedule of the seed, which
// keeps the order of its faults.
func (s *soak) runOverlay(rng *rand.Rand, done <-chan struct{}) {
	overlays := []func(*rand.Rand, time.Duration){s.limitTarget, s.cutStoreFromMost, s.rejectEarly, s.removeTarget}
	for {
		d := time.Duration(rng.Int64N(int64(maxOverlay)))
		overlays[rng.IntN(len(overlays))](rng, d)
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(time.Second)))):
		}
	}
}

// limitTarget makes a target name a limit.
func (s *soak) limitTarget(rng *rand.Rand, d time.Duration) {
	m := s.machines[rng.IntN(len(s.machines))]
	_, t, _ := m.current()
	s.logEvent("target names a limit %s %s", m.name, d)
	t.limited.Store(true)
	time.Sleep(d)
	t.limited.Store(false)
}

// cutStoreFromMost cuts about cutShare of the machines off from the store.
func (s *soak) cutStoreFromMost(rng *rand.Rand, d time.Duration) {
	var cut []*machine
	for _, m := range s.machines {
		if rng.Float64() < cutShare {
			cut = append(cut, m)
			m.addActiveFaults(1)
			m.storeProxy.set(linkState{dropForward: true, dropReturn: true})
		}
	}
	s.logEvent("store cut off from %d machines %s", len(cut), d)
	s.configure()
	time.Sleep(d)
	for _, m := range cut {
		m.storeProxy.set(linkState{})
		m.addActiveFaults(-1)
	}
}

// rejectEarly makes a target reject requests before their bodies are in.
func (s *soak) rejectEarly(rng *rand.Rand, d time.Duration) {
	m := s.machines[rng.IntN(len(s.machines))]
	s.logEvent("target rejects early %s %s", m.name, d)
	s.check(targetFault(misbehavior{rejectEarly: true})(s, m, d))
}

// removeTarget removes a target that does not announce its departure, and kills all
// daemons once the removal is acknowledged.
func (s *soak) removeTarget(rng *rand.Rand, d time.Duration) {
	m := s.machines[rng.IntN(len(s.machines))]
	if !m.reserve() {
		return
	}
	defer m.release()
	_, t, _ := m.current()
	s.logEvent("target removed, all daemons killed %s %s", m.name, d)
	s.check(t.remove(func() error { return s.killAll(d/downtimeDivisor, m) }))
	s.check(m.startTarget())
}

// storeUndisturbed reports whether the store has had no fault for settleTime.
func (s *soak) storeUndisturbed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.activeFaults {
		if strings.HasPrefix(key, "store ") {
			s.storeFaultAt = time.Now()
		}
	}
	return time.Since(s.storeFaultAt) > settleTime
}

// checkLateConfigurations checks that the route of a confirmed version is in force at
// undisturbed machines, until done is closed.
func (s *soak) checkLateConfigurations(done <-chan struct{}) {
	for {
		s.storeUndisturbed()
		version, confirmed := s.latestConfirmed()
		if time.Since(confirmed) > applyTimeout {
			s.checkVersionInForce(version)
		}
		select {
		case <-done:
			return
		case <-time.After(readyPollInterval):
		}
	}
}

func (s *soak) checkVersionInForce(version int) {
	for _, m := range s.machines {
		if !m.undisturbed() || !s.storeUndisturbed() {
			continue
		}
		status := newClient(m).request(configVersionPath(version), false)
		if status == http.StatusNotFound && s.latestConfigVersion() == version && m.undisturbed() && s.storeUndisturbed() {
			s.history.addViolation("late configuration: %s returns 404 for version %d more than %s after it was confirmed", m.name, version, applyTimeout)
		}
	}
}

// checkLimit records a request and checks that a target that names a limit does not get
// more. The first response that names it must have been returned a second before.
func (t *target) checkLimit(id string) {
	t.limitMu.Lock()
	defer t.limitMu.Unlock()
	if !t.limited.Load() || !t.undisturbed() {
		t.arrivals, t.limitNamedAt = nil, time.Time{}
		return
	}
	now := time.Now()
	if t.limitNamedAt.IsZero() || now.Sub(t.limitNamedAt) < time.Second {
		return
	}
	t.arrivals = append(t.arrivals, now)
	for now.Sub(t.arrivals[0]) > limitWindow {
		t.arrivals = t.arrivals[1:]
	}
	if float64(len(t.arrivals)) > limitFactor*targetLimit*limitWindow.Seconds()+limitSlack {
		t.history.addViolation("limit: request %s is one of %d that reached %s within %s at a limit of %v a second", id, len(t.arrivals), t.id, limitWindow, targetLimit)
	}
}

// nameLimit adds the limit to a response.
func (t *target) nameLimit(header string, h http.Header) {
	if !t.limited.Load() {
		return
	}
	h.Set(header, strconv.FormatFloat(targetLimit, 'f', -1, 64))
	t.limitMu.Lock()
	defer t.limitMu.Unlock()
	if t.limitNamedAt.IsZero() {
		t.limitNamedAt = time.Now()
	}
}
