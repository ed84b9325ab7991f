package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

const testKey = "lease/test"

func newLease(s store.Store, holder string, seed uint64) *Lease {
	return New(Options{Store: s, Key: testKey, Holder: holder, Rand: rand.New(rand.NewPCG(seed, 1))})
}

// audit fails the test when two holders trust the lease at once, or when a
// fencing number is not larger than all before it.
type audit struct {
	t       *testing.T
	mu      sync.Mutex
	holder  string
	fencing uint64
	holds   int
}

func (a *audit) work(name string) func(context.Context, uint64) {
	return func(ctx context.Context, fencing uint64) {
		a.mu.Lock()
		if a.holder != "" {
			a.t.Errorf("%s starts with fencing number %d while %s still holds the lease", name, fencing, a.holder)
		}
		if fencing <= a.fencing {
			a.t.Errorf("%s has fencing number %d after %d", name, fencing, a.fencing)
		}
		a.holder, a.fencing = name, fencing
		a.holds++
		a.mu.Unlock()
		<-ctx.Done()
		a.mu.Lock()
		a.holder = ""
		a.mu.Unlock()
	}
}

func (a *audit) current() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder
}

func (a *audit) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holds
}

// slowStore is one contender's path to the store: it delays answers after the
// writes took effect, and it can be cut.
type slowStore struct {
	store.Store
	mu  sync.Mutex
	rng *rand.Rand
	cut bool
}

func (s *slowStore) step() (cut bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut, time.Duration(s.rng.IntN(5000)) * time.Millisecond
}

func (s *slowStore) flip() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = s.rng.IntN(3) == 0
}

func (s *slowStore) Update(ctx context.Context, key string, value []byte, revision int64) (store.Object, error) {
	cut, delay := s.step()
	if cut {
		return store.Object{}, &store.UnavailableError{Op: "update"}
	}
	defer time.Sleep(delay)
	return s.Store.Update(ctx, key, value, revision)
}

// TestOneHolderUnderFaults guards against two holders at once when the store
// loses answers, slows down or goes away while three processes contend.
func TestOneHolderUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= 24; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.New(seed)
				rng := rand.New(rand.NewPCG(seed, 2))
				a := &audit{t: t}
				ctx, cancel := context.WithCancel(t.Context())
				var paths []*slowStore
				for i := range 3 {
					path := &slowStore{Store: s, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
					paths = append(paths, path)
					name := fmt.Sprint("holder-", i)
					go func() { _ = newLease(path, name, seed+uint64(i)).Run(ctx, a.work(name)) }()
				}
				for range 300 {
					s.SetFaults(standin.Faults{
						Down:       rng.IntN(8) == 0,
						Latency:    time.Duration(rng.IntN(2000)) * time.Millisecond,
						LoseAnswer: rng.Float64() / 2,
					})
					for _, path := range paths {
						path.flip()
					}
					time.Sleep(time.Duration(rng.IntN(9)) * time.Second)
				}
				cancel()
				time.Sleep(10 * time.Second)
				assert.Assert(t, a.count() > 3, "the lease changed hands %d times", a.count())
			})
		})
	}
}

// hangingStore stands for a paused process: while paused is set, writes take
// effect only after the pause, whatever their context says.
type hangingStore struct {
	store.Store
	paused <-chan struct{}
}

func (h *hangingStore) Update(_ context.Context, key string, value []byte, revision int64) (store.Object, error) {
	<-h.paused
	return h.Store.Update(context.Background(), key, value, revision)
}

// TestPausedHolderWakes guards against a holder whose work goes on after its
// term, and whose delayed renewal overwrites the lease of its successor.
func TestPausedHolderWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(1)
		wake := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		ended := make(chan time.Duration, 10)
		go func() {
			_ = newLease(&hangingStore{Store: s, paused: wake}, "old", 1).Run(ctx, func(ctx context.Context, _ uint64) {
				<-ctx.Done()
				ended <- time.Since(start)
			})
		}()
		synctest.Wait()
		taken := make(chan uint64, 10)
		go func() {
			_ = newLease(s, "new", 2).Run(ctx, func(ctx context.Context, fencing uint64) {
				taken <- fencing
				<-ctx.Done()
			})
		}()
		assert.Equal(t, <-ended, DefaultTerm-DefaultStopEarly)
		assert.Equal(t, <-taken, uint64(2))
		assert.Assert(t, time.Since(start) >= DefaultTerm)
		close(wake)
		time.Sleep(30 * time.Second)
		object, err := s.Get(ctx, testKey)
		assert.NilError(t, err)
		record, err := Decode(object.Value)
		assert.NilError(t, err)
		assert.Equal(t, record.Holder, "new")
		assert.Equal(t, record.Fencing, uint64(2))
		cancel()
		time.Sleep(2 * releaseTimeout)
	})
}

// TestErrReadsClock guards against work that resumes after a pause and checks
// its context before the runtime has fired the timer that ends it.
func TestErrReadsClock(t *testing.T) {
	h := &hold{}
	h.extend(time.Now().Add(-time.Millisecond))
	ctx := heldContext{Context: context.Background(), hold: h}
	assert.ErrorIs(t, ctx.Err(), context.DeadlineExceeded)
	h.extend(time.Now().Add(time.Minute))
	assert.NilError(t, ctx.Err())
}

