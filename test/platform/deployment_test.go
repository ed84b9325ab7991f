package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"nutmegstand.example/nutmegstand/pkg/fleetview"
	"nutmegstand.example/nutmegstand/pkg/node"
	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/platform"
	"nutmegstand.example/nutmegstand/test/platform/standin"
)

const (
	service = "desk"
	// applyTimeout is the time within which the operator requires a new configuration
	// to be in force.
	applyTimeout = 2 * time.Second
	// recoveryTimeout is the time within which the operator requires service after a
	// failure.
	recoveryTimeout = 15 * time.Second
)

// machine is a VM with a daemon and its local target.
type machine struct {
	t        *testing.T
	settings *node.Settings
	store    string
	target   *proxytest.Target
	id       string
	version  string // of the target
	stop     context.CancelFunc
	ended    chan error
	logger   *zap.Logger
	edge     node.Edge

	mu       sync.Mutex
	sequence int
	state    string    // reported by the heartbeats of the target; if empty, none are sent
	warmAt   time.Time // end of the cold phase that the heartbeats report
}

// deployment is a store and a set of machines.
type deployment struct {
	t        *testing.T
	store    *standin.Store
	machines []*machine
	prepare  func(m *machine) // called before a machine starts, if set
	extra    []any            // further entries of the configuration
}

func newDeployment(t *testing.T, n int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(t)}
	t.Parallel()
	t.Cleanup(d.stop)
	d.configure(1, "/look/", "/order/")
	d.startMachines(n)
	return d
}

// startMachines starts n machines and waits until all of them serve.
func (d *deployment) startMachines(n int) {
	d.t.Helper()
	for i := range n {
		m := d.newMachine(i)
		if d.prepare != nil {
			d.prepare(m)
		}
		m.start()
		go m.sendHeartbeats(d.t.Context())
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		eventually(d.t, "the machine serves", 10*time.Second, func() bool { return m.get("/look/1") == http.StatusOK })
	}
}

// awaitTargets waits until every machine knows the targets of all machines as ready.
func (d *deployment) awaitTargets() {
	d.t.Helper()
	for _, m := range d.machines {
		eventually(d.t, "all targets are known", recoveryTimeout, func() bool { return m.readyTargets() == len(d.machines) })
	}
}

// readyTargets returns the number of targets that are ready in the view of the machine.
func (m *machine) readyTargets() int {
	response, err := http.Get("http://" + m.settings.Listen.Metrics + fleetview.Path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var view fleetview.View
	if json.NewDecoder(response.Body).Decode(&view) != nil {
		return 0
	}
	ready := 0
	for _, member := range view.Members {
		if member.Target != nil && member.Target.State == fleetview.TargetReady {
			ready++
		}
	}
	return ready
}

// stop stops all daemons concurrently.
func (d *deployment) stop() {
	for _, m := range d.machines {
		if m.stop != nil {
			m.stop()
		}
	}
	for _, m := range d.machines {
		if m.stop != nil {
			<-m.ended
			m.stop = nil // it may not start again
		}
	}
}

// configure writes a configuration with a route for each prefix.
func (d *deployment) configure(version int, prefixes ...string) {
	var resources []any
	for _, prefix := range prefixes {
		kind := "idempotent"
		if strings.HasPrefix(prefix, "/order") {
			kind = "non_idempotent"
		}
		resources = append(resources, map[string]any{
			"resource_type": "routes", "metadata": map[string]string{"name": prefix},
			"spec": map[string]any{
				"host": "fish.example", "path_prefix": prefix, "kind": kind, "timeout_ms": routeTimeoutMS(prefix), "target_latency_ms": 600,
				"priority": 1, "service": service, "max_attempts": 2,
			},
		})
	}
	d.store.Put("config", "main", map[string]any{"version": version, "resources": append(resources, d.extra...)})
}

func routeTimeoutMS(prefix string) int {
	if strings.HasPrefix(prefix, "/long") {
		return 20000
	}
	return 1500
}

// portOffset is the offset of the last allocated port from firstPort. All ports lie
// below the range that the kernel assigns to outgoing connections, so that no
// connection of another test takes a port before the daemon listens on it.
var portOffset atomic.Int32

const (
	firstPort = 20000
	lastPort  = 29999
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := firstPort + int(portOffset.Add(1))
		assert.Assert(t, port <= lastPort, "no free port left in the port range")
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, listener.Close())
			return address
		}
	}
}

func (d *deployment) newMachine(i int) *machine {
	m := &machine{t: d.t, store: d.store.Address, target: proxytest.New(d.t), state: "ready", logger: zap.NewNop(), edge: platform.Edge{}, id: fmt.Sprintf("i-%d", i), version: "v1"}
	m.settings = &node.Settings{
		Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("zone-%d", i%2), Service: service, TargetAddress: m.target.Address,
		Listen: node.Listen{
			Callers: freeAddress(d.t), Daemons: freeAddress(d.t), Fleet: freeAddress(d.t),
			Announcements: freeAddress(d.t), Readiness: freeAddress(d.t), Metrics: freeAddress(d.t),
		},
		Store: m.store, FirstStart: true, Heartbeat: 500, DrainPeriod: 1000, StopGrace: 5000,
		Retries: node.Retries{Ratio: 0.2, Slack: 60, Window: 10000},
	}
	return m
}

