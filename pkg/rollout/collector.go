package rollout

import (
	"sync"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// Collector stores the evidence that all daemons report. Every candidate for the
// controller has one, so a successor starts with the evidence collected so far.
type Collector struct {
	clock clock.Clock
	mu    sync.Mutex
	moves map[string]*orderEvidence // by service
}

// orderEvidence is the evidence of all daemons for one order.
type orderEvidence struct {
	order       string
	retiredSums Sums // of previous incarnations of the daemons
	daemons     map[string]*daemonReport
}

type daemonReport struct {
	incarnation uint64
	report      *MoveReport
	receivedAt  clock.Instant
}

// NewCollector returns an empty collector.
func NewCollector(c clock.Clock) *Collector {
	return &Collector{clock: c, moves: make(map[string]*orderEvidence)}
}

// Receive stores the report of a daemon. A report of a new incarnation starts from
// zero, so the sums of the previous incarnation are added to the retired sums.
func (c *Collector) Receive(daemon string, r *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, move := range r.Moves {
		evidence := c.moves[service]
		if evidence == nil || evidence.order != move.Order {
			evidence = &orderEvidence{order: move.Order, retiredSums: make(Sums), daemons: make(map[string]*daemonReport)}
			c.moves[service] = evidence
		}
		previous := evidence.daemons[daemon]
		if previous != nil && previous.incarnation != r.Incarnation {
			evidence.retiredSums.add(previous.report.Sums)
		}
		evidence.daemons[daemon] = &daemonReport{incarnation: r.Incarnation, report: move, receivedAt: c.clock.Now()}
	}
}

// Sums returns the evidence that all daemons have reported for an order.
func (c *Collector) Sums(service, order string) Sums {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := make(Sums)
	evidence := c.moves[service]
	if evidence == nil || evidence.order != order {
		return total
	}
	total.add(evidence.retiredSums)
	for _, latest := range evidence.daemons {
		total.add(latest.report.Sums)
	}
	return total
}

// ConfirmedClosing reports whether a daemon's last report arrived no earlier than
// since, names the plan of the given rank and counts no request in flight at the
// daemon's old target. A daemon with a later plan does not confirm this one.
func (c *Collector) ConfirmedClosing(service, daemon string, rank uint64, since clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	evidence := c.moves[service]
	if evidence == nil || evidence.daemons[daemon] == nil {
		return false
	}
	latest := evidence.daemons[daemon]
	return latest.receivedAt >= since && latest.report.Rank == rank && latest.report.OldInFlight == 0
}
