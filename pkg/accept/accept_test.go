package accept

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
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

// file returns an operator file that defines services, each given as "name=slots".
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

// slots returns the number of slots by service in the stored configuration.
func slots(t testing.TB, s store.Store) map[string]int {
	t.Helper()
	current, err := newAcceptor(s).Get(context.Background())
	assert.NilError(t, err)
	got := map[string]int{}
	for name, bundle := range current.Configuration.Bundles {
		got[name] = bundle.Service.Slots
	}
	return got
}

// TestApply guards against a wrong version number, a push without the changed
// bundles, a repeat that is applied twice, and writes although nothing changes.
func TestApply(t *testing.T) {
	ctx := t.Context()
	backing := standin.New(1)
	a := newAcceptor(backing)
	var pushed []*pb.ConfigDelta
	a.options.OnAccepted = func(delta *pb.ConfigDelta) { pushed = append(pushed, delta) }
	first, err := a.Accept(ctx, request("op1", "a=1", "b=1"))
	assert.NilError(t, err)
	assert.Equal(t, first.Version, uint64(1))
	second, err := a.Accept(ctx, request("op2", "a=2"))
	assert.NilError(t, err)
	assert.Equal(t, second.Version, uint64(2))
	assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 2, "b": 1})

	assert.Equal(t, len(pushed), 2)
	assert.Equal(t, len(pushed[1].GetChanged()), 3, "the full manifest has two services and the teams")
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
	assert.Equal(t, backing.Counts().Writes, writes, "refused and unchanged applies must not write")
}

// TestStoreCalls guards against an apply that exceeds its budget of store calls: one
// read and three writes once the daemon has cached the blobs.
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

// TestSlowStore guards against an apply that exceeds the 180 s limit of the
// administration API at a daemon that has cached no bundle of 190 services, while
// each store call takes 5 s.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backing := standin.New(1)
		var services []string
		for i := range 190 {
			services = append(services, fmt.Sprintf("s%d=1", i))
		}
		_, err := newAcceptor(backing).Accept(t.Context(), request("op1", services...))
		assert.NilError(t, err)
		backing.SetFaults(standin.Faults{Latency: 5 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 180*time.Second)
		defer cancel()
		result, err := newAcceptor(backing).Accept(ctx, request("op2", "s7=2"))
		assert.NilError(t, err)
		assert.Equal(t, result.Version, uint64(2))
	})
}

// TestOldBase guards against an apply on a base version that is older than the
// recorded operations, and against a base version that does not exist.
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
