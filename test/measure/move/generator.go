package move

import (
	"math"
	"math/rand/v2"
	"time"

	"nutmegstand.example/nutmegstand/pkg/move"
)

// Parameters of the generator.
const (
	baseErrorRate      = 0.0005
	faultErrorRate     = 0.3
	dependencyRate     = 0.5
	calleeErrorRate    = 0.2
	coldErrorRate      = 0.3
	coldLatencyFactor  = 5
	crashRate          = 0.03
	faultLatencyFactor = 2.5
	loadLatencyFactor  = 3
	faultLoadThreshold = 0.6 // of the final load per target, above which load faults occur
	lookupShare        = 0.7
	lookupLatency      = 8 * time.Millisecond
	orderLatency       = 15 * time.Millisecond
	latencySpread      = 0.4 // standard deviation of the logarithm
	utilization        = 0.3 // utilization of a target at the final load
	maxUtilization     = 0.9
	coldStart          = 20 * time.Second
	returnRateFactor   = 3
	loadSmoothing      = 5 * time.Second
	smoothingCalls     = 5
	crashDowntime      = 3 * time.Second
	maxCrashRequests   = 3
)

// targetGroup holds the state of the targets of one version.
type targetGroup struct {
	isNew     bool
	announced []time.Time // by target
	down      []time.Time // by target, end of the downtime after a crash
	load      float64     // smoothed calls/s per target in use
	inUse     int
	calls     int // calls in the current step
}

func (g *targetGroup) announcedCount(now time.Time) int {
	n := 0
	for _, at := range g.announced {
		if !now.Before(at) {
			n++
		}
	}
	return n
}

// updateLoad updates the smoothed load per target after a step.
func (g *targetGroup) updateLoad(step time.Duration, finalLoad float64) {
	// At a low rate, the load is smoothed over several calls.
	period := math.Max(loadSmoothing.Seconds(), smoothingCalls/finalLoad)
	weight := math.Min(1, step.Seconds()/period)
	rate := float64(g.calls) / step.Seconds() / float64(max(g.inUse, 1))
	g.load += weight * (rate - g.load)
	g.calls = 0
}

// inPhase reports whether a run is between two fractions of its duration.
func (sim *simulation) inPhase(now time.Time, from, to float64) bool {
	at := float64(now.Sub(sim.start)) / float64(sim.scenario.Traffic.Duration)
	return at >= from && at < to
}

// callRate returns the calls/s at a time.
func (sim *simulation) callRate(now time.Time) float64 {
	rate := sim.scenario.Traffic.Rate
	if sim.scenario.Condition == ConditionReturn && sim.inPhase(now, 0.3, 0.6) {
		rate *= returnRateFactor
	}
	return rate
}

// outcome returns a random result of one attempt on a target. faultVisible is set
// if the fault of the new version contributed to the result.
func (sim *simulation) outcome(now time.Time, g *targetGroup, target int, lookup bool) (outcome move.Outcome, latency time.Duration, faultVisible bool) {
	failure, slowdown := baseErrorRate, 1/(1-math.Min(utilization*g.load/sim.finalLoad(), maxUtilization))
	switch sim.scenario.Condition {
	case ConditionColdStart:
		if g.isNew && now.Sub(g.announced[target]) < coldStart {
			failure, slowdown = coldErrorRate, slowdown*coldLatencyFactor
		}
	case ConditionDependency:
		if sim.inPhase(now, 0.4, 0.55) {
			failure, slowdown = dependencyRate, slowdown*2
		}
	case ConditionCallee:
		failure += calleeErrorRate * float64(now.Sub(sim.start)) / float64(sim.scenario.Traffic.Duration)
	}
	base := orderLatency
	if lookup {
		base = lookupLatency
	}
	var fault float64
	if g.isNew {
		var faultSlowdown float64
		fault, faultSlowdown = sim.fault(now, g, lookup)
		if faultSlowdown > 1 {
			slowdown, faultVisible = slowdown*faultSlowdown, true
		}
	}
	if g.isNew && sim.scenario.Fault == FaultCrash && sim.rng.Float64() < crashRate {
		sim.crash(now, g, target, move.OutcomeCrashed)
		return move.OutcomeCrashed, 0, true
	}
	latency = time.Duration(float64(base) * slowdown * math.Exp(latencySpread*sim.rng.NormFloat64()))
	if fault > 0 && sim.rng.Float64() < fault {
		return move.OutcomeFailed, latency, true
	}
	if sim.rng.Float64() < failure {
		return move.OutcomeFailed, latency, faultVisible
	}
	return move.OutcomeOK, latency, faultVisible
}

// fault returns the failure rate and the latency factor that the fault of the new
// version causes.
func (sim *simulation) fault(now time.Time, g *targetGroup, lookup bool) (failure, slowdown float64) {
	loaded := g.load > faultLoadThreshold*sim.finalLoad()
	switch sim.scenario.Fault {
	case FaultErrors:
		return faultErrorRate, 1
	case FaultLateErrors:
		if !sim.firstNew.IsZero() && now.Sub(sim.firstNew) > sim.scenario.Traffic.Duration/4 {
			return faultErrorRate, 1
		}
	case FaultLoadErrors:
		if loaded {
			return faultErrorRate, 1
		}
	case FaultRouteErrors:
		if !lookup {
			return faultErrorRate, 1
		}
	case FaultSlow:
		return 0, faultLatencyFactor
	case FaultLoadSlow:
		if loaded {
			return 0, loadLatencyFactor
		}
	}
	return 0, 1
}

// finalLoad returns the calls/s per target when the new version gets all calls, at
// the normal rate.
func (sim *simulation) finalLoad() float64 {
	return sim.scenario.Traffic.Rate / float64(sim.scenario.Traffic.Targets)
}

// crash stops a target for crashDowntime. The other calls in flight there are lost
// too.
func (sim *simulation) crash(now time.Time, g *targetGroup, target int, outcome move.Outcome) {
	g.down[target] = now.Add(crashDowntime)
	inFlight := poisson(sim.rng, g.load*lookupLatency.Seconds()*2)
	for range inFlight {
		caller := sim.callers[sim.rng.IntN(len(sim.callers))]
		sim.recordOutcome(now, caller, g, sim.rng.Float64() < lookupShare, outcome, 0)
	}
}

// sendCrashingRequest sends a request that crashes the target that runs it, and
// the repetitions of the request. The first crash counts as a crash of the
// version. The request then runs in isolation, and further crashes are attributed
// to the request.
func (sim *simulation) sendCrashingRequest(now time.Time) {
	if sim.scenario.Condition != ConditionCrashCall || now.Before(sim.nextCrashRequest) {
		return
	}
	first := sim.crashRequests == 0
	sim.crashRequests++
	sim.nextCrashRequest = now.Add(time.Second)
	if sim.crashRequests > maxCrashRequests {
		sim.crashRequests = 0
		sim.nextCrashRequest = now.Add(sim.scenario.Traffic.Duration / 10)
	}
	caller := sim.callers[sim.rng.IntN(len(sim.callers))]
	g, target := sim.pickTarget(now, caller, true)
	if g == nil {
		return
	}
	outcome := move.OutcomeExcluded
	if first {
		outcome = move.OutcomeCrashed
		sim.crash(now, g, target, outcome)
	}
	sim.recordOutcome(now, caller, g, true, outcome, 0)
}

// poisson returns a random value from a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	limit, n := math.Exp(-mean), 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}
