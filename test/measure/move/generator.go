package move

import (
	"math"
	"math/rand/v2"
	"time"

	"nutmegstand.example/nutmegstand/pkg/move"
)

// Figures of the generator.
const (
	baseErrorRate   = 0.0005
	faultErrorRate  = 0.3
	dependencyRate  = 0.5
	calleeErrorRate = 0.2
	coldErrorRate   = 0.3
	coldSlowness    = 5
	crashRate       = 0.03
	slowness        = 2.5
	loadSlowness    = 3
	faultLoad       = 0.6 // of the final load per target, from which load faults show
	lookupShare     = 0.7
	lookupLatency   = 8 * time.Millisecond
	orderLatency    = 15 * time.Millisecond
	latencySpread   = 0.4 // sigma of the log
	utilization     = 0.3 // of a target at the final load
	maxUtilization  = 0.9
	coldStart       = 20 * time.Second
	returnFactor    = 3
	loadSmoothing   = 5 * time.Second
	smoothingCalls  = 5
	crashDown       = 3 * time.Second
	poisonRepeats   = 3
)

// group is the targets of one version.
type group struct {
	isNew     bool
	announced []time.Time // by target
	down      []time.Time // until when a target is down after a crash
	load      float64     // smoothed calls/s on each target in use
	inUse     int
	calls     int // in this step
}

func (g *group) present(now time.Time) int {
	n := 0
	for _, at := range g.announced {
		if !now.Before(at) {
			n++
		}
	}
	return n
}

// smooth updates the load per target after a step.
func (g *group) smooth(step time.Duration, finalLoad float64) {
	// Under little traffic the load is smoothed over several calls.
	period := math.Max(loadSmoothing.Seconds(), smoothingCalls/finalLoad)
	weight := math.Min(1, step.Seconds()/period)
	rate := float64(g.calls) / step.Seconds() / float64(max(g.inUse, 1))
	g.load += weight * (rate - g.load)
	g.calls = 0
}

// phase reports whether a run is between two fractions of its duration.
func (w *world) phase(now time.Time, from, to float64) bool {
	at := float64(now.Sub(w.start)) / float64(w.s.Traffic.Duration)
	return at >= from && at < to
}

// rate is the calls/s at a time.
func (w *world) rate(now time.Time) float64 {
	rate := w.s.Traffic.Rate
	if w.s.Condition == ConditionReturn && w.phase(now, 0.3, 0.6) {
		rate *= returnFactor
	}
	return rate
}

// outcome draws the result of one attempt on a target. Shows is set when the
// version's own fault has a part in it.
func (w *world) outcome(now time.Time, g *group, target int, lookup bool) (outcome move.Outcome, latency time.Duration, shows bool) {
	failure, slow := baseErrorRate, 1/(1-math.Min(utilization*g.load/w.finalLoad(), maxUtilization))
	switch w.s.Condition {
	case ConditionColdStart:
		if g.isNew && now.Sub(g.announced[target]) < coldStart {
			failure, slow = coldErrorRate, slow*coldSlowness
		}
	case ConditionDependency:
		if w.phase(now, 0.4, 0.55) {
			failure, slow = dependencyRate, slow*2
		}
	case ConditionCallee:
		failure += calleeErrorRate * float64(now.Sub(w.start)) / float64(w.s.Traffic.Duration)
	}
	base := orderLatency
	if lookup {
		base = lookupLatency
	}
	var fault float64
	if g.isNew {
		var faultSlow float64
		fault, faultSlow = w.fault(now, g, lookup)
		if faultSlow > 1 {
			slow, shows = slow*faultSlow, true
		}
	}
	if g.isNew && w.s.Fault == FaultCrash && w.rng.Float64() < crashRate {
		w.crash(now, g, target, move.OutcomeCrashed)
		return move.OutcomeCrashed, 0, true
	}
	latency = time.Duration(float64(base) * slow * math.Exp(latencySpread*w.rng.NormFloat64()))
	if fault > 0 && w.rng.Float64() < fault {
		return move.OutcomeFailed, latency, true
	}
	if w.rng.Float64() < failure {
		return move.OutcomeFailed, latency, shows
	}
	return move.OutcomeOK, latency, shows
}

// fault returns the new version's own failure rate and slowness.
func (w *world) fault(now time.Time, g *group, lookup bool) (failure, slow float64) {
	loaded := g.load > faultLoad*w.finalLoad()
	switch w.s.Fault {
	case FaultErrors:
		return faultErrorRate, 1
	case FaultLateErrors:
		if !w.firstNew.IsZero() && now.Sub(w.firstNew) > w.s.Traffic.Duration/4 {
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
		return 0, slowness
	case FaultLoadSlow:
		if loaded {
			return 0, loadSlowness
		}
	}
	return 0, 1
}

// finalLoad is the calls/s on each target once all traffic is on the new
// version, at the normal rate.
func (w *world) finalLoad() float64 { return w.s.Traffic.Rate / float64(w.s.Traffic.Targets) }

// crash takes a target down; other calls in flight there are lost too.
func (w *world) crash(now time.Time, g *group, target int, outcome move.Outcome) {
	g.down[target] = now.Add(crashDown)
	inFlight := poisson(w.rng, g.load*lookupLatency.Seconds()*2)
	for range inFlight {
		caller := w.callers[w.rng.IntN(len(w.callers))]
		w.report(now, caller, g, w.rng.Float64() < lookupShare, outcome, 0)
	}
}

// poison sends a request that crashes the target that runs it, and its
// repetitions. The first crash is unexplained; the request then runs alone and
// its further crashes are explained.
func (w *world) poison(now time.Time) {
	if w.s.Condition != ConditionCrashCall || now.Before(w.nextPoison) {
		return
	}
	first := w.poisoned == 0
	w.poisoned++
	w.nextPoison = now.Add(time.Second)
	if w.poisoned > poisonRepeats {
		w.poisoned = 0
		w.nextPoison = now.Add(w.s.Traffic.Duration / 10)
	}
	caller := w.callers[w.rng.IntN(len(w.callers))]
	g, target := w.pick(now, caller, true)
	if g == nil {
		return
	}
	outcome := move.OutcomeExcluded
	if first {
		outcome = move.OutcomeCrashed
		w.crash(now, g, target, outcome)
	}
	w.report(now, caller, g, true, outcome, 0)
}

// poisson draws from a Poisson distribution.
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
