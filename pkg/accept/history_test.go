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

// input is an apply of the same number of slots to some services, or a get.
type input struct {
	operation string
	services  []string
	slots     int
	base      uint64 // 0 for the current version
}

// output is what an operator learnt. An apply that was refused or failed had no
// effect; after an unknown outcome anything may have happened, once.
type output struct {
	version uint64
	slots   map[string]int // of a get
	refused bool           // in conflict
	failed  bool
	unknown bool
}

// model is the sequential specification: a version and a number of slots for
// each service. Applied keeps the version of each operation.
type model struct {
	version uint64
	slots   map[string]int
	changed map[string]uint64 // version of the last change by service
	applied map[string]uint64
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
		return o.unknown || o.version == version, m // never refused or applied again
	}
	if o.refused {
		return true, m
	}
	next := model{version: m.version + 1, slots: maps.Clone(m.slots), changed: maps.Clone(m.changed), applied: maps.Clone(m.applied)}
	for _, name := range i.services {
		if i.base != 0 && m.changed[name] > i.base {
			return o.unknown, m // must have been refused
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

var sequential = porcupine.Model{
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

// recorder collects the history of one run.
type recorder struct {
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

// record adds one finished operation. An unknown outcome may take effect at any
// later time, so it has no end.
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

// get returns the version read, or 0 after an error, which says nothing.
func (r *recorder) get(a *Acceptor, client int) uint64 {
	call := time.Since(r.start)
	held, err := a.Get(context.Background())
	if err != nil {
		return 0
	}
	out := output{version: held.Configuration.Version, slots: map[string]int{}}
	for name, bundle := range held.Configuration.Bundles {
		out.slots[name] = bundle.Service.Slots
	}
	r.record(client, input{}, call, out)
	return out.version
}

func (r *recorder) check(t *testing.T, seed uint64) {
	result := porcupine.CheckOperationsTimeout(sequential, r.history, 20*time.Second)
	assert.Equal(t, result, porcupine.Ok, "seed %d: %d operations", seed, len(r.history))
}

// TestHistory guards against applies that are not linearizable or that take
// effect in part: four operators race, half of the lost answers hide a write,
// the store goes down, and unused blobs are collected meanwhile.
func TestHistory(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		backing := standin.New(seed)
		backing.SetFaults(standin.Faults{LoseAnswer: 0.2, Latency: 50 * time.Microsecond})
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
					if rng.IntN(2) == 0 { // a repeat after an answer was missed
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
			backing.SetFaults(standin.Faults{LoseAnswer: 0.2})
			collectOften(backing)
		})
		clients.Wait()
		backing.SetFaults(standin.Faults{})
		r.get(newAcceptor(backing), 5)
		r.check(t, seed)
	}
}

func collectOften(backing store.Store) {
	now := testNow
	a := newAcceptor(backing)
	a.options.Now = func() time.Time { return now }
	collector := NewCollector(a)
	for range 10 {
		_, _ = collector.Step(context.Background())
		now = now.Add(CollectGrace)
	}
}

// TestInterleavings guards against a lost update in any order of the reads and
// updates of the head by two operators: every schedule of their first eight
// calls is run. Blobs are immutable, so the order of other calls is irrelevant.
// Of two changes of the same service one is refused, otherwise none, also if the
// answers to the updates are lost.
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
	turns := newTurns(schedule)
	var clients sync.WaitGroup
	for client := range services {
		clients.Go(func() {
			defer turns.leave(client)
			h := &hookStore{Store: backing, before: func(_, key string) error {
				if key == config.HeadKey {
					turns.wait(client)
				}
				return nil
			}}
			if loseAnswers {
				h.after = func(op, key string) error {
					if key == config.HeadKey && isWrite(op) {
						return lost(op, key)
					}
					return nil
				}
			}
			in := input{operation: fmt.Sprint("op", client), services: services[client], slots: 5 + client, base: 1}
			r.apply(t, newAcceptor(h), client, in)
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

// turns lets two clients make their store calls in the order of the bits of a
// schedule. A client that has left gives its turns to the other.
type turns struct {
	mu       sync.Mutex
	changed  *sync.Cond
	schedule int
	calls    int
	gone     [2]bool
}

func newTurns(schedule int) *turns {
	t := &turns{schedule: schedule}
	t.changed = sync.NewCond(&t.mu)
	return t
}

func (t *turns) wait(client int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for !t.gone[1-client] && t.schedule>>(t.calls%8)&1 != client {
		t.changed.Wait()
	}
	t.calls++
	t.changed.Broadcast()
}

func (t *turns) leave(client int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone[client] = true
	t.changed.Broadcast()
}

// TestCollect guards against the removal of a blob that a version in use or an
// apply under way needs, and against blobs that are never removed.
func TestCollect(t *testing.T) {
	ctx := t.Context()
	backing := standin.New(1)
	now := testNow
	a := newAcceptor(backing)
	a.options.Now = func() time.Time { return now }
	collector := NewCollector(a)
	stepAfter := func(wait time.Duration) int {
		now = now.Add(wait)
		removed, err := collector.Step(ctx)
		assert.NilError(t, err)
		return removed
	}
	for i := range 3 {
		_, err := a.Accept(ctx, request(fmt.Sprint("op", i), fmt.Sprintf("a=%d", i+1)))
		assert.NilError(t, err)
	}
	assert.Equal(t, stepAfter(0), 0)
	assert.Equal(t, stepAfter(time.Minute), 0, "too early")
	// An apply returns to the content of version 1, whose blob is old. The
	// collector runs before its head update; that blob must survive.
	h := &hookStore{Store: backing, before: func(op, key string) error {
		if key == config.HeadKey && op == "update" {
			assert.Equal(t, stepAfter(CollectGrace), 3, "two manifests and the bundle of version 2")
		}
		return nil
	}}
	_, err := newAcceptor(h).Accept(ctx, request("back", "a=1"))
	assert.NilError(t, err)
	assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 1})
	assert.Equal(t, stepAfter(CollectGrace), 0, "the head of the step before still counts")
	assert.Equal(t, stepAfter(CollectGrace), 2, "manifest and bundle of version 3")
	assert.DeepEqual(t, slots(t, backing), map[string]int{"a": 1})
}
