package proxy

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

const (
	// rateBurst is the time whose share of the limit may be sent at once.
	rateBurst = time.Second
	// minRateLimit is the lowest limit in requests per second that is applied. A target
	// that gets no requests cannot lift its limit.
	minRateLimit = 0.5
)

// namedLimit returns the rate limit in requests per second that a target names in a
// response, 0 if it names none. It reports false if the response does not tell: its
// value is invalid, or it has none and is not the response to a request that ran.
func (g *Gate) namedLimit(r *http.Response) (float64, bool) {
	value := r.Header.Get(g.Names.RateLimit)
	if value == "" {
		return 0, r.Header.Get(g.Names.Signature) != ""
	}
	limit, err := strconv.ParseFloat(value, 64)
	return max(limit, minRateLimit), err == nil && limit >= 0 && !math.IsInf(limit, 0)
}

// recordLimit applies the rate limit that a response of the target names.
func (g *Gate) recordLimit(target *LocalTarget, slots *admission, r *http.Response) {
	limit, ok := g.namedLimit(r)
	if !ok {
		return
	}
	if before := slots.setRate(limit); before != limit {
		eventRateLimit.Log(g.Logger, zap.String("target", target.ID), zap.Float64("limit", limit), zap.Float64("before", before))
	}
}

// setRate sets the rate in requests per second at which slots are granted, 0 for no
// limit. It returns the previous one.
func (a *admission) setRate(limit float64) (before float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rateNamed = true
	return a.setRateLocked(limit)
}

// adoptRate sets the rate that a caller side knows from an earlier process of this
// daemon, until the first response of the target.
func (a *admission) adoptRate(limit float64) {
	if !(limit >= minRateLimit) || math.IsInf(limit, 0) {
		return // none, or not a limit that a daemon reports
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.rateNamed && a.rate == nil {
		a.setRateLocked(limit)
	}
}

func (a *admission) setRateLocked(limit float64) (before float64) {
	if a.rate != nil {
		before = float64(a.rate.Limit())
	}
	if limit == before {
		return before
	}
	burst := max(1, int(limit*rateBurst.Seconds()))
	switch {
	case limit == 0:
		a.rate = nil
	case a.rate == nil:
		a.rate = rate.NewLimiter(rate.Limit(limit), burst)
	default:
		a.rate.SetLimit(rate.Limit(limit))
		a.rate.SetBurst(burst)
	}
	a.stopRateTimer()
	a.grantLocked()
	return before
}

// takeRate reports whether the rate allows a request now, which then counts.
func (a *admission) takeRate() bool { return a.rate == nil || a.rate.Allow() }

// rateWait returns the time until the rate allows a request that comes after n others.
func (a *admission) rateWait(n int) time.Duration {
	if a.rate == nil {
		return 0
	}
	missing := float64(n+1) - a.rate.Tokens()
	return max(0, time.Duration(missing/float64(a.rate.Limit())*float64(time.Second)))
}

// grantAfter schedules the next grant.
func (a *admission) grantAfter(wait time.Duration) {
	if a.rateTimer != nil {
		return
	}
	a.rateTimer = time.AfterFunc(wait, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.rateTimer = nil
		a.grantLocked()
	})
}

func (a *admission) stopRateTimer() {
	if a.rateTimer != nil {
		a.rateTimer.Stop()
		a.rateTimer = nil
	}
}

// rateLimit returns the rate limit that was last reported for a target, 0 if none was.
func (b *Balancer) rateLimit(target string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.stats[target]; s != nil {
		return s.load.RateLimit
	}
	return 0
}

// rateTime returns the expected wait for the rate of a target, given the weight of its
// last report.
func (s *targetStats) rateTime(freshness float64) time.Duration {
	if s.load.RateLimit <= 0 {
		return 0
	}
	sent := float64(s.callsSinceLoad) / s.load.RateLimit * float64(time.Second)
	return time.Duration(freshness * (float64(s.load.RateWait) + sent))
}
