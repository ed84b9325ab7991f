package route

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// attemptsPerRetry is the number of first attempts that allow one retry.
	attemptsPerRetry = 10
	// maxSavedRetries limits the unused retries that accumulate while there are few
	// failures. It bounds the burst of retries at the onset of a fault.
	maxSavedRetries = 50
	// minRetriesPerSecond and minRetryBurst are the minimum budget of a daemon with
	// few calls, in addition to a tenth of its first attempts (5 retries/s at
	// 50 calls/s).
	minRetriesPerSecond = 0.5
	minRetryBurst       = 3
	// maxChainRetries limits the retries along one path of a call chain, regardless
	// of its number of hops.
	maxChainRetries = 2
	// maxDepth is the depth at which a call is rejected as a probable loop. The deepest
	// legitimate chains have 12 hops.
	maxDepth = 16
)

// budget limits the retries of one daemon to a tenth of its first attempts, plus a
// small minimum rate.
type budget struct {
	mu      sync.Mutex
	credit  int // first attempts not yet spent; attemptsPerRetry of them pay for one retry
	minimum *rate.Limiter
}

func newBudget() *budget {
	return &budget{minimum: rate.NewLimiter(minRetriesPerSecond, minRetryBurst)}
}

// recordFirstAttempt adds a first attempt to the credit.
func (b *budget) recordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(b.credit+1, maxSavedRetries*attemptsPerRetry)
}

// allowRetry takes one retry from the budget and reports whether there was one.
func (b *budget) allowRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit >= attemptsPerRetry {
		b.credit -= attemptsPerRetry
		return true
	}
	return b.minimum.AllowN(now, 1)
}
