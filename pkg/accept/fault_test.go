package accept

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

// hookStore serializes the store calls and runs hooks before and after each, so that
// a test can inject a fault or a concurrent apply between any two calls. If before
// returns an error, the call is not made; an error from after replaces the result.
type hookStore struct {
	store.Store
	mu            sync.Mutex
	before, after func(op, key string) error
}

func (h *hookStore) do(op, key string, call func() error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.before != nil {
		if err := h.before(op, key); err != nil {
			return err
		}
	}
	if err := call(); err != nil {
		return err
	}
	if h.after != nil {
		return h.after(op, key)
	}
	return nil
}

func (h *hookStore) Create(ctx context.Context, key string, value []byte) (object store.Object, err error) {
	err = h.do("create", key, func() error { object, err = h.Store.Create(ctx, key, value); return err })
	return object, err
}

func (h *hookStore) Update(ctx context.Context, key string, value []byte, ifRevision int64) (object store.Object, err error) {
	err = h.do("update", key, func() error { object, err = h.Store.Update(ctx, key, value, ifRevision); return err })
	return object, err
}

func (h *hookStore) Get(ctx context.Context, key string) (object store.Object, err error) {
	err = h.do("get", key, func() error { object, err = h.Store.Get(ctx, key); return err })
	return object, err
}

func outcomeUnknown(op, key string) error { return &store.OutcomeUnknownError{Op: op, Key: key} }

func isWrite(op string) bool { return op == "create" || op == "update" }

// TestFaultAtEachCall guards against a version that is applied in part or twice when
// any one store call is refused, its response is lost, or the store goes down before
// or after it, and against a wrong outcome reported to the operator.
func TestFaultAtEachCall(t *testing.T) {
	for step := range 12 {
		for _, fault := range []string{"lost", "refused", "down before", "down after"} {
			t.Run(fmt.Sprintf("%s %d", fault, step), func(t *testing.T) { testFault(t, fault, step) })
		}
	}
}

func testFault(t *testing.T, fault string, step int) {
	ctx := t.Context()
	backing := standin.New(1)
	_, err := newAcceptor(backing).Accept(ctx, request("base", "a=1", "b=1"))
	assert.NilError(t, err)
	calls, injected := 0, false
	hooks := &hookStore{Store: backing}
	hooks.before = func(op, key string) error {
		calls++
		if calls-1 != step {
			return nil
		}
		injected = true
		switch fault {
		case "refused":
			return &store.UnavailableError{Op: op}
		case "down before":
			backing.SetFaults(standin.Faults{Down: true})
		}
		return nil
	}
	hooks.after = func(op, key string) error {
		if calls-1 != step {
			return nil
		}
		if fault == "down after" {
			backing.SetFaults(standin.Faults{Down: true})
		}
		if fault != "lost" && fault != "down after" || !isWrite(op) {
			return nil
		}
		return outcomeUnknown(op, key)
	}
	r := request("change", "a=2", "b=2")
	result, err := newAcceptor(hooks).Accept(ctx, r)
	backing.SetFaults(standin.Faults{})
	got := slots(t, backing)
	applied := got["a"] == 2
	assert.Equal(t, got["a"], got["b"], "the change was applied in part")
	var unknown *OutcomeUnknownError
	var failed *NotAppliedError
	switch {
	case err == nil:
		assert.Assert(t, applied)
		assert.Equal(t, result.Version, uint64(2))
	case errors.As(err, &failed):
		assert.Assert(t, !applied, "applied, but reported as not applied: %v", err)
	default:
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
	}
	if fault == "lost" || !injected {
		assert.NilError(t, err)
	}
	repeat, err := newAcceptor(backing).Accept(ctx, r)
	assert.NilError(t, err)
	assert.Equal(t, repeat.Version, uint64(2))
	assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 2, "b": 2})
}

// TestReadBackAfterOutage guards against an unknown outcome when the store is
// reachable again soon after the response to the head update was lost.
func TestReadBackAfterOutage(t *testing.T) {
	backing := standin.New(1)
	failures := 3
	hooks := &hookStore{Store: backing}
	hooks.before = func(op, key string) error {
		if writes := backing.Counts().Writes; op == "get" && writes == 4 && failures > 0 {
			failures--
			return &store.UnavailableError{Op: op}
		}
		return nil
	}
	hooks.after = func(op, key string) error {
		if isWrite(op) && key == config.HeadKey {
			return outcomeUnknown(op, key)
		}
		return nil
	}
	result, err := newAcceptor(hooks).Accept(t.Context(), request("op1", "a=1"))
	assert.NilError(t, err)
	assert.Equal(t, result.Version, uint64(1))
	assert.Equal(t, failures, 0)
}

// TestConcurrentApplyBeforeEachWrite guards against a lost or overwritten change when
// another operator's apply commits before any of the writes of an apply.
func TestConcurrentApplyBeforeEachWrite(t *testing.T) {
	for _, concurrentService := range []string{"a", "b"} {
		for step := range 3 { // bundle, manifest, head
			t.Run(fmt.Sprintf("%s %d", concurrentService, step), func(t *testing.T) {
				testConcurrentApply(t, concurrentService, step)
			})
		}
	}
}

