package platform_test

import (
	"context"
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

	"nutmegstand.example/nutmegstand/pkg/node"
	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/platform"
	"nutmegstand.example/nutmegstand/test/platform/standin"
)

const (
	desk = "desk"
	// applyBound is the operator's bound on a new configuration.
	applyBound = 2 * time.Second
	// recoverBound is the operator's bound on service after a loss.
	recoverBound = 15 * time.Second
)

// machine is a daemon and the target beside it.
type machine struct {
	t        *testing.T
	settings *node.Settings
	store    string
	target   *proxytest.Target
	id       string
	stop     context.CancelFunc
	ended    chan error

	mu       sync.Mutex
	sequence int
	state    string // that the target announces; empty if it says nothing
}

// deployment is a store with machines.
type deployment struct {
	t        *testing.T
	store    *standin.Store
	machines []*machine
}

func newDeployment(t *testing.T, n int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: standin.NewStore(t)}
	t.Parallel()
	t.Cleanup(d.end)
	d.configure(1, "/look/", "/order/")
	for i := range n {
		m := d.machine(i)
		m.start()
		go m.beat(t.Context())
		d.machines = append(d.machines, m)
	}
	for _, m := range d.machines {
		eventually(t, "a machine serves", 10*time.Second, func() bool { return m.get("/look/1") == http.StatusOK })
	}
	return d
}

// end stops all daemons at the same time.
func (d *deployment) end() {
	for _, m := range d.machines {
		if m.stop != nil {
			m.stop()
		}
	}
	for _, m := range d.machines {
		if m.stop != nil {
			<-m.ended
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
				"host": "fish.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500, "target_latency_ms": 600,
				"priority": 1, "service": desk, "max_attempts": 2,
			},
		})
	}
	d.store.Put("config", "main", map[string]any{"version": version, "resources": resources})
}

// nextPort runs through ports below those that the kernel gives to clients, so
// that no connection of another test takes one before its daemon listens.
var nextPort atomic.Int32

const (
	firstPort = 20000
	lastPort  = 29999
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		port := firstPort + int(nextPort.Add(1))
		assert.Assert(t, port <= lastPort, "no free port")
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, listener.Close())
			return address
		}
	}
}

func (d *deployment) machine(i int) *machine {
	m := &machine{t: d.t, store: d.store.Address, target: proxytest.New(d.t), state: "ready", id: fmt.Sprintf("i-%d", i)}
	m.settings = &node.Settings{
		Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("zone-%d", i%2), Service: desk, TargetAddress: m.target.Address,
		Listen: node.Listen{
			Callers: freeAddress(d.t), Daemons: freeAddress(d.t), Fleet: freeAddress(d.t),
			Announcements: freeAddress(d.t), Readiness: freeAddress(d.t), Metrics: freeAddress(d.t),
		},
		Store: m.store, Heartbeat: 500, DrainPeriod: 1000, StopGrace: 5000,
		Retries: node.Retries{Ratio: 0.2, Slack: 60, Window: 10000},
	}
	return m
}

func (m *machine) start() {
	m.t.Helper()
	objects := platform.NewObjects(m.store)
	n, err := node.New(m.settings, node.Platform{
		Headers: proxytest.Names, Operator: platform.NewOperator(objects), Store: objects, Edge: platform.Edge{},
	}, zap.NewNop())
	assert.NilError(m.t, err)
	var ctx context.Context
	ctx, m.stop = context.WithCancel(context.Background())
	m.ended = make(chan error, 1)
	go func() { m.ended <- n.Run(ctx) }()
}

// beat sends the target's heartbeats until the test ends.
func (m *machine) beat(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		state := m.state
		m.mu.Unlock()
		if state != "" {
			m.announce(state)
		}
		time.Sleep(m.settings.Heartbeat.Duration())
	}
}

// say changes what the target announces, empty for nothing.
func (m *machine) say(state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
}

