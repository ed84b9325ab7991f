package move

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// A plain fault: localFailures of the last localWindow attempts on the new
	// version failed, and at most localOldFailures of the last localOldWindow
	// on the old one, of which there were at least localOldAttempts.
	localWindow      = 5
	localFailures    = 4
	localOldWindow   = 20
	localOldAttempts = 5
	localOldFailures = 1
	// localMemory bounds the age of the previous attempt on the new version and
	// of the last one on the old version.
	localMemory = time.Minute
	// The first stop lasts localStop, each further one twice as long. Calls go
	// on after it because the controller, which decides, needs evidence.
	localStop    = 10 * time.Second
	maxLocalStop = 5 * time.Minute
)

// localFault is one daemon's own reaction to a plain fault of the new version.
// It takes effect with the attempt that shows the fault. All methods are
// lock-free.
type localFault struct {
	old, new attemptBits
	stopped  atomic.Int64 // ns since the chooser began, 0 if not stopped
	stops    atomic.Int32
}

// attemptBits holds the last 32 outcomes, the latest in bit 0, and their
// number up to 32.
type attemptBits struct {
	word atomic.Uint64
	last atomic.Int64
}

func (b *attemptBits) add(failed bool, now int64) {
	fresh := now-b.last.Swap(now) <= int64(localMemory)
	for {
		word := b.word.Load()
		n, outcomes := word>>32, uint32(word)
		if !fresh {
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

// failures returns the failures among the last window outcomes, and the number
// of outcomes known.
func (b *attemptBits) failures(window int) (failed, known int) {
	word := b.word.Load()
	return bits.OnesCount32(uint32(word) & (1<<window - 1)), int(word >> 32)
}

// observe adds an outcome and reports whether it stopped the daemon's share.
func (l *localFault) observe(isNew, failed bool, now int64) bool {
	if !isNew {
		l.old.add(failed, now)
		return false
	}
	l.new.add(failed, now)
	if !failed || l.isStopped(now, false) {
		return false
	}
	newFailed, newKnown := l.new.failures(localWindow)
	oldFailed, oldKnown := l.old.failures(localOldWindow)
	if newKnown < localWindow || newFailed < localFailures || oldKnown < localOldAttempts ||
		oldFailed > localOldFailures || now-l.old.last.Load() > int64(localMemory) {
		return false
	}
	l.new.word.Store(0)
	l.stops.Add(1)
	l.stopped.Store(max(now, 1))
	return true
}

// isStopped reports whether the daemon's share is stopped. A stop does not end
// while the grant's term has lapsed: without renewal a share never grows.
func (l *localFault) isStopped(now int64, lapsed bool) bool {
	since := l.stopped.Load()
	if since == 0 {
		return false
	}
	if lapsed {
		return true
	}
	period := min(localStop<<min(max(l.stops.Load()-1, 0), 8), maxLocalStop)
	return now-since < int64(period)
}
