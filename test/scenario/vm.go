package scenario

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/pkg/settings"
	"nutmegstand.example/nutmegstand/test/processes"
)

// Ports of a VM. They lie below the range of ports that the system gives to
// outgoing connections, so a restarted process finds its port free.
const (
	portCalls = 7100 + iota
	portLocal
	portAnnounce
	portDaemons
	portAdmin
	portMetrics
	portTarget
	portStore
)

const (
	adminToken   = "scenario-administrator"
	storeTimeout = time.Second
	// addressTries bounds the search for an address whose ports are free.
	addressTries = 100
)

// vm is one VM of a scenario: a daemon and a target.
type vm struct {
	name, domain     string
	service, version string
	flags            []string // of the target
	ip               string
	daemon, target   *processes.Process
	avoided          atomic.Bool // callers were told to go elsewhere, or the VM is down by the script
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

var addresses = struct {
	sync.Mutex
	taken map[string]bool
}{taken: map[string]bool{}}

// freeIP returns a loopback address on which all ports of a VM are free. Each
// VM has an address of its own, as in production.
func freeIP() (string, error) {
	addresses.Lock()
	defer addresses.Unlock()
	for range addressTries {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		if !addresses.taken[ip] && portsFree(ip) {
			addresses.taken[ip] = true
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports in %d tries", addressTries)
}

func portsFree(ip string) bool {
	for port := portCalls; port <= portStore; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// listen returns the listening addresses of the daemon.
func (v *vm) listen() settings.Listen {
	return settings.Listen{
		Calls: v.address(portCalls), Local: v.address(portLocal), Announce: v.address(portAnnounce),
		Daemons: v.address(portDaemons), Admin: v.address(portAdmin), Metrics: v.address(portMetrics),
	}
}

// start starts what does not run of the VM.
func (v *vm) start(f *processes.Fleet, store string) error {
	file, err := processes.WriteSettings(f.LogDir, v.name, v.domain, adminToken, store, v.listen())
	if err != nil {
		return err
	}
	if !v.daemon.Running() {
		if v.daemon, err = f.Start(v.name+"-daemon", "nutmegstandd", "-settings", file); err != nil {
			return err
		}
	}
	if !v.target.Running() {
		flags := append([]string{
			"-listen", v.address(portTarget), "-announce", v.address(portAnnounce), "-local", v.address(portLocal),
			"-service", v.service, "-version", v.version, "-journal", filepath.Join(f.LogDir, v.name+".orders"),
		}, v.flags...)
		if v.target, err = f.Start(v.name+"-target", "nutmegtarget", flags...); err != nil {
			return err
		}
	}
	v.avoided.Store(false)
	return nil
}
