package route_test

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/route/routetest"
)

// addition is a call that adds an amount to a counter and returns the new total.
type addition struct {
	counter int
	amount  int
}

// additionResult is the result reported to the caller. If the outcome is unknown, the
// addition may or may not have taken effect.
type additionResult struct {
	outcome string
	total   int
}

// counterModel is a set of counters on which each call takes effect at most once, a
// call with outcome "not-run" never takes effect, and each answer belongs to the call
// that received it.
var counterModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[int][]porcupine.Operation{}
		for _, op := range history {
			counter := op.Input.(addition).counter
			parts[counter] = append(parts[counter], op)
		}
		var list [][]porcupine.Operation
		for _, part := range parts {
			list = append(list, part)
		}
		return list
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		total, in, out := state.(int), input.(addition), output.(additionResult)
		switch out.outcome {
		case "answered":
			if out.total == total+in.amount {
				return []any{out.total}
			}
			return nil
		case "not-run":
			return []any{total}
		}
		return []any{total, total + in.amount}
	},
	Equal: func(a, b any) bool { return a == b },
}

// counterTarget is a service that keeps the counters and fails in every way in which
// an attempt can fail, before and after the addition.
type counterTarget struct {
	mu     sync.Mutex
	random *rand.Rand
	totals map[string]int
}

func (c *counterTarget) handle(ctx context.Context, head *pb.CallHead, body []byte) routetest.Result {
	c.mu.Lock()
	fault, size := c.random.IntN(20), bodySize(c.random)
	delay := time.Duration(c.random.IntN(30)) * time.Millisecond
	c.mu.Unlock()
	time.Sleep(delay)
	switch fault {
	case 0, 1:
		return routetest.Refuse(pb.Refusal_REFUSAL_OVERLOAD)
	case 2:
		return routetest.Result{Drop: true}
	}
	var amount int
	_, _ = fmt.Sscan(string(body), &amount)
	c.mu.Lock()
	c.totals[head.GetPath()] += amount
	total := c.totals[head.GetPath()]
	c.mu.Unlock()
	result := routetest.Answer(200, append(fmt.Appendf(nil, "%d %d %d ", amount, total, size), bytes.Repeat([]byte{'.'}, size)...))
	switch fault {
	case 3:
		result.Truncate = true
	case 4:
		return routetest.Result{Drop: true}
	case 5: // the answer is sent after the caller's deadline
		<-ctx.Done()
	}
	return result
}

// bodySize returns a random size, of a single frame in 4 of 5 cases and of up to several
// frames otherwise.
func bodySize(random *rand.Rand) int {
	if random.IntN(5) == 0 {
		return random.IntN(600 << 10)
	}
	return random.IntN(4 << 10)
}

// TestHistories guards against answers that reach the wrong caller, truncated bodies,
// calls that run twice, and calls that ran but are reported as "not run", on connections
// that are reused after errors, cancellations and late answers.
func TestHistories(t *testing.T) {
	for seed := range uint64(5) {
		var history []porcupine.Operation
		synctest.Test(t, func(t *testing.T) { history = recordHistory(t, seed) })
		counts := map[string]int{}
		for _, op := range history {
			counts[op.Output.(additionResult).outcome]++
		}
		assert.Assert(t, counts["answered"] > 50 && counts["unknown"] > 5, "seed %d: %v", seed, counts)
		model := counterModel.ToModel()
		assert.Equal(t, porcupine.CheckOperationsTimeout(model, history, 20*time.Second), porcupine.Ok, "seed %d: %v", seed, counts)
	}
}

func recordHistory(t *testing.T, seed uint64) []porcupine.Operation {
	target := &counterTarget{random: rand.New(rand.NewPCG(seed, 1)), totals: map[string]int{}}
	f := newFixture(t, nil, target.handle, target.handle, target.handle)
	var clock atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client := range 8 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)+2))
			for i := range 20 {
				in := addition{counter: random.IntN(5), amount: 1 + client + 8*i}
				start := clock.Add(1)
				out := add(t, f.router, in, random)
				end := clock.Add(1)
				if out.outcome == "unknown" {
					end = math.MaxInt64 // it may take effect at any later time
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: start, Return: end})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return history
}

func add(t *testing.T, router *route.Router, in addition, random *rand.Rand) additionResult {
	call := post("")
	call.Target = fmt.Sprint("/counter/", in.counter)
	call.Body = append(fmt.Appendf(nil, "%d ", in.amount), bytes.Repeat([]byte{'.'}, bodySize(random))...)
	call.Chain.Deadline = time.Now().Add(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if random.IntN(6) == 0 {
		defer time.AfterFunc(time.Duration(random.IntN(30))*time.Millisecond, cancel).Stop()
	}
	answer, err := router.Route(ctx, call)
	_, outcome := route.Classify(err)
	out := additionResult{outcome: outcome}
	if err == nil {
		var amount, size int
		n, _ := fmt.Sscan(string(answer.Body), &amount, &out.total, &size)
		if n != 3 || amount != in.amount {
			t.Errorf("addition of %d got the answer to %d", in.amount, amount)
		}
		if padding := bytes.Count(answer.Body, []byte{'.'}); padding != size {
			t.Errorf("answer has %d of %d bytes of padding", padding, size)
		}
	}
	return out
}
