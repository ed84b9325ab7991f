package move

import "time"

const (
	meterPoints   = 600
	meterSpacing  = time.Second
	meterAttempts = 50 // a rate rests on the shortest time that holds this many attempts
	meterShortest = 4 * time.Second
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

// rates returns calls/s to the old and the new version.
func (m *rateMeter) rates() (o, n float64) {
	k := len(m.points)
	if k < 2 {
		return 0, 0
	}
	last := m.points[k-1]
	lo, hi := 0, k-1 // the newest point that is old enough and has enough attempts between
	for lo < hi {
		mid := (lo + hi + 1) / 2
		p := m.points[mid]
		if last.at.Sub(p.at) >= meterShortest && last.old+last.new-p.old-p.new >= meterAttempts {
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
	o, n := m.rates()
	return o + n
}

// settled reports whether the rate is known well enough to plan by.
func (m *rateMeter) settled(now time.Time, limit time.Duration) bool {
	if m.started.IsZero() {
		return false
	}
	elapsed := now.Sub(m.started)
	return elapsed >= meterShortest && (m.old+m.new >= meterAttempts || elapsed >= limit)
}
