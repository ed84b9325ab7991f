// Package lease holds one store key for one process at a time. Each new hold
// has a larger fencing number than all before it.
//
// The term is measured on the holder's monotonic clock, starting before the
// write that earned it, and the holder stops early. A contender waits one
// whole term on its own clock after it last saw the record change, so the
// clocks of two machines are never compared. The monotonic clock of Linux
// stands still while a machine is suspended; a holder that resumes after that
// may trust its lease too long, which is why whatever a lease protects must
// also check the fencing number.
package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

// Times of design section 8.
const (
	// DefaultTerm is the time after which a lease without renewal may be taken.
	DefaultTerm = 6 * time.Second
	// DefaultRenew is the interval of renewals.
	DefaultRenew = 2 * time.Second
	// DefaultStopEarly is how long before the end of the term a holder stops.
	DefaultStopEarly = time.Second

	// releaseTimeout bounds the write that gives a lease back. A store that is
	// down must not delay a shutdown.
	releaseTimeout = 500 * time.Millisecond
	// callTimeout bounds a call of a contender; a store may take 5 s to answer.
	callTimeout = 10 * time.Second
	// contendJitter spreads contenders that wait for the end of one term.
	contendJitter = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second

	holderSeparator = "/"
)

var (
	eventTaken = telemetry.NewEvent(1380, "lease_taken", zapcore.InfoLevel,
		"This daemon holds a lease with a new fencing number.")
	eventEnded = telemetry.NewEvent(1381, "lease_ended", zapcore.WarnLevel,
		"A lease can no longer be trusted: it was not renewed in time, or another daemon took it.")
	eventReleased = telemetry.NewEvent(1382, "lease_released", zapcore.InfoLevel,
		"This daemon gave a lease back.")
	eventStoreFailed = telemetry.NewEvent(1383, "lease_store_failed", zapcore.DebugLevel,
		"A store call for a lease failed and is tried again.")
)

// Record is the stored value of a lease.
type Record struct {
	// Holder is empty after the lease was given back.
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Fencing uint64 `json:"fencing"`
	// Sequence counts the renewals of one hold, so that a holder recognizes
	// which of its writes took effect when an answer was lost.
	Sequence uint64 `json:"sequence"`
	TermMS   int64  `json:"termMs"`
}

// Decode decodes a stored lease record.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, &RecordError{Cause: err}
	}
	return r, nil
}

// RecordError reports a lease record that cannot be decoded.
type RecordError struct{ Cause error }

