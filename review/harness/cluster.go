//go:build review

// Package harness runs the daemons of a small deployment as separate processes on
// loopback addresses, beside stand-ins of its store, upstreams and clients. The cases of
// the review use it.
package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/test/platform/standin"
)

// Figures of a small deployment, as in the users' site file and settings example.
const (
	HeartbeatInterval = 1500 * time.Millisecond
	DrainPeriod       = 2 * time.Second
	StopGrace         = 6 * time.Second
	Slots             = 9
	QueueLength       = 36
	linkMbps          = 1000
	coreShare         = 0.32
	memoryMB          = 284

	programFile  = "target/nutmegnode"
	templateFile = "deploy/settings.json"
	startTimeout = 15 * time.Second
	stopTimeout  = 8 * time.Second
	runTimeout   = 110 * time.Second // the longest time that a case may take is 120 s
)

// Ports of each machine. Every machine has its own loopback address.
const (
	portReady = 8140 + iota
	portOutbound
	portInbound
	portControl
	portUpstream
	portFleet   = 7660
	portMetrics = 9464
)

// Cluster is a deployment with its store.
type Cluster struct {
	Store    *standin.Store
	Machines []*Machine
	Record   *Record

	dir      string
	closing  sync.Once
	cleanups []func()
}

// Machine is a daemon and the upstream beside it.
type Machine struct {
	Name, IP, Zone, Service string
	Upstream                *Upstream

	cluster *Cluster
	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
}

// storeHost lets the project's stand-in of the store run outside a test.
type storeHost struct {
	testing.TB
	cleanup func(func())
}

func (storeHost) Helper()            {}
func (h storeHost) Cleanup(f func()) { h.cleanup(f) }

// NewCluster starts the store and prepares one machine for each of the given services.
func NewCluster(record *Record, services ...string) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "nutmegstand-review-")
	if err != nil {
		return nil, err
	}
	c := &Cluster{Record: record, dir: dir}
	c.cleanups = append(c.cleanups, func() { _ = os.RemoveAll(dir) })
	c.Store = standin.NewStore(storeHost{cleanup: func(f func()) { c.cleanups = append(c.cleanups, f) }})
	network, err := freeNetwork(len(services))
	if err != nil {
		return nil, err
	}
	for i, service := range services {
		c.Machines = append(c.Machines, &Machine{
			Name: fmt.Sprintf("sidecar-%d", i+1), IP: fmt.Sprintf("%s.%d", network, i+1), Zone: fmt.Sprintf("zone-%c", 'a'+i%3),
			Service: service, cluster: c,
		})
	}
	go c.exitWhenStopped()
	return c, nil
}

