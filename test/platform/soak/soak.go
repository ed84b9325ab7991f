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
	// startTimeout is the time within which a deployment must serve after its start.
	startTimeout = 15 * time.Second
	// recoveryTimeout is the recovery time that the operator requires after the last
	// fault.
	recoveryTimeout   = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Seed     uint64
	Machines int
	Duration time.Duration // of the fault injection
	Moves    bool          // run moves to other versions of the targets as well
	Overlay  bool          // limit targets, cut machines off from the store and evacuate failure domains as well, and check that configurations are in force in time
	// OverlayOnly leaves out the faults of the seed. Beside them few machines are
	// undisturbed long enough for the check of configurations.
	OverlayOnly bool
	// Returns lets the store return from older copies of itself.
	Returns bool
	BinDir  string
	LogDir  string
}

// Result is the outcome of a run.
type Result struct {
	Requests     int
	StatusCounts map[int]int
	Events       []string // faults and moves, each with its time
	Violations   []string // of guarantees, empty on success
}

// soak is one run.
type soak struct {
	t        testing.TB
	options  Options
	store    *standin.Store
	machines []*machine
	history  *history

	mu            sync.Mutex
	configVersion int
	configuredAt  time.Time // confirmation of configVersion
	storeFaultAt  time.Time // last fault of the store
	events        []string
	activeFaults  map[string]bool   // non-exclusive faults by name and machine
	losses        sync.Mutex        // held while all daemons are lost, or while the store may lack what they have stored
	written       map[[2]string]any // what the operator has written, by kind and name; nil if it was deleted
}

// Run runs the schedule of one seed.
func Run(t testing.TB, o Options) *Result {
	s := &soak{t: t, options: o, store: standin.NewStore(t), history: newHistory(), activeFaults: make(map[string]bool), written: make(map[[2]string]any)}
	children := &processes.Group{BinDir: o.BinDir, LogDir: o.LogDir}
	defer children.KillAll()
	s.configure()
	for i := range o.Machines {
		m, err := newMachine(i, children, s.store.Address, s.history, o.Overlay)
		if err != nil {
			t.Fatal(err)
		}
		s.machines = append(s.machines, m)
		s.check(m.start())
		s.check(m.startTarget())
	}
	defer s.close()
	s.awaitService("start", startTimeout)
	for _, m := range s.machines {
		m.settings.FirstStart = false
		s.check(m.writeSettings())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for _, m := range s.machines {
		for range clientsPerMachine {
			clients.Go(func() { newClient(m).run(ctx) })
		}
		clients.Go(func() { newClient(m).probe(ctx, s.latestConfigVersion) })
	}
	var moves sync.WaitGroup
	done := make(chan struct{})
	if o.Overlay {
		moves.Go(func() { s.runOverlay(rand.New(rand.NewPCG(o.Seed, 2)), done) })
		moves.Go(func() { s.checkLateConfigurations(done) })
		moves.Go(func() { s.runEvacuations(rand.New(rand.NewPCG(o.Seed, 3)), done) })
	}
	if o.Returns {
		moves.Go(func() { s.runReturns(rand.New(rand.NewPCG(o.Seed, 4)), done) })
	}
	if o.Moves {
		moves.Go(func() { s.runMoves(rand.New(rand.NewPCG(o.Seed, 1)), done) })
	}
	if o.OverlayOnly {
		time.Sleep(o.Duration)
	} else {
		s.injectFaults()
	}
	close(done)
	moves.Wait()
	s.awaitService("recover", recoveryTimeout)
	cancel()
	clients.Wait()
	time.Sleep(timeBudget) // wait for the requests that are still in flight at targets
	return &Result{Requests: len(s.history.requests), StatusCounts: s.history.statusCounts, Events: s.events, Violations: s.history.check()}
}

func (s *soak) check(err error) {
	if err != nil {
		s.history.addViolation("%v", err)
	}
}

// configure writes the next version of the configuration.
func (s *soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configVersion++
	var resources []any
	for path, kind := range map[string]string{"/look/": "idempotent", "/order/": "non_idempotent", configVersionPath(s.configVersion): "idempotent"} {
		resources = append(resources, map[string]any{
			"resource_type": "routes", "metadata": map[string]string{"name": path},
			"spec": map[string]any{
				"host": routeHost, "path_prefix": path, "kind": kind, "timeout_ms": timeBudget.Milliseconds(), "target_latency_ms": 400,
				"priority": 1, "service": service, "max_attempts": 2,
			},
		})
	}
	if s.options.Overlay {
		resources = append(resources, coldService())
	}
	s.putLocked("config", "main", map[string]any{"version": s.configVersion, "resources": resources})
	s.configuredAt = time.Now()
}

// latestConfirmed returns the latest version of the configuration and when the store
// confirmed it.
func (s *soak) latestConfirmed() (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configVersion, s.configuredAt
}

func (s *soak) latestConfigVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configVersion
}

// injectFaults injects faults in an order that the seed determines. Faults may
// overlap.
func (s *soak) injectFaults() {
	rng := rand.New(rand.NewPCG(s.options.Seed, 0))
	deadline := time.Now().Add(s.options.Duration)
	var active sync.WaitGroup
	for time.Now().Before(deadline) {
		f, m := &faults[rng.IntN(len(faults))], s.machines[rng.IntN(len(s.machines))]
		d := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		pause := time.Duration(rng.Int64N(int64(maxFaultInterval)))
		if s.startFault(f, m) {
			s.logEvent("%s %s %s", f.name, m.name, d)
			m.addActiveFaults(1)
			active.Go(func() {
				defer s.endFault(f, m)
				defer m.addActiveFaults(-1)
				s.check(f.inject(s, m, d))
			})
		}
		time.Sleep(pause)
	}
	active.Wait()
}

// startFault reports whether a fault may start alongside the active faults, and if so
// marks it as active.
func (s *soak) startFault(f *fault, m *machine) bool {
	if f.exclusive {
		return m.reserve()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := f.name + m.name
	if s.activeFaults[key] {
		return false
	}
	s.activeFaults[key] = true
	return true
}

func (s *soak) endFault(f *fault, m *machine) {
	if f.exclusive {
		m.release()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.activeFaults, f.name+m.name)
}

// awaitService waits until every daemon is ready and serves the latest
// configuration, and checks that no daemon has exited unexpectedly.
func (s *soak) awaitService(phase string, timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for _, m := range s.machines {
		c := newClient(m)
		for !m.ready() || c.request(configVersionPath(s.latestConfigVersion()), false) != http.StatusOK {
			if time.Now().After(deadline) {
				s.history.addViolation("%s: %s does not serve the latest configuration after %s", phase, m.name, timeout)
				break
			}
			time.Sleep(readyPollInterval)
		}
		if p, _, _ := m.current(); !p.Running() {
			s.history.addViolation("%s: the daemon of %s exited unexpectedly: %v", phase, m.name, p.Err())
		}
	}
}

func (s *soak) close() {
	for _, m := range s.machines {
		if _, t, _ := m.current(); t != nil {
			t.crash()
		}
		for _, p := range m.proxies() {
			p.close()
		}
	}
}
