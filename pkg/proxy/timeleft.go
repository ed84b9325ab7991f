package proxy

import (
	"math"
	"strconv"
	"time"
)

// maxTimeLeft is the longest remaining time of a caller that is accepted.
const maxTimeLeft = 24 * time.Hour

// parseTimeLeft returns the remaining time of a caller, in milliseconds, and whether it
// is one.
func parseTimeLeft(value string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(math.Abs(ms) <= float64(maxTimeLeft.Milliseconds())) { // also false for NaN
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}
