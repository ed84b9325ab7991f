package accept

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

// input is an apply that sets the slots of one or more services, or a get if it names
// no services.
type input struct {
	operation string
	services  []string
	slots     int
	base      uint64 // base version, 0 for the current
}

// output is the result of an operation. An apply that was refused or failed had no
// effect; an apply with an unknown outcome took effect at most once.
type output struct {
	version uint64
	slots   map[string]int // result of a get
	refused bool           // because of a conflict
	failed  bool
	unknown bool
}

// model is the state of the sequential specification: the version, the slots of each
// service and the version that each operation produced.
type model struct {
	version uint64
	slots   map[string]int
	changed map[string]uint64 // version of the last change by service
	applied map[string]uint64 // version by operation
}

func step(state, in, out any) (bool, any) {
	m, i, o := state.(model), in.(input), out.(output)
	if i.services == nil {
		return o.unknown || o.version == m.version && maps.Equal(o.slots, m.slots), m
	}
	if o.failed {
		return true, m
	}
	if version, ok := m.applied[i.operation]; ok {
		return o.unknown || o.version == version, m // a repeat is neither refused nor applied again
	}
	if o.refused {
		return true, m
	}
	next := model{version: m.version + 1, slots: maps.Clone(m.slots), changed: maps.Clone(m.changed), applied: maps.Clone(m.applied)}
	for _, name := range i.services {
		if i.base != 0 && m.changed[name] > i.base {
			return o.unknown, m // a conflicting apply must be refused
		}
		if m.slots[name] != i.slots {
			next.slots[name], next.changed[name] = i.slots, next.version
		}
	}
	next.applied[i.operation] = next.version
	if maps.Equal(next.slots, m.slots) {
		next = m
	}
	return o.unknown || o.version == next.version, next
}

var sequentialModel = porcupine.Model{
	Init: func() any {
		return model{slots: map[string]int{}, changed: map[string]uint64{}, applied: map[string]uint64{}}
	},
	Step:  step,
	Equal: func(a, b any) bool { return equal(a.(model), b.(model)) },
}

func equal(a, b model) bool {
	return a.version == b.version && maps.Equal(a.slots, b.slots) &&
		maps.Equal(a.changed, b.changed) && maps.Equal(a.applied, b.applied)
}

// recorder records the history of operations of one run.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

// record adds a completed operation. An operation with an unknown outcome may take
// effect at any later time, so its end is set after the run.
func (r *recorder) record(client int, in input, call time.Duration, out output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := time.Since(r.start)
	if out.unknown {
		end = time.Hour
	}
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(end)})
}

func (r *recorder) apply(t *testing.T, a *Acceptor, client int, in input) {
	call := time.Since(r.start)
	var services []string
	for _, name := range in.services {
		services = append(services, fmt.Sprintf("%s=%d", name, in.slots))
	}
	req := request(in.operation, services...)
	req.BaseVersion = in.base
	result, err := a.Accept(context.Background(), req)
	var conflict *ConflictError
	var contended *ContendedError
	var failed *NotAppliedError
	var unknown *OutcomeUnknownError
	switch {
	case err == nil:
		r.record(client, in, call, output{version: result.Version})
	case errors.As(err, &unknown):
		r.record(client, in, call, output{unknown: true})
	case errors.As(err, &conflict):
		r.record(client, in, call, output{refused: true})
	default:
		assert.Check(t, errors.As(err, &contended) || errors.As(err, &failed), "%v", err)
		r.record(client, in, call, output{failed: true})
	}
}

// get returns the version read, or 0 after an error, which is not recorded.
func (r *recorder) get(a *Acceptor, client int) uint64 {
	call := time.Since(r.start)
	current, err := a.Get(context.Background())
	if err != nil {
		return 0
	}
	out := output{version: current.Configuration.Version, slots: map[string]int{}}
	for name, bundle := range current.Configuration.Bundles {
		out.slots[name] = bundle.Service.Slots
	}
	r.record(client, input{}, call, out)
	return out.version
}

func (r *recorder) check(t *testing.T, seed uint64) {
	result := porcupine.CheckOperationsTimeout(sequentialModel, r.history, 20*time.Second)
	assert.Equal(t, result, porcupine.Ok, "seed %d: %d operations", seed, len(r.history))
}

// TestHistory guards against applies that are not linearizable or take effect only in
// part. Four operators apply concurrently, a fifth of the responses to writes are lost
// although the write took effect, the store goes down, and unused blobs are collected.
func TestHistory(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		backing := standin.New(seed)
		backing.SetFaults(standin.Faults{LoseResponse: 0.2, Latency: 50 * time.Microsecond})
		r := &recorder{start: time.Now()}
		var clients sync.WaitGroup
		for client := range 4 {
			clients.Go(func() {
				rng := rand.New(rand.NewPCG(seed, uint64(client)))
				a := newAcceptor(backing)
				base := uint64(0)
				var inputs []input
				for i := range 6 {
					in := input{operation: fmt.Sprintf("%d-%d", client, i), slots: 1 + rng.IntN(3), base: base}
					in.services = [][]string{{"a", "b"}, {"a"}, {"b", "c"}, {"c"}}[rng.IntN(4)]
					r.apply(t, a, client, in)
					inputs = append(inputs, in)
					if rng.IntN(2) == 0 { // a repeat, as after a lost response
						r.apply(t, a, client, inputs[rng.IntN(len(inputs))])
					}
					if base = r.get(a, client); rng.IntN(2) == 0 {
						base = 0
					}
				}
			})
		}
		clients.Go(func() {
			time.Sleep(3 * time.Millisecond)
			backing.SetFaults(standin.Faults{Down: true})
			time.Sleep(time.Millisecond)
			backing.SetFaults(standin.Faults{LoseResponse: 0.2})
			collectRepeatedly(backing)
		})
		clients.Wait()
		backing.SetFaults(standin.Faults{})
		r.get(newAcceptor(backing), 5)
		r.check(t, seed)
	}
}

