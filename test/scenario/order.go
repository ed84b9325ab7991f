package scenario

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// outcome is the outcome of one attempt, as the caller saw it.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeNotRun
	outcomeAnswered
	outcomeRecordedRuns // not an attempt: the runs in the targets' journals
)

// observed is the output of one operation on a key.
type observed struct {
	kind outcome
	run  string // run ID from the answer or from the journals
}

// order is one order with the history of its idempotency key.
type order struct {
	id, key string
	worker  int // determines the member that sends all attempts
	mu      sync.Mutex
	history []porcupine.Operation
}

// record adds an attempt to the history. An attempt with an unknown outcome may
// take effect at any later time, so its operation has no end.
func (o *order) record(result observed, call, end time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	operation := porcupine.Operation{ClientId: len(o.history), Output: result, Call: int64(call), Return: int64(end)}
	if result.kind == outcomeUnknown {
		operation.Return = math.MaxInt64
	}
	o.history = append(o.history, operation)
}

func (o *order) answered() bool {
	for _, operation := range o.history {
		if operation.Output.(observed).kind == outcomeAnswered {
			return true
		}
	}
	return false
}

// possibleRun is the state after an attempt with an unknown outcome, which may
// have run or not. The history has no ID for a run without an answer, so the
// model leaves the run open until an answer or the journals identify it.
const possibleRun = "?"

// keyModel is the sequential specification of one key. The state is the ID of the
// order's run, or empty before the run. The attempts together run the order at
// most once; answers and the journals contain the ID of that run; "not run" leaves
// the state unchanged.
var keyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		run, out := state.(string), output.(observed)
		switch out.kind {
		case outcomeNotRun:
			return true, run
		case outcomeUnknown:
			if run == "" {
				return true, possibleRun
			}
			return true, run
		case outcomeAnswered:
			return run == "" || run == possibleRun || run == out.run, out.run
		default:
			return run == out.run || run == possibleRun, out.run
		}
	},
}

// check checks the history of the key against the runs in the targets' journals.
func (o *order) check(runs []string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(runs) > 1 {
		return fmt.Errorf("order %s with key %s ran %d times: %v", o.id, o.key, len(runs), o.history)
	}
	recorded := observed{kind: outcomeRecordedRuns}
	if len(runs) == 1 {
		recorded.run = runs[0]
	}
	last := int64(0)
	for _, operation := range o.history {
		last = max(last, operation.Call)
		if operation.Return < math.MaxInt64 {
			last = max(last, operation.Return)
		}
	}
	history := append(o.history, porcupine.Operation{ClientId: len(o.history), Output: recorded, Call: last + 1, Return: last + 2})
	if result := porcupine.CheckOperationsTimeout(keyModel, history, historyTimeout); result != porcupine.Ok {
		return fmt.Errorf("order %s with key %s, runs %v: %s: %+v", o.id, o.key, runs, result, history)
	}
	return nil
}