func (e *RecordError) Error() string { return fmt.Sprintf("lease: record: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Options configures a Lease.
type Options struct {
	Store store.Store
	Key   string
	// Holder must differ between two runs of the same daemon; a record that
	// names it is taken for this process's own. HolderName makes one.
	Holder string
	// Address is where this process listens, if it does. A lease of an earlier
	// process of the same daemon at the same address is taken at once.
	Address string
	Logger  *zap.Logger
	// Rand spreads the calls of contenders. It is used by Run only.
	Rand *rand.Rand
	// Term, Renew and StopEarly default to the constants of this package.
	Term, Renew, StopEarly time.Duration
	// Observe, if set, is called by Run with each record that it reads.
	Observe func(Record)
	// Submit runs the function given to Run; nil starts a goroutine.
	Submit func(func()) error
}

// Lease contends for one store key. Run may be called once at a time.
type Lease struct {
	o Options
}

// New returns a Lease.
func New(o Options) *Lease {
	if o.Term == 0 {
		o.Term = DefaultTerm
	}
	if o.Renew == 0 {
		o.Renew = DefaultRenew
	}
	if o.StopEarly == 0 {
		o.StopEarly = DefaultStopEarly
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Submit == nil {
		o.Submit = func(f func()) error { go f(); return nil }
	}
	return &Lease{o: o}
}

// Run contends for the lease until ctx ends. Whenever it holds the lease it
// calls work with a context that ends when the lease can no longer be trusted;
// Err of that context reads the clock, so work that resumes after a pause sees
// the end before any timer has run. Run contends again after a lost lease, and
// gives the lease back and returns when work returns by itself.
func (l *Lease) Run(ctx context.Context, work func(ctx context.Context, fencing uint64)) error {
	for {
		h, err := l.acquire(ctx)
		if err != nil {
			return err
		}
		eventTaken.Log(l.o.Logger, zap.String("key", l.o.Key), zap.Uint64("fencing", h.record.Fencing))
		finished, reason := l.hold(ctx, h, work)
		if finished || ctx.Err() != nil {
			l.release(h)
			return ctx.Err()
		}
		eventEnded.Log(l.o.Logger, zap.String("key", l.o.Key), zap.Uint64("fencing", h.record.Fencing),
			zap.String("reason", reason))
	}
}

// hold is the state of one hold.
type hold struct {
	record   Record
	revision int64
	attempts uint64 // sequence number of the last renewal tried
	until    atomic.Pointer[time.Time]
}

func (h *hold) extend(until time.Time) { h.until.Store(&until) }

// heldContext is done when the lease ends; Err also reads the clock.
type heldContext struct {
	context.Context
	hold *hold
}

// Err implements context.Context.
func (c heldContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if !time.Now().Before(*c.hold.until.Load()) {
		return context.DeadlineExceeded
	}
	return nil
}

// acquire waits until the lease can be taken, and takes it.
func (l *Lease) acquire(ctx context.Context) (*hold, error) {
	var seen int64 // revision seen last
	var seenAt time.Time
	backoff := minBackoff
	for {
		record, revision, err := l.read(ctx)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			backoff = l.wait(ctx, backoff)
			continue
		}
		now := time.Now()
		if revision != seen || seenAt.IsZero() {
			seen, seenAt = revision, now
		}
		term := max(l.o.Term, time.Duration(record.TermMS)*time.Millisecond)
		free := record.Holder == "" || record.Holder == l.o.Holder || l.ownEarlier(record) || now.Sub(seenAt) >= term
		if !free {
			backoff = minBackoff
			l.sleep(ctx, seenAt.Add(term).Sub(now)+l.jitter(contendJitter))
			continue
		}
		h, err := l.take(ctx, record, revision)
		if err == nil {
			return h, nil
		}
		if !store.IsConflict(err) {
			// A write whose answer was lost is found by the next read, which
			// then names this holder.
			backoff = l.wait(ctx, backoff)
		}
	}
}

// ownEarlier reports whether an earlier process of this daemon holds the lease.
// That process has ended, because this one listens on its address, so there is
// no term to wait for.
func (l *Lease) ownEarlier(r Record) bool {
	return l.o.Address != "" && r.Address == l.o.Address && Owner(r.Holder) != "" && Owner(r.Holder) == Owner(l.o.Holder)
}

// HolderName returns the holder that stands for one process of a daemon.
func HolderName(daemon string, incarnation uint64) string {
	return daemon + holderSeparator + strconv.FormatUint(incarnation, 10)
}

// Owner returns the daemon of a holder made by HolderName, empty for others.
func Owner(holder string) string {
	daemon, _, ok := strings.Cut(holder, holderSeparator)
	if !ok {
		return ""
	}
	return daemon
}

func (l *Lease) read(ctx context.Context) (Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := l.o.Store.Get(ctx, l.o.Key)
	if store.IsNotFound(err) {
		return Record{}, 0, nil
	}
	if err != nil {
		eventStoreFailed.Log(l.o.Logger, zap.String("key", l.o.Key), zap.Error(err))
		return Record{}, 0, err
	}
	record, err := Decode(object.Value)
	if err != nil {
		return Record{}, 0, err
	}
	if l.o.Observe != nil {
		l.o.Observe(record)
	}
	return record, object.Revision, nil
}

func (l *Lease) take(ctx context.Context, old Record, revision int64) (*hold, error) {
	start := time.Now()
	next := Record{
		Holder: l.o.Holder, Address: l.o.Address, Fencing: old.Fencing + 1, Sequence: 1,
		TermMS: l.o.Term.Milliseconds(),
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := l.write(callCtx, next, revision)
	if err != nil {
		return nil, err
	}
	h := &hold{record: next, revision: object.Revision, attempts: next.Sequence}
	h.extend(start.Add(l.o.Term - l.o.StopEarly))
	return h, nil
}

func (l *Lease) write(ctx context.Context, r Record, revision int64) (store.Object, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return store.Object{}, &RecordError{Cause: err}
	}
	var object store.Object
	if revision == 0 {
		object, err = l.o.Store.Create(ctx, l.o.Key, value)
	} else {
		object, err = l.o.Store.Update(ctx, l.o.Key, value, revision)
	}
	if err != nil {
		eventStoreFailed.Log(l.o.Logger, zap.String("key", l.o.Key), zap.Error(err))
	}
	return object, err
}

// release gives the lease back, if this process still holds it. Its failure
// only means that contenders wait a term.
func (l *Lease) release(h *hold) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	record := Record{Fencing: h.record.Fencing, Sequence: h.attempts + 1, TermMS: h.record.TermMS}
	if _, err := l.write(ctx, record, h.revision); err == nil {
		eventReleased.Log(l.o.Logger, zap.String("key", l.o.Key), zap.Uint64("fencing", record.Fencing))
	}
}

// wait sleeps for a random part of backoff and returns the next backoff.
func (l *Lease) wait(ctx context.Context, backoff time.Duration) time.Duration {
	l.sleep(ctx, backoff/2+l.jitter(backoff/2))
	return min(2*backoff, maxBackoff)
}

func (l *Lease) jitter(limit time.Duration) time.Duration {
	return time.Duration(l.o.Rand.Int64N(int64(limit) + 1))
}

func (l *Lease) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
