package move

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// The breaker opens on an obvious fault: at least breakerNewFailures of the
	// last breakerNewWindow attempts on the new version failed, but at most
	// breakerOldFailures of the last breakerOldWindow on the old one, with at
	// least breakerOldAttempts attempts there.
	breakerNewWindow   = 5
	breakerNewFailures = 4
	breakerOldWindow   = 20
	breakerOldAttempts = 5
	breakerOldFailures = 1
	// breakerMaxAge is the maximum age of the last attempt on the old version, and
	// the maximum time between two consecutive attempts on one version.
	breakerMaxAge = time.Minute
	// The breaker stays open for breakerOpenTime the first time, and twice as long
	// each further time, up to maxBreakerOpenTime. It closes again because the
	// controller needs evidence for its decision.
	breakerOpenTime    = 10 * time.Second
	maxBreakerOpenTime = 5 * time.Minute
)

// localBreaker is a circuit breaker of one daemon that stops its share of the new
// version on an obvious fault, without waiting for the controller. It opens with
// the attempt that reveals the fault. All methods are lock-free.
type localBreaker struct {
	old, new  attemptBits
	openedAt  atomic.Int64 // ns since the chooser's epoch, 0 if never opened
	openCount atomic.Int32
}

// attemptBits holds the last 32 outcomes in the low half of word, the latest in
// bit 0, and their number up to 32 in the high half.
type attemptBits struct {
	word atomic.Uint64
	last atomic.Int64
}

func (b *attemptBits) add(failed bool, now int64) {
	recent := now-b.last.Swap(now) <= int64(breakerMaxAge)
	for {
		word := b.word.Load()
		n, outcomes := word>>32, uint32(word)
		if !recent {
			n, outcomes = 0, 0
		}
		outcomes <<= 1
		if failed {
			outcomes |= 1
		}
		if b.word.CompareAndSwap(word, min(n+1, 32)<<32|uint64(outcomes)) {
			return
		}
	}
}

// failures returns the number of failures among the last window outcomes, and
// the number of outcomes stored.
func (b *attemptBits) failures(window int) (failed, known int) {
	word := b.word.Load()
	return bits.OnesCount32(uint32(word) & (1<<window - 1)), int(word >> 32)
}

// observe adds an outcome and reports whether it opened the breaker.
func (l *localBreaker) observe(isNew, failed bool, now int64) bool {
	if !isNew {
		l.old.add(failed, now)
		return false
	}
	l.new.add(failed, now)
	if !failed || l.isOpen(now, false) {
		return false
	}
	newFailed, newKnown := l.new.failures(breakerNewWindow)
	oldFailed, oldKnown := l.old.failures(breakerOldWindow)
	if newKnown < breakerNewWindow || newFailed < breakerNewFailures || oldKnown < breakerOldAttempts ||
		oldFailed > breakerOldFailures || now-l.old.last.Load() > int64(breakerMaxAge) {
		return false
	}
	l.new.word.Store(0)
	l.openCount.Add(1)
	l.openedAt.Store(max(now, 1))
	return true
}

// isOpen reports whether the breaker is open. It does not close while the term
// of the grant has expired, because a share must not grow without renewal.
func (l *localBreaker) isOpen(now int64, termExpired bool) bool {
	openedAt := l.openedAt.Load()
	if openedAt == 0 {
		return false
	}
	if termExpired {
		return true
	}
	period := min(breakerOpenTime<<min(max(l.openCount.Load()-1, 0), 8), maxBreakerOpenTime)
	return now-openedAt < int64(period)
}
