package platform_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/test/platform/standin"
)

// order requests the move of the service to a version.
func (d *deployment) order(version string, duration time.Duration) {
	d.store.Put("rollouts", service, map[string]any{"service": service, "target_version": version, "duration_s": duration.Seconds()})
}

// moveState returns the state of the move to a version that the operator sees.
func (d *deployment) moveState(version string) string {
	var status struct {
		State  string `json:"state"`
		Target string `json:"target_version"`
	}
	if o := d.store.Get("rollouts", service); o == nil || json.Unmarshal(o.Status, &status) != nil || status.Target != version {
		return ""
	}
	return status.State
}

// sendRequests sends requests from all machines at a steady rate until the test ends.
func (d *deployment) sendRequests(interval time.Duration) {
	var sent atomic.Int64
	for _, m := range d.machines {
		go func() {
			for d.t.Context().Err() == nil {
				go m.get(fmt.Sprintf("/look/%d", sent.Add(1)))
				time.Sleep(interval)
			}
		}()
	}
}

// TestControllerRejectedByStore guards against a move that no daemon controls because the
// store rejects the calls of the controller and serves all others. Its bad version must get
// requests neither before a plan nor after its fault shows.
func TestControllerRejectedByStore(t *testing.T) {
	const (
		machines = 9
		duration = 10 * time.Second
	)
	d := newDeployment(t, 0)
	endpoints := make(map[string]*standin.Endpoint)
	var mu sync.Mutex
	var controller string // address of the last daemon that wrote a plan
	d.store.Inject(func(r *http.Request) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if r.Method != http.MethodGet && strings.Contains(r.URL.Path, "nutmegstand-moves") {
			controller = r.Host
		}
		return standin.NoFault
	})
	d.prepare = func(m *machine) {
		m.settings.Name = fmt.Sprintf("node-%d", len(d.machines)) // ranked so that the controller is no watcher
		e := d.store.NewEndpoint(t)
		endpoints[e.Address], m.store = e, e.Address
		if len(d.machines) >= machines-2 {
			m.version, m.state = fmt.Sprintf("v%d", len(d.machines)-machines+4), "" // started before the orders, announced with them
		}
	}
	d.startMachines(machines)
	bad := map[string]*machine{"v2": d.machines[machines-2], "v3": d.machines[machines-1]}
	for _, m := range bad {
		m.target.Handle(proxytest.Fail(http.StatusInternalServerError))
	}
	d.sendRequests(60 * time.Millisecond)
	bad["v2"].setState("ready")
	d.order("v2", duration)
	eventually(t, "the first bad version is rolled back", duration, func() bool { return d.moveState("v2") == "rolled_back" })

	mu.Lock()
	rejected := controller
	mu.Unlock()
	// A controller that watches gives up its role anyway. It does so as a standby while the
	// watchers are slow.
	eventually(t, "the controller is no watcher", recoveryTimeout, func() bool { return !endpoints[rejected].Watching() })
	endpoints[rejected].Reject(true)
	d.order("v3", duration)
	ordered := time.Now()
	bad["v3"].setState("ready")
	eventually(t, "the second bad version is rolled back", duration, func() bool { return d.moveState("v3") == "rolled_back" })
	assert.Assert(t, requestCount(bad["v3"]) <= 50, "%d requests reached the bad version", requestCount(bad["v3"]))
	before := requestCount(bad["v3"])
	time.Sleep(time.Until(ordered.Add(duration)))
	assert.Equal(t, requestCount(bad["v3"]), before, "requests to the bad version after its rollback")
}
