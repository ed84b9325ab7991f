package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/test/platform/standin"
	"nutmegstand.example/nutmegstand/test/processes"
)

const (
	clientsPerMachine = 3
	// startBound is the time in which a deployment serves after its start.
	startBound = 15 * time.Second
	// recoverBound is the operator's bound on service after the last fault.
	recoverBound = 15 * time.Second
	// readyPoll is the time between looks at readiness.
	readyPoll = 50 * time.Millisecond
)

// Options of one run.
type Options struct {
	Seed     uint64
	Machines int
	Duration time.Duration // of the faults
	Moves    bool          // to other versions of the targets, beside the faults
	BinDir   string
	LogDir   string
}

// Result is what a run has seen.
type Result struct {
	Requests int
	Statuses map[int]int
	Faults   []string // with the time of their start
	Broken   []string // promises, empty on success
}

// soak is one run.
type soak struct {
	t        testing.TB
	options  Options
	store    *standin.Store
	machines []*machine
	ledger   *ledger

	mu      sync.Mutex
	version int
	log     []string
	running map[string]bool // store faults and the like, once at a time
}

// Run plays one seed.
func Run(t testing.TB, o Options) *Result {
	s := &soak{t: t, options: o, store: standin.NewStore(t), ledger: newLedger(), running: make(map[string]bool)}
	fleet := &processes.Fleet{BinDir: o.BinDir, LogDir: o.LogDir}
	defer fleet.KillAll()
	s.configure()
	for i := range o.Machines {
		m, err := newMachine(i, fleet, s.store.Address, s.ledger)
		if err != nil {
			t.Fatal(err)
		}
		s.machines = append(s.machines, m)
		s.check(m.start())
		s.check(m.startTarget())
	}
	defer s.close()
	s.awaitService("start", startBound)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, m := range s.machines {
		for range clientsPerMachine {
			clients.Go(func() { newClient(m).run(ctx) })
		}
		clients.Go(func() { newClient(m).probe(ctx, s.latest) })
	}
	var moves sync.WaitGroup
	done := make(chan struct{})
	if o.Moves {
		moves.Go(func() { s.moves(rand.New(rand.NewPCG(o.Seed, 1)), done) })
	}
	s.disturb()
	close(done)
	moves.Wait()
	s.awaitService("recover", recoverBound)
	cancel()
	clients.Wait()
	time.Sleep(timeBudget) // what is still under way ends
	return &Result{Requests: len(s.ledger.attempts), Statuses: s.ledger.statuses, Faults: s.log, Broken: s.ledger.close()}
}

func (s *soak) check(err error) {
	if err != nil {
		s.ledger.breach("%v", err)
	}
}

// configure writes the next version of the configuration.
func (s *soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	var resources []any
	for path, kind := range map[string]string{"/look/": "idempotent", "/order/": "non_idempotent", versionPath(s.version): "idempotent"} {
		resources = append(resources, map[string]any{
			"resource_type": "routes", "metadata": map[string]string{"name": path},
			"spec": map[string]any{
				"host": callerHost, "path_prefix": path, "kind": kind, "timeout_ms": timeBudget.Milliseconds(), "target_latency_ms": 400,
				"priority": 1, "service": service, "max_attempts": 2,
			},
		})
	}
	s.store.Put("config", "main", map[string]any{"version": s.version, "resources": resources})
}

func (s *soak) latest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// disturb injects faults in an order that the seed fixes, up to several at a time.
func (s *soak) disturb() {
	rng := rand.New(rand.NewPCG(s.options.Seed, 0))
	end := time.Now().Add(s.options.Duration)
	var active sync.WaitGroup
	for time.Now().Before(end) {
		f, m := &faults[rng.IntN(len(faults))], s.machines[rng.IntN(len(s.machines))]
		d := shortestFault + time.Duration(rng.Int64N(int64(longestFault-shortestFault)))
		pause := time.Duration(rng.Int64N(int64(longestPause)))
		if s.begin(f, m) {
			s.note("%s %s %s", f.name, m.name, d)
			m.disturb(1)
			active.Go(func() {
				defer s.end(f, m)
				defer m.disturb(-1)
				s.check(f.inject(s, m, d))
			})
		}
		time.Sleep(pause)
	}
	active.Wait()
}

// begin reports whether a fault may start beside those under way.
func (s *soak) begin(f *fault, m *machine) bool {
	if f.alone {
		return m.take()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := f.name + m.name
	if s.running[key] {
		return false
	}
	s.running[key] = true
	return true
}

func (s *soak) end(f *fault, m *machine) {
	if f.alone {
		m.release()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, f.name+m.name)
}

// awaitService waits until every daemon is ready, holds the latest configuration
// and serves, and until none has ended by itself.
func (s *soak) awaitService(what string, bound time.Duration) {
	deadline := time.Now().Add(bound)
	for _, m := range s.machines {
		c := newClient(m)
		for !m.ready() || c.request(versionPath(s.latest()), false) != http.StatusOK {
			if time.Now().After(deadline) {
				s.ledger.breach("%s: %s does not serve after %s", what, m.name, bound)
				break
			}
			time.Sleep(readyPoll)
		}
		if p, _, _ := m.current(); !p.Running() {
			s.ledger.breach("%s: the daemon of %s ended by itself: %v", what, m.name, p.Err())
		}
	}
}

func (s *soak) close() {
	for _, m := range s.machines {
		if _, t, _ := m.current(); t != nil {
			t.crash()
		}
		for _, w := range m.wires() {
			w.close()
		}
	}
}
