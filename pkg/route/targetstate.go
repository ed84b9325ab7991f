package route

import (
	"math"
	"time"

	"github.com/cenkalti/backoff/v5"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// loadHalfLife ages reported load: a figure that no answer has renewed says
	// less and less, and a target that looked busy is tried again.
	loadHalfLife = 500 * time.Millisecond
	// failureWeight and failureLimit set an endpoint aside after three failures
	// in a row, or when about half of its attempts fail.
	failureWeight = 0.2
	failureLimit  = 0.45
	// penaltyHalfLife ages what earlier failures and slow answers say. Without
	// it, an endpoint that failed once would never be drawn again while others
	// are idle.
	penaltyHalfLife = 5 * time.Second
	// latencyWeight smooths the latency of attempts.
	latencyWeight = 0.1
	// setAsideInitial and setAsideMax bound the time for which an endpoint is
	// left alone; it doubles with each probe that fails.
	setAsideInitial = 500 * time.Millisecond
	setAsideMax     = 30 * time.Second
	// probeSuccesses is the number of good probes, one at a time, after which an
	// endpoint takes its ordinary part again.
	probeSuccesses = 3
	// minRamp is the part of its share that a target gets when it is cold.
	minRamp = 0.1
	// defaultSlots is assumed until an endpoint or an answer gives the number.
	defaultSlots = 10
)

// targetState is what one daemon has learned about one endpoint. It is guarded
// by the mutex of its service.
type targetState struct {
	endpoint *pb.Endpoint
	inFlight int

	load         *pb.Load
	loadAt       time.Time
	loadInFlight int // own calls in flight when the load was reported

	latency  float64   // smoothed, seconds
	failures float64   // smoothed share of failed attempts
	observed time.Time // of the last attempt that said something

	setAsideUntil time.Time // zero unless set aside or probed
	hard          bool      // set aside because it cannot be reached
	probes        int       // good probes since it was set aside
	wait          *backoff.ExponentialBackOff

	coldFrom time.Time // zero if it was ready when the daemon first saw it
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

// busy estimates the calls that the target works on or has queued.
func (t *targetState) busy(now time.Time) float64 {
	if t.load == nil {
		return float64(t.inFlight)
	}
	age := now.Sub(t.loadAt)
	reported := float64(t.load.GetInUse()+t.load.GetQueued()) * halved(age, loadHalfLife)
	since := t.inFlight - t.loadInFlight
	return max(reported+float64(since), float64(t.inFlight))
}

// free estimates the free slots.
func (t *targetState) free(now time.Time, coldStart time.Duration) float64 {
	return max(0, t.slots()*t.ramp(now, coldStart)-t.busy(now))
}

// ramp is the part of its full speed that a target is taken to have.
func (t *targetState) ramp(now time.Time, coldStart time.Duration) float64 {
	if t.coldFrom.IsZero() || coldStart <= 0 {
		return 1
	}
	return min(1, minRamp+(1-minRamp)*float64(now.Sub(t.coldFrom))/float64(coldStart))
}

// score is the expected time that a further call takes, up to a factor that
// all endpoints share.
func (t *targetState) score(now time.Time, coldStart time.Duration, typicalLatency float64) float64 {
	load := (t.busy(now) + 1) / (t.slots() * t.ramp(now, coldStart))
	relative := 1.0
	if t.latency > 0 && typicalLatency > 0 {
		// An endpoint is not preferred for being fast alone, since failures are
		// often fast; it is avoided for being slow.
		relative = max(1, t.latency/typicalLatency)
	}
	penalty := relative*(1+t.failures) - 1
	return load * (1 + penalty*halved(now.Sub(t.observed), penaltyHalfLife))
}

// halved returns the weight that is left after the given age.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// available reports whether the endpoint may get a call, and whether that call
// is a probe.
func (t *targetState) available(now time.Time) (ok, probe bool) {
	if t.setAsideUntil.IsZero() {
		return true, false
	}
	return !now.Before(t.setAsideUntil) && t.inFlight == 0, true
}

// setAside leaves the endpoint alone for a time that grows with each failure.
func (t *targetState) setAside(now time.Time, hard bool) {
	if t.wait == nil {
		t.wait = backoff.NewExponentialBackOff()
		t.wait.InitialInterval = setAsideInitial
		t.wait.MaxInterval = setAsideMax
		t.wait.Multiplier = 2
		t.wait.Reset()
	}
	t.setAsideUntil = now.Add(t.wait.NextBackOff())
	t.hard = hard
	t.probes = 0
}

// readmit ends the set-aside. The failures are kept at half the limit, so that
// a relapse shows sooner than a first fault.
func (t *targetState) readmit() {
	t.setAsideUntil = time.Time{}
	t.hard = false
	t.wait = nil
	t.failures = min(t.failures, failureLimit/2)
}

// verdict is what an attempt says about its endpoint.
type verdict int

const (
	verdictNeutral verdict = iota // says nothing about the endpoint
	verdictGood
	verdictFull // refused for lack of slots
	verdictBad  // failed, or ended without an answer
	verdictGone // cannot be reached, or has no target for the service
)

// observe takes the verdict of an attempt that has ended.
func (t *targetState) observe(v verdict, latency time.Duration, load *pb.Load, now time.Time) {
	if load != nil {
		t.load, t.loadAt, t.loadInFlight = load, now, t.inFlight
	}
	if v != verdictNeutral {
		t.observed = now
	}
	aside := !t.setAsideUntil.IsZero()
	switch v {
	case verdictGood:
		t.failures *= 1 - failureWeight
		t.latency = smooth(t.latency, latency.Seconds(), latencyWeight)
		if t.probes++; aside && t.probes >= probeSuccesses {
			t.readmit()
		}
	case verdictFull:
		if load == nil { // a refusal without figures still says that it is full
			slots := int32(t.slots())
			t.load, t.loadAt, t.loadInFlight = &pb.Load{Slots: slots, InUse: slots}, now, t.inFlight
		}
	case verdictBad:
		t.failures += failureWeight * (1 - t.failures)
		if aside || t.failures > failureLimit {
			t.setAside(now, false)
		}
	case verdictGone:
		t.failures += failureWeight * (1 - t.failures)
		t.setAside(now, true)
	}
}

func smooth(old, value, weight float64) float64 {
	if old == 0 {
		return value
	}
	return old + weight*(value-old)
}
