package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"nutmegstand.example/nutmegstand/pkg/admin"
)

// maxApplyAttempts bounds the attempts of an apply whose outcome is unknown.
const maxApplyAttempts = 5

// change is the input of an operation: an apply that sets the slots of both
// services, or a read.
type change struct {
	slots int // 0 for a read
	base  uint64
}

// changeResult is the output of an operation, as the operator saw it.
type changeResult struct {
	version uint64
	slots   [2]int // result of a read, by service
	refused bool   // conflict with a later version
	failed  bool   // not applied
	unknown bool   // outcome unknown
}

// configState is the state of the sequential specification configurationModel.
type configState struct {
	version uint64
	slots   int
}

// configurationModel starts from the state that the first read returned. A change
// is accepted only if its base is the current version; it then takes effect in
// full as the next version. It is refused as a conflict only if the current
// version is later than its base.
func configurationModel(first configState) porcupine.Model {
	return porcupine.Model{Init: func() any { return first }, Step: stepConfiguration}
}

func stepConfiguration(state, input, output any) (bool, any) {
	current, in, out := state.(configState), input.(change), output.(changeResult)
	next := configState{version: current.version + 1, slots: in.slots}
	switch {
	case in.slots == 0:
		return out.version == current.version && out.slots == [2]int{current.slots, current.slots}, current
	case out.failed:
		return true, current
	case out.refused:
		return current.version > in.base, current
	case out.unknown:
		if current.version == in.base {
			return true, next
		}
		return true, current
	default:
		return current.version == in.base && out.version == next.version, next
	}
}

// race runs operators that apply changes of the same services concurrently.
type race struct {
	m       *mesh
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (r *race) record(client int, in change, call time.Duration, out changeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := int64(time.Since(r.start))
	if out.unknown {
		end = math.MaxInt64
	}
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: out, Return: end})
}

// run runs rounds in which each operator applies a change at a different daemon.
// A configuration must exist before, since base version 0 means the current
// version.
func (r *race) run(file string, rounds int, vms []*vm) error {
	r.start = time.Now()
	errs := make([]error, len(vms))
	for round := range rounds {
		base, err := r.read(vms[0])
		if err != nil {
			return err
		}
		var wg sync.WaitGroup
		for i, v := range vms {
			wg.Go(func() {
				in := change{slots: 2 + round*len(vms) + i, base: base}
				errs[i] = r.apply(i+1, v, vms[(i+1)%len(vms)], file, in)
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	_, err := r.read(vms[0])
	return err
}

// read reads the configuration and returns its version.
func (r *race) read(v *vm) (uint64, error) {
	call := time.Since(r.start)
	stdout, stderr, code := r.m.nutmegctl(v, "get")
	if code != 0 {
		return 0, fmt.Errorf("get at %s: %s%s", v.name, stdout, stderr)
	}
	var got admin.ConfigResult
	if err := json.Unmarshal([]byte(stdout), &got); err != nil {
		return 0, err
	}
	out := changeResult{version: got.Version}
	for i, name := range []string{"catalogue", "orderdesk"} {
		for _, service := range got.Configuration.Services {
			if service.Name == name {
				out.slots[i] = service.Slots
			}
		}
	}
	r.record(0, change{}, call, out)
	return got.Version, nil
}

// apply applies a change at v. While the outcome is unknown, it retries with the
// same operation ID, alternating between v and fallback.
func (r *race) apply(client int, v, fallback *vm, file string, in change) error {
	written, err := r.m.render(file, map[string]string{"SLOTS": strconv.Itoa(in.slots)})
	if err != nil {
		return err
	}
	operation := uuid.NewString()
	call := time.Since(r.start)
	out := changeResult{}
	for range maxApplyAttempts {
		stdout, stderr, code := r.m.nutmegctl(v, "apply", "-operation", operation, "-base-version", strconv.FormatUint(in.base, 10), written)
		if out, err = applyOutcome(stdout, code); err != nil {
			return fmt.Errorf("apply at %s: %w: %s%s", v.name, err, stdout, stderr)
		}
		if !out.unknown {
			break
		}
		v, fallback = fallback, v
	}
	if out.version > 0 {
		r.m.recordAccepted(out.version)
	}
	r.record(client, in, call, out)
	return nil
}

func applyOutcome(stdout string, code int) (changeResult, error) {
	if code == 0 {
		var result admin.ApplyResult
		err := json.Unmarshal([]byte(stdout), &result)
		return changeResult{version: result.Version}, err
	}
	var body admin.ErrorBody
	if err := json.Unmarshal([]byte(stdout), &body); err != nil || body.Error == nil {
		return changeResult{}, errors.New("the response is not a JSON error object")
	}
	switch body.Error.Kind {
	case admin.KindConflict:
		return changeResult{refused: true}, nil
	case admin.KindNotApplied:
		return changeResult{failed: true}, nil
	case admin.KindOutcomeUnknown:
		return changeResult{unknown: true}, nil
	}
	return changeResult{}, body.Error
}

// check checks that the history is linearizable and contains both an accepted
// change and a conflict.
func (r *race) check() error {
	accepted, refused, failed, unknown := 0, 0, 0, 0
	for _, operation := range r.history {
		switch out := operation.Output.(changeResult); {
		case out.refused:
			refused++
		case out.failed:
			failed++
		case out.unknown:
			unknown++
		case operation.Input.(change).slots > 0:
			accepted++
		}
	}
	r.m.logf("race: %d accepted, %d in conflict, %d not applied, %d unknown", accepted, refused, failed, unknown)
	first := r.history[0].Output.(changeResult)
	model := configurationModel(configState{version: first.version, slots: first.slots[0]})
	if result := porcupine.CheckOperationsTimeout(model, r.history, historyTimeout); result != porcupine.Ok {
		return fmt.Errorf("the history of changes is not linearizable: %s: %+v", result, r.history)
	}
	if accepted == 0 || refused == 0 {
		return errors.New("the race needs at least one accepted change and one conflict")
	}
	return nil
}
