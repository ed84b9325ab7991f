package route

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryPart is the number of first attempts that earn one retry.
	retryPart = 10
	// maxSavedRetries bounds the retries saved up in quiet times, so that they
	// are not all spent at the moment of a fault.
	maxSavedRetries = 50
	// minRetriesPerSecond and minRetryBurst let a daemon with few calls retry at
	// all; at 50 calls/s the tenth is 5 retries/s.
	minRetriesPerSecond = 0.5
	minRetryBurst       = 3
	// maxChainRetries bounds the retries along one path of a call chain, however
	// many hops it has.
	maxChainRetries = 2
	// maxDepth is above the 12 hops of the deepest chains that are meant.
	maxDepth = 16
)

// budget bounds the retries of one daemon to a tenth of its first attempts,
// plus a small minimum.
type budget struct {
	mu      sync.Mutex
	earned  int // in parts of 1/retryPart retry
	minimum *rate.Limiter
}

func newBudget() *budget {
	return &budget{minimum: rate.NewLimiter(minRetriesPerSecond, minRetryBurst)}
}

// first counts a first attempt.
func (b *budget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+1, maxSavedRetries*retryPart)
}

// retry takes one retry from the budget, if there is one.
func (b *budget) retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned >= retryPart {
		b.earned -= retryPart
		return true
	}
	return b.minimum.AllowN(now, 1)
}
