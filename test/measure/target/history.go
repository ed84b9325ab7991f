package target

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

// historyTime is the virtual time within which the orders of a history start.
const historyTime = 40 * time.Second

// orderInput is the input of one attempt in a history.
type orderInput struct{ key string }

// orderOutput is the output of one attempt in a history.
type orderOutput struct {
	outcome pb.Outcome
	refusal pb.Refusal
	body    string
}

// orderState is the state of a key: not run, run without an observed answer, or
// run with the answer.
type orderState struct {
	run    bool
	answer string
}

// orderModel allows each key to run once. An attempt with an unknown outcome may
// have run or not. The key's home must not refuse an attempt after a run.
var orderModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(orderInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{orderState{}} },
	Step: func(state, _, output any) []any {
		s, out := state.(orderState), output.(orderOutput)
		switch out.outcome {
		case pb.Outcome_OUTCOME_ANSWERED:
			if s.run && s.answer != "" && s.answer != out.body {
				return nil
			}
			return []any{orderState{run: true, answer: out.body}}
		case pb.Outcome_OUTCOME_NOT_RUN:
			if s.run && out.refusal != pb.Refusal_REFUSAL_NOT_HOME {
				return nil
			}
			return []any{s}
		case pb.Outcome_OUTCOME_UNKNOWN:
			if s.run {
				return []any{s}
			}
			return []any{s, orderState{run: true}}
		}
		return nil
	},
}

// historyResult holds the counts and the operations of a history.
type historyResult struct {
	attempts, answered, notRun, unknown int
	duplicates, mismatched, falseNotRun int
	history                             []porcupine.Operation
	refusals                            map[pb.Refusal]int
}

// seededRandom returns a function that creates one random generator per name, so
// that random values do not depend on the order in which tasks run.
func seededRandom(seed uint64) func(string) *rand.Rand {
	return func(name string) *rand.Rand { return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name))) }
}

// attempt is one recorded attempt of an order.
type attempt struct {
	head   *pb.CallHead
	answer *pb.AnswerHead
	body   string
	call   time.Time
	end    time.Time
	client int
}

// runHistory sends orders with retries to a few daemons while targets crash,
// callers cancel and leases are lost. It runs in virtual time.
func runHistory(seed uint64, orders int) *historyResult {
	rng := seededRandom(seed)
	script := orderScript(rng)
	sim := newSimulation(script)
	var mu sync.Mutex
	var attempts []attempt
	var tasks sync.WaitGroup
	tasks.Go(func() { sim.injectFaults(rng("faults"), script) })
	for i := range orders {
		tasks.Go(func() {
			random := rng(fmt.Sprint("order ", i))
			time.Sleep(time.Duration(random.Int64N(int64(historyTime))))
			key := orderKey(random, i)
			path := "/orders/" + key
			if random.IntN(40) == 0 {
				path = crashPath + key
			}
			var retries sync.WaitGroup
			for n := range 1 + random.IntN(4) {
				delay := time.Duration(random.ExpFloat64() * float64(400*time.Millisecond))
				if random.IntN(4) == 0 {
					delay = time.Duration(random.Int64N(int64(12 * time.Second)))
				}
				retries.Go(func() {
					time.Sleep(delay)
					id := fmt.Sprintf("%d-%d", i, n)
					got := sim.attempt(rng(id), id, key, path, i*4+n)
					if got.answer != nil {
						mu.Lock()
						attempts = append(attempts, got)
						mu.Unlock()
					}
				})
			}
			retries.Wait()
		})
	}
	tasks.Wait()
	time.Sleep(time.Minute) // waits for the runs whose callers cancelled
	return sim.evaluate(attempts)
}

// orderKey returns a dated key, or an undated one with a probability of 1/5.
func orderKey(random *rand.Rand, i int) string {
	if random.IntN(5) == 0 {
		return fmt.Sprint("order-", i)
	}
	return faketarget.Key(time.Now(), uint64(i))
}

