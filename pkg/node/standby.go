package node

import (
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// contactLog records when other daemons last had contact with the store, as they
// reported.
type contactLog struct {
	mu        sync.Mutex
	startedAt clock.Instant
	reports   map[string]clock.Instant // by daemon
}

func newContactLog(now clock.Instant) *contactLog {
	return &contactLog{startedAt: now, reports: make(map[string]clock.Instant)}
}

// record records a report of a daemon.
func (c *contactLog) record(name string, now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[name] = now
}

// age returns the time since the last report of any of the named daemons, or since the
// start of this daemon if there is none.
func (c *contactLog) age(now clock.Instant, names []string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.startedAt
	for _, name := range names {
		last = max(last, c.reports[name])
	}
	return now.Sub(last)
}

// watchesAt reports whether the daemon at a position of the ranking watches the
// operator's entries, given the time since a better ranked one reported contact with
// the store.
func watchesAt(position int, contactAge time.Duration) bool {
	if position < watcherCount {
		return true
	}
	return contactAge > standbyTimeout+time.Duration(position-watcherCount)*standbyStagger
}

// watchUntilTurn returns the length of a watch call that ends at the turn of a position
// in the period. Turns follow the time of day; where it is wrong, they coincide, and
// standbys watch more often than needed.
func watchUntilTurn(now time.Time, position int) time.Duration {
	turn := time.Duration(max(position, 0)%watcherCount) * configWatchPeriod / watcherCount
	passed := (time.Duration(now.UnixNano()) - turn) % configWatchPeriod
	wait := configWatchPeriod - passed
	if wait < minConfigWatch {
		wait += configWatchPeriod
	}
	return wait
}
