package target

import (
	"time"
)

const (
	// The weights of a new sample are those of the round-trip time estimate of
	// RFC 6298, which serves the same purpose: an upper bound that a variable
	// delay rarely exceeds.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// maxEstimateRoutes bounds the memory of the estimator. Further routes use the
	// estimate over all routes.
	maxEstimateRoutes = 256
	// estimateHalfLife is the time without samples after which an estimate is
	// halved, so that calls are not refused on the estimate of a slow phase of the
	// target that has ended.
	estimateHalfLife = 500 * time.Millisecond
)

// serviceTime is a smoothed service time and its mean deviation.
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

// decayed returns the mean and the deviation, halved for each half-life since the
// last sample.
func (s *serviceTime) decayed(now time.Time) (mean, deviation time.Duration) {
	mean, deviation = time.Duration(s.mean), time.Duration(s.deviation)
	idle := now.Sub(s.last) - estimateHalfLife
	for ; idle > 0 && mean > 0; idle -= estimateHalfLife {
		mean, deviation = mean/2, deviation/2
	}
	return mean, deviation
}

// estimator estimates the service times of a target for each route.
type estimator struct {
	overall serviceTime
	routes  map[string]*serviceTime
}

func newEstimator() *estimator { return &estimator{routes: make(map[string]*serviceTime)} }

func (e *estimator) add(route string, sample time.Duration, now time.Time) {
	e.overall.add(sample, now)
	r, ok := e.routes[route]
	if !ok {
		if len(e.routes) >= maxEstimateRoutes {
			return
		}
		r = &serviceTime{}
		e.routes[route] = r
	}
	r.add(sample, now)
}

// forRoute returns the mean service time of a route and an upper bound that a
// call rarely exceeds. A route without samples gets the values over all routes.
func (e *estimator) forRoute(route string, now time.Time) (mean, bound time.Duration) {
	s := &e.overall
	if r, ok := e.routes[route]; ok {
		s = r
	}
	mean, deviation := s.decayed(now)
	return mean, mean + 2*deviation
}
