package move

import (
	"math"
	"time"
)

// The latency buckets are part of the wire format: bucket 0 ends at
// firstBucketEnd, and each further bucket is wider by the same factor. Four
// buckets per octave resolve a slowdown of 19%; the last bucket starts at 23 s.
const (
	LatencyBuckets   = 68
	bucketsPerOctave = 4
	firstBucketEnd   = 250 * time.Microsecond
)

// bucketOf returns the index of the bucket of a latency.
func bucketOf(latency time.Duration) int {
	if latency < firstBucketEnd {
		return 0
	}
	octaves := math.Log2(float64(latency) / float64(firstBucketEnd))
	return min(1+int(octaves*bucketsPerOctave), LatencyBuckets-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(bucket int) time.Duration {
	return time.Duration(float64(firstBucketEnd) * math.Pow(2, float64(bucket)/bucketsPerOctave))
}

// histogram counts latencies by bucket.
type histogram [LatencyBuckets]uint64

func (h *histogram) total() uint64 {
	var n uint64
	for _, c := range h {
		n += c
	}
	return n
}

// above counts the entries in buckets after the given one.
func (h *histogram) above(bucket int) uint64 {
	var n uint64
	for i := bucket + 1; i < len(h); i++ {
		n += h[i]
	}
	return n
}

// quantile returns the bucket that contains quantile q, or 0 for an empty
// histogram.
func (h *histogram) quantile(q float64) int {
	rest := q * float64(h.total())
	for i, c := range h {
		rest -= float64(c)
		if c > 0 && rest <= 0 {
			return i
		}
	}
	return 0
}
