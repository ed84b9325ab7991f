package target

import (
	"time"
)

const (
	// The weights of a new sample are those of the round-trip estimate of
	// RFC 6298, which is used for the same purpose: a bound that a variable
	// delay seldom exceeds.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// estimateMaxRoutes bounds the memory of the estimate.
	estimateMaxRoutes = 256
	// estimateHalfLife is the time without samples in which an estimate halves.
	// A slow phase of the target must not make calls be refused after it ended.
	estimateHalfLife = 500 * time.Millisecond
)

// serviceTime is a smoothed service time with its mean deviation.
type serviceTime struct {
	mean, deviation float64 // in nanoseconds
	last            time.Time
}

func (s *serviceTime) add(sample time.Duration, now time.Time) {
	x := float64(sample)
	if s.last.IsZero() {
		s.mean, s.deviation = x, x/2
	} else {
		diff := x - s.mean
		s.mean += meanWeight * diff
		s.deviation += deviationWeight * (max(diff, -diff) - s.deviation)
	}
	s.last = now
}

// aged returns the mean and the deviation, halved for each half-life that
// passed since the last sample.
func (s *serviceTime) aged(now time.Time) (mean, deviation time.Duration) {
	mean, deviation = time.Duration(s.mean), time.Duration(s.deviation)
	idle := now.Sub(s.last) - estimateHalfLife
	for ; idle > 0 && mean > 0; idle -= estimateHalfLife {
		mean, deviation = mean/2, deviation/2
	}
	return mean, deviation
}

// estimator estimates the service times of a target by route.
type estimator struct {
	all    serviceTime
	routes map[string]*serviceTime
}

func newEstimator() *estimator { return &estimator{routes: make(map[string]*serviceTime)} }

func (e *estimator) add(route string, sample time.Duration, now time.Time) {
	e.all.add(sample, now)
	r, ok := e.routes[route]
	if !ok {
		if len(e.routes) >= estimateMaxRoutes {
			return
		}
		r = &serviceTime{}
		e.routes[route] = r
	}
	r.add(sample, now)
}

// of returns the estimate of a route: its mean, and a bound that a call seldom
// exceeds.
func (e *estimator) of(route string, now time.Time) (mean, bound time.Duration) {
	s := &e.all
	if r, ok := e.routes[route]; ok {
		s = r
	}
	mean, deviation := s.aged(now)
	return mean, mean + 2*deviation
}
