package scenario

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// outcome is what a caller learnt from one attempt.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeNotRun
	outcomeAnswered
	outcomeCounted // not a call: the runs that the targets noted
)

// observed is the output of one operation on a key.
type observed struct {
	kind outcome
	run  string // the run that the answer tells of, or that was noted
}

// order is one order with the history of its key.
type order struct {
	id, key string
	worker  int // its member sends all attempts
	mu      sync.Mutex
	history []porcupine.Operation
}

// record adds an attempt. One of unknown outcome may take effect at any later
// time, so it has no end.
func (o *order) record(seen observed, call, end time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	operation := porcupine.Operation{ClientId: len(o.history), Output: seen, Call: int64(call), Return: int64(end)}
	if seen.kind == outcomeUnknown {
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

// mayRun is the state after an attempt of unknown outcome: it ran or not.
// Because a run without an answer has no name in the history, the model keeps
// it open until an answer or the count names it.
const mayRun = "?"

// keyModel is the sequential specification of one key. The state is the run of
// the order, empty before. Any attempt runs it at most once; an answer and the
// count of the targets name that run; "not run" changes nothing.
var keyModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		held, seen := state.(string), output.(observed)
		switch seen.kind {
		case outcomeNotRun:
			return true, held
		case outcomeUnknown:
			if held == "" {
				return true, mayRun
			}
			return true, held
		case outcomeAnswered:
			return held == "" || held == mayRun || held == seen.run, seen.run
		default:
			return held == seen.run || held == mayRun, seen.run
		}
	},
}

// check checks the history of the key with the runs that the targets noted.
func (o *order) check(runs []string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(runs) > 1 {
		return fmt.Errorf("order %s with key %s ran %d times: %v", o.id, o.key, len(runs), o.history)
	}
	counted := observed{kind: outcomeCounted}
	if len(runs) == 1 {
		counted.run = runs[0]
	}
	last := int64(0)
	for _, operation := range o.history {
		last = max(last, operation.Call)
		if operation.Return < math.MaxInt64 {
			last = max(last, operation.Return)
		}
	}
	history := append(o.history, porcupine.Operation{ClientId: len(o.history), Output: counted, Call: last + 1, Return: last + 2})
	if result := porcupine.CheckOperationsTimeout(keyModel, history, historyTimeout); result != porcupine.Ok {
		return fmt.Errorf("order %s with key %s, runs %v: %s: %+v", o.id, o.key, runs, result, history)
	}
	return nil
}
