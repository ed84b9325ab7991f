package rollout

import (
	"sync"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// Collector gathers the reports of all daemons. Every daemon that may become
// the controller keeps one, so that a successor does not start from nothing.
type Collector struct {
	clock clock.Clock
	mu    sync.Mutex
	moves map[string]*collected // by service
}

// collected is the evidence of one order.
type collected struct {
	order   string
	retired Sums // of daemons' earlier incarnations
	daemons map[string]*daemonReport
}

type daemonReport struct {
	incarnation uint64
	report      *MoveReport
	at          clock.Instant
}

// NewCollector returns an empty collector.
func NewCollector(c clock.Clock) *Collector {
	return &Collector{clock: c, moves: make(map[string]*collected)}
}

// Take stores the report of a daemon.
func (c *Collector) Take(daemon string, r *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, move := range r.Moves {
		held := c.moves[service]
		if held == nil || held.order != move.Order {
			held = &collected{order: move.Order, retired: make(Sums), daemons: make(map[string]*daemonReport)}
			c.moves[service] = held
		}
		former := held.daemons[daemon]
		if former != nil && former.incarnation != r.Incarnation {
			held.retired.add(former.report.Sums)
		}
		held.daemons[daemon] = &daemonReport{incarnation: r.Incarnation, report: move, at: c.clock.Now()}
	}
}

// Sums returns the evidence of all daemons since an order.
func (c *Collector) Sums(service, order string) Sums {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := make(Sums)
	held := c.moves[service]
	if held == nil || held.order != order {
		return total
	}
	total.add(held.retired)
	for _, d := range held.daemons {
		total.add(d.report.Sums)
	}
	return total
}

// Closed reports whether a daemon has said after since that it follows a plan of
// at least the given rank and that no request is at its old target.
func (c *Collector) Closed(service, daemon string, rank uint64, since clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.moves[service]
	if held == nil || held.daemons[daemon] == nil {
		return false
	}
	d := held.daemons[daemon]
	return d.at >= since && d.report.Rank >= rank && d.report.OldBusy == 0
}