func testConcurrentApply(t *testing.T, concurrentService string, step int) {
	ctx := t.Context()
	backing := standin.New(1)
	concurrent := newAcceptor(backing)
	_, err := concurrent.Accept(ctx, request("base", "a=1", "b=1"))
	assert.NilError(t, err)
	writes, ran := 0, false
	hooks := &hookStore{Store: backing}
	hooks.before = func(op, _ string) error {
		if isWrite(op) {
			writes++
		}
		if writes > step && !ran {
			ran = true
			_, err := concurrent.Accept(ctx, request("concurrent", concurrentService+"=7"))
			return err
		}
		return nil
	}
	r := request("change", "a=2")
	r.BaseVersion = 1
	result, err := newAcceptor(hooks).Accept(ctx, r)
	assert.Assert(t, ran)
	if concurrentService == "b" {
		assert.NilError(t, err)
		assert.Equal(t, result.Version, uint64(3))
		assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 2, "b": 7})
		return
	}
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Version, uint64(2))
	assert.DeepEqual(t, conflict.Touched, []string{"a"})
	assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 7, "b": 1})
}

// TestLostRequestAndConcurrentApplies guards against a repeated head write that
// overwrites concurrent changes after the first write was lost, and against a
// definite result when the recorded operations no longer determine the outcome.
func TestLostRequestAndConcurrentApplies(t *testing.T) {
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	run := func(concurrentService string, applies int) (Result, map[string]int, error) {
		ctx := t.Context()
		backing := standin.New(1)
		concurrent := newAcceptor(backing)
		_, err := concurrent.Accept(ctx, request("base", "a=1", "b=1"))
		assert.NilError(t, err)
		hooks := &hookStore{Store: backing}
		ran := false
		hooks.before = func(op, key string) error {
			if op != "update" || ran {
				return nil
			}
			ran = true
			for i := range applies {
				_, err := concurrent.Accept(ctx, request(fmt.Sprint("concurrent", i), fmt.Sprintf("%s=%d", concurrentService, 7+i)))
				assert.NilError(t, err)
			}
			return outcomeUnknown(op, key)
		}
		result, err := newAcceptor(hooks).Accept(ctx, request("change", "a=2"))
		return result, slots(t, backing), err
	}
	result, got, err := run("b", 1)
	assert.NilError(t, err)
	assert.Equal(t, result.Version, uint64(3))
	assert.DeepEqual(t, got, map[string]int{"a": 2, "b": 7})
	_, got, err = run("a", 1)
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.DeepEqual(t, got, map[string]int{"a": 7, "b": 1})
	_, got, err = run("b", 70)
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.DeepEqual(t, got, map[string]int{"a": 1, "b": 76})
}

// TestSameOperationAtTwoDaemons guards against reporting a version that does not
// exist, when an operator repeats an operation at another daemon while the first
// daemon still processes it and the response to its head update is lost.
func TestSameOperationAtTwoDaemons(t *testing.T) {
	ctx := t.Context()
	backing := standin.New(1)
	second := newAcceptor(backing)
	_, err := second.Accept(ctx, request("base", "a=1", "b=1"))
	assert.NilError(t, err)
	ran := false
	hooks := &hookStore{Store: backing}
	hooks.before = func(op, key string) error {
		if op != "update" || ran {
			return nil
		}
		ran = true
		_, err := second.Accept(ctx, request("other", "b=5"))
		assert.NilError(t, err)
		_, err = second.Accept(ctx, request("change", "a=2"))
		assert.NilError(t, err)
		return outcomeUnknown(op, key)
	}
	result, err := newAcceptor(hooks).Accept(ctx, request("change", "a=2"))
	assert.NilError(t, err)
	assert.Equal(t, result.Version, uint64(3))
	assert.Assert(t, result.Repeated)
}

// TestDelayedHeadWrite guards against a head write that takes effect a second time,
// when its response was lost and it reaches the store after the apply was repeated.
func TestDelayedHeadWrite(t *testing.T) {
	ctx := t.Context()
	backing := standin.New(1)
	_, err := newAcceptor(backing).Accept(ctx, request("base", "a=1"))
	assert.NilError(t, err)
	var delayed func() error
	hooks := &delayStore{Store: backing, delayed: &delayed}
	result, err := newAcceptor(hooks).Accept(ctx, request("change", "a=2"))
	assert.NilError(t, err)
	assert.Equal(t, result.Version, uint64(2))
	assert.Assert(t, delayed != nil)
	assert.Assert(t, store.IsConflict(delayed()))
	current, err := newAcceptor(backing).Get(ctx)
	assert.NilError(t, err)
	assert.Equal(t, current.Configuration.Version, uint64(2))
}

// delayStore delays the first update of the head and reports its outcome as unknown.
type delayStore struct {
	store.Store
	delayed *func() error
}

func (d *delayStore) Update(ctx context.Context, key string, value []byte, ifRevision int64) (store.Object, error) {
	if key == config.HeadKey && *d.delayed == nil {
		*d.delayed = func() error { _, err := d.Store.Update(ctx, key, value, ifRevision); return err }
		return store.Object{}, outcomeUnknown("update", key)
	}
	return d.Store.Update(ctx, key, value, ifRevision)
}
