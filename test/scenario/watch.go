package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// historyTimeout bounds the check of one history.
const historyTimeout = 20 * time.Second

// generationPath is the path of the route that only one generation has.
const generationPath = "/g/%04d"

// observeLimit bounds the wait until each daemon was observed.
const observeLimit = 10 * time.Second

// generationsBack is how many earlier generations are asked for.
const generationsBack = 2

// watch reads the version of every daemon all the time: the one that it
// reports, and the one by which it answers. Each configuration has a route that
// no other has, so an answer on it tells the configuration.
type watch struct {
	m    *mesh
	stop context.CancelFunc
	wg   sync.WaitGroup
	ctx  context.Context

	mu       sync.Mutex
	start    time.Time
	reported map[string][]porcupine.Operation // by VM
	answered map[string][]porcupine.Operation
}

func newWatch(m *mesh) *watch {
	w := &watch{m: m, start: time.Now(), reported: map[string][]porcupine.Operation{}, answered: map[string][]porcupine.Operation{}}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

// add watches one more VM.
func (w *watch) add(v *vm) {
	for _, read := range []func(*vm){w.readReported, w.readAnswered} {
		w.wg.Go(func() {
			for w.ctx.Err() == nil {
				read(v)
				time.Sleep(pollInterval)
			}
		})
	}
}

func (w *watch) end() {
	w.stop()
	w.wg.Wait()
}

func (w *watch) readReported(v *vm) {
	call := time.Since(w.start)
	s, err := w.m.status(v)
	if err != nil || s.Version == 0 { // a restarted daemon holds none at first
		return
	}
	w.record(w.reported, v, call, s.Version)
}

func (w *watch) readAnswered(v *vm) {
	latest := w.m.generation.Load()
	for n := max(1, latest-generationsBack); n <= latest; n++ {
		call := time.Since(w.start)
		r, err := w.m.do(exchange{
			method: consts.MethodGet, url: "http://" + v.address(portCalls) + fmt.Sprintf(generationPath, n),
			host: catalogueHost, headers: map[string]string{memberHeader: "watch"}, timeout: callTimeout,
		})
		if err == nil && r.status == consts.StatusOK {
			w.record(w.answered, v, call, uint64(n))
		}
	}
}

func (w *watch) record(history map[string][]porcupine.Operation, v *vm, call time.Duration, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	history[v.name] = append(history[v.name], porcupine.Operation{Output: version, Call: int64(call), Return: int64(time.Since(w.start))})
}

// monotonic is a register that never falls: each read gives at least what the
// reads before it gave.
var monotonic = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		return output.(uint64) >= state.(uint64), output
	},
}

// complete reports a daemon whose version was never observed.
func (w *watch) complete() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.m.all() {
		if len(w.reported[v.name]) == 0 || len(w.answered[v.name]) == 0 && w.m.generation.Load() > 0 {
			return fmt.Errorf("the version of %s was never observed", v.name)
		}
	}
	return nil
}

// check checks that no daemon went back, over all its restarts, and that the
// versions told by the answers were observed at all.
func (w *watch) check() error {
	if err := w.m.eventually(observeLimit, w.complete); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	reads := 0
	for kind, histories := range map[string]map[string][]porcupine.Operation{"reported": w.reported, "answered by": w.answered} {
		for name, history := range histories {
			reads += len(history)
			if result := porcupine.CheckOperationsTimeout(monotonic, history, historyTimeout); result != porcupine.Ok {
				return fmt.Errorf("versions %s %s went back: %s: %s", kind, name, result, falls(history))
			}
		}
	}
	w.m.logf("versions: %d reads of %d daemons, none went back", reads, len(w.reported))
	return nil
}

// falls describes the first reads after which an older version was read.
func falls(history []porcupine.Operation) string {
	for i := 1; i < len(history); i++ {
		if before, after := history[i-1], history[i]; after.Output.(uint64) < before.Output.(uint64) {
			return fmt.Sprintf("%d at %s, then %d at %s", before.Output, time.Duration(before.Call), after.Output, time.Duration(after.Call))
		}
	}
	return "only in concurrent reads"
}
