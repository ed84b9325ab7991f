package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
)

const (
	// freshAfter is the age of a member's heartbeat up to which it counts as
	// connected. It is shorter than the time after which a member is silent (3 s), so
	// that an accountant on the small side of a partition lowers its rate before
	// another one takes over.
	freshAfter = 2 * time.Second
	// takeoverDelay is the time for which a daemon must have been the first of the
	// ranking before it is in charge. With freshAfter and the silence of 3 s it covers
	// heartbeats that are up to 2 s old in one table and fresh in another.
	takeoverDelay = time.Second
	// tableDelay is the uptime after which the table is expected to be complete. The
	// share of the connected members is not known before.
	tableDelay = 1500 * time.Millisecond
	// startDelay is the uptime before which a daemon grants nothing. Its predecessor
	// ranks it by then. After a restart of the whole fleet there is no predecessor.
	startDelay = tableDelay + joinDelay
	// restartShare is the share of the rate that a daemon grants until startDelay after
	// a restart of the whole fleet. Two daemons may be in charge until they rank each
	// other.
	restartShare = 0.5
	// joinDelay is the time for which a member must be known before it is ranked. The
	// previous accountant continues meanwhile.
	joinDelay = 2 * time.Second
	// shareDelay is the time for which a smaller share stays in effect after the
	// members have returned. The accountants of the former parts of the fleet have
	// ranked each other by then (joinDelay), and their permits have lapsed.
	shareDelay = joinDelay + longLapse
	// viewRetention is the age up to which earlier rankings are kept. It is longer than
	// any window, so that the permits of a former accountant do not count any more.
	viewRetention = 70 * time.Second
	// maxViews bounds the number of earlier rankings that are kept.
	maxViews = 16
	// knownRetention is the time for which a member without a heartbeat counts as known.
	// It outlasts most partitions; the table forgets silent members earlier (90 s).
	knownRetention = 10 * time.Minute
	// expectedRetention is the uptime up to which the number of registered daemons
	// counts. Some of them may have been replaced.
	expectedRetention = 90 * time.Second
	// observeInterval is the age of the last observation above which the members are
	// read again before a decision.
	observeInterval = 100 * time.Millisecond
)

// Member is a daemon as the local table shows it.
type Member struct {
	fleet.Candidate
	Live         bool          // its heartbeat is recent
	Retired      bool          // it has announced that it takes no roles
	Leaving      bool          // it has announced that it ends
	HeartbeatAge time.Duration // since its heartbeat last advanced
	Older        bool          // its process has run since well before that of the local daemon
}

// Source reads the members. The version changes with each change of the table.
type Source interface {
	Version() uint64
	Members() []Member
	// Expected returns the number of daemons that were registered when this one
	// started, and whether it has registered itself. A daemon that has restarted while
	// it is cut off knows from it that there are others.
	Expected() (int, bool)
}

// view is the set of ranked members during a period.
type view struct {
	at      clock.Instant // start of the period
	members []fleet.Candidate
	top     map[string][2]string // first two of the ranking by workspace
}

// share is the connected share of the known members, from an instant on.
type share struct {
	at    clock.Instant
	value float64
}

// Members decides which daemons account for a workspace. It is safe for concurrent
// use.
type Members struct {
	self      string
	source    Source
	startedAt clock.Instant

	mu         sync.Mutex
	observed   bool
	observedAt clock.Instant
	version    uint64
	restarted  bool                     // the whole fleet has restarted, as far as the last observation tells
	firstSeen  map[string]clock.Instant // members that are ranked or will be
	known      map[string]clock.Instant // last seen in the table
	views      []*view                  // oldest first; the last is in effect
	shares     []share                  // of the last shareDelay, oldest first
}

// NewMembers returns Members for the daemon with the given name.
func NewMembers(self string, source Source, now clock.Instant) *Members {
	return &Members{self: self, source: source, startedAt: now, firstSeen: make(map[string]clock.Instant), known: make(map[string]clock.Instant)}
}

// Observe reads the members. It must be called several times a second, so that
// changes are known when they happen.
func (m *Members) Observe(now clock.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observe(now)
}

// refresh reads the members if the last observation is not recent.
func (m *Members) refresh(now clock.Instant) {
	if !m.observed || now.Sub(m.observedAt) > observeInterval || m.source.Version() != m.version {
		m.observe(now)
	}
}

func (m *Members) observe(now clock.Instant) {
	m.version = m.source.Version()
	members := m.source.Members()
	m.observed, m.observedAt = true, now
	m.observeShare(now, members)
	m.restarted = m.allRestarted(now, members)
	m.forgetAbsent(members)
	ranked := m.ranked(now, members)
	if len(m.views) > 0 {
		current := m.views[len(m.views)-1]
		if slices.Equal(current.members, ranked) {
			m.dropOldViews(now)
			return
		}
		if onlyRetired(current.members, ranked, members) {
			// A member that retires has stopped granting before others know of it.
			current.members, current.top = ranked, make(map[string][2]string)
			return
		}
	}
	m.views = append(m.views, &view{at: now, members: ranked, top: make(map[string][2]string)})
	m.dropOldViews(now)
}

// ranked returns the members that may be accountants.
func (m *Members) ranked(now clock.Instant, members []Member) []fleet.Candidate {
	var ranked []fleet.Candidate
	for _, member := range members {
		if !member.Live || member.Retired {
			delete(m.firstSeen, member.Name)
			continue
		}
		seen, known := m.firstSeen[member.Name]
		if !known {
			seen = now
			m.firstSeen[member.Name] = now
		}
		// Members that were found at the start of this daemon were probably there before.
		if member.Name == m.self || seen.Sub(m.startedAt) < joinDelay || now.Sub(seen) >= joinDelay {
			ranked = append(ranked, member.Candidate)
		}
	}
	return ranked
}

