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
	"syscall"
	"time"
)

// machine is a machine of the deployment: a daemon and the upstream beside it.
type machine struct {
	name, ip, zone string
	ports          map[string]int
	upstream       *upstream
	link           *forwarder // to the fleet address of the daemon, nil if it is not needed
	file, log      string
	fields         map[string]any
	process        *exec.Cmd
	ended          chan struct{}
}

// deployment is a small deployment with its store.
type deployment struct {
	dir      string
	prefix   string // of the loopback addresses
	store    *objectStore
	machines []*machine
	bounds   map[string]any
	version  int
}

// heartbeat is that of the settings in the users' pages.
const heartbeat = 1500 * time.Millisecond

var portNames = []string{"inbound", "outbound", "ready", "control", "app", "fleet"}

// newDeployment starts a store. The bounds are those of the site file of the small
// deployments.
func newDeployment() (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, bounds: map[string]any{
		"drain_ms": 2000, "grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 60,
	}}
	for second := 16 + os.Getpid()%200; ; second++ {
		d.prefix = fmt.Sprintf("127.%d.%d.", second, os.Getpid()/200%250)
		// The metrics port is fixed in the template.
		listener, err := net.Listen("tcp", d.prefix+"1:9464")
		if err == nil {
			_ = listener.Close()
			break
		}
		if second > 250 {
			return nil, err
		}
	}
	d.store, err = startStore(d.prefix + "250")
	return d, err
}

// ports returns free ports, the same for all machines.
func (d *deployment) freePorts() (map[string]int, error) {
	if len(d.machines) > 0 {
		return d.machines[0].ports, nil
	}
	ports := make(map[string]int)
	for _, name := range portNames {
		listener, err := net.Listen("tcp", d.prefix+"1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports[name] = listener.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// add adds a machine with an upstream of the given service. It does not start them.
func (d *deployment) add(service, zone string, slots int, decide func(*http.Request, int) work) (*machine, error) {
	ports, err := d.freePorts()
	if err != nil {
		return nil, err
	}
	n := len(d.machines) + 1
	m := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: d.prefix + strconv.Itoa(n), zone: zone, ports: ports}
	m.upstream = &upstream{
		id: fmt.Sprintf("i-%d-%d", os.Getpid(), n), service: service, zone: zone, address: m.at("app"), control: m.at("control"),
		slots: slots, heartbeat: heartbeat, decide: decide,
	}
	store, err := d.store.addressFor(m.name)
	if err != nil {
		return nil, err
	}
	m.file, m.log = filepath.Join(d.dir, m.name+".json"), filepath.Join(d.dir, m.name+".log")
	m.fields = map[string]any{
		"node": m.name, "zone": zone, "service": service, "app_addr": m.at("app"), "ip": m.ip,
		"listen": map[string]any{
			"outbound": m.at("outbound"), "inbound": m.at("inbound"), "control": m.at("control"), "ready": m.at("ready"),
		},
		"internal_ports": []any{ports["fleet"]}, "platform": map[string]any{"address": store}, "bootstrap": true,
		"heartbeat_ms": heartbeat.Milliseconds(), "bounds": d.bounds,
		"limits": map[string]any{"memory_mb": 284, "link_mbps": 1000.0, "cpu_share": 0.32},
	}
	d.machines = append(d.machines, m)
	return m, nil
}

func (m *machine) at(port string) string { return m.ip + ":" + strconv.Itoa(m.ports[port]) }

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// render renders the template of the deploy file.
func (m *machine) render() error {
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return err
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		var value any = m.fields
		for _, key := range strings.Split(parts[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []any:
				i, _ := strconv.Atoi(key)
				value = v[i]
			}
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return string(encoded)
	})
	if m.link != nil {
		settings := make(map[string]any)
		if err := json.Unmarshal([]byte(text), &settings); err != nil {
			return err
		}
		settings["advertise"] = map[string]any{"fleet": m.link.address}
		encoded, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		text = string(encoded)
	}
	return os.WriteFile(m.file, []byte(text), 0o600)
}

// startDaemon starts the daemon with the command of the deploy file.
func (m *machine) startDaemon() error {
	if err := m.render(); err != nil {
		return err
	}
	log, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/nutmegnode", "-settings", m.file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.process, m.ended = cmd, ended
	go func() { _ = cmd.Wait(); close(ended) }()
	m.fields["bootstrap"] = false
	return nil
}

func (m *machine) signal(s syscall.Signal) { _ = m.process.Process.Signal(s) }

func (m *machine) kill() {
	if m.process == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.ended
}

func (m *machine) running() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

func (m *machine) ready() bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + m.at("ready") + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all machines and waits until the daemons are ready.
func (d *deployment) startAll() error {
	for _, m := range d.machines {
		if err := m.startDaemon(); err != nil {
			return err
		}
		if err := m.upstream.start(); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

func (d *deployment) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines {
			if m.ready() {
				ready++
			}
		}
		if ready == len(d.machines) {
			return nil
		}
	}
	return fmt.Errorf("not all daemons are ready")
}

func (d *deployment) stopAll() {
	for _, m := range d.machines {
		m.upstream.stop()
	}
	for _, m := range d.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target, attempts   int
}

// configure writes a configuration with the given routes.
func (d *deployment) configure(routes ...route) {
	d.version += 3
	var resources []any
	services := make(map[string]bool)
	for _, r := range routes {
		services[r.service] = true
		resources = append(resources, map[string]any{
			"resource_type": "routes", "metadata": map[string]any{"name": r.name},
			"spec": map[string]any{
				"host": host, "path_prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeout, "target_latency_ms": r.target,
				"priority": 1, "service": r.service, "max_attempts": r.attempts,
			},
		})
	}
	for service := range services {
		resources = append(resources, map[string]any{
			"resource_type": "services", "metadata": map[string]any{"name": service},
			"spec": map[string]any{"health_path": "/health", "max_conns": 130},
		})
	}
	resources = append(resources, map[string]any{
		"resource_type": "limits", "metadata": map[string]any{"name": "limits"},
		"spec": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.store.put("config", "main", map[string]any{"version": d.version, "resources": resources})
}
