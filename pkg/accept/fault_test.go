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

// hookStore makes one call at a time, with hooks before and after it, so that a
// test places a fault or a rival exactly between two store calls. An error from
// before is returned instead of the call; one from after replaces its answer.
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

func lost(op, key string) error { return &store.OutcomeUnknownError{Op: op, Key: key} }

func isWrite(op string) bool { return op == "create" || op == "update" }

// TestFaultAtEachCall guards against a version that is applied in part or twice
// when the answer of any one store call is lost, or the store goes down before
// or after any one call, and against a wrong report of what happened.
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
	calls, hit := 0, false
	h := &hookStore{Store: backing}
	h.before = func(op, key string) error {
		calls++
		if calls-1 != step {
			return nil
		}
		hit = true
		switch fault {
		case "refused":
			return &store.UnavailableError{Op: op}
		case "down before":
			backing.SetFaults(standin.Faults{Down: true})
		}
		return nil
	}
	h.after = func(op, key string) error {
		if calls-1 != step {
			return nil
		}
		if fault == "down after" {
			backing.SetFaults(standin.Faults{Down: true})
		}
		if fault != "lost" && fault != "down after" || !isWrite(op) {
			return nil
		}
		return lost(op, key)
	}
	r := request("change", "a=2", "b=2")
	result, err := newAcceptor(h).Accept(ctx, r)
	backing.SetFaults(standin.Faults{})
	got := slots(t, backing)
	applied := got["a"] == 2
	assert.Equal(t, got["a"], got["b"], "applied in part")
	var unknown *OutcomeUnknownError
	var failed *NotAppliedError
	switch {
	case err == nil:
		assert.Assert(t, applied)
		assert.Equal(t, result.Version, uint64(2))
	case errors.As(err, &failed):
		assert.Assert(t, !applied, "reported as not applied: %v", err)
	default:
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
	}
	if fault == "lost" || !hit {
		assert.NilError(t, err)
	}
	repeat, err := newAcceptor(backing).Accept(ctx, r)
	assert.NilError(t, err)
	assert.Equal(t, repeat.Version, uint64(2))
	assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 2, "b": 2})
}

// TestReadBackAfterOutage guards against an outcome that stays unknown although
// the store answers again soon after it lost the answer to the head update.
func TestReadBackAfterOutage(t *testing.T) {
	backing := standin.New(1)
	failures := 3
	h := &hookStore{Store: backing}
	h.before = func(op, key string) error {
		if held := backing.Counts().Writes; op == "get" && held == 4 && failures > 0 {
			failures--
			return &store.UnavailableError{Op: op}
		}
		return nil
	}
	h.after = func(op, key string) error {
		if isWrite(op) && key == config.HeadKey {
			return lost(op, key)
		}
		return nil
	}
	result, err := newAcceptor(h).Accept(t.Context(), request("op1", "a=1"))
	assert.NilError(t, err)
	assert.Equal(t, result.Version, uint64(1))
	assert.Equal(t, failures, 0)
}

// TestRivalBeforeEachWrite guards against a lost or overwritten change when
// another operator is accepted before any one write of an apply.
func TestRivalBeforeEachWrite(t *testing.T) {
	for _, rivalService := range []string{"a", "b"} {
		for step := range 3 { // bundle, manifest, head
			t.Run(fmt.Sprintf("%s %d", rivalService, step), func(t *testing.T) {
				testRival(t, rivalService, step)
			})
		}
	}
}

func testRival(t *testing.T, rivalService string, step int) {
	ctx := t.Context()
	backing := standin.New(1)
	rival := newAcceptor(backing)
	_, err := rival.Accept(ctx, request("base", "a=1", "b=1"))
	assert.NilError(t, err)
	writes, ran := 0, false
	h := &hookStore{Store: backing}
	h.before = func(op, _ string) error {
		if isWrite(op) {
			writes++
		}
		if writes > step && !ran {
			ran = true
			_, err := rival.Accept(ctx, request("rival", rivalService+"=7"))
			return err
		}
		return nil
	}
	r := request("change", "a=2")
	r.BaseVersion = 1
	result, err := newAcceptor(h).Accept(ctx, r)
	assert.Assert(t, ran)
	if rivalService == "b" {
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

// TestLostRequestAndRivals guards against a second write that overwrites what
// rivals changed since, when the first one was lost on its way, and against a
// plain answer when the list of operations no longer tells whether it was.
func TestLostRequestAndRivals(t *testing.T) {
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	run := func(rivalService string, rivals int) (Result, map[string]int, error) {
		ctx := t.Context()
		backing := standin.New(1)
		rival := newAcceptor(backing)
		_, err := rival.Accept(ctx, request("base", "a=1", "b=1"))
		assert.NilError(t, err)
		h := &hookStore{Store: backing}
		ran := false
		h.before = func(op, key string) error {
			if op != "update" || ran {
				return nil
			}
			ran = true
			for i := range rivals {
				_, err := rival.Accept(ctx, request(fmt.Sprint("rival", i), fmt.Sprintf("%s=%d", rivalService, 7+i)))
				assert.NilError(t, err)
			}
			return lost(op, key)
		}
		result, err := newAcceptor(h).Accept(ctx, request("change", "a=2"))
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

// TestSameOperationAtTwoDaemons guards against a version that is reported but
// was never made, when an operator repeats an operation at another daemon while
// the first still works on it and the answer to the first is lost.
func TestSameOperationAtTwoDaemons(t *testing.T) {
	ctx := t.Context()
	backing := standin.New(1)
	second := newAcceptor(backing)
	_, err := second.Accept(ctx, request("base", "a=1", "b=1"))
	assert.NilError(t, err)
	ran := false
	h := &hookStore{Store: backing}
	h.before = func(op, key string) error {
		if op != "update" || ran {
			return nil
		}
		ran = true
		_, err := second.Accept(ctx, request("other", "b=5"))
		assert.NilError(t, err)
		_, err = second.Accept(ctx, request("change", "a=2"))
		assert.NilError(t, err)
		return lost(op, key)
	}
	result, err := newAcceptor(h).Accept(ctx, request("change", "a=2"))
	assert.NilError(t, err)
	assert.Equal(t, result.Version, uint64(3))
	assert.Assert(t, result.Repeated)
}

// TestDelayedHeadWrite guards against a second effect of a head write whose
// answer was lost and that reaches the store after the apply went on.
func TestDelayedHeadWrite(t *testing.T) {
	ctx := t.Context()
	backing := standin.New(1)
	_, err := newAcceptor(backing).Accept(ctx, request("base", "a=1"))
	assert.NilError(t, err)
	var late func() error
	h := &delayStore{Store: backing, late: &late}
	result, err := newAcceptor(h).Accept(ctx, request("change", "a=2"))
	assert.NilError(t, err)
	assert.Equal(t, result.Version, uint64(2))
	assert.Assert(t, late != nil)
	assert.Assert(t, store.IsConflict(late()))
	held, err := newAcceptor(backing).Get(ctx)
	assert.NilError(t, err)
	assert.Equal(t, held.Configuration.Version, uint64(2))
}

// delayStore holds back the first update of the head and reports its outcome
// as unknown.
type delayStore struct {
	store.Store
	late *func() error
}

func (d *delayStore) Update(ctx context.Context, key string, value []byte, ifRevision int64) (store.Object, error) {
	if key == config.HeadKey && *d.late == nil {
		*d.late = func() error { _, err := d.Store.Update(ctx, key, value, ifRevision); return err }
		return store.Object{}, lost("update", key)
	}
	return d.Store.Update(ctx, key, value, ifRevision)
}
