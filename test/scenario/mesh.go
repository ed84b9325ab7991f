package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"

	"nutmegstand.example/nutmegstand/pkg/lease"
	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/store/httpstore"
	"nutmegstand.example/nutmegstand/test/processes"
)

const pollInterval = 100 * time.Millisecond

var errTimeout = errors.New("condition not met within the limit")

// mesh holds the processes and the state of one scenario.
type mesh struct {
	dir       string
	tokenFile string
	fleet     *processes.Group
	http      *client.Client
	logf      func(format string, args ...any)

	storeVM *vm
	store   *httpstore.Client

	mu  sync.Mutex
	vms []*vm

	load     *load
	monitor  *versionMonitor
	race     *race
	accepted atomic.Uint64 // latest version reported to an operator as accepted
	// generation counts the applied files with the variable @GENERATION@. The path of
	// one route in such a file contains this number.
	generation   atomic.Int64
	acceptedAt   time.Time
	commandTimes map[string]time.Time // last start of each command that succeeded
}

func newMesh(binDir, dir string, logf func(string, ...any)) (*mesh, error) {
	c, err := newHTTPClient()
	if err != nil {
		return nil, err
	}
	m := &mesh{
		dir: dir, tokenFile: filepath.Join(dir, "token"), http: c, logf: logf,
		fleet: &processes.Group{BinDir: binDir, LogDir: dir}, commandTimes: map[string]time.Time{},
	}
	m.monitor, m.race = newVersionMonitor(m), &race{m: m}
	m.load = newLoad(m)
	return m, os.WriteFile(m.tokenFile, []byte(adminToken), 0o600)
}

// close stops the load, the version monitor and all processes.
func (m *mesh) close() {
	m.load.stopWorkers()
	m.monitor.close()
	m.fleet.KillAll()
}

func (m *mesh) startStore() error {
	ip, err := freeIP()
	if err != nil {
		return err
	}
	m.storeVM = &vm{name: "store", ip: ip}
	address := m.storeVM.address(portStore)
	m.store = httpstore.NewClient(address, storeTimeout)
	if m.storeVM.daemon, err = m.fleet.Start("store", "nutmegstore", "-listen", address); err != nil {
		return err
	}
	return m.eventually(startupTimeout, func() error { return m.setStoreFaults("{}") })
}

func (m *mesh) setStoreFaults(faults string) error {
	r, err := m.do(httpRequest{
		method: consts.MethodPut, url: "http://" + m.storeVM.address(portStore) + "/faults", body: faults, timeout: adminTimeout,
	})
	if err == nil && r.status != consts.StatusNoContent {
		err = fmt.Errorf("set faults of the store: status %d: %s", r.status, r.body)
	}
	return err
}

// all returns the VMs of the scenario.
func (m *mesh) all() []*vm {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]*vm(nil), m.vms...)
}

// available returns the VMs that the load may send calls to.
func (m *mesh) available() []*vm {
	var vms []*vm
	for _, v := range m.all() {
		if !v.excluded.Load() {
			vms = append(vms, v)
		}
	}
	return vms
}

func (m *mesh) findVM(name string) (*vm, error) {
	for _, v := range m.all() {
		if v.name == name {
			return v, nil
		}
	}
	return nil, fmt.Errorf("no VM %q", name)
}

func (m *mesh) vmByAddress(address string) (*vm, error) {
	for _, v := range m.all() {
		if v.address(portDaemons) == address {
			return v, nil
		}
	}
	return nil, fmt.Errorf("no VM at %q", address)
}

// leaseHolder returns the VM whose daemon holds a lease.
func (m *mesh) leaseHolder(key string) (*vm, error) {
	object, err := m.store.Get(context.Background(), key)
	if err != nil {
		return nil, err
	}
	record, err := lease.Decode(object.Value)
	if err != nil {
		return nil, err
	}
	if record.Holder == "" {
		return nil, fmt.Errorf("lease %s has no holder", key)
	}
	return m.vmByAddress(record.Address)
}

// vmWithRole returns the VM with a role: "distributor DOMAIN SLOT", "controller
// SERVICE", or "member DOMAIN" for an available VM that is not a distributor.
func (m *mesh) vmWithRole(args []string) (*vm, error) {
	switch {
	case len(args) == 3 && args[0] == "distributor":
		return m.leaseHolder("entry/distributor/" + args[1] + "/" + args[2])
	case len(args) == 2 && args[0] == "controller":
		return m.leaseHolder(fmt.Sprintf("lease/rollout/%d", move.Shard(args[1])))
	case len(args) == 2 && args[0] == "member":
		first, err := m.vmWithRole([]string{"distributor", args[1], "0"})
		if err != nil {
			return nil, err
		}
		second, err := m.vmWithRole([]string{"distributor", args[1], "1"})
		if err != nil {
			return nil, err
		}
		for _, v := range m.available() {
			if v.domain == args[1] && v != first && v != second {
				return v, nil
			}
		}
	}
	return nil, fmt.Errorf("no VM has the role %q", strings.Join(args, " "))
}

// eventually polls condition until it returns nil or the limit has passed. A
// timeout error wraps the last error of condition.
func (m *mesh) eventually(limit time.Duration, condition func() error) error {
	return m.eventuallySince(time.Now(), limit, condition)
}

func (m *mesh) eventuallySince(start time.Time, limit time.Duration, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Since(start) > limit {
			return fmt.Errorf("%w (%s): %w", errTimeout, limit, err)
		}
		time.Sleep(pollInterval)
	}
}

// converged returns an error for the first available daemon whose version is
// older than the accepted one.
func (m *mesh) converged() error {
	for _, v := range m.available() {
		s, err := m.status(v)
		if err != nil {
			return err
		}
		if s.Version < m.accepted.Load() {
			return fmt.Errorf("%s has version %d, accepted version is %d", v.name, s.Version, m.accepted.Load())
		}
	}
	return nil
}

// settled returns an error if the status of an available daemon shows a domain
// that is not up to date, or whose number of members differs from the number of its
// available daemons.
func (m *mesh) settled() error {
	members := map[string]int{}
	for _, v := range m.available() {
		members[v.domain]++
	}
	for _, v := range m.available() {
		s, err := m.status(v)
		if err != nil {
			return err
		}
		reported := map[string]int{}
		for _, d := range s.Domains {
			reported[d.Domain] = d.Members
			if d.Behind > 0 || d.Version < m.accepted.Load() {
				return fmt.Errorf("%s reports domain %s at version %d with %d members behind, accepted version is %d", v.name, d.Domain, d.Version, d.Behind, m.accepted.Load())
			}
		}
		for domain, count := range members {
			if reported[domain] != count {
				return fmt.Errorf("%s reports %d members of domain %s, but %d are running", v.name, reported[domain], domain, count)
			}
		}
	}
	return nil
}

// serving returns an error if a daemon does not answer a look-up or an order.
func (m *mesh) serving(vms []*vm) error {
	for _, v := range vms {
		for _, send := range []func(*vm, string) (*httpResponse, error){m.lookup, m.order} {
			r, err := send(v, uuid.NewString())
			if err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
			if r.status != consts.StatusOK {
				return fmt.Errorf("%s: status %d: %s", v.name, r.status, r.body)
			}
		}
	}
	return nil
}