// TestLostAnswersKeepLease guards against a lease that is given up although
// each of its renewals took effect, and against a late write that counts as a
// newer renewal.
func TestLostAnswersKeepLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(3)
		a := &audit{t: t}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = newLease(s, "only", 1).Run(ctx, a.work("only")) }()
		synctest.Wait()
		s.SetFaults(standin.Faults{LoseAnswer: 1})
		time.Sleep(5 * time.Minute)
		assert.Equal(t, a.current(), "only")
		assert.Equal(t, a.count(), 1)
		cancel()
		time.Sleep(2 * releaseTimeout)
	})
}

// scriptedStore hands each renewal to a script, which may run it or not.
type scriptedStore struct {
	store.Store
	renewals int
	script   func(n int, run func() (store.Object, error)) (store.Object, error)
}

func (s *scriptedStore) Update(ctx context.Context, key string, value []byte, revision int64) (store.Object, error) {
	s.renewals++
	return s.script(s.renewals, func() (store.Object, error) { return s.Store.Update(ctx, key, value, revision) })
}

// TestTermCountsFromStartOfWrite guards against a term that begins when the
// answer arrives, and against an early renewal, found in the record by a later
// attempt, that is taken for the later one.
func TestTermCountsFromStartOfWrite(t *testing.T) {
	refused := &store.UnavailableError{Op: "update"}
	slowAnswer := func(n int, run func() (store.Object, error)) (store.Object, error) {
		if n > 1 {
			return store.Object{}, refused
		}
		object, err := run()
		time.Sleep(1500 * time.Millisecond)
		return object, err
	}
	start, passed := time.Time{}, false
	lateWrite := func(n int, run func() (store.Object, error)) (store.Object, error) {
		switch {
		case n == 1:
			_, _ = run()
		case !passed && time.Since(start) >= 3*time.Second:
			passed = true
			return run()
		}
		return store.Object{}, refused
	}
	cases := []struct {
		name   string
		script func(int, func() (store.Object, error)) (store.Object, error)
		want   time.Duration
	}{
		{"slow answer", slowAnswer, DefaultRenew + DefaultTerm - DefaultStopEarly},
		{"late write", lateWrite, DefaultTerm - DefaultStopEarly},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				start = time.Now()
				s := &scriptedStore{Store: standin.New(5), script: c.script}
				ended := make(chan time.Duration, 10)
				go func() {
					_ = newLease(s, "old", 1).Run(ctx, func(ctx context.Context, _ uint64) {
						<-ctx.Done()
						ended <- time.Since(start)
					})
				}()
				assert.Equal(t, <-ended, c.want)
				cancel()
				time.Sleep(2 * releaseTimeout)
			})
		})
	}
	assert.Assert(t, passed)
}

// TestReleaseAndRetake guards against a planned stop that makes its successor
// wait a term, and against a holder that cannot take its own record again
// after an outage of the store.
func TestReleaseAndRetake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(4)
		a := &audit{t: t}
		first, stopFirst := context.WithCancel(t.Context())
		go func() { _ = newLease(s, "first", 1).Run(first, a.work("first")) }()
		synctest.Wait()
		s.SetFaults(standin.Faults{Down: true})
		time.Sleep(time.Minute)
		assert.Equal(t, a.current(), "")
		s.SetFaults(standin.Faults{})
		time.Sleep(2 * maxBackoff)
		assert.Equal(t, a.current(), "first")
		stopFirst()
		synctest.Wait()
		second, stopSecond := context.WithCancel(t.Context())
		go func() { _ = newLease(s, "second", 2).Run(second, a.work("second")) }()
		synctest.Wait()
		assert.Equal(t, a.current(), "second")
		stopSecond()
		synctest.Wait()
	})
}

// TestEarlierProcess guards against a restarted daemon that waits a whole term
// for a lease that its own earlier process left behind, and against one that
// takes the lease of a process that may still run: another daemon's, or one of
// its name at another address.
func TestEarlierProcess(t *testing.T) {
	for _, c := range []struct {
		holder, address string
		atOnce          bool
	}{
		{HolderName("a", 2), "10.0.0.1:7000", true},
		{HolderName("a", 2), "10.0.0.2:7000", false},
		{HolderName("b", 1), "10.0.0.1:7000", false},
		{HolderName("a", 2), "", false},
	} {
		synctest.Test(t, func(t *testing.T) {
			backing := standin.New(1)
			earlier := New(Options{Store: backing, Key: testKey, Holder: HolderName("a", 1), Address: "10.0.0.1:7000"})
			_, err := earlier.take(t.Context(), Record{}, 0)
			assert.NilError(t, err)
			start := time.Now()
			later := New(Options{Store: backing, Key: testKey, Holder: c.holder, Address: c.address})
			h, err := later.acquire(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, h.record.Fencing, uint64(2))
			took := time.Since(start)
			assert.Equal(t, took == 0, c.atOnce, "%s at %q took %s", c.holder, c.address, took)
			assert.Assert(t, c.atOnce || took >= DefaultTerm)
		})
	}
}