func (m *Members) forgetAbsent(members []Member) {
	if len(m.firstSeen) <= len(members) {
		return
	}
	present := make(map[string]bool, len(members))
	for _, member := range members {
		present[member.Name] = true
	}
	for name := range m.firstSeen {
		if !present[name] {
			delete(m.firstSeen, name)
		}
	}
}

// onlyRetired reports whether the change from one set to the next consists of members
// that have retired.
func onlyRetired(before, after []fleet.Candidate, members []Member) bool {
	retired := make(map[string]bool)
	for _, member := range members {
		retired[member.Name] = member.Live && member.Retired
	}
	remaining := slices.DeleteFunc(slices.Clone(before), func(c fleet.Candidate) bool { return retired[c.Name] })
	return slices.Equal(remaining, after)
}

// dropOldViews removes the views whose period ended before viewRetention.
func (m *Members) dropOldViews(now clock.Instant) {
	for len(m.views) > maxViews || len(m.views) > 1 && now.Sub(m.views[1].at) > viewRetention {
		m.views = slices.Delete(m.views, 0, 1)
	}
}

// allRestarted reports whether most of the registered daemons are connected, and none of
// them has run since before the local daemon started. No permits of earlier processes
// are in use then.
func (m *Members) allRestarted(now clock.Instant, members []Member) bool {
	expected, registered := m.source.Expected()
	if !registered || now.Sub(m.startedAt) >= startDelay {
		return false
	}
	connected := 0
	for _, member := range members {
		if member.Older && member.Live && !member.Retired { // one that is leaving grants nothing
			return false
		}
		if m.connected(&member) {
			connected++
		}
	}
	return connected*2 > max(expected, len(m.known))
}

// connected reports whether the heartbeat of a member is fresh.
func (m *Members) connected(member *Member) bool {
	return member.Name == m.self || member.HeartbeatAge <= freshAfter
}

func (m *Members) observeShare(now clock.Instant, members []Member) {
	connected := 0
	for _, member := range members {
		if member.Leaving {
			delete(m.known, member.Name)
			continue
		}
		m.known[member.Name] = now
		if m.connected(&member) {
			connected++
		}
	}
	maps.DeleteFunc(m.known, func(_ string, seen clock.Instant) bool { return now.Sub(seen) > knownRetention })
	known := len(m.known)
	expected, registered := m.source.Expected()
	if now.Sub(m.startedAt) < expectedRetention {
		known = max(known, expected)
	}
	value := 0.0
	if registered && known > 0 {
		value = float64(connected) / float64(known)
	}
	if now.Sub(m.startedAt) < tableDelay {
		m.shares = nil
	}
	if n := len(m.shares); n == 0 || m.shares[n-1].value != value {
		m.shares = append(m.shares, share{now, value})
	}
	for len(m.shares) > 1 && now.Sub(m.shares[1].at) > shareDelay {
		m.shares = slices.Delete(m.shares, 0, 1)
	}
}

// Share returns the lowest connected share of the known members within shareDelay. It
// is 0 while the daemon has not registered.
func (m *Members) Share(now clock.Instant) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	lowest := 1.0
	for _, s := range m.shares {
		lowest = min(lowest, s.value)
	}
	if now.Sub(m.startedAt) < startDelay {
		lowest *= restartShare
	}
	return lowest
}

// Accountants returns the daemons to ask for permits of a workspace, best first. The
// second one is empty if there is only one.
func (m *Members) Accountants(now clock.Instant, workspace string) [2]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	return m.views[len(m.views)-1].accountants(workspace)
}

// accountants returns the first two daemons of the ranking for a workspace.
func (v *view) accountants(workspace string) [2]string {
	if top, ok := v.top[workspace]; ok {
		return top
	}
	var top [2]string
	copy(top[:], fleet.RankCandidates("quota/"+workspace, v.members))
	v.top[workspace] = top
	return top
}

// role is the part of a daemon in accounting for a workspace.
type role int

const (
	noRole    role = iota
	reserving      // it grants from its reserve
	inCharge       // it grants from the bucket
)

// role returns the role of the local daemon for a workspace, and the time for which it
// has had the role, at most viewRetention.
func (m *Members) role(now clock.Instant, workspace string) (role, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refresh(now)
	top := m.views[len(m.views)-1].accountants(workspace)
	uptime := min(now.Sub(m.startedAt), viewRetention)
	switch {
	case uptime < startDelay && m.restarted && top[0] == m.self:
		return inCharge, 0
	case top[0] != m.self && top[1] != m.self, uptime < startDelay:
		return noRole, 0
	}
	first := m.firstFor(now, workspace, top[0])
	switch {
	case top[0] != m.self && first < takeoverDelay:
		return noRole, 0 // the first grants from its reserve
	case top[0] != m.self || first < takeoverDelay:
		return reserving, uptime
	case first < viewRetention:
		first = min(first-takeoverDelay, uptime-startDelay)
	}
	return inCharge, first
}

// firstFor returns the time for which a daemon has been the first of the ranking, at
// most viewRetention.
func (m *Members) firstFor(now clock.Instant, workspace, name string) time.Duration {
	since := now
	for _, v := range slices.Backward(m.views) {
		if v.accountants(workspace)[0] != name {
			return now.Sub(since)
		}
		since = v.at
	}
	return min(now.Sub(since), viewRetention)
}
