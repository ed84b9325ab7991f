package move

import "time"

const (
	// richWindow is the number of attempts from which the observed share of a
	// window replaces the granted one.
	richWindow = 40
	// shareMemory is how long a larger share that was granted before is still
	// assumed for callers, since the bound must not be too small.
	shareMemory = 15 * time.Second
	// minBaseline is the number of answers of the old version from which its
	// latency distribution is used.
	minBaseline = 30
	// maxBaseline halves the counts of the distribution when it is reached, so
	// that it follows the time of day.
	maxBaseline = 4000
	// rebaseAfter is the time after which a sum that went back is taken as a new
	// start, for example after both distributors of a domain were lost.
	rebaseAfter = 10 * time.Second
	// crashGap separates two crashes. The attempts in flight at one crash are
	// reported by several callers within one report period and one relay.
	crashGap = 2 * time.Second
)

type stratumKey struct{ route, domain string }

// stratum follows the sums of one route and caller domain.
type stratum struct {
	last     Sum
	known    bool
	backward time.Time // when the sums first went back, zero if they did not
}

// increment returns the new attempts since the last call.
func (s *stratum) increment(now time.Time, sum *Sum) (oldCounts, newCounts Counts, ok bool) {
	if !s.known {
		s.last, s.known = *sum, true
		return oldCounts, newCounts, false
	}
	o, okOld := sum.Old.sub(&s.last.Old)
	n, okNew := sum.New.sub(&s.last.New)
	if !okOld || !okNew {
		if s.backward.IsZero() {
			s.backward = now
		} else if now.Sub(s.backward) > rebaseAfter {
			s.last, s.backward = *sum, time.Time{}
		}
		return oldCounts, newCounts, false
	}
	s.backward = time.Time{}
	s.last = *sum
	return o, n, o.Attempts+n.Attempts > 0
}

// shareHistory remembers the granted shares of the recent past.
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

// upper returns the largest share of the recent past.
func (h *shareHistory) upper(now time.Time) float64 {
	var upper float64
	kept := h.entries[:0]
	for _, e := range h.entries {
		if !e.until.IsZero() && now.Sub(e.until) > shareMemory {
			continue
		}
		kept = append(kept, e)
		upper = max(upper, e.share)
	}
	h.entries = kept
	return upper
}

// baseline is the old version's own latency distribution on one route.
type baseline struct {
	old histogram
	n   uint64
}

func (b *baseline) add(h *histogram) {
	for i, c := range h {
		b.old[i] += c
		b.n += c
	}
	if b.n > maxBaseline {
		b.n = 0
		for i := range b.old {
			b.old[i] /= 2
			b.n += b.old[i]
		}
	}
}

func (b *baseline) usable() bool { return b.n >= minBaseline }
