// Package lease gives one process at a time exclusive use of a store key. Each
// acquisition of the lease has a larger fencing number than all previous ones.
//
// The holder measures the term on its monotonic clock, from before the write that
// acquires or renews the lease, and stops work before the end of the term. A
// contender waits one whole term on its local clock after the last change of the
// record that it has read, so the clocks of two machines are never compared. The
// monotonic clock of Linux stops while a machine is suspended, so a holder that
// resumes may treat an expired lease as valid. The resource that a lease protects
// must therefore also check the fencing number.
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

// Times of the leases, from section 8 of the design.
const (
	// DefaultTerm is the time after which a lease without renewal may be acquired
	// by another process.
	DefaultTerm = 6 * time.Second
	// DefaultRenew is the interval between renewals.
	DefaultRenew = 2 * time.Second
	// DefaultStopEarly is the time before the end of the term at which a holder
	// stops work.
	DefaultStopEarly = time.Second

	// releaseTimeout bounds the write that releases a lease. An unavailable store
	// must not delay a shutdown.
	releaseTimeout = 500 * time.Millisecond
	// callTimeout bounds a store call of a contender. The store may take 5 s to
	// answer.
	callTimeout = 10 * time.Second
	// contendJitter is the maximum random delay that is added to the wait for the
	// end of a term, so that contenders do not write at the same time.
	contendJitter = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed store call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 3 * time.Second

	holderSeparator = "/"
)

var (
	eventAcquired = telemetry.NewEvent(1380, "lease_taken", zapcore.InfoLevel,
		"This daemon acquired a lease with a new fencing number.")
	eventEnded = telemetry.NewEvent(1381, "lease_ended", zapcore.WarnLevel,
		"A lease of this daemon ended: it was not renewed in time, or another daemon acquired it.")
	eventReleased = telemetry.NewEvent(1382, "lease_released", zapcore.InfoLevel,
		"This daemon released a lease.")
	eventStoreFailed = telemetry.NewEvent(1383, "lease_store_failed", zapcore.DebugLevel,
		"A store call for a lease failed. It is retried, except for the release of the lease.")
)