// freeNetwork returns the first three octets of loopback addresses whose ports are free.
func freeNetwork(machines int) (string, error) {
	for try := range 200 {
		at := os.Getpid() + try*31
		network := fmt.Sprintf("127.%d.%d", 20+at/250%100, 1+at%250)
		if networkIsFree(network, machines) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func networkIsFree(network string, machines int) bool {
	for i := range machines {
		for _, port := range []int{portReady, portOutbound, portInbound, portControl, portUpstream, portFleet, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// exitWhenStopped ends the case and all its processes when it gets a signal to stop or
// takes too long.
func (c *Cluster) exitWhenStopped() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case <-stop:
	case <-time.After(runTimeout):
	}
	c.Record.Add("the case was stopped")
	c.Close()
	os.Exit(exitNoRun)
}

// Close ends all processes that the cluster started, and its stand-ins.
func (c *Cluster) Close() { c.closing.Do(c.close) }

func (c *Cluster) close() {
	var stopping sync.WaitGroup
	for _, m := range c.Machines {
		stopping.Go(func() { m.Kill() })
	}
	stopping.Wait()
	for _, m := range c.Machines {
		if m.Upstream != nil {
			m.Upstream.Crash()
		}
	}
	for i := len(c.cleanups) - 1; i >= 0; i-- {
		c.cleanups[i]()
	}
}

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Outbound returns the address to which the clients of the machine send their requests.
func (m *Machine) Outbound() string { return m.address(portOutbound) }

// Control returns the address to which the upstream sends its pings.
func (m *Machine) Control() string { return m.address(portControl) }

// UpstreamAddress returns the address of the upstream.
func (m *Machine) UpstreamAddress() string { return m.address(portUpstream) }

// settings returns the fields of the platform's settings file.
func (m *Machine) settings(firstStart bool) map[string]any {
	return map[string]any{
		"node": m.Name, "zone": m.Zone, "ip": m.IP, "service": m.Service, "app_addr": m.UpstreamAddress(),
		"listen": map[string]any{
			"inbound": m.address(portInbound), "outbound": m.address(portOutbound),
			"ready": m.address(portReady), "control": m.address(portControl),
		},
		"internal_ports": []any{portFleet}, "platform": map[string]any{"address": m.cluster.Store.Address},
		"bootstrap": firstStart, "heartbeat_ms": HeartbeatInterval.Milliseconds(),
		"bounds": map[string]any{
			"drain_ms": DrainPeriod.Milliseconds(), "grace_s": int(StopGrace.Seconds()), "retry_budget_ratio": 0.2, "retry_slack": 64, "budget_window_s": 10,
		},
		"limits": map[string]any{"memory_mb": memoryMB, "link_mbps": linkMbps, "cpu_share": coreShare},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// render fills in the settings template as the platform does.
func render(template string, fields map[string]any) (string, error) {
	var missing error
	out := placeholder.ReplaceAllStringFunc(template, func(text string) string {
		part := placeholder.FindStringSubmatch(text)
		var value any = fields
		for _, key := range strings.Split(part[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []any:
				value = v[0]
			}
		}
		if value == nil {
			missing = fmt.Errorf("settings template: no value for %s", part[1])
			return ""
		}
		if part[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			missing = err
		}
		return string(encoded)
	})
	return out, missing
}

// startQueue returns a queue of functions that run on one thread, which lasts as long as
// this process. Linux sends Pdeathsig when the thread that started a child ends.
var startQueue = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// Start starts the daemon with the command of the deploy file.
func (m *Machine) Start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	template, err := os.ReadFile(templateFile)
	if err != nil {
		return err
	}
	content, err := render(string(template), m.settings(m.starts == 0))
	if err != nil {
		return err
	}
	file := filepath.Join(m.cluster.dir, m.Name+".json")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.cluster.dir, m.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.starts++
	p := exec.Command(programFile, "-settings", file)
	p.Stdout, p.Stderr = log, log
	p.Env = append(os.Environ(), "NUTMEGSTAND_CONFIG="+file)
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no daemon outlives the case
	failed := make(chan error, 1)
	startQueue() <- func() { failed <- p.Start() }
	if err := <-failed; err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = p.Wait(); close(exited) }()
	m.process, m.exited = p, exited
	m.cluster.Record.Add("daemon %s started", m.Name)
	return nil
}

// Signal sends a signal to the daemon.
func (m *Machine) Signal(s syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cluster.Record.Add("daemon %s gets %s", m.Name, s)
	return m.process.Process.Signal(s)
}

// Kill ends the daemon.
func (m *Machine) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	select {
	case <-m.exited:
	case <-time.After(stopTimeout):
	}
}

// AwaitExit waits until the daemon has ended.
func (m *Machine) AwaitExit(timeout time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Ready reports whether the daemon answers 200 to the readiness question.
func (m *Machine) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + m.address(portReady) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// StartAll starts all daemons and upstreams, and waits until the daemons are ready.
func (c *Cluster) StartAll() error {
	for _, m := range c.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	for _, m := range c.Machines {
		if err := m.StartUpstream(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, m := range c.Machines {
		for !m.Ready() || !m.Upstream.Acknowledged() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Route describes one route of the configuration.
type Route struct {
	Name, Prefix, Kind, Service string
	TimeoutMS, TargetLatencyMS  int
	Priority, MaxAttempts       int
}

// Host is the host of all routes.
const Host = "ficu95.example"

// PutConfig writes a configuration as the operator does.
func (c *Cluster) PutConfig(version int, routes ...Route) {
	resources := []any{}
	services := map[string]bool{}
	for _, r := range routes {
		services[r.Service] = true
		resources = append(resources, resource("routes", r.Name, map[string]any{
			"host": Host, "path_prefix": r.Prefix, "kind": r.Kind, "timeout_ms": r.TimeoutMS,
			"target_latency_ms": r.TargetLatencyMS, "priority": r.Priority, "service": r.Service, "max_attempts": r.MaxAttempts,
		}))
	}
	for name := range services {
		resources = append(resources, resource("services", name, map[string]any{
			"health_path": "/health", "max_conns": 130, "protocol": "h1", "tls": false,
		}))
	}
	resources = append(resources, resource("limits", "", map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}))
	c.Record.Add("operator puts configuration version %d", version)
	c.Store.Put("config", "main", map[string]any{"version": version, "resources": resources})
}

func resource(kind, name string, spec any) any {
	return map[string]any{"resource_type": kind, "metadata": map[string]any{"name": name}, "spec": spec}
}
