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

// applyTries bounds the repeats of an apply whose outcome is unknown.
const applyTries = 5

// change is an apply that sets the slots of both services, or a read.
type change struct {
	slots int // 0 for a read
	base  uint64
}

// learnt is what an operator learnt.
type learnt struct {
	version uint64
	slots   [2]int // of a read, by service
	refused bool
	failed  bool
	unknown bool
}

// held is the state of the sequential specification.
type held struct {
	version uint64
	slots   int
}

// configurationModel starts from the state that the first read showed. It accepts a change only on the version that it builds on,
// whole and as the next version, and refuses it only if there is a later one.
func configurationModel(first held) porcupine.Model {
	return porcupine.Model{Init: func() any { return first }, Step: stepConfiguration}
}

func stepConfiguration(state, input, output any) (bool, any) {
	h, in, out := state.(held), input.(change), output.(learnt)
	next := held{version: h.version + 1, slots: in.slots}
	switch {
	case in.slots == 0:
		return out.version == h.version && out.slots == [2]int{h.slots, h.slots}, h
	case out.failed:
		return true, h
	case out.refused:
		return h.version > in.base, h
	case out.unknown:
		if h.version == in.base {
			return true, next
		}
		return true, h
	default:
		return h.version == in.base && out.version == next.version, next
	}
}

// race lets operators apply changes of the same services at the same time.
type race struct {
	m       *mesh
	mu      sync.Mutex
	start   time.Time
	history []porcupine.Operation
}

func (r *race) record(client int, in change, call time.Duration, out learnt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := int64(time.Since(r.start))
	if out.unknown {
		end = math.MaxInt64
	}
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: out, Return: end})
}

// run makes rounds in which each operator applies at a daemon of its own. There
// must be a configuration before, since a base version of 0 means the current.
func (r *race) run(file string, rounds int, at []*vm) error {
	r.start = time.Now()
	failed := make([]error, len(at))
	for round := range rounds {
		base, err := r.read(at[0])
		if err != nil {
			return err
		}
		var wg sync.WaitGroup
		for i, v := range at {
			wg.Go(func() {
				in := change{slots: 2 + round*len(at) + i, base: base}
				failed[i] = r.apply(i+1, v, at[(i+1)%len(at)], file, in)
			})
		}
		wg.Wait()
		if err := errors.Join(failed...); err != nil {
			return err
		}
	}
	_, err := r.read(at[0])
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
	out := learnt{version: got.Version}
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

// apply applies a change, and repeats it at the other daemon with the same
// operation number while its outcome is unknown.
func (r *race) apply(client int, v, other *vm, file string, in change) error {
	written, err := r.m.render(file, map[string]string{"SLOTS": strconv.Itoa(in.slots)})
	if err != nil {
		return err
	}
	operation := uuid.NewString()
	call := time.Since(r.start)
	out := learnt{}
	for range applyTries {
		stdout, stderr, code := r.m.nutmegctl(v, "apply", "-operation", operation, "-base-version", strconv.FormatUint(in.base, 10), written)
		if out, err = applyOutcome(stdout, code); err != nil {
			return fmt.Errorf("apply at %s: %w: %s%s", v.name, err, stdout, stderr)
		}
		if !out.unknown {
			break
		}
		v, other = other, v
	}
	if out.version > 0 {
		r.m.noteAccepted(out.version)
	}
	r.record(client, in, call, out)
	return nil
}

func applyOutcome(stdout string, code int) (learnt, error) {
	if code == 0 {
		var result admin.ApplyResult
		err := json.Unmarshal([]byte(stdout), &result)
		return learnt{version: result.Version}, err
	}
	var body admin.ErrorBody
	if err := json.Unmarshal([]byte(stdout), &body); err != nil || body.Error == nil {
		return learnt{}, errors.New("the answer holds no error")
	}
	switch body.Error.Kind {
	case admin.KindConflict:
		return learnt{refused: true}, nil
	case admin.KindNotApplied:
		return learnt{failed: true}, nil
	case admin.KindOutcomeUnknown:
		return learnt{unknown: true}, nil
	}
	return learnt{}, body.Error
}

// check checks the history, and that both acceptance and conflict occurred.
func (r *race) check() error {
	accepted, refused, failed, unknown := 0, 0, 0, 0
	for _, operation := range r.history {
		switch out := operation.Output.(learnt); {
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
	first := r.history[0].Output.(learnt)
	model := configurationModel(held{version: first.version, slots: first.slots[0]})
	if result := porcupine.CheckOperationsTimeout(model, r.history, historyTimeout); result != porcupine.Ok {
		return fmt.Errorf("the changes are not one after the other: %s: %+v", result, r.history)
	}
	if accepted == 0 || refused == 0 {
		return errors.New("no two operators raced")
	}
	return nil
}