// attempt sends one attempt with a random deadline. Some callers cancel early.
func (sim *simulation) attempt(random *rand.Rand, id, key, path string, client int) attempt {
	head := faketarget.Order(id, key, time.Duration(20+random.IntN(800))*time.Millisecond)
	head.Path = path
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if random.IntN(5) == 0 {
		timer := time.AfterFunc(time.Duration(random.IntN(60))*time.Millisecond, cancel)
		defer timer.Stop()
	}
	got := attempt{head: head, call: time.Now(), client: client}
	answer, body := sim.send(ctx, head, time.Duration(random.Int64N(int64(viewDelay))))
	got.answer, got.body, got.end = answer, string(body), time.Now()
	return got
}

// injectFaults crashes targets, ends leases and adds a daemon while orders are
// sent.
func (sim *simulation) injectFaults(random *rand.Rand, script faketarget.Script) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	joinAfter := time.Duration(random.Int64N(int64(historyTime / 2)))
	tasks.Go(func() {
		time.Sleep(joinAfter)
		sim.join(script)
	})
	for i := range historyDaemons {
		crashes := 3 + random.IntN(4)
		times := make([]time.Duration, crashes)
		for j := range times {
			times[j] = time.Duration(random.Int64N(int64(historyTime)))
		}
		for _, at := range times {
			tasks.Go(func() {
				time.Sleep(at)
				sim.mu.Lock()
				d := sim.daemons[i]
				sim.mu.Unlock()
				d.Target.Crash()
			})
		}
		expireAfter := time.Duration(random.Int64N(int64(historyTime / 2)))
		absence := time.Duration(random.Int64N(int64(8 * time.Second)))
		restart := random.IntN(2) == 0
		tasks.Go(func() {
			time.Sleep(expireAfter)
			sim.loseLease(i, absence, restart, script)
		})
	}
}

// evaluate compares the attempts with the runs that the targets recorded.
func (sim *simulation) evaluate(attempts []attempt) *historyResult {
	result := &historyResult{refusals: map[pb.Refusal]int{}}
	runsOfKey, ranCall := map[string]int{}, map[string]bool{}
	for _, run := range sim.runs() {
		runsOfKey[run.Key]++
		ranCall[run.CallID] = true
		if runsOfKey[run.Key] == 2 {
			result.duplicates++
		}
	}
	for _, a := range attempts {
		result.attempts++
		out := orderOutput{outcome: a.answer.GetOutcome(), refusal: a.answer.GetRefusal(), body: a.body}
		switch out.outcome {
		case pb.Outcome_OUTCOME_ANSWERED:
			result.answered++
			if _, path, _ := strings.Cut(a.body, " "); path != a.head.GetPath() {
				result.mismatched++
			}
		case pb.Outcome_OUTCOME_UNKNOWN:
			result.unknown++
		default:
			result.notRun++
			result.refusals[out.refusal]++
			if ranCall[a.head.GetCallId()] {
				result.falseNotRun++
			}
		}
		result.history = append(result.history, porcupine.Operation{
			ClientId: a.client, Input: orderInput{key: a.head.GetKey()}, Output: out,
			Call: a.call.UnixNano(), Return: a.end.UnixNano(),
		})
	}
	return result
}

// measureHistory emits the counts that must be 0, and checks that the history is
// linearizable.
func measureHistory(t testing.TB, virtual func(func()), seed uint64) {
	orders := 600
	if report.Full() {
		orders = 3000
	}
	var result *historyResult
	virtual(func() { result = runHistory(seed, orders) })
	name := fmt.Sprintf("%d daemons with faults, %d calls", historyDaemons, result.attempts)
	emitZero(t, "duplicates_run", name, seed, result.duplicates)
	emitZero(t, "wrong_answers", name, seed, result.mismatched)
	emitZero(t, "false_not_run", name, seed, result.falseNotRun)
	if got := porcupine.CheckOperationsTimeout(orderModel.ToModel(), result.history, time.Minute); got != porcupine.Ok {
		t.Errorf("seed %d: the history of %d attempts is not linearizable: %s", seed, result.attempts, got)
	}
	t.Logf("seed %d: %d answered, %d not run %v, %d unknown", seed, result.answered, result.notRun, result.refusals, result.unknown)
	if result.answered == 0 || result.unknown == 0 || result.notRun == 0 {
		t.Errorf("seed %d: the check needs at least one answered, one unknown and one not run outcome", seed)
	}
}
