package store

import "sync"

// A store may return from a copy of itself that lacks its last changes, and assigns their
// revisions again. It then has a new era. Revisions in this program contain the era in
// their upper bits, so that those of a later era are larger, and a condition or a watch of
// an earlier era can be recognized.
const (
	revisionBits = 40
	revisionMask = 1<<revisionBits - 1
	// MaxEra is the largest era. Ranks of facts shift revisions by 8 bits.
	MaxEra = 1<<16 - 1
)

// RevisionAt returns the revision that a store assigned in an era.
func RevisionAt(era uint64, assigned int64) int64 {
	return int64(era)<<revisionBits | min(max(assigned, 0), revisionMask)
}

// SplitRevision returns the era of a revision and the revision that the store assigned.
func SplitRevision(revision int64) (era uint64, assigned int64) {
	return uint64(revision) >> revisionBits, revision & revisionMask
}

// Eras holds the newest known era of the store, 0 if the store has named none. It is safe
// for concurrent use.
type Eras struct {
	// OnUnreadable is called with the first era that could not be read, empty if a response
	// named none although an earlier one did. It must be set before the first call.
	OnUnreadable func(text string)

	unreadable sync.Once

	mu      sync.Mutex
	current uint64
	changed chan struct{}
}

// Current returns the newest known era.
func (e *Eras) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Changed returns a channel that is closed when a newer era is known.
func (e *Eras) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// ReportUnreadable reports an era that could not be read. Only the first one is passed on.
func (e *Eras) ReportUnreadable(text string) {
	if e.OnUnreadable != nil {
		e.unreadable.Do(func() { e.OnUnreadable(text) })
	}
}

// Advance records an era. Earlier ones than the known one, and those above MaxEra, are
// ignored.
func (e *Eras) Advance(era uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.current || era > MaxEra {
		return
	}
	e.current = era
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}
