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

// historyTime is the virtual time in which the orders of a history are made.
const historyTime = 40 * time.Second

// orderInput and orderOutput are one attempt in a history.
type orderInput struct{ key string }

type orderOutput struct {
	outcome pb.Outcome
	refusal pb.Refusal
	body    string
}

// orderState is what is known of a key: not run, run with an outcome that
// nobody has seen, or run with the answer.
type orderState struct {
	run    bool
	answer string
}

// orderModel allows a key to run once. An unknown outcome may or may not have
// been a run; a refusal must not follow a run at the key's home.
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

// historyResult is what a history showed.
type historyResult struct {
	attempts, answered, notRun, unknown int
	duplicates, wrong, falseNotRun      int
	history                             []porcupine.Operation
	refusals                            map[pb.Refusal]int
}

// seeded returns a generator for each name, so that draws do not depend on the
// order in which tasks run.
func seeded(seed uint64) func(string) *rand.Rand {
	return func(name string) *rand.Rand { return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name))) }
}

// attempt is one attempt of an order, as recorded.
type attempt struct {
	head   *pb.CallHead
	answer *pb.AnswerHead
	body   string
	call   time.Time
	end    time.Time
	client int
}

// runHistory makes orders with repeats against a few daemons while targets
// crash, callers leave and leases are lost. It runs in virtual time.
func runHistory(seed uint64, orders int) *historyResult {
	rng := seeded(seed)
	script := orderScript(rng)
	w := newWorld(script)
	var mu sync.Mutex
	var attempts []attempt
	var wait sync.WaitGroup
	wait.Go(func() { w.faults(rng("faults"), script) })
	for i := range orders {
		wait.Go(func() {
			draw := rng(fmt.Sprint("order ", i))
			time.Sleep(time.Duration(draw.Int64N(int64(historyTime))))
			key := orderKey(draw, i)
			path := "/orders/" + key
			if draw.IntN(40) == 0 {
				path = killPath + key
			}
			var repeats sync.WaitGroup
			for n := range 1 + draw.IntN(4) {
				pause := time.Duration(draw.ExpFloat64() * float64(400*time.Millisecond))
				if draw.IntN(4) == 0 {
					pause = time.Duration(draw.Int64N(int64(12 * time.Second)))
				}
				repeats.Go(func() {
					time.Sleep(pause)
					id := fmt.Sprintf("%d-%d", i, n)
					got := w.attempt(rng(id), id, key, path, i*4+n)
					if got.answer != nil {
						mu.Lock()
						attempts = append(attempts, got)
						mu.Unlock()
					}
				})
			}
			repeats.Wait()
		})
	}
	wait.Wait()
	time.Sleep(time.Minute) // runs whose callers left end
	return w.judge(attempts)
}

// orderKey draws a dated key, or an undated one for every fifth order.
func orderKey(draw *rand.Rand, i int) string {
	if draw.IntN(5) == 0 {
		return fmt.Sprint("order-", i)
	}
	return faketarget.Key(time.Now(), uint64(i))
}

// attempt sends one attempt with a drawn deadline; some callers leave early.
func (w *world) attempt(draw *rand.Rand, id, key, path string, client int) attempt {
	head := faketarget.Order(id, key, time.Duration(20+draw.IntN(800))*time.Millisecond)
	head.Path = path
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if draw.IntN(5) == 0 {
		timer := time.AfterFunc(time.Duration(draw.IntN(60))*time.Millisecond, cancel)
		defer timer.Stop()
	}
	got := attempt{head: head, call: time.Now(), client: client}
	answer, body := w.send(ctx, head, time.Duration(draw.Int64N(int64(viewDelay))))
	got.answer, got.body, got.end = answer, string(body), time.Now()
	return got
}

// faults crashes targets, takes leases away and adds a daemon while the orders
// are made.
func (w *world) faults(draw *rand.Rand, script faketarget.Script) {
	var wait sync.WaitGroup
	defer wait.Wait()
	joins := time.Duration(draw.Int64N(int64(historyTime / 2)))
	wait.Go(func() {
		time.Sleep(joins)
		w.join(script)
	})
	for i := range historyDaemons {
		crashes := 3 + draw.IntN(4)
		times := make([]time.Duration, crashes)
		for j := range times {
			times[j] = time.Duration(draw.Int64N(int64(historyTime)))
		}
		for _, at := range times {
			wait.Go(func() {
				time.Sleep(at)
				w.mu.Lock()
				d := w.daemons[i]
				w.mu.Unlock()
				d.Target.Crash()
			})
		}
		lapse := time.Duration(draw.Int64N(int64(historyTime / 2)))
		away := time.Duration(draw.Int64N(int64(8 * time.Second)))
		restart := draw.IntN(2) == 0
		wait.Go(func() {
			time.Sleep(lapse)
			w.loseLease(i, away, restart, script)
		})
	}
}

// judge compares the attempts with the runs that the targets recorded.
func (w *world) judge(attempts []attempt) *historyResult {
	result := &historyResult{refusals: map[pb.Refusal]int{}}
	runsOfKey, ranCall := map[string]int{}, map[string]bool{}
	for _, run := range w.runs() {
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
				result.wrong++
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

// measureHistory emits the counts that must be 0, with the number of calls.
func measureHistory(t testing.TB, virtual func(func()), seed uint64) {
	orders := 600
	if report.Full() {
		orders = 3000
	}
	var result *historyResult
	virtual(func() { result = runHistory(seed, orders) })
	name := fmt.Sprintf("%d daemons with faults, %d calls", historyDaemons, result.attempts)
	emitZero(t, "duplicates_run", name, seed, result.duplicates)
	emitZero(t, "wrong_answers", name, seed, result.wrong)
	emitZero(t, "false_not_run", name, seed, result.falseNotRun)
	if got := porcupine.CheckOperationsTimeout(orderModel.ToModel(), result.history, time.Minute); got != porcupine.Ok {
		t.Errorf("seed %d: the history of %d attempts is not linearizable: %s", seed, result.attempts, got)
	}
	t.Logf("seed %d: %d answered, %d not run %v, %d unknown", seed, result.answered, result.notRun, result.refusals, result.unknown)
	if result.answered == 0 || result.unknown == 0 || result.notRun == 0 {
		t.Errorf("seed %d: a kind of outcome never occurred, so the check proves little", seed)
	}
}