// Record is the stored value of a lease.
type Record struct {
	// Holder is empty after the lease was released.
	Holder  string `json:"holder"`
	Address string `json:"address"`
	Fencing uint64 `json:"fencing"`
	// Sequence numbers the writes of one session, so that a holder can tell which
	// of its writes took effect if the outcome of a write is unknown.
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

// RecordError is returned for a lease record that cannot be encoded or decoded.
type RecordError struct{ Cause error }

func (e *RecordError) Error() string { return fmt.Sprintf("lease: invalid record: %v", e.Cause) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Options configure a Lease.
type Options struct {
	Store store.Store
	Key   string
	// Holder identifies this process and must differ between two processes of the
	// same daemon, since a record with this holder counts as written by this
	// process. HolderName returns such a name.
	Holder string
	// Address is the address on which this process listens, if any. A lease of a
	// previous process of the same daemon at the same address is acquired at once.
	Address string
	Logger  *zap.Logger
	// Rand is the source of the jitter. Only Run uses it.
	Rand *rand.Rand
	// Term, Renew and StopEarly default to the constants of this package.
	Term, Renew, StopEarly time.Duration
	// Observe, if set, is called by Run with each record that it reads.
	Observe func(Record)
	// Submit starts the function that is passed to Run. If it is nil, the function
	// runs in a new goroutine.
	Submit func(func()) error
}

// Lease contends for the lease of one store key. Calls of Run must not overlap.
type Lease struct {
	options Options
}

// New returns a Lease.
func New(options Options) *Lease {
	if options.Term == 0 {
		options.Term = DefaultTerm
	}
	if options.Renew == 0 {
		options.Renew = DefaultRenew
	}
	if options.StopEarly == 0 {
		options.StopEarly = DefaultStopEarly
	}
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Submit == nil {
		options.Submit = func(f func()) error { go f(); return nil }
	}
	return &Lease{options: options}
}

// Run contends for the lease until ctx ends. Whenever it has acquired the lease it
// calls work with the fencing number and a context that ends with the lease. Err of
// that context reads the clock, so work that resumes after a pause detects the end
// before any timer has fired. After losing the lease, Run contends again. When work
// returns by itself, Run releases the lease and returns. If work cannot be started,
// Run releases the lease and contends again after the interval of renewals.
func (l *Lease) Run(ctx context.Context, work func(ctx context.Context, fencing uint64)) error {
	for {
		s, err := l.acquire(ctx)
		if err != nil {
			return err
		}
		eventAcquired.Log(l.options.Logger, zap.String("key", l.options.Key), zap.Uint64("fencing", s.record.Fencing))
		finished, reason := l.runWork(ctx, s, work)
		if finished || ctx.Err() != nil {
			l.release(s)
			return ctx.Err()
		}
		eventEnded.Log(l.options.Logger, zap.String("key", l.options.Key), zap.Uint64("fencing", s.record.Fencing),
			zap.String("reason", reason))
		if s.unused {
			l.release(s)
			l.sleep(ctx, l.options.Renew)
		}
	}
}

// session is the state of the lease from one acquisition to its end.
type session struct {
	record       Record
	revision     int64
	lastSequence uint64 // sequence number of the last attempted write
	until        atomic.Pointer[time.Time]
	unused       bool // work could not be started
}

func (s *session) extend(until time.Time) { s.until.Store(&until) }

// sessionContext is done when the lease ends. Its Err also reads the clock.
type sessionContext struct {
	context.Context
	session *session
}

// Err implements context.Context.
func (c sessionContext) Err() error {
	if err := c.Context.Err(); err != nil {
		return err
	}
	if !time.Now().Before(*c.session.until.Load()) {
		return context.DeadlineExceeded
	}
	return nil
}

// acquire waits until the lease is available, and acquires it.
func (l *Lease) acquire(ctx context.Context) (*session, error) {
	var lastRevision int64 // last revision read
	var lastChange time.Time
	backoff := minBackoff
	for {
		record, revision, err := l.read(ctx)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err != nil {
			backoff = l.backOff(ctx, backoff)
			continue
		}
		now := time.Now()
		if revision != lastRevision || lastChange.IsZero() {
			lastRevision, lastChange = revision, now
		}
		term := max(l.options.Term, time.Duration(record.TermMS)*time.Millisecond)
		available := record.Holder == "" || record.Holder == l.options.Holder || l.heldByPreviousIncarnation(record) || now.Sub(lastChange) >= term
		if !available {
			backoff = minBackoff
			l.sleep(ctx, lastChange.Add(term).Sub(now)+l.jitter(contendJitter))
			continue
		}
		s, err := l.tryAcquire(ctx, record, revision)
		if err == nil {
			return s, nil
		}
		if !store.IsConflict(err) {
			// If a write with an unknown outcome took effect, the next read returns
			// a record with this holder.
			backoff = l.backOff(ctx, backoff)
		}
	}
}

// heldByPreviousIncarnation reports whether a previous process of this daemon holds
// the lease. That process has ended, because this one listens on its address, so
// there is no need to wait for the end of the term.
func (l *Lease) heldByPreviousIncarnation(r Record) bool {
	return l.options.Address != "" && r.Address == l.options.Address && HolderDaemon(r.Holder) != "" && HolderDaemon(r.Holder) == HolderDaemon(l.options.Holder)
}

// HolderName returns the holder name of one process of a daemon.
func HolderName(daemon string, incarnation uint64) string {
	return daemon + holderSeparator + strconv.FormatUint(incarnation, 10)
}

// HolderDaemon returns the daemon of a holder name that HolderName returned, or an empty
// string for any other name.
func HolderDaemon(holder string) string {
	daemon, _, ok := strings.Cut(holder, holderSeparator)
	if !ok {
		return ""
	}
	return daemon
}

func (l *Lease) read(ctx context.Context) (Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := l.options.Store.Get(ctx, l.options.Key)
	if store.IsNotFound(err) {
		return Record{}, 0, nil
	}
	if err != nil {
		eventStoreFailed.Log(l.options.Logger, zap.String("key", l.options.Key), zap.Error(err))
		return Record{}, 0, err
	}
	record, err := Decode(object.Value)
	if err != nil {
		return Record{}, 0, err
	}
	if l.options.Observe != nil {
		l.options.Observe(record)
	}
	return record, object.Revision, nil
}

func (l *Lease) tryAcquire(ctx context.Context, previous Record, revision int64) (*session, error) {
	start := time.Now()
	next := Record{
		Holder: l.options.Holder, Address: l.options.Address, Fencing: previous.Fencing + 1, Sequence: 1,
		TermMS: l.options.Term.Milliseconds(),
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := l.write(callCtx, next, revision)
	if err != nil {
		return nil, err
	}
	s := &session{record: next, revision: object.Revision, lastSequence: next.Sequence}
	s.extend(start.Add(l.options.Term - l.options.StopEarly))
	return s, nil
}

func (l *Lease) write(ctx context.Context, r Record, revision int64) (store.Object, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return store.Object{}, &RecordError{Cause: err}
	}
	var object store.Object
	if revision == 0 {
		object, err = l.options.Store.Create(ctx, l.options.Key, value)
	} else {
		object, err = l.options.Store.Update(ctx, l.options.Key, value, revision)
	}
	if err != nil {
		eventStoreFailed.Log(l.options.Logger, zap.String("key", l.options.Key), zap.Error(err))
	}
	return object, err
}

// release releases the lease if this process still holds it. If that fails,
// contenders wait for the end of the term.
func (l *Lease) release(s *session) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	record := Record{Fencing: s.record.Fencing, Sequence: s.lastSequence + 1, TermMS: s.record.TermMS}
	if _, err := l.write(ctx, record, s.revision); err == nil {
		eventReleased.Log(l.options.Logger, zap.String("key", l.options.Key), zap.Uint64("fencing", record.Fencing))
	}
}

// backOff sleeps for a random time between half of backoff and all of it, and
// returns the next backoff.
func (l *Lease) backOff(ctx context.Context, backoff time.Duration) time.Duration {
	l.sleep(ctx, backoff/2+l.jitter(backoff/2))
	return min(2*backoff, maxBackoff)
}

func (l *Lease) jitter(limit time.Duration) time.Duration {
	return time.Duration(l.options.Rand.Int64N(int64(limit) + 1))
}

func (l *Lease) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
