package move

import "nutmegstand.example/nutmegstand/pkg/pb"

// Outcome classifies the result of one attempt for the comparison of versions.
type Outcome uint8

// Outcomes.
const (
	// OutcomeOK is a complete response that is not a server error.
	OutcomeOK Outcome = iota
	// OutcomeFailed is a server error, or an attempt that was sent to the target
	// and got no complete response in time.
	OutcomeFailed
	// OutcomeCrashed is an attempt during which the target process crashed.
	OutcomeCrashed
	// OutcomeExcluded is not counted because it is no evidence about the version:
	// the attempt was not run or was cancelled by the caller, its crash is
	// explained by a suspect request, or the target is still in its cold start
	// (see Warmup).
	OutcomeExcluded
)

// Counts holds cumulative counts of attempts. Failures do not include crashes.
// The latency histogram holds successful attempts only.
type Counts struct {
	Attempts uint64
	Failures uint64
	Crashes  uint64
	Latency  histogram
}

func (c *Counts) add(d *Counts) {
	c.Attempts += d.Attempts
	c.Failures += d.Failures
	c.Crashes += d.Crashes
	for i := range c.Latency {
		c.Latency[i] += d.Latency[i]
	}
}

// failureRate is the fraction of attempts that failed or crashed.
func (c *Counts) failureRate() float64 {
	if c.Attempts == 0 {
		return 0
	}
	return float64(c.Failures+c.Crashes) / float64(c.Attempts)
}

// sub returns c-d, and false if a counter of c is less than that of d.
func (c *Counts) sub(d *Counts) (Counts, bool) {
	ok := c.Attempts >= d.Attempts && c.Failures >= d.Failures && c.Crashes >= d.Crashes
	r := Counts{Attempts: c.Attempts - d.Attempts, Failures: c.Failures - d.Failures, Crashes: c.Crashes - d.Crashes}
	for i := range c.Latency {
		ok = ok && c.Latency[i] >= d.Latency[i]
		r.Latency[i] = c.Latency[i] - d.Latency[i]
	}
	return r, ok
}

// encodeInto sets the counts of e, without trailing empty buckets.
func (c *Counts) encodeInto(e *pb.Evidence) {
	e.Attempts, e.Failures, e.Crashes = c.Attempts, c.Failures, c.Crashes
	last := len(c.Latency)
	for last > 0 && c.Latency[last-1] == 0 {
		last--
	}
	e.LatencyBuckets = append([]uint64(nil), c.Latency[:last]...)
}

func decodeCounts(e *pb.Evidence) Counts {
	c := Counts{Attempts: e.GetAttempts(), Failures: e.GetFailures(), Crashes: e.GetCrashes()}
	copy(c.Latency[:], e.GetLatencyBuckets())
	return c
}
