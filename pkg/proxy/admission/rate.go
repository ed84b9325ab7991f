package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// rateBurst is the time whose share of the limit may be sent at once.
const rateBurst = time.Second

// MinRate is the lowest limit in requests per second that is applied. A target
// that gets no requests cannot lift its limit.
const MinRate = 0.5

// SetRate sets the rate in requests per second at which slots are granted, 0 for no
// limit. It returns the previous one.
func (q *Queue) SetRate(limit float64) (before float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rateNamed = true
	return q.setRateLocked(limit)
}

// AdoptRate sets the rate that a caller side knows from an earlier process of this
// daemon, until the first response of the target.
func (q *Queue) AdoptRate(limit float64) {
	if !(limit >= MinRate) || math.IsInf(limit, 0) {
		return // none, or not a limit that a daemon reports
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.rateNamed && q.rate == nil {
		q.setRateLocked(limit)
	}
}

func (q *Queue) setRateLocked(limit float64) (before float64) {
	if q.rate != nil {
		before = float64(q.rate.Limit())
	}
	if limit == before {
		return before
	}
	if limit == 0 {
		q.rate = nil
	} else {
		q.rate = withRate(q.rate, limit, rateBurst)
	}
	q.stopRateTimer()
	q.grantLocked()
	return before
}

// withRate returns a limiter after a change of its limit, a new one if it is nil. What the
// limit allows within the time burst may be sent at once.
func withRate(limiter *rate.Limiter, limit float64, burst time.Duration) *rate.Limiter {
	requests := max(1, int(limit*burst.Seconds()))
	if limiter == nil {
		return rate.NewLimiter(rate.Limit(limit), requests)
	}
	limiter.SetLimit(rate.Limit(limit))
	limiter.SetBurst(requests)
	return limiter
}

// grantAfter schedules the next grant.
func (q *Queue) grantAfter(wait time.Duration) {
	if q.rateTimer != nil {
		return
	}
	q.rateTimer = time.AfterFunc(wait, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.rateTimer = nil
		q.grantLocked()
	})
}

func (q *Queue) stopRateTimer() {
	if q.rateTimer != nil {
		q.rateTimer.Stop()
		q.rateTimer = nil
	}
}
