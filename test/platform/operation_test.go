package platform_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/fleetview"
	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/test/platform/standin"
)

// TestRegistrationCalls guards against a start of all daemons in which each lists all
// others, and against a restart that costs more than one read.
func TestRegistrationCalls(t *testing.T) {
	const daemons = 10
	d := newDeployment(t, 0)
	var lists, staleLists, writes atomic.Int32
	d.store.Inject(func(r *http.Request) standin.Fault {
		switch {
		case !strings.HasPrefix(r.URL.Path, "/v1/objects/nutmegstand-daemons") || r.URL.Query().Has("after"): // a further page
		case r.Method != http.MethodGet:
			writes.Add(1)
		case r.URL.Query().Get("serializable") == "1":
			staleLists.Add(1)
		default:
			lists.Add(1)
		}
		return standin.NoFault
	})
	d.startMachines(daemons)
	assert.Equal(t, int(writes.Load()), daemons)
	assert.Assert(t, lists.Load() <= daemons/2, "%d daemons listed the others", lists.Load())
	assert.Equal(t, staleLists.Load(), int32(0))

	writes.Store(0)
	lists.Store(0)
	m := d.machines[3]
	m.stop()
	assert.NilError(t, <-m.ended)
	m.settings.FirstStart = false
	m.start()
	eventually(t, "the machine serves again", 10*time.Second, func() bool { return m.get("/look/1") == http.StatusOK })
	assert.Equal(t, writes.Load()+staleLists.Load(), int32(0), "a restart needs one list only")
	assert.Equal(t, lists.Load(), int32(1))
}

// TestFleetView guards against a view that lacks daemons, or that shows a stopped daemon
// as usable, and against one that calls the store.
func TestFleetView(t *testing.T) {
	d := newDeployment(t, 3)
	view := func() (v fleetview.View) {
		response, err := http.Get("http://" + d.machines[0].settings.Listen.Metrics + fleetview.Path)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&v))
		return v
	}
	eventually(t, "all targets are ready", 5*time.Second, func() bool {
		ready := 0
		for _, z := range view().Zones {
			ready += z.Targets[fleetview.TargetReady]
		}
		return ready == 3
	})
	assert.Equal(t, view().ConfigVersion, uint64(1))
	before := d.store.Calls()
	for range 50 {
		view()
	}
	assert.Assert(t, d.store.Calls()-before < 10, "the view calls the store")
	m := d.machines[2]
	m.stop()
	assert.NilError(t, <-m.ended)
	m.stop = nil
	eventually(t, "the stopped daemon is shown", 5*time.Second, func() bool {
		return view().Members[2].State == fleetview.DaemonLeaving
	})
}

// TestStopWithinGrace guards against a daemon that is killed at the end of the grace
// time because requests do not end: it must end by itself before.
func TestStopWithinGrace(t *testing.T) {
	d := newDeployment(t, 2)
	for _, m := range d.machines {
		m.settings.StopGrace = 3500
		m.target.Handle(func(r *proxytest.Request) bool {
			_, _ = io.Copy(io.Discard, r.Conn) // until the daemon closes the connection
			return false
		})
	}
	stopped := d.machines[1]
	stopped.stop()
	assert.NilError(t, <-stopped.ended)
	stopped.start()
	eventually(t, "the machine is ready", 10*time.Second, func() bool { return stopped.readiness() == http.StatusOK })
	d.configure(2, "/look/", "/long/")
	for _, m := range d.machines {
		eventually(t, "the route is in force", applyTimeout, func() bool { return m.get("/long/none") != http.StatusNotFound })
		for range 6 {
			conn, err := net.Dial("tcp", m.settings.Listen.Callers)
			assert.NilError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = fmt.Fprintf(conn, "GET /long/1 HTTP/1.1\r\nHost: fish.example\r\n%s: x\r\n%s: 20000\r\n\r\n", proxytest.Names.RequestID, proxytest.Names.TimeLeft)
			assert.NilError(t, err)
		}
	}
	eventually(t, "its target runs requests", 5*time.Second, func() bool { return requestCount(stopped) > 0 })
	started := time.Now()
	stopped.stop()
	assert.NilError(t, <-stopped.ended)
	stopped.stop = nil
	took := time.Since(started)
	assert.Assert(t, took < stopped.settings.StopGrace.Duration(), "the daemon took %v, it is killed after %v", took, stopped.settings.StopGrace.Duration())
}
