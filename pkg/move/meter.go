package move

import "time"

const (
	meterPoints  = 600
	meterSpacing = time.Second
	// A planned rate rests on the shortest time that holds so many attempts and
	// is at least so long. A current one reacts sooner to a surge.
	planAttempts    = 100
	planShortest    = 10 * time.Second
	currentAttempts = 50
	currentShortest = 4 * time.Second
)

// rateMeter estimates the rates of calls to both versions, from seconds under
// much traffic to ten minutes under little.
type rateMeter struct {
	points   []meterPoint
	old, new uint64
	started  time.Time
}

type meterPoint struct {
	at       time.Time
	old, new uint64
}

func (m *rateMeter) add(now time.Time, o, n uint64) {
	m.old += o
	m.new += n
	if m.started.IsZero() {
		m.started = now
	}
	if k := len(m.points); k > 0 && now.Sub(m.points[k-1].at) < meterSpacing {
		return
	}
	if len(m.points) == meterPoints {
		copy(m.points, m.points[meterPoints/2:])
		m.points = m.points[:meterPoints-meterPoints/2]
	}
	m.points = append(m.points, meterPoint{at: now, old: m.old, new: m.new})
}

// rates returns calls/s to the old and the new version over the shortest time
// that holds the attempts and is long enough.
func (m *rateMeter) rates(attempts uint64, shortest time.Duration) (o, n float64) {
	k := len(m.points)
	if k < 2 {
		return 0, 0
	}
	last := m.points[k-1]
	lo, hi := 0, k-1 // the newest point that is old enough and has enough attempts between
	for lo < hi {
		mid := (lo + hi + 1) / 2
		p := m.points[mid]
		if last.at.Sub(p.at) >= shortest && last.old+last.new-p.old-p.new >= attempts {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	p := m.points[lo]
	seconds := last.at.Sub(p.at).Seconds()
	if seconds <= 0 {
		return 0, 0
	}
	return float64(last.old-p.old) / seconds, float64(last.new-p.new) / seconds
}

func (m *rateMeter) total() float64 {
	o, n := m.rates(planAttempts, planShortest)
	return o + n
}

// settled reports whether the rate is known well enough to plan by.
func (m *rateMeter) settled(now time.Time, limit time.Duration) bool {
	if m.started.IsZero() {
		return false
	}
	elapsed := now.Sub(m.started)
	return elapsed >= planShortest && (m.old+m.new >= planAttempts || elapsed >= limit)
}
