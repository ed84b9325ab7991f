package move

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// generateCalls generates the calls of one step.
func (sim *simulation) generateCalls(step time.Duration) {
	for range poisson(sim.rng, sim.callRate(sim.now)*step.Seconds()) {
		caller := sim.callers[sim.rng.IntN(len(sim.callers))]
		lookup := sim.rng.Float64() < lookupShare
		g, target := sim.pickTarget(sim.now, caller, lookup)
		if g == nil {
			continue
		}
		outcome, latency, faultVisible := sim.outcome(sim.now, g, target, lookup)
		if faultVisible && sim.faultVisibleAt.IsZero() {
			sim.faultVisibleAt = sim.now
		}
		if g.isNew && !caller.warmup.Warm(targetNames[target], time.Duration(sim.bundle.Service.ColdStart), sim.now) {
			outcome = move.OutcomeExcluded
		}
		sim.recordOutcome(sim.now, caller, g, lookup, outcome, latency)
	}
	sim.sendCrashingRequest(sim.now)
	sim.old.updateLoad(step, sim.finalLoad())
	sim.new.updateLoad(step, sim.finalLoad())
}

// pickTarget chooses a version and a target as the router does, and counts the
// call.
func (sim *simulation) pickTarget(now time.Time, c *caller, lookup bool) (*targetGroup, int) {
	g, limit := sim.old, 0
	if sim.baseline != nil {
		if sim.rng.Float64() < sim.baseline.share(lookup) {
			g = sim.new
		}
	} else if choice := c.chooser.Choose(serviceName, lookup, sim.rng.Float64(), now); choice.Version == newVersion {
		g, limit = sim.new, choice.MaxTargets
	}
	if g.announcedCount(now) == 0 {
		g, limit = sim.old, 0
	}
	n := g.announcedCount(now)
	if limit > 0 {
		n = min(n, limit)
	}
	g.inUse = n
	g.calls++
	if g.isNew {
		sim.lastNew = now
		if sim.firstNew.IsZero() {
			sim.firstNew = now
		}
		if sim.faultVisibleAt.IsZero() {
			sim.newVersionCalls[0]++
		} else {
			sim.newVersionCalls[1]++
		}
	}
	target := sim.rng.IntN(n)
	if now.Before(g.down[target]) { // refused as not run and retried at a random target
		target = sim.rng.IntN(n)
	}
	return g, target
}

// recordOutcome records an outcome as the router does.
func (sim *simulation) recordOutcome(now time.Time, c *caller, g *targetGroup, lookup bool, outcome move.Outcome, latency time.Duration) {
	route, version := orderRoute, oldVersion
	if lookup {
		route = lookupRoute
	}
	if g.isNew {
		version = newVersion
	}
	if sim.baseline != nil {
		sim.baseline.observe(g.isNew, outcome)
		return
	}
	c.recorder.Record(route, version, outcome, latency)
	c.chooser.Report(serviceName, version, outcome, now)
}

// exchangeReports sends the callers' records to the distributors of their domains
// and relays the sums to the controller's distributor. The second distributor of
// each domain loses a share of the reports.
func (sim *simulation) exchangeReports() {
	if sim.baseline != nil || sim.now.Sub(sim.start)%reportPeriod != 0 {
		return
	}
	for _, c := range sim.callers {
		records := c.recorder.Records()
		sums := sim.sums[c.domain]
		sums[0].Apply(records...)
		for _, record := range records {
			if sim.rng.Float64() >= reportLossRate {
				sums[1].Apply(record)
			}
		}
		sim.relay(sums[0].Records())
		if sim.now.Sub(sim.start)%standbyPeriod == 0 {
			sim.relay(sums[1].Records())
		}
	}
}

func (sim *simulation) relay(records []*pb.Record) {
	for _, record := range records {
		sim.incoming = append(sim.incoming, delayedRecord{sim.now.Add(relayDelay), record})
	}
}
