package admission

import (
	"time"

	"golang.org/x/time/rate"
)

// coldBurst is the time whose share of the cold rate may be sent at once. The bound on
// a cold target holds in any one second, so a larger burst would exceed it.
const coldBurst = 250 * time.Millisecond

// SetColdRate sets the rate in requests per second that the target tolerates while it is
// cold, 0 once it is warm. It holds together with the rate that the target names itself.
func (q *Queue) SetColdRate(limit float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cold = limit > 0
	if q.cold {
		q.coldRate = withRate(q.coldRate, limit, coldBurst)
	}
	q.stopRateTimer()
	q.grantLocked()
}

// limiters returns the rates that hold now, nil for one that does not.
func (q *Queue) limiters() (named, cold *rate.Limiter) {
	if q.cold {
		cold = q.coldRate
	}
	return q.rate, cold
}

// takeRate reports whether all rates allow a request now, which then counts.
func (q *Queue) takeRate() bool {
	named, cold := q.limiters()
	switch {
	case cold == nil:
		return named == nil || named.Allow()
	case named == nil:
		return cold.Allow()
	}
	// A request that one of them refuses must not count at the other. The check is that of
	// rateWait: with a stricter one, a wait of 0 would be followed by a refusal.
	return q.rateWait(0) == 0 && named.Allow() && cold.Allow()
}

// rateWait returns the time until the rates allow a request that comes after n others.
func (q *Queue) rateWait(n int) time.Duration {
	named, cold := q.limiters()
	return max(waitOf(named, n), waitOf(cold, n))
}

func waitOf(limiter *rate.Limiter, n int) time.Duration {
	if limiter == nil {
		return 0
	}
	missing := float64(n+1) - limiter.Tokens()
	return max(0, time.Duration(missing/float64(limiter.Limit())*float64(time.Second)))
}

// lowestRate returns the lowest rate that holds now, 0 if none does.
func (q *Queue) lowestRate() float64 {
	named, cold := q.limiters()
	switch {
	case named == nil && cold == nil:
		return 0
	case named == nil:
		return float64(cold.Limit())
	case cold == nil:
		return float64(named.Limit())
	}
	return float64(min(named.Limit(), cold.Limit()))
}
