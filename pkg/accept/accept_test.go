package accept

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

var testNow = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newAcceptor(s store.Store) *Acceptor {
	return New(Options{Store: s, Logger: zap.NewNop(), Now: func() time.Time { return testNow }})
}

// file defines services with a number of slots each, as "name=slots ...".
func file(services ...string) []config.Source {
	var parts []string
	for _, service := range services {
		name, slots, _ := strings.Cut(service, "=")
		parts = append(parts, fmt.Sprintf(`{"name":%q,"team":"t","version":"v1","slots":%s,"connections":100}`, name, slots))
	}
	text := fmt.Sprintf(`{"teams":[{"name":"t"}],"services":[%s]}`, strings.Join(parts, ","))
	return []config.Source{{Name: "f.json", Content: []byte(text)}}
}

func request(operation string, services ...string) Request {
	return Request{Operation: operation, Author: "op", Files: file(services...)}
}

// slots returns the slots by service of the stored configuration.
func slots(t testing.TB, s store.Store) map[string]int {
	t.Helper()
	held, err := newAcceptor(s).Get(context.Background())
	assert.NilError(t, err)
	got := map[string]int{}
	for name, bundle := range held.Configuration.Bundles {
		got[name] = bundle.Service.Slots
	}
	return got
}

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

// TestApply guards against a wrong version, a push without the changed bundles,
// a repeat that applies twice, and writes for no change.
func TestApply(t *testing.T) {
	ctx := t.Context()
	backing := standin.New(1)
	a := newAcceptor(backing)
	var pushed []*pb.ConfigDelta
	a.options.Accepted = func(delta *pb.ConfigDelta) { pushed = append(pushed, delta) }
	first, err := a.Accept(ctx, request("op1", "a=1", "b=1"))
	assert.NilError(t, err)
	assert.Equal(t, first.Version, uint64(1))
	second, err := a.Accept(ctx, request("op2", "a=2"))
	assert.NilError(t, err)
	assert.Equal(t, second.Version, uint64(2))
	assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 2, "b": 1})

	assert.Equal(t, len(pushed), 2)
	assert.Equal(t, len(pushed[1].GetChanged()), 3, "a full manifest: two services and the teams")
	assert.Equal(t, len(pushed[1].GetBundles()), 1)
	snapshot, err := (*config.Snapshot)(nil).Next(pushed[0], []string{"a", "b"})
	assert.NilError(t, err)
	snapshot, err = snapshot.Next(pushed[1], []string{"a", "b"})
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version(), uint64(2))

	writes := backing.Counts().Writes
	repeat, err := a.Accept(ctx, request("op1", "a=1", "b=1"))
	assert.NilError(t, err)
	assert.Equal(t, repeat.Version, uint64(1))
	assert.Assert(t, repeat.Repeated)
	unchanged, err := a.Accept(ctx, request("op3", "a=2"))
	assert.NilError(t, err)
	assert.Equal(t, unchanged.Version, uint64(2))
	assert.Assert(t, !unchanged.Changed)
	var reused *OperationReusedError
	_, err = a.Accept(ctx, request("op1", "a=9"))
	assert.Assert(t, errors.As(err, &reused), "%v", err)
	var problems *config.ProblemsError
	_, err = a.Accept(ctx, request("op4", "a=0", "c=1"))
	assert.Assert(t, errors.As(err, &problems), "%v", err)
	assert.Equal(t, backing.Counts().Writes, writes, "nothing may be written")
}

// TestStoreCalls guards against an apply that costs more store calls than the
// budget states: one read and three writes once the daemon knows the blobs.
func TestStoreCalls(t *testing.T) {
	backing := standin.New(1)
	a := newAcceptor(backing)
	var services []string
	for i := range 190 {
		services = append(services, fmt.Sprintf("s%d=1", i))
	}
	_, err := a.Accept(t.Context(), request("op1", services...))
	assert.NilError(t, err)
	before := backing.Counts()
	_, err = a.Accept(t.Context(), request("op2", "s7=2"))
	assert.NilError(t, err)
	after := backing.Counts()
	assert.Equal(t, after.Reads-before.Reads, int64(1))
	assert.Equal(t, after.Writes-before.Writes, int64(3))
}

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

// TestOldBase guards against an apply on a base version whose successors are
// not known, and against one that does not exist.
func TestOldBase(t *testing.T) {
	ctx := t.Context()
	a := newAcceptor(standin.New(1))
	for i := range 70 {
		_, err := a.Accept(ctx, request(fmt.Sprintf("op%d", i), fmt.Sprintf("a=%d", i+1)))
		assert.NilError(t, err)
	}
	var conflict *ConflictError
	for base, conflicting := range map[uint64]uint64{2: 70, 6: 7, 69: 70} {
		r := request(fmt.Sprintf("late%d", base), "a=99")
		r.BaseVersion = base
		_, err := a.Accept(ctx, r)
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.Equal(t, conflict.Version, conflicting)
	}
	r := request("late", "a=99")
	r.BaseVersion = 71
	var future *FutureBaseError
	_, err := a.Accept(ctx, r)
	assert.Assert(t, errors.As(err, &future), "%v", err)
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
