package platform_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/test/platform/standin"
)

const (
	// evacuationTimeout is the time within which the operator requires an evacuation to
	// take effect.
	evacuationTimeout = 5 * time.Second
	evacuated         = "zone-1"
)

// newEvacuable returns a deployment that watches evacuations. prepare may be nil.
func newEvacuable(t *testing.T, n int, prepare func(d *deployment, m *machine)) *deployment {
	t.Helper()
	d := newDeployment(t, 0)
	d.prepare = func(m *machine) {
		m.settings.Evacuation = 5000
		if prepare != nil {
			prepare(d, m)
		}
	}
	d.startMachines(n)
	d.awaitTargets()
	return d
}

// inZone returns the machines of a failure domain.
func (d *deployment) inZone(zone string) (machines []*machine) {
	for _, m := range d.machines {
		if m.settings.Domain == zone {
			machines = append(machines, m)
		}
	}
	return machines
}

// serveWithout checks that requests at all machines are served, and that none reaches the
// evacuated domain.
func (d *deployment) serveWithout(zone string) {
	d.t.Helper()
	before := requestCount(d.inZone(zone)...)
	for i := range 10 * len(d.machines) {
		assert.Equal(d.t, d.machines[i%len(d.machines)].get(fmt.Sprintf("/look/%d", i)), http.StatusOK)
	}
	assert.Equal(d.t, requestCount(d.inZone(zone)...), before, "requests to targets of an evacuated domain")
}

// awaitUse waits until the targets of a failure domain get requests.
func (d *deployment) awaitUse(zone string) {
	d.t.Helper()
	for _, m := range d.inZone(zone) {
		before := requestCount(m)
		eventually(d.t, "the target gets requests again", recoveryTimeout, func() bool {
			m.get("/look/1")
			return requestCount(m) > before
		})
	}
}

// TestEvacuationWhileStoreIsPartlyLost guards against an evacuation that does not reach the
// daemons that are cut off from the store, against one that a compacted history hides, and
// against one that does not end.
func TestEvacuationWhileStoreIsPartlyLost(t *testing.T) {
	var endpoints []*standin.Endpoint
	d := newEvacuable(t, 9, func(d *deployment, m *machine) {
		e := d.store.NewEndpoint(t)
		m.store = e.Address
		endpoints = append(endpoints, e)
	})
	time.Sleep(2 * time.Second) // until the roles are settled
	silenced := 0
	for _, e := range endpoints { // the watchers first
		if e.Watching() && silenced < 3 {
			e.Silence()
			silenced++
		}
	}
	assert.Equal(t, silenced, 3)
	d.store.Put("evacuations", evacuated, map[string]any{})
	time.Sleep(evacuationTimeout)
	d.serveWithout(evacuated)

	d.store.Compact()
	d.store.Delete("evacuations", evacuated)
	d.store.Compact()
	d.awaitUse(evacuated)
}

// TestAllDaemonsKilledDuringEvacuation guards against an evacuation that is forgotten with
// the memory of all daemons.
func TestAllDaemonsKilledDuringEvacuation(t *testing.T) {
	d := newEvacuable(t, 4, nil)
	d.store.Put("evacuations", evacuated, map[string]any{})
	time.Sleep(evacuationTimeout)
	d.serveWithout(evacuated)
	d.stop()
	for _, m := range d.machines {
		m.settings.FirstStart = false
		m.start()
	}
	for _, m := range d.machines {
		eventually(t, "the machine serves", recoveryTimeout, func() bool { return m.get("/look/1") == http.StatusOK })
	}
	time.Sleep(3 * time.Second) // after which a daemon counts as connected
	d.serveWithout(evacuated)
	for zone := range 2 {
		d.store.Put("evacuations", fmt.Sprintf("zone-%d", zone), map[string]any{})
	}
	eventually(t, "refusals without any target left", evacuationTimeout, func() bool {
		return d.machines[0].get("/look/1") == http.StatusServiceUnavailable
	})
	d.store.Delete("evacuations", "zone-0")
	d.store.Delete("evacuations", evacuated)
	d.awaitUse(evacuated)
}

// TestDomainReturnsCold guards against targets that get the load of warm ones at the end of
// an evacuation, although they have become cold within it.
func TestDomainReturnsCold(t *testing.T) {
	const rate, coldTime = 3, 4 * time.Second
	d := newEvacuable(t, 4, nil)
	d.extra = []any{map[string]any{
		"resource_type": "services", "metadata": map[string]string{"name": service},
		"spec": map[string]any{"health_path": "/health", "max_conns": 100, "warmup_s": coldTime.Seconds(), "warmup_per_s": rate},
	}}
	d.configure(2, "/look/", "/order/")
	d.store.Put("evacuations", evacuated, map[string]any{})
	time.Sleep(evacuationTimeout)
	returning := d.inZone(evacuated)
	var received arrivals
	for i, m := range returning {
		m.target.Handle(received.handler(i))
		m.setWarmup(coldTime)
	}
	var load sync.WaitGroup
	end := time.Now().Add(coldTime)
	for i := range 24 {
		load.Go(func() {
			for time.Now().Before(end) {
				d.machines[i%len(d.machines)].get("/look/1")
			}
		})
	}
	d.store.Delete("evacuations", evacuated)
	load.Wait()
	for i := range returning {
		most, all := received.mostInSecond(i)
		assert.Assert(t, all > 0, "target %d got nothing while it was cold", i)
		assert.Assert(t, float64(most) <= 1.5*rate+8, "target %d got %d requests in a second", i, most)
	}
}

// setWarmup makes the heartbeats report a cold phase that ends after the given time.
func (m *machine) setWarmup(left time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.warmAt = time.Now().Add(left)
}

// arrivals records when targets receive requests.
type arrivals struct {
	mu sync.Mutex
	at map[int][]time.Time
}

func (a *arrivals) handler(target int) proxytest.Handler {
	return func(r *proxytest.Request) bool {
		a.mu.Lock()
		if a.at == nil {
			a.at = make(map[int][]time.Time)
		}
		a.at[target] = append(a.at[target], time.Now())
		a.mu.Unlock()
		return proxytest.OK("ok")(r)
	}
}

// mostInSecond returns the highest number of requests in any second, and of all.
func (a *arrivals) mostInSecond(target int) (most, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.at[target]
	for first, last := 0, 0; last < len(at); last++ {
		for at[last].Sub(at[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most, len(at)
}
