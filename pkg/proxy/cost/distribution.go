package cost

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which a run counts half.
	halfLife = time.Minute
	// minValue is the upper bound of the first bucket.
	minValue = time.Millisecond
	// bucketsPerOctave gives buckets of 19% width.
	bucketsPerOctave = 4
	// buckets cover run times up to 260 s; longer ones are in the last bucket.
	buckets = 18 * bucketsPerOctave
	// maxGrowth is the weight of a new run at which all weights are scaled down. It
	// keeps the precision of float32.
	maxGrowth = 1 << 10
	// Quantiles is the number of equally likely rests that stand for a distribution.
	Quantiles = 8
	// tailWeight is the weight, in runs, of the assumption that a run takes as long again
	// as it has taken, or the mean if that is longer. It decides only where few runs were
	// that long.
	tailWeight = 0.5
)

// distribution is a histogram of run times on a logarithmic scale in which older runs
// count less. Instead of lowering all weights with time, it raises that of new runs.
type distribution struct {
	weights [buckets]float32 // of the runs in a bucket
	sums    [buckets]float32 // of their run times in seconds, by weight
	weight  float64          // of all runs
	sum     float64
	base    time.Time // when a new run has weight 1
}

// bucketOf returns the bucket of a run time.
func bucketOf(seconds float64) int {
	if seconds <= minValue.Seconds() {
		return 0
	}
	octaves := math.Log2(seconds / minValue.Seconds())
	return min(int(math.Ceil(octaves*bucketsPerOctave)), buckets-1)
}

// growth returns the weight of a new run.
func (d *distribution) growth(now time.Time) float64 {
	return math.Exp2(float64(now.Sub(d.base)) / float64(halfLife))
}

// observe adds a run.
func (d *distribution) observe(ran time.Duration, now time.Time) {
	if d.weight == 0 {
		d.base = now
	}
	w := d.growth(now)
	if w > maxGrowth {
		d.rescale(w, now)
		w = 1
	}
	seconds := ran.Seconds()
	i := bucketOf(seconds)
	d.weights[i] += float32(w)
	d.sums[i] += float32(w * seconds)
	d.weight += w
	d.sum += w * seconds
}

// rescale divides all weights by that of a new run.
func (d *distribution) rescale(w float64, now time.Time) {
	d.weight, d.sum, d.base = 0, 0, now
	for i := range d.weights {
		d.weights[i] /= float32(w)
		d.sums[i] /= float32(w)
		d.weight += float64(d.weights[i])
		d.sum += float64(d.sums[i])
	}
}

// runs returns the number of runs, of which older ones count less.
func (d *distribution) runs(now time.Time) float64 {
	if d.weight == 0 {
		return 0
	}
	return d.weight / d.growth(now)
}

// mean returns the expected run time.
func (d *distribution) mean() time.Duration { return seconds(d.sum / d.weight) }

// rest returns the expected rest of a run that has taken the given time.
func (d *distribution) rest(elapsed time.Duration, now time.Time) time.Duration {
	if elapsed <= 0 {
		return d.mean()
	}
	passed := elapsed.Seconds()
	first := bucketOf(passed)
	weight, excess := d.partBeyond(first, passed)
	for i := first + 1; i < buckets; i++ {
		weight += float64(d.weights[i])
		excess += float64(d.sums[i]) - passed*float64(d.weights[i])
	}
	tail := tailWeight * d.growth(now)
	assumed := max(passed, d.sum/d.weight)
	return seconds((excess + tail*assumed) / (weight + tail))
}

// restQuantiles returns rests of a run that has taken the given time, which are equally
// likely.
func (d *distribution) restQuantiles(elapsed time.Duration, now time.Time) (rests [Quantiles]time.Duration) {
	passed := max(0, elapsed.Seconds())
	i := bucketOf(passed)
	tail := tailWeight * d.growth(now)
	assumed := seconds(max(passed, d.sum/d.weight))
	weight, _ := d.partBeyond(i, passed)
	total := weight + tail
	for j := i + 1; j < buckets; j++ {
		total += float64(d.weights[j])
	}
	from, before := passed, 0.0 // where the part of bucket i begins, and the weight below it
	for k := range rests {
		wanted := total * (float64(k) + 0.5) / Quantiles
		for i < buckets-1 && before+weight < wanted {
			before += weight
			from = max(from, upperBounds[i])
			i++
			weight = float64(d.weights[i])
		}
		if before+weight < wanted {
			rests[k] = assumed
			continue
		}
		rests[k] = seconds(from + (upperBounds[i]-from)*(wanted-before)/weight - passed)
	}
	return rests
}

// upperBounds are the upper bounds of the buckets in seconds.
var upperBounds = func() (bounds [buckets]float64) {
	for i := range bounds {
		bounds[i] = minValue.Seconds() * math.Exp2(float64(i)/bucketsPerOctave)
	}
	return bounds
}()

// partBeyond returns the weight of the runs of a bucket that took longer than the given
// time, and the sum of what exceeds it, if the runs are spread evenly in the bucket.
func (d *distribution) partBeyond(i int, passed float64) (weight, excess float64) {
	upper := upperBounds[i]
	lower := 0.0
	if i > 0 {
		lower = upperBounds[i-1]
	}
	if passed >= upper {
		return 0, 0 // in the last bucket, which has no upper bound
	}
	weight = float64(d.weights[i]) * (upper - passed) / (upper - lower)
	return weight, weight * (upper - passed) / 2
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
