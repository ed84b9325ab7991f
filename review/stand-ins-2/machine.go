package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the same on all machines, each of which has a loopback address of its own.
type ports struct{ inbound, outbound, ready, control, app, internal, store int }

// machine is a VM: a daemon and the upstream beside it.
type machine struct {
	name, ip, zone, service string
	index                   int
	world                   *world

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	disturbed time.Time // the last start, stop or kill of the daemon
	in        bool      // clients send new work
	left      bool      // the machine is taken away
	upstream  *upstream
}

// world is a small deployment.
type world struct {
	root, dir string
	ports     ports
	record    *record
	store     *store
	bounds    map[string]any
	resources []any
	stop      chan struct{}
	onArrival func(u *upstream, id string, at time.Time) // called with each request that an upstream does not reject by its ID

	mu       sync.Mutex
	machines []*machine
}

const memoryMB, heartbeatMS = 284, 1500

func newWorld(r *record) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, record: r, store: newStore(), stop: make(chan struct{}), onArrival: func(*upstream, string, time.Time) {}}
	w.bounds = map[string]any{
		"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
		"loss_slack_ms": 200, "config_apply_ms": 2000, "revert_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2,
		"budget_window_s": 10, "retry_slack": 64, "exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000, "recovery_s": 15,
	}
	return w, w.findPorts()
}

// findPorts finds ports that are free on the first machines' addresses. Ports below
// 32768 are not assigned to outgoing connections.
func (w *world) findPorts() error {
	for base := 20000 + os.Getpid()%250*40; base < 32000; base += 40 {
		free := true
		for i := 1; i <= 4 && free; i++ {
			for p := base; p < base+40 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(i), p))
				if free = err == nil; free {
					_ = l.Close()
				}
			}
		}
		if free {
			w.ports = ports{inbound: base, outbound: base + 1, ready: base + 2, control: base + 3, app: base + 4, store: base + 5, internal: base + 10}
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// machineIP returns the loopback address of a machine. Runs at the same time use different
// ones, since the template names a fixed port for metrics.
func machineIP(i int) string { return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, i/200, i%200+1) }

func address(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }

// add adds a machine. Its daemon is not started yet.
func (w *world) add(name, zone, service string) (*machine, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &machine{name: name, zone: zone, service: service, index: len(w.machines) + 1, world: w}
	m.ip = machineIP(m.index)
	w.machines = append(w.machines, m)
	return m, w.store.serve(name, address(m.ip, w.ports.store))
}

func (w *world) all() []*machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*machine(nil), w.machines...)
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// settings renders the template of the deploy file.
func (m *machine) settings(bootstrap bool) ([]byte, error) {
	w := m.world
	template, err := os.ReadFile(filepath.Join(w.root, "deploy", "settings.json"))
	if err != nil {
		return nil, err
	}
	p := w.ports
	fields := map[string]any{
		"node": m.name, "role": "daemon", "machine_class": "sidecar", "ip": m.ip, "zone": m.zone, "region": "r1",
		"listen": map[string]any{
			"inbound": address(m.ip, p.inbound), "outbound": address(m.ip, p.outbound), "ready": address(m.ip, p.ready), "control": address(m.ip, p.control),
		},
		"internal_ports": []any{p.internal, p.internal + 15}, "bootstrap": bootstrap,
		"limits":       map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0},
		"heartbeat_ms": heartbeatMS, "bounds": w.bounds, "app_addr": address(m.ip, p.app), "service": m.service,
		"platform": map[string]any{"address": address(m.ip, p.store), "form": "objects", "writes_per_s": 400, "reads_per_s": 2000},
	}
	var missing error
	rendered := placeholder.ReplaceAllFunc(template, func(text []byte) []byte {
		match := placeholder.FindSubmatch(text)
		var value any = fields
		for _, part := range strings.Split(string(match[1]), ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[part]
			case []any:
				i, _ := strconv.Atoi(part)
				value = v[i]
			}
		}
		if value == nil {
			missing = fmt.Errorf("the template has the unknown field %s", match[1])
		}
		content, _ := json.Marshal(value)
		if s, ok := value.(string); ok && len(match[2]) == 0 {
			return []byte(s)
		}
		return content
	})
	return rendered, missing
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	content, err := m.settings(bootstrap)
	if err != nil {
		return err
	}
	file := filepath.Join(m.world.dir, m.name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(m.world.root, "target", "nutmegnode"), "-settings", file)
	cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, m.world.root
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnThread(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.exited, m.disturbed = cmd, exited, time.Now()
	m.world.record.log("daemon %s starts, process %d", m.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disturbed = time.Now()
	m.world.record.log("daemon %s gets signal %s", m.name, s)
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// awaitExit waits for the end of the daemon.
func (m *machine) awaitExit(limit time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		m.mu.Lock()
		defer m.mu.Unlock()
		m.disturbed = time.Now()
		return true
	case <-time.After(limit):
		return false
	}
}

// inTouch reports whether the daemon ran undisturbed for stable_window_ms before a moment.
func (m *machine) inTouch(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return at.Sub(m.disturbed) > 3*time.Second
}

func (m *machine) setIn(in bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.in = in
}

func (m *machine) isIn() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.in && !m.left
}

// leave takes the machine out for good.
func (m *machine) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = true
}

func (m *machine) hasLeft() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left
}

func (m *machine) currentUpstream() *upstream {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.upstream
}

// poll asks the daemon each second whether it is ready. Two misses take it out.
func (m *machine) poll() {
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 2
	for !m.world.stopped() {
		response, err := client.Get("http://" + address(m.ip, m.world.ports.ready) + "/v1/readiness")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		m.setIn(misses < 2)
		m.world.sleep(time.Second)
	}
}

func (w *world) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

func (w *world) sleep(d time.Duration) {
	select {
	case <-w.stop:
	case <-time.After(d):
	}
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, m := range w.all() {
			ready = ready && (m.hasLeft() || m.isIn())
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("some daemons are not ready after %s", limit)
}

// close ends all processes and listeners.
func (w *world) close() {
	close(w.stop)
	for _, m := range w.all() {
		m.mu.Lock()
		cmd, exited, u := m.cmd, m.exited, m.upstream
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
			<-exited
		}
		if u != nil {
			u.end()
		}
	}
	w.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// startQueue runs functions on one thread that lasts as long as this process: the signal
// at the end of a parent is sent when the thread ends that started the child.
var startQueue = make(chan func())

func init() {
	go func() {
		lockThread()
		for f := range startQueue {
			f()
		}
	}()
}

func startOnThread(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	startQueue <- func() { result <- cmd.Start() }
	return <-result
}
