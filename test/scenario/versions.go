package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// historyTimeout bounds the linearizability check of one history.
const historyTimeout = 20 * time.Second

// generationPath is the path of the route that exists only in one generation.
const generationPath = "/g/%04d"

// observeTimeout bounds the wait for at least one read from each daemon.
const observeTimeout = 10 * time.Second

// earlierGenerations is the number of generations before the latest whose routes
// are polled.
const earlierGenerations = 2

// versionMonitor polls two versions of every daemon: the one that the daemon
// reports, and the one by which it routes calls. Each configuration has a unique
// route, so an answered call to this route identifies the configuration.
type versionMonitor struct {
	m      *mesh
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ctx    context.Context

	mu        sync.Mutex
	startedAt time.Time
	reported  map[string][]porcupine.Operation // by VM
	served    map[string][]porcupine.Operation
}

func newVersionMonitor(m *mesh) *versionMonitor {
	mon := &versionMonitor{m: m, startedAt: time.Now(), reported: map[string][]porcupine.Operation{}, served: map[string][]porcupine.Operation{}}
	mon.ctx, mon.cancel = context.WithCancel(context.Background())
	return mon
}

// add starts to poll a VM.
func (mon *versionMonitor) add(v *vm) {
	for _, read := range []func(*vm){mon.readReported, mon.readServed} {
		mon.wg.Go(func() {
			for mon.ctx.Err() == nil {
				read(v)
				time.Sleep(pollInterval)
			}
		})
	}
}

func (mon *versionMonitor) close() {
	mon.cancel()
	mon.wg.Wait()
}

func (mon *versionMonitor) readReported(v *vm) {
	call := time.Since(mon.startedAt)
	s, err := mon.m.status(v)
	if err != nil || s.Version == 0 { // a restarted daemon has no version at first
		return
	}
	mon.record(mon.reported, v, call, s.Version)
}

func (mon *versionMonitor) readServed(v *vm) {
	latest := mon.m.generation.Load()
	for n := max(1, latest-earlierGenerations); n <= latest; n++ {
		call := time.Since(mon.startedAt)
		r, err := mon.m.do(httpRequest{
			method: consts.MethodGet, url: "http://" + v.address(portCalls) + fmt.Sprintf(generationPath, n),
			host: catalogueHost, headers: map[string]string{memberHeader: "watch"}, timeout: callTimeout,
		})
		if err == nil && r.status == consts.StatusOK {
			mon.record(mon.served, v, call, uint64(n))
		}
	}
}

func (mon *versionMonitor) record(history map[string][]porcupine.Operation, v *vm, call time.Duration, version uint64) {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	history[v.name] = append(history[v.name], porcupine.Operation{Output: version, Call: int64(call), Return: int64(time.Since(mon.startedAt))})
}

// monotonic is the model of a register that never decreases: each read returns at
// least the value of the previous reads.
var monotonic = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, _, output any) (bool, any) {
		return output.(uint64) >= state.(uint64), output
	},
}

// allObserved returns an error if the version of a daemon was never read.
func (mon *versionMonitor) allObserved() error {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	for _, v := range mon.m.all() {
		if len(mon.reported[v.name]) == 0 || len(mon.served[v.name]) == 0 && mon.m.generation.Load() > 0 {
			return fmt.Errorf("no version of %s was read", v.name)
		}
	}
	return nil
}

// check checks that the versions of no daemon decreased, including over restarts,
// and that both kinds of versions were read from each daemon.
func (mon *versionMonitor) check() error {
	if err := mon.m.eventually(observeTimeout, mon.allObserved); err != nil {
		return err
	}
	mon.mu.Lock()
	defer mon.mu.Unlock()
	reads := 0
	for kind, histories := range map[string]map[string][]porcupine.Operation{"reported by": mon.reported, "served by": mon.served} {
		for name, history := range histories {
			reads += len(history)
			if result := porcupine.CheckOperationsTimeout(monotonic, history, historyTimeout); result != porcupine.Ok {
				return fmt.Errorf("versions %s %s decreased: %s: %s", kind, name, result, describeRegression(history))
			}
		}
	}
	mon.m.logf("versions: %d reads from %d daemons, none decreased", reads, len(mon.reported))
	return nil
}

// describeRegression describes the first two consecutive reads of which the
// second returned an older version.
func describeRegression(history []porcupine.Operation) string {
	for i := 1; i < len(history); i++ {
		if before, after := history[i-1], history[i]; after.Output.(uint64) < before.Output.(uint64) {
			return fmt.Sprintf("%d at %s, then %d at %s", before.Output, time.Duration(before.Call), after.Output, time.Duration(after.Call))
		}
	}
	return "no decrease between consecutive reads"
}
