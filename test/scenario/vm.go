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

// Ports of a VM. They lie below the ephemeral port range, so that no outgoing
// connection occupies the port of a restarted process.
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
	// maxAddressAttempts bounds the search for an address with free ports.
	maxAddressAttempts = 100
)

// vm is one VM of a scenario: a daemon and a target.
type vm struct {
	name, domain     string
	service, version string
	flags            []string // flags of the target
	ip               string
	daemon, target   *processes.Process
	excluded         atomic.Bool // receives no load: the daemon closed a connection or the script stopped it
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

var addresses = struct {
	sync.Mutex
	used map[string]bool
}{used: map[string]bool{}}

// freeIP returns an unused loopback address on which all ports of a VM are free.
// Each VM has a separate address, as in production.
func freeIP() (string, error) {
	addresses.Lock()
	defer addresses.Unlock()
	for range maxAddressAttempts {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		if !addresses.used[ip] && portsFree(ip) {
			addresses.used[ip] = true
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports found in %d attempts", maxAddressAttempts)
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

// listen returns the listen addresses of the daemon.
func (v *vm) listen() settings.Listen {
	return settings.Listen{
		Calls: v.address(portCalls), Local: v.address(portLocal), Announce: v.address(portAnnounce),
		Daemons: v.address(portDaemons), Admin: v.address(portAdmin), Metrics: v.address(portMetrics),
	}
}

// start starts those processes of the VM that are not running.
func (v *vm) start(f *processes.Group, store string) error {
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
	v.excluded.Store(false)
	return nil
}