func (m *machine) start() {
	m.t.Helper()
	objects := platform.NewObjects(m.store)
	n, err := node.New(m.settings, node.Platform{
		Headers: proxytest.Names, Operator: platform.NewOperator(objects), Store: objects, Eras: objects.Eras(), Edge: m.edge,
	}, m.logger)
	assert.NilError(m.t, err)
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	m.ended = make(chan error, 1)
	go func() { m.ended <- n.Run(ctx) }()
}

// sendHeartbeats sends heartbeats of the target until ctx ends.
func (m *machine) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		state := m.state
		m.mu.Unlock()
		if state != "" {
			m.sendHeartbeat(state)
		}
		time.Sleep(m.settings.Heartbeat.Duration())
	}
}

// setState sets the state that heartbeats report; an empty state stops them.
func (m *machine) setState(state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
}

// sendHeartbeat sends one heartbeat and returns the HTTP status of the response.
func (m *machine) sendHeartbeat(state string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	body := fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":%q,"version":%q,"zone":"z","slots":8},
		"status":{"state":%q,"sequence":%d,"warmup_left_ms":%d}}`, m.target.Address, service, m.version, state, m.sequence,
		max(0, time.Until(m.warmAt).Milliseconds()))
	return m.putInstance(m.id, body)
}

func (m *machine) putInstance(id, body string) int {
	r, err := http.NewRequest(http.MethodPut, "http://"+m.settings.Listen.Announcements+"/v1/instances/"+id, strings.NewReader(body))
	assert.NilError(m.t, err)
	return m.send(r)
}

// remove sends the removal of the target and returns the HTTP status of the response.
func (m *machine) remove() int {
	r, err := http.NewRequest(http.MethodDelete, "http://"+m.settings.Listen.Announcements+"/v1/instances/"+m.id, nil)
	assert.NilError(m.t, err)
	return m.send(r)
}

// send sends a request and returns the HTTP status of the response, or 0 if there is
// none.
func (m *machine) send(r *http.Request) int {
	response, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func (m *machine) get(path string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.settings.Listen.Callers+path, nil)
	assert.NilError(m.t, err)
	r.Host = "fish.example"
	r.Header.Set(proxytest.Names.RequestID, path)
	r.Header.Set(proxytest.Names.TimeLeft, "1500")
	return m.send(r)
}

func (m *machine) readiness() int {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.settings.Listen.Readiness+"/v1/readiness", nil)
	assert.NilError(m.t, err)
	return m.send(r)
}

func eventually(t *testing.T, condition string, timeout time.Duration, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("condition not met: %s", condition)
	}, poll.WithTimeout(timeout), poll.WithDelay(20*time.Millisecond))
}

func requestCount(machines ...*machine) int {
	n := 0
	for _, m := range machines {
		n += len(m.target.Requests())
	}
	return n
}

// TestConfigurationInForce guards against daemons that apply a new configuration too
// late, and against a removed route that is still served.
func TestConfigurationInForce(t *testing.T) {
	d := newDeployment(t, 4)
	for version := 2; version < 5; version++ {
		route := fmt.Sprintf("/new%d/", version)
		d.configure(version, "/look/", route)
		for _, m := range d.machines {
			eventually(t, "the route is in force", applyTimeout, func() bool { return m.get(route) == http.StatusOK })
			assert.Equal(t, m.get(fmt.Sprintf("/new%d/", version-1)), http.StatusNotFound)
		}
	}
}

// TestConfigurationAfterCompaction guards against daemons that no longer receive
// configurations after the store has compacted its history.
func TestConfigurationAfterCompaction(t *testing.T) {
	d := newDeployment(t, 2)
	d.configure(2, "/look/", "/two/")
	d.store.Compact()
	d.configure(3, "/look/", "/three/")
	for _, m := range d.machines {
		eventually(t, "the route is in force", applyTimeout, func() bool { return m.get("/three/") == http.StatusOK })
	}
}

// TestRestartWithoutStore guards against a daemon that needs the store after a
// restart to find its peers and the configuration.
func TestRestartWithoutStore(t *testing.T) {
	d := newDeployment(t, 3)
	d.store.InjectAll(standin.Unavailable)
	m := d.machines[1]
	m.stop()
	assert.NilError(t, <-m.ended)
	m.start()
	assert.Equal(t, m.readiness(), http.StatusServiceUnavailable, "the daemon is ready without a configuration")
	assert.Equal(t, m.get("/none/"), http.StatusServiceUnavailable, "a daemon without a configuration must return 503, not 404")
	eventually(t, "the daemon serves again", recoveryTimeout, func() bool { return m.get("/look/2") == http.StatusOK })
	assert.Equal(t, m.readiness(), http.StatusOK)
}

// TestLeavingTargetGetsNothing guards against requests that reach a target after its
// drain period. The period starts when the daemon acknowledges a draining heartbeat
// or the removal of the target.
func TestLeavingTargetGetsNothing(t *testing.T) {
	leaveCalls := map[string]func(m *machine) int{
		"draining": func(m *machine) int { return m.sendHeartbeat("draining") },
		"removed":  func(m *machine) int { return m.remove() },
	}
	for name, leave := range leaveCalls {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 3)
			leaving := d.machines[0]
			leaving.setState("")
			assert.Equal(t, leave(leaving), http.StatusOK)
			time.Sleep(leaving.settings.DrainPeriod.Duration())
			before := requestCount(leaving)
			for i := range 60 {
				m := d.machines[i%3]
				assert.Equal(t, m.get("/order/1"), http.StatusOK, "a request failed while the target was leaving")
			}
			assert.Equal(t, requestCount(leaving), before)
		})
	}
}

// TestPlannedStop guards against requests that fail because a daemon is stopped
// gracefully.
func TestPlannedStop(t *testing.T) {
	d := newDeployment(t, 3)
	d.awaitTargets()
	for _, m := range d.machines {
		m.target.Handle(func(r *proxytest.Request) bool {
			time.Sleep(300 * time.Millisecond)
			return proxytest.OK("done")(r)
		})
	}
	stopped := d.machines[2]
	results := make(chan int, 200)
	go func() {
		defer close(results)
		var requests sync.WaitGroup
		defer requests.Wait()
		for i := range 40 {
			m := d.machines[i%2]
			requests.Go(func() { results <- m.get("/order/1") })
			time.Sleep(25 * time.Millisecond)
			if i == 10 {
				stopped.stop()
			}
		}
	}()
	for status := range results {
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, stopped.readiness(), http.StatusServiceUnavailable)
	assert.NilError(t, <-stopped.ended)
	stopped.stop = nil
}

// TestForeignHeartbeats guards against a target that is replaced or drained because
// of a heartbeat from a target of another service, or because of a malformed one.
func TestForeignHeartbeats(t *testing.T) {
	d := newDeployment(t, 1)
	m := d.machines[0]
	m.setState("")
	putDraining := func(id, service string, born int) int {
		return m.putInstance(id, fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":8},
			"status":{"state":"draining","sequence":99,"warmup_left_ms":0}}`, m.target.Address, born, service))
	}
	assert.Equal(t, putDraining("i-other", "another", 9), http.StatusConflict)
	assert.Equal(t, m.putInstance("i-9", `{"address":7}`), http.StatusBadRequest)
	assert.Equal(t, m.putInstance("i-9", strings.Repeat("x", 100)), http.StatusBadRequest)
	assert.Equal(t, m.get("/look/1"), http.StatusOK)
}