// announce sends one heartbeat and returns the status of the answer.
func (m *machine) announce(state string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	body := fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":%q,"version":"v1","zone":"z","slots":8},
		"status":{"state":%q,"sequence":%d,"warmup_left_ms":0}}`, m.target.Address, desk, state, m.sequence)
	return m.heartbeat(m.id, body)
}

func (m *machine) heartbeat(id, body string) int {
	r, err := http.NewRequest(http.MethodPut, "http://"+m.settings.Listen.Announcements+"/v1/instances/"+id, strings.NewReader(body))
	assert.NilError(m.t, err)
	return m.do(r)
}

func (m *machine) do(r *http.Request) int {
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
	return m.do(r)
}

func (m *machine) ready() int {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.settings.Listen.Readiness+"/v1/readiness", nil)
	assert.NilError(m.t, err)
	return m.do(r)
}

func eventually(t *testing.T, what string, within time.Duration, check func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if check() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(within), poll.WithDelay(20*time.Millisecond))
}

func arrivals(machines ...*machine) int {
	n := 0
	for _, m := range machines {
		n += len(m.target.Requests())
	}
	return n
}

// TestConfigurationInForce guards against daemons that follow the operator too
// late, and against a dropped route that is still served.
func TestConfigurationInForce(t *testing.T) {
	d := newDeployment(t, 4)
	for version := 2; version < 5; version++ {
		route := fmt.Sprintf("/new%d/", version)
		d.configure(version, "/look/", route)
		for _, m := range d.machines {
			eventually(t, "the route is in force", applyBound, func() bool { return m.get(route) == http.StatusOK })
			assert.Equal(t, m.get(fmt.Sprintf("/new%d/", version-1)), http.StatusNotFound)
		}
	}
}

// TestConfigurationAfterCompaction guards against followers that stop when the
// store has dropped its history.
func TestConfigurationAfterCompaction(t *testing.T) {
	d := newDeployment(t, 2)
	d.configure(2, "/look/", "/two/")
	d.store.Compact()
	d.configure(3, "/look/", "/three/")
	for _, m := range d.machines {
		eventually(t, "the route is in force", applyBound, func() bool { return m.get("/three/") == http.StatusOK })
	}
}

// TestRestartWithoutStore guards against a daemon that needs the store to find
// its peers and the configuration again.
func TestRestartWithoutStore(t *testing.T) {
	d := newDeployment(t, 3)
	d.store.Always(standin.Unavailable)
	m := d.machines[1]
	m.stop()
	assert.NilError(t, <-m.ended)
	m.start()
	assert.Equal(t, m.ready(), http.StatusServiceUnavailable, "ready without a configuration")
	assert.Equal(t, m.get("/none/"), http.StatusServiceUnavailable, "404 without a configuration")
	eventually(t, "the daemon serves again", recoverBound, func() bool { return m.get("/look/2") == http.StatusOK })
	assert.Equal(t, m.ready(), http.StatusOK)
}

// TestLeavingTargetGetsNothing guards against requests at a target after the
// drain period that began with its acknowledged leaving, by either way to leave.
func TestLeavingTargetGetsNothing(t *testing.T) {
	leave := map[string]func(m *machine) int{
		"draining": func(m *machine) int { return m.announce("draining") },
		"removed": func(m *machine) int {
			r, err := http.NewRequest(http.MethodDelete, "http://"+m.settings.Listen.Announcements+"/v1/instances/"+m.id, nil)
			assert.NilError(t, err)
			return m.do(r)
		},
	}
	for name, leaving := range leave {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 3)
			gone := d.machines[0]
			gone.say("")
			assert.Equal(t, leaving(gone), http.StatusOK)
			time.Sleep(gone.settings.DrainPeriod.Duration())
			before := arrivals(gone)
			for i := range 60 {
				m := d.machines[i%3]
				assert.Equal(t, m.get("/order/1"), http.StatusOK, "no request fails for it")
			}
			assert.Equal(t, arrivals(gone), before)
		})
	}
}

// TestPlannedStop guards against requests that are cut by the stop of a daemon.
func TestPlannedStop(t *testing.T) {
	d := newDeployment(t, 3)
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
	assert.Equal(t, stopped.ready(), http.StatusServiceUnavailable)
	assert.NilError(t, <-stopped.ended)
	stopped.stop = nil
}

// TestHeartbeatsOfOthers guards against a target that is replaced by what
// another writer, an earlier start or another service says.
func TestHeartbeatsOfOthers(t *testing.T) {
	d := newDeployment(t, 1)
	m := d.machines[0]
	m.say("")
	say := func(id, service string, born int) int {
		return m.heartbeat(id, fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":8},
			"status":{"state":"draining","sequence":99,"warmup_left_ms":0}}`, m.target.Address, born, service))
	}
	assert.Equal(t, say("i-other", "another", 9), http.StatusConflict)
	assert.Equal(t, m.heartbeat("i-9", `{"address":7}`), http.StatusBadRequest)
	assert.Equal(t, m.heartbeat("i-9", strings.Repeat("x", 100)), http.StatusBadRequest)
	assert.Equal(t, m.get("/look/1"), http.StatusOK)
}

// TestLateHeartbeat guards against a target that leaves since a late heartbeat
// of an earlier one arrives.
func TestLateHeartbeat(t *testing.T) {
	d := newDeployment(t, 1)
	m := d.machines[0]
	m.say("")
	beat := func(id string, born, sequence int, state string) int {
		return m.heartbeat(id, fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":8},
			"status":{"state":%q,"sequence":%d,"warmup_left_ms":0}}`, m.target.Address, born, desk, state, sequence))
	}
	assert.Equal(t, beat("i-new", 50, 2, "ready"), http.StatusOK)
	beat("i-new", 50, 1, "draining")
	beat("i-new", 40, 9, "draining")
	beat("i-old", 30, 9, "draining")
	time.Sleep(m.settings.DrainPeriod.Duration())
	assert.Equal(t, m.get("/look/1"), http.StatusOK)
	// A new start under the same ID counts anew.
	assert.Equal(t, beat("i-new", 60, 1, "ready"), http.StatusOK)
	assert.Equal(t, m.get("/look/1"), http.StatusOK)
}

// TestStoreCalls guards against store calls that grow with the fleet: a daemon
// makes four at its start, and only the followers make more.
func TestStoreCalls(t *testing.T) {
	const (
		callsAtStart   = 4
		followersCalls = 3 * 2 // three followers with two watches each
	)
	d := newDeployment(t, 8)
	time.Sleep(time.Second)
	before := d.store.Calls()
	assert.Assert(t, before <= 8*(callsAtStart+4), "%d calls at the start", before)
	const window = 6 * time.Second
	time.Sleep(window)
	made := d.store.Calls() - before
	assert.Assert(t, made <= 3*followersCalls, "%d calls in %s by 8 daemons", made, window)
}
