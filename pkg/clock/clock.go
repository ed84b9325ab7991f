// Package clock provides a monotonic clock that continues while the machine is
// suspended. Go's monotonic time stops during a suspension, so terms and ages on
// which other machines rely must not be measured with it. The exception is package
// lease, which relies on fencing numbers after a suspension.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time since the boot of the machine.
type Instant time.Duration

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Clock returns the current instant.
type Clock interface{ Now() Instant }

// Boot is the Clock of the local machine. It reads CLOCK_BOOTTIME.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Manual is a Clock for tests that changes only by Advance.
type Manual struct {
	mu  sync.Mutex
	now Instant
}

// Now implements Clock.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
