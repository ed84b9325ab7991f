package route

import (
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// loadHalfLife is the half-life of a reported load. A report that is not renewed
	// loses weight, so that a target that reported itself busy is tried again.
	loadHalfLife = 500 * time.Millisecond
	// failureWeight is the weight of one attempt in the smoothed failure rate, and
	// failureLimit the rate above which an endpoint is set aside. Together they set
	// it aside after three consecutive failures, or when about half of its attempts
	// fail.
	failureWeight = 0.2
	failureLimit  = 0.45
	// penaltyHalfLife is the half-life of the score penalty for failures and slow
	// answers. Without decay, an endpoint that failed once would never be selected
	// again while other endpoints are idle.
	penaltyHalfLife = 5 * time.Second
	// latencyWeight is the weight of one attempt in the smoothed latency.
	latencyWeight = 0.1
	// setAsideInitial and setAsideMax bound the time for which an endpoint gets no
	// calls, before a jitter of up to half of it; it doubles with each failed probe.
	setAsideInitial = 500 * time.Millisecond
	setAsideMax     = 30 * time.Second
	// probeSuccesses is the number of successful probes, one at a time, after which
	// an endpoint gets its regular share of calls again.
	probeSuccesses = 3
	// minRamp is the fraction of its share that a target gets at the start of its
	// cold start.
	minRamp = 0.1
	// defaultSlots is assumed until an endpoint or an answer reports the number.
	defaultSlots = 10
)

// targetState holds the statistics that one daemon collects about one endpoint.
// It is guarded by the mutex of its service.
type targetState struct {
	endpoint *pb.Endpoint
	inFlight int

	load           *pb.Load
	loadReportedAt time.Time
	inFlightAtLoad int // this daemon's calls in flight when the load was reported

	latency      float64   // smoothed, seconds
	failures     float64   // smoothed fraction of failed attempts
	lastObserved time.Time // time of the last attempt with feedback other than neutral

	setAsideUntil    time.Time // zero unless the endpoint is set aside or being probed
	unreachable      bool      // set aside because of feedbackUnavailable
	successfulProbes int       // since the endpoint was set aside
	backoff          *backoff.ExponentialBackOff

	coldSince time.Time // start of the cold start; zero for endpoints in the first list
}

func (t *targetState) slots() float64 {
	if n := t.load.GetSlots(); n > 0 {
		return float64(n)
	}
	if n := t.endpoint.GetSlots(); n > 0 {
		return float64(n)
	}
	return defaultSlots
}

// busy estimates the number of calls that the target is processing or has queued.
func (t *targetState) busy(now time.Time) float64 {
	if t.load == nil {
		return float64(t.inFlight)
	}
	age := now.Sub(t.loadReportedAt)
	reported := float64(t.load.GetInUse()+t.load.GetQueued()) * decay(age, loadHalfLife)
	since := t.inFlight - t.inFlightAtLoad
	return max(reported+float64(since), float64(t.inFlight))
}

// free estimates the number of free slots.
func (t *targetState) free(now time.Time, coldStart time.Duration) float64 {
	return max(0, t.slots()*t.ramp(now, coldStart)-t.busy(now))
}

// ramp returns the assumed fraction of the target's full capacity, which grows
// linearly over the cold start.
func (t *targetState) ramp(now time.Time, coldStart time.Duration) float64 {
	if t.coldSince.IsZero() || coldStart <= 0 {
		return 1
	}
	return min(1, minRamp+(1-minRamp)*float64(now.Sub(t.coldSince))/float64(coldStart))
}

// score returns a figure proportional to the expected time of one more call. Lower
// is better.
func (t *targetState) score(now time.Time, coldStart time.Duration, medianLatency float64) float64 {
	load := (t.busy(now) + 1) / (t.slots() * t.ramp(now, coldStart))
	relative := 1.0
	if t.latency > 0 && medianLatency > 0 {
		// A latency below the median gives no advantage, because failures are
		// often fast. A latency above the median counts against the endpoint.
		relative = max(1, t.latency/medianLatency)
	}
	penalty := relative*(1+t.failures) - 1
	return load * (1 + penalty*decay(now.Sub(t.lastObserved), penaltyHalfLife))
}

// decay returns the exponential decay factor for the given age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// available reports whether the endpoint may receive a call, and whether that call
// would be a probe.
func (t *targetState) available(now time.Time) (ok, probe bool) {
	if t.setAsideUntil.IsZero() {
		return true, false
	}
	return !now.Before(t.setAsideUntil) && t.inFlight == 0, true
}

// setAside excludes the endpoint (outlier ejection) for a time that grows with each
// failure.
func (t *targetState) setAside(now time.Time, unreachable bool) {
	if t.backoff == nil {
		t.backoff = backoff.NewExponentialBackOff()
		t.backoff.InitialInterval = setAsideInitial
		t.backoff.MaxInterval = setAsideMax
		t.backoff.Multiplier = 2
		t.backoff.Reset()
	}
	t.setAsideUntil = now.Add(t.backoff.NextBackOff())
	t.unreachable = unreachable
	t.successfulProbes = 0
}

// readmit makes a set-aside endpoint available again. It caps the failure rate at
// half the limit instead of clearing it, so that a recurring fault is detected
// sooner than a first one.
func (t *targetState) readmit() {
	t.setAsideUntil = time.Time{}
	t.unreachable = false
	t.backoff = nil
	t.failures = min(t.failures, failureLimit/2)
}

// feedback classifies the result of an attempt as evidence about the health of its
// endpoint.
type feedback int

const (
	feedbackNeutral feedback = iota // no evidence about the endpoint
	feedbackSuccess
	feedbackOverload    // refused for lack of slots
	feedbackFailure     // failure status, or no answer
	feedbackUnavailable // unreachable, or without a target for the call
)

// observe records the feedback of an attempt that has ended.
func (t *targetState) observe(f feedback, latency time.Duration, load *pb.Load, now time.Time) {
	if load != nil {
		t.load, t.loadReportedAt, t.inFlightAtLoad = load, now, t.inFlight
	}
	if f != feedbackNeutral {
		t.lastObserved = now
	}
	wasSetAside := !t.setAsideUntil.IsZero()
	switch f {
	case feedbackSuccess:
		t.failures *= 1 - failureWeight
		t.latency = smooth(t.latency, latency.Seconds(), latencyWeight)
		if t.successfulProbes++; wasSetAside && t.successfulProbes >= probeSuccesses {
			t.readmit()
		}
	case feedbackOverload:
		if load == nil { // a refusal without a load report still means that no slot is free
			slots := int32(t.slots())
			t.load, t.loadReportedAt, t.inFlightAtLoad = &pb.Load{Slots: slots, InUse: slots}, now, t.inFlight
		}
	case feedbackFailure:
		t.failures += failureWeight * (1 - t.failures)
		if wasSetAside || t.failures > failureLimit {
			t.setAside(now, false)
		}
	case feedbackUnavailable:
		t.failures += failureWeight * (1 - t.failures)
		t.setAside(now, true)
	}
}

func smooth(previous, value, weight float64) float64 {
	if previous == 0 {
		return value
	}
	return previous + weight*(value-previous)
}
