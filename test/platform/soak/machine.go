package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"nutmegstand.example/nutmegstand/pkg/node"
	"nutmegstand.example/nutmegstand/test/processes"
)

// stopGrace is the StopGrace setting of the daemons.
const stopGrace = 5 * time.Second

// machine is a VM: a daemon, its local target, and the fault-injecting proxies in
// front of the daemon and of the store.
type machine struct {
	name         string
	children     *processes.Group
	settings     *node.Settings
	settingsFile string
	daemonProxy  *proxy // for calls of peer daemons
	fleetProxy   *proxy // for fleet updates of peer daemons
	storeProxy   *proxy // for the store calls of the daemon
	history      *history

	mu              sync.Mutex
	process         *processes.Process
	daemonStarts    int
	target          *target
	version         string // of the next target to start
	targetStarts    int
	reserved        bool // for one fault, or for one replacement of the target
	activeFaults    int
	lastFaultChange time.Time // when activeFaults last changed
}

// settleTime is the time without a fault after which a machine counts as undisturbed,
// so that guarantees with a time bound must hold for it.
const settleTime = 3 * time.Second

// addActiveFaults adds delta to the number of active faults.
func (m *machine) addActiveFaults(delta int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activeFaults += delta
	m.lastFaultChange = time.Now()
}

// undisturbed reports whether the machine has had no fault for settleTime.
func (m *machine) undisturbed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.activeFaults == 0 && time.Since(m.lastFaultChange) > settleTime
}

// addressPool allocates loopback addresses with ports below the range that the
// kernel assigns to outgoing connections.
type addressPool struct {
	mu   sync.Mutex
	next int
}

// addresses is shared by all runs in the test process.
var addresses addressPool

const firstPort, lastPort = 10000, 19999

func (p *addressPool) allocate() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.next = max(p.next, firstPort); p.next <= lastPort; p.next++ {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p.next++
		return address, listener.Close()
	}
	return "", fmt.Errorf("soak: no free port in the port range of the soak test")
}

func newMachine(i int, children *processes.Group, store string, h *history, evacuable bool) (*machine, error) {
	m := &machine{name: fmt.Sprintf("vm-%d", i), children: children, history: h, version: firstVersion}
	m.settings = &node.Settings{
		Name: m.name, Domain: domainName(i), Service: service, FirstStart: true,
		Heartbeat: node.Milliseconds(heartbeatInterval.Milliseconds()), DrainPeriod: node.Milliseconds(drainPeriod.Milliseconds()),
		StopGrace: node.Milliseconds(stopGrace.Milliseconds()), Retries: node.Retries{Ratio: 0.2, Slack: 60, Window: 10000},
	}
	s := m.settings
	if evacuable {
		s.Evacuation = node.Milliseconds(evacuationBound.Milliseconds())
	}
	for _, address := range []*string{
		&s.TargetAddress, &s.Listen.Callers, &s.Listen.Daemons, &s.Listen.Fleet, &s.Listen.Announcements, &s.Listen.Readiness,
		&s.Advertise.Daemons, &s.Advertise.Fleet, &s.Store,
	} {
		var err error
		if *address, err = addresses.allocate(); err != nil {
			return nil, err
		}
	}
	var err error
	if m.daemonProxy, err = newProxy(s.Advertise.Daemons, s.Listen.Daemons); err != nil {
		return nil, err
	}
	if m.fleetProxy, err = newProxy(s.Advertise.Fleet, s.Listen.Fleet); err != nil {
		return nil, err
	}
	if m.storeProxy, err = newProxy(s.Store, store); err != nil {
		return nil, err
	}
	m.settingsFile = filepath.Join(children.LogDir, m.name+".json")
	return m, m.writeSettings()
}

func (m *machine) writeSettings() error {
	content, err := json.Marshal(m.settings)
	if err != nil {
		return err
	}
	// A daemon that starts meanwhile must not read half of the file.
	next := m.settingsFile + ".next"
	if err := os.WriteFile(next, content, 0o600); err != nil {
		return err
	}
	return os.Rename(next, m.settingsFile)
}

func (m *machine) proxies() []*proxy { return []*proxy{m.daemonProxy, m.fleetProxy, m.storeProxy} }

// start starts the daemon.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.daemonStarts++
	var err error
	m.process, err = m.children.Start(m.name, "nutmegnode", "-settings", m.settingsFile)
	return err
}

// startTarget starts the target under a new ID.
func (m *machine) startTarget() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.targetStarts++
	t, err := startTarget(fmt.Sprintf("i-%s-%d", m.name, m.targetStarts), m)
	if err == nil {
		m.target = t
	}
	return err
}

// setVersion sets the version of the targets that are started from now on.
func (m *machine) setVersion(version string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version = version
}

// replaceTarget replaces the target by one of the given version. The previous target
// is drained first or, without drain, stopped at once.
func (m *machine) replaceTarget(version string, drain bool) error {
	for !m.reserve() {
		time.Sleep(readyPollInterval)
	}
	defer m.release()
	m.setVersion(version)
	_, t, _ := m.current()
	if drain {
		t.drain()
	} else {
		t.crash()
	}
	return m.startTarget()
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Signal(s)
}

// current returns the current daemon process and target, and the number of daemon
// starts so far, which identifies the process.
func (m *machine) current() (*processes.Process, *target, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process, m.target, m.daemonStarts
}

// reserve reserves the daemon and the target for one fault, or for one replacement of
// the target, and reports whether they were free.
func (m *machine) reserve() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reserved {
		return false
	}
	m.reserved = true
	return true
}

func (m *machine) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved = false
}

// ready reports whether the daemon is ready to serve.
func (m *machine) ready() bool { return m.readiness() == http.StatusOK }

// awaitStart waits until the daemon responds to readiness requests, for at most d.
func (m *machine) awaitStart(d time.Duration) {
	for deadline := time.Now().Add(d); m.readiness() == 0 && time.Now().Before(deadline); {
		time.Sleep(readyPollInterval)
	}
}

// readiness returns the HTTP status of the daemon's readiness endpoint, or 0 if there
// is no response.
func (m *machine) readiness() int {
	client := http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.settings.Listen.Readiness + "/v1/readiness")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