// TestLateHeartbeat guards against a target that is drained by a stale heartbeat: one
// with an earlier sequence number, one from before a restart under the same ID, or one
// from an earlier target.
func TestLateHeartbeat(t *testing.T) {
	d := newDeployment(t, 1)
	m := d.machines[0]
	m.setState("")
	sendState := func(id string, born, sequence int, state string) int {
		return m.putInstance(id, fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":8},
			"status":{"state":%q,"sequence":%d,"warmup_left_ms":0}}`, m.target.Address, born, service, state, sequence))
	}
	assert.Equal(t, sendState("i-new", 50, 2, "ready"), http.StatusOK)
	sendState("i-new", 50, 1, "draining")
	sendState("i-new", 40, 9, "draining")
	sendState("i-old", 30, 9, "draining")
	time.Sleep(m.settings.DrainPeriod.Duration())
	assert.Equal(t, m.get("/look/1"), http.StatusOK)
	// The sequence numbers start again when the target restarts under the same ID.
	assert.Equal(t, sendState("i-new", 60, 1, "ready"), http.StatusOK)
	assert.Equal(t, m.get("/look/1"), http.StatusOK)
}

// TestStoreCalls guards against a number of store calls that grows with the fleet:
// each daemon makes about four calls at its start, and after that only the three
// operator watchers make calls.
func TestStoreCalls(t *testing.T) {
	const (
		callsAtStart = 4
		watcherCalls = 3 * 2 // three operator watchers with two watches each
	)
	d := newDeployment(t, 8)
	time.Sleep(time.Second)
	before := d.store.Calls()
	assert.Assert(t, before <= 8*(callsAtStart+4), "%d calls during the start", before)
	const window = 6 * time.Second
	time.Sleep(window)
	made := d.store.Calls() - before
	assert.Assert(t, made <= 3*watcherCalls, "%d store calls in %s by 8 daemons", made, window)
}
