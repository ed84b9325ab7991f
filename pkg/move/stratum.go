package move

import "time"

const (
	// minWindowAttempts is the minimum number of attempts in a window for a test
	// with the observed share of the new version. Smaller windows are tested with
	// the granted share.
	minWindowAttempts = 40
	// shareRetention is how long a larger previous share still counts as granted.
	// Callers may not have received the smaller one yet, and the bound on the
	// share must not be too small.
	shareRetention = 15 * time.Second
	// minBaselineResponses is the minimum number of responses of the old version
	// for its latency distribution to be used.
	minBaselineResponses = 30
	// maxBaselineResponses is the number of responses above which the counts of
	// the distribution are halved, so that it follows the time of day.
	maxBaselineResponses = 4000
	// resetAcceptDelay is how long a sum must stay below its last value before it
	// is accepted as a counter reset, for example after both distributors of a
	// domain were lost.
	resetAcceptDelay = 10 * time.Second
	// crashDedupInterval is the minimum time between two crashes. The attempts in
	// flight at one crash are reported by several callers, within the time of one
	// report period and one relay.
	crashDedupInterval = 2 * time.Second
)

type stratumKey struct{ route, domain string }

// stratum tracks the sums of one route and caller domain.
type stratum struct {
	last           Sum
	initialized    bool
	decreasedSince time.Time // when a counter was first lower than before, zero if none is
}

// increment returns the counts since the last call. It returns false on the
// first call (unless initialized was set before), without new attempts, and while
// a counter is lower than before.
func (s *stratum) increment(now time.Time, sum *Sum) (oldCounts, newCounts Counts, ok bool) {
	if !s.initialized {
		s.last, s.initialized = *sum, true
		return oldCounts, newCounts, false
	}
	oldIncrement, okOld := sum.Old.sub(&s.last.Old)
	newIncrement, okNew := sum.New.sub(&s.last.New)
	if !okOld || !okNew {
		if s.decreasedSince.IsZero() {
			s.decreasedSince = now
		} else if now.Sub(s.decreasedSince) > resetAcceptDelay {
			s.last, s.decreasedSince = *sum, time.Time{}
		}
		return oldCounts, newCounts, false
	}
	s.decreasedSince = time.Time{}
	s.last = *sum
	return oldIncrement, newIncrement, oldIncrement.Attempts+newIncrement.Attempts > 0
}

// shareHistory stores the shares granted within shareRetention.
type shareHistory struct {
	entries []shareEntry
}

type shareEntry struct {
	until time.Time // zero for the current share
	share float64
}

func (h *shareHistory) set(now time.Time, share float64) {
	n := len(h.entries)
	if n > 0 && h.entries[n-1].share == share {
		return
	}
	if n > 0 {
		h.entries[n-1].until = now
	}
	h.entries = append(h.entries, shareEntry{share: share})
}

// maxRecent returns the largest share granted within shareRetention.
func (h *shareHistory) maxRecent(now time.Time) float64 {
	var largest float64
	kept := h.entries[:0]
	for _, e := range h.entries {
		if !e.until.IsZero() && now.Sub(e.until) > shareRetention {
			continue
		}
		kept = append(kept, e)
		largest = max(largest, e.share)
	}
	h.entries = kept
	return largest
}

// baseline is the latency distribution of the old version on one route.
type baseline struct {
	responses histogram
	total     uint64
}

func (b *baseline) add(h *histogram) {
	for i, c := range h {
		b.responses[i] += c
		b.total += c
	}
	if b.total > maxBaselineResponses {
		b.total = 0
		for i := range b.responses {
			b.responses[i] /= 2
			b.total += b.responses[i]
		}
	}
}

func (b *baseline) sufficient() bool { return b.total >= minBaselineResponses }
