package balance

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

const (
	// minColdSkip is the share of a cold target in the requests of a warm one: one in
	// minColdSkip. Warm targets answer faster.
	minColdSkip = 2
	// maxColdSkip bounds the number of requests, as a multiple of the available targets,
	// that other targets get before a cold one is tried again after refusals.
	maxColdSkip = 256
)

// cold reports whether the target of an endpoint is cold and tolerates a limited rate.
func (e *Endpoint) cold(now time.Time) bool { return e.ColdRate > 0 && now.Before(e.WarmAt) }

// coldShare spaces the requests of this caller side to one cold target, so that it gets
// requests although warm targets would answer sooner. All caller sides share the rate of
// the target without knowing of each other, so the space doubles after each refusal and
// halves after each response.
type coldShare struct {
	skip    int // requests for each available target between two to this one, 0 for minColdSkip
	skipped int // requests that went to other targets since
}

// due counts a request that other targets may take, and reports whether the cold target
// gets it.
func (c *coldShare) due(available int) bool {
	c.skipped++
	return c.skipped > max(c.skip, minColdSkip)*available
}

// record adapts the space to the result of an attempt.
func (c *coldShare) record(e *Endpoint, result *Result, now time.Time) {
	switch {
	case !e.cold(now):
		*c = coldShare{}
	case result.QueueFull:
		c.skip = min(2*max(c.skip, minColdSkip), maxColdSkip)
	case result.Answered:
		c.skip = c.skip / 2
	}
}

// preferDue returns the cold target whose share is due, or best if there is none. Inner
// calls go to the best target, since a refusal wastes the work of the request that makes
// them. Cold targets of other failure domains get their share from the callers there.
func (b *Balancer) preferDue(
	request *attempt.Request, endpoints []*Endpoint, attempted map[string]bool, best *Endpoint, now time.Time,
) *Endpoint {
	if best == nil || request.Inner || best.cold(now) {
		return best
	}
	available := 0 // targets, counted once a cold one is found
	for _, e := range endpoints {
		if !e.cold(now) || !e.Available || !e.SameDomain || attempted[e.Target] {
			continue
		}
		if available == 0 {
			available = countAvailable(endpoints)
		}
		s := b.statsFor(e.Target)
		if s.cold.due(available) && s.inFlight == 0 && s.consecutiveFailures == 0 && !s.pausedUntil.After(now) {
			s.cold.skipped = 0
			return e
		}
	}
	return best
}

func countAvailable(endpoints []*Endpoint) int {
	available := 0
	for _, e := range endpoints {
		if e.Available {
			available++
		}
	}
	return available
}
