package lease

import (
	"context"
	"time"

	"nutmegstand.example/nutmegstand/pkg/store"
)

// runWork runs work and renews the lease until work returns or the lease ends. It
// reports whether work returned by itself or could not be started, and otherwise why
// the lease ended. It returns only after work has returned.
func (l *Lease) runWork(ctx context.Context, s *session, work func(context.Context, uint64)) (finished bool, reason string) {
	leaseCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	workCtx := sessionContext{Context: leaseCtx, session: s}
	if workCtx.Err() != nil {
		return false, "the store answered after the term"
	}
	// The timer is independent of the renewals, so work is stopped in time even if
	// a store call hangs.
	timer := time.AfterFunc(time.Until(*s.until.Load()), cancel)
	defer timer.Stop()
	done := make(chan struct{})
	fencing := s.record.Fencing
	run := func() { defer close(done); work(workCtx, fencing) }
	if err := l.options.Submit(run); err != nil {
		s.unused = true
		return false, "no task could be started: " + err.Error()
	}
	reason = l.renewLoop(workCtx, s, timer, done)
	finished = workCtx.Err() == nil
	cancel()
	<-done
	return finished && reason == "", reason
}

// renewLoop renews the lease until the context ends, work is done or another
// process has acquired the lease. It returns an empty reason if work is done.
func (l *Lease) renewLoop(ctx sessionContext, s *session, timer *time.Timer, done <-chan struct{}) string {
	next := time.Now().Add(l.options.Renew)
	backoff := minBackoff
	for {
		renewTimer := time.NewTimer(time.Until(next))
		select {
		case <-done:
			renewTimer.Stop()
			return ""
		case <-ctx.Done():
			renewTimer.Stop()
			return "not renewed in time"
		case <-renewTimer.C:
		}
		start := time.Now()
		ok, lost := l.tryRenew(ctx, s)
		switch {
		case lost:
			return "taken by another daemon"
		case ok:
			timer.Reset(time.Until(*s.until.Load()))
			next, backoff = start.Add(l.options.Renew), minBackoff
		default:
			next = time.Now().Add(backoff/2 + l.jitter(backoff/2))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// tryRenew makes one attempt to renew the lease. After a conflict or a write with
// an unknown outcome it reads the record, since an earlier write of this process
// may have taken effect. It reports lost if another session holds the lease.
func (l *Lease) tryRenew(ctx sessionContext, s *session) (ok, lost bool) {
	callCtx, cancel := context.WithDeadline(ctx, *s.until.Load())
	defer cancel()
	start := time.Now()
	// Each attempt has its own sequence number: an earlier write that took effect
	// late must not count as this write, whose term starts later.
	s.lastSequence++
	record := s.record
	record.Sequence = s.lastSequence
	object, err := l.write(callCtx, record, s.revision)
	if err == nil {
		// A lease that ended during the write is not extended, because the context
		// of work has already ended.
		if ctx.Err() != nil {
			return false, false
		}
		s.record, s.revision = record, object.Revision
		s.extend(start.Add(l.options.Term - l.options.StopEarly))
		return true, false
	}
	if !store.IsConflict(err) && !store.IsOutcomeUnknown(err) {
		return false, false
	}
	stored, revision, err := l.read(callCtx)
	if err != nil || ctx.Err() != nil {
		return false, false
	}
	if stored.Holder != l.options.Holder || stored.Fencing != s.record.Fencing {
		return false, true
	}
	applied := stored.Sequence == record.Sequence
	s.record, s.revision = stored, revision
	if applied {
		s.extend(start.Add(l.options.Term - l.options.StopEarly))
	}
	return applied, false
}
