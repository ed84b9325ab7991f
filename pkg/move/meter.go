package move

import "time"

const (
	maxMeterSamples     = 600
	meterSampleInterval = time.Second
	// A rate for planning is measured over the shortest period that has
	// planMinAttempts attempts and is at least planMinPeriod long. The limits of
	// the current rate are lower, so that it reacts faster to growing traffic.
	planMinAttempts    = 100
	planMinPeriod      = 10 * time.Second
	currentMinAttempts = 50
	currentMinPeriod   = 4 * time.Second
)

// rateMeter estimates the rates of calls to both versions, over a few seconds at
// high traffic and up to ten minutes at low traffic.
type rateMeter struct {
	samples  []meterSample
	old, new uint64
	started  time.Time
}

type meterSample struct {
	at       time.Time
	old, new uint64
}

func (m *rateMeter) add(now time.Time, oldCalls, newCalls uint64) {
	m.old += oldCalls
	m.new += newCalls
	if m.started.IsZero() {
		m.started = now
	}
	if k := len(m.samples); k > 0 && now.Sub(m.samples[k-1].at) < meterSampleInterval {
		return
	}
	if len(m.samples) == maxMeterSamples {
		copy(m.samples, m.samples[maxMeterSamples/2:])
		m.samples = m.samples[:maxMeterSamples-maxMeterSamples/2]
	}
	m.samples = append(m.samples, meterSample{at: now, old: m.old, new: m.new})
}

// rates returns the rates of calls to the old and the new version in calls/s,
// over the shortest period with the given minimum of attempts and length, or
// over all samples if there is none.
func (m *rateMeter) rates(minAttempts uint64, minPeriod time.Duration) (oldRate, newRate float64) {
	k := len(m.samples)
	if k < 2 {
		return 0, 0
	}
	last := m.samples[k-1]
	lo, hi := 0, k-1 // binary search for the latest sample that starts such a period
	for lo < hi {
		mid := (lo + hi + 1) / 2
		p := m.samples[mid]
		if last.at.Sub(p.at) >= minPeriod && last.old+last.new-p.old-p.new >= minAttempts {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	p := m.samples[lo]
	seconds := last.at.Sub(p.at).Seconds()
	if seconds <= 0 {
		return 0, 0
	}
	return float64(last.old-p.old) / seconds, float64(last.new-p.new) / seconds
}

func (m *rateMeter) total() float64 {
	oldRate, newRate := m.rates(planMinAttempts, planMinPeriod)
	return oldRate + newRate
}

// isReliable reports whether the rate is reliable enough for planning, or the
// measurement has reached the limit.
func (m *rateMeter) isReliable(now time.Time, limit time.Duration) bool {
	if m.started.IsZero() {
		return false
	}
	elapsed := now.Sub(m.started)
	return elapsed >= planMinPeriod && (m.old+m.new >= planMinAttempts || elapsed >= limit)
}
