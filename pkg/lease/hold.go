package lease

import (
	"context"
	"time"

	"nutmegstand.example/nutmegstand/pkg/store"
)

// hold runs work and renews the lease until it ends. It reports whether work
// returned by itself, and otherwise why the lease ended. It returns only after
// work has returned.
func (l *Lease) hold(ctx context.Context, h *hold, work func(context.Context, uint64)) (finished bool, reason string) {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	held := heldContext{Context: inner, hold: h}
	if held.Err() != nil {
		return false, "the store answered after the term"
	}
	// The timer is independent of the renewals, so a store call that hangs
	// does not keep the work running.
	timer := time.AfterFunc(time.Until(*h.until.Load()), cancel)
	defer timer.Stop()
	done := make(chan struct{})
	fencing := h.record.Fencing
	run := func() { defer close(done); work(held, fencing) }
	if err := l.o.Submit(run); err != nil {
		return true, "no task could be started"
	}
	reason = l.renewals(held, h, timer, done)
	finished = held.Err() == nil
	cancel()
	<-done
	return finished && reason == "", reason
}

// renewals renews the lease until the context ends, work is done, or another
// process has taken the lease. It returns an empty reason when work is done.
func (l *Lease) renewals(ctx heldContext, h *hold, timer *time.Timer, done <-chan struct{}) string {
	next := time.Now().Add(l.o.Renew)
	backoff := minBackoff
	for {
		pause := time.NewTimer(time.Until(next))
		select {
		case <-done:
			pause.Stop()
			return ""
		case <-ctx.Done():
			pause.Stop()
			return "not renewed in time"
		case <-pause.C:
		}
		start := time.Now()
		ok, lost := l.renew(ctx, h)
		switch {
		case lost:
			return "taken by another daemon"
		case ok:
			timer.Reset(time.Until(*h.until.Load()))
			next, backoff = start.Add(l.o.Renew), minBackoff
		default:
			next = time.Now().Add(backoff/2 + l.jitter(backoff/2))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// renew makes one attempt. A conflict or a lost answer is resolved by reading
// the record, since an earlier write of this process may have taken effect.
func (l *Lease) renew(ctx heldContext, h *hold) (ok, lost bool) {
	callCtx, cancel := context.WithDeadline(ctx, *h.until.Load())
	defer cancel()
	start := time.Now()
	// Each attempt has its own number: an earlier write that took effect late
	// must not count as this one, which started later.
	h.attempts++
	record := h.record
	record.Sequence = h.attempts
	object, err := l.write(callCtx, record, h.revision)
	if err == nil {
		// A lease that ended during the write stays ended; work was told so.
		if ctx.Err() != nil {
			return false, false
		}
		h.record, h.revision = record, object.Revision
		h.extend(start.Add(l.o.Term - l.o.StopEarly))
		return true, false
	}
	if !store.IsConflict(err) && !store.IsOutcomeUnknown(err) {
		return false, false
	}
	stored, revision, err := l.read(callCtx)
	if err != nil || ctx.Err() != nil {
		return false, false
	}
	if stored.Holder != l.o.Holder || stored.Fencing != h.record.Fencing {
		return false, true
	}
	took := stored.Sequence == record.Sequence
	h.record, h.revision = stored, revision
	if took {
		h.extend(start.Add(l.o.Term - l.o.StopEarly))
	}
	return took, false
}