func collectRepeatedly(backing store.Store) {
	now := testNow
	a := newAcceptor(backing)
	a.options.Now = func() time.Time { return now }
	collector := NewCollector(a)
	for range 10 {
		_, _ = collector.Collect(context.Background())
		now = now.Add(CollectGracePeriod)
	}
}

// TestInterleavings guards against a lost update in any interleaving of the reads and
// updates of the head by two operators. It runs every schedule of their first eight
// head calls; blobs are immutable, so the order of other calls is irrelevant. Of two
// changes to the same service exactly one is refused, and of two changes to different
// services none is, even if the responses to the updates are lost.
func TestInterleavings(t *testing.T) {
	for schedule := range 1 << 8 {
		for _, loseAnswers := range []bool{false, true} {
			testSchedule(t, schedule, loseAnswers, 1, []string{"a", "b"}, []string{"b", "c"})
			testSchedule(t, schedule, loseAnswers, 0, []string{"a"}, []string{"b", "c"})
		}
	}
}

func testSchedule(t *testing.T, schedule int, loseAnswers bool, refused int, services ...[]string) {
	backing := standin.New(1)
	r := &recorder{start: time.Now()}
	r.apply(t, newAcceptor(backing), 2, input{operation: "base", services: []string{"a", "b", "c"}, slots: 1})
	order := newScheduler(schedule)
	var clients sync.WaitGroup
	for client := range services {
		clients.Go(func() {
			defer order.finish(client)
			hooks := &hookStore{Store: backing, before: func(_, key string) error {
				if key == config.HeadKey {
					order.waitForTurn(client)
				}
				return nil
			}}
			if loseAnswers {
				hooks.after = func(op, key string) error {
					if key == config.HeadKey && isWrite(op) {
						return outcomeUnknown(op, key)
					}
					return nil
				}
			}
			in := input{operation: fmt.Sprint("op", client), services: services[client], slots: 5 + client, base: 1}
			r.apply(t, newAcceptor(hooks), client, in)
		})
	}
	clients.Wait()
	r.get(newAcceptor(backing), 2)
	r.check(t, uint64(schedule))
	for _, op := range r.history {
		if op.Output.(output).refused {
			refused--
		}
	}
	assert.Equal(t, refused, 0, "schedule %08b", schedule)
}

// scheduler serializes the store calls of two clients in the order of the bits of a
// schedule. After one client has finished, the other proceeds without waiting.
type scheduler struct {
	mu       sync.Mutex
	changed  *sync.Cond
	schedule int
	calls    int
	finished [2]bool
}

func newScheduler(schedule int) *scheduler {
	s := &scheduler{schedule: schedule}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *scheduler) waitForTurn(client int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.finished[1-client] && s.schedule>>(s.calls%8)&1 != client {
		s.changed.Wait()
	}
	s.calls++
	s.changed.Broadcast()
}

func (s *scheduler) finish(client int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished[client] = true
	s.changed.Broadcast()
}

// TestCollect guards against the removal of a blob that a version in use or an apply
// in progress references, and against unused blobs that are never removed.
func TestCollect(t *testing.T) {
	ctx := t.Context()
	backing := standin.New(1)
	now := testNow
	a := newAcceptor(backing)
	a.options.Now = func() time.Time { return now }
	collector := NewCollector(a)
	stepAfter := func(wait time.Duration) int {
		now = now.Add(wait)
		removed, err := collector.Collect(ctx)
		assert.NilError(t, err)
		return removed
	}
	for i := range 3 {
		_, err := a.Accept(ctx, request(fmt.Sprint("op", i), fmt.Sprintf("a=%d", i+1)))
		assert.NilError(t, err)
	}
	assert.Equal(t, stepAfter(0), 0)
	assert.Equal(t, stepAfter(time.Minute), 0, "the grace period has not elapsed")
	// An apply restores the content of version 1, whose blob is older than the
	// head. The collector runs before the head update and must keep that blob.
	hooks := &hookStore{Store: backing, before: func(op, key string) error {
		if key == config.HeadKey && op == "update" {
			assert.Equal(t, stepAfter(CollectGracePeriod), 3, "removes two manifests and the bundle of version 2")
		}
		return nil
	}}
	_, err := newAcceptor(hooks).Accept(ctx, request("back", "a=1"))
	assert.NilError(t, err)
	assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 1})
	assert.Equal(t, stepAfter(CollectGracePeriod), 0, "the head of the previous step is still in use")
	assert.Equal(t, stepAfter(CollectGracePeriod), 2, "removes the manifest and the bundle of version 3")
	assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 1})
}
