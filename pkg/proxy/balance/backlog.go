package balance

// workPerCall returns the time in nanoseconds that a call at the target still needs on
// average: the reported outstanding work and the expected run times of the calls since,
// or the average service time if the target reports no outstanding work. run is the
// expected run time of a call, freshness the weight of the report.
func (s *targetStats) workPerCall(run, freshness float64) float64 {
	calls := freshness*float64(s.load.Busy+s.load.Queued) + float64(s.callsSinceLoad)
	switch {
	case s.load.Backlog > 0 && calls > 0:
		return (freshness*float64(s.load.Backlog) + float64(s.workSinceLoad)) / calls
	case s.load.ServiceTime > 0:
		return float64(s.load.ServiceTime)
	}
	return run
}
