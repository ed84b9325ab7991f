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

var errTimeout = errors.New("not reached in time")

// mesh is the state of one scenario.
type mesh struct {
	dir       string
	tokenFile string
	fleet     *processes.Fleet
	http      *client.Client
	logf      func(format string, args ...any)

	storeVM *vm
	store   *httpstore.Client

	mu  sync.Mutex
	vms []*vm

	load     *load
	watch    *watch
	race     *race
	accepted atomic.Uint64 // the latest version that an operator was told of
	// generation numbers the applied files; each has a route of that number.
	generation atomic.Int64
	acceptedAt time.Time
	marks      map[string]time.Time // when a command last acted, by command
}

func newMesh(binDir, dir string, logf func(string, ...any)) (*mesh, error) {
	c, err := newHTTPClient()
	if err != nil {
		return nil, err
	}
	m := &mesh{
		dir: dir, tokenFile: filepath.Join(dir, "token"), http: c, logf: logf,
		fleet: &processes.Fleet{BinDir: binDir, LogDir: dir}, marks: map[string]time.Time{},
	}
	m.watch, m.race = newWatch(m), &race{m: m}
	m.load = newLoad(m)
	return m, os.WriteFile(m.tokenFile, []byte(adminToken), 0o600)
}

// close ends the load and every process.
func (m *mesh) close() {
	m.load.end()
	m.watch.end()
	m.fleet.KillAll()
}

func (m *mesh) startStore() error {
	ip, err := freeIP()
	if err != nil {
		return err
	}
	m.storeVM = &vm{name: "store", ip: ip}
	address := m.storeVM.address(portStore)
	if m.store, err = httpstore.NewClient(address, storeTimeout); err != nil {
		return err
	}
	if m.storeVM.daemon, err = m.fleet.Start("store", "nutmegstore", "-listen", address); err != nil {
		return err
	}
	return m.eventually(bootTimeout, func() error { return m.setStoreFaults("{}") })
}

func (m *mesh) setStoreFaults(faults string) error {
	r, err := m.do(exchange{
		method: consts.MethodPut, url: "http://" + m.storeVM.address(portStore) + "/faults", body: faults, timeout: adminTimeout,
	})
	if err == nil && r.status != consts.StatusNoContent {
		err = fmt.Errorf("faults of the store: status %d: %s", r.status, r.body)
	}
	return err
}

// all returns the VMs of the scenario.
func (m *mesh) all() []*vm {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]*vm(nil), m.vms...)
}

// up returns the VMs that callers may choose.
func (m *mesh) up() []*vm {
	var vms []*vm
	for _, v := range m.all() {
		if !v.avoided.Load() {
			vms = append(vms, v)
		}
	}
	return vms
}

func (m *mesh) vm(name string) (*vm, error) {
	for _, v := range m.all() {
		if v.name == name {
			return v, nil
		}
	}
	return nil, fmt.Errorf("no VM %q", name)
}

func (m *mesh) byAddress(address string) (*vm, error) {
	for _, v := range m.all() {
		if v.address(portDaemons) == address {
			return v, nil
		}
	}
	return nil, fmt.Errorf("no VM at %q", address)
}

// holder returns the VM that holds a lease.
func (m *mesh) holder(key string) (*vm, error) {
	object, err := m.store.Get(context.Background(), key)
	if err != nil {
		return nil, err
	}
	record, err := lease.Decode(object.Value)
	if err != nil {
		return nil, err
	}
	if record.Holder == "" {
		return nil, fmt.Errorf("nobody holds %s", key)
	}
	return m.byAddress(record.Address)
}

// role returns the VM with a role: distributor DOMAIN SLOT, controller SERVICE,
// or member DOMAIN for one that is no distributor.
func (m *mesh) role(args []string) (*vm, error) {
	switch {
	case len(args) == 3 && args[0] == "distributor":
		return m.holder("entry/distributor/" + args[1] + "/" + args[2])
	case len(args) == 2 && args[0] == "controller":
		return m.holder(fmt.Sprintf("lease/rollout/%d", move.Shard(args[1])))
	case len(args) == 2 && args[0] == "member":
		first, err := m.role([]string{"distributor", args[1], "0"})
		if err != nil {
			return nil, err
		}
		second, err := m.role([]string{"distributor", args[1], "1"})
		if err != nil {
			return nil, err
		}
		for _, v := range m.up() {
			if v.domain == args[1] && v != first && v != second {
				return v, nil
			}
		}
	}
	return nil, fmt.Errorf("no VM for the role %s", strings.Join(args, " "))
}

// eventually polls until condition returns nil. The error is the last one.
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

// converged reports the first daemon that callers may choose whose version is
// older than the accepted one.
func (m *mesh) converged() error {
	for _, v := range m.up() {
		s, err := m.status(v)
		if err != nil {
			return err
		}
		if s.Version < m.accepted.Load() {
			return fmt.Errorf("%s has version %d, accepted is %d", v.name, s.Version, m.accepted.Load())
		}
	}
	return nil
}

// settled reports a daemon that does not see every domain up to date with all
// the daemons that run.
func (m *mesh) settled() error {
	members := map[string]int{}
	for _, v := range m.up() {
		members[v.domain]++
	}
	for _, v := range m.up() {
		s, err := m.status(v)
		if err != nil {
			return err
		}
		seen := map[string]int{}
		for _, d := range s.Domains {
			seen[d.Domain] = d.Members
			if d.Behind > 0 || d.Version < m.accepted.Load() {
				return fmt.Errorf("%s sees %s at version %d with %d behind, accepted is %d", v.name, d.Domain, d.Version, d.Behind, m.accepted.Load())
			}
		}
		for domain, count := range members {
			if seen[domain] != count {
				return fmt.Errorf("%s sees %d members of %s, %d run", v.name, seen[domain], domain, count)
			}
		}
	}
	return nil
}

// serving reports a VM whose daemon does not answer a look-up or an order.
func (m *mesh) serving(vms []*vm) error {
	for _, v := range vms {
		for _, send := range []func(*vm, string) (*reply, error){m.lookup, m.order} {
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
