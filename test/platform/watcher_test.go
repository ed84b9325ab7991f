package platform_test

import (
	"net/http"
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/test/platform/standin"
)

// TestConfigurationWhenAllWatchersAreBlind guards against a configuration that is late
// because the store answers none of the daemons that watch it.
func TestConfigurationWhenAllWatchersAreBlind(t *testing.T) {
	d := newDeployment(t, 0)
	endpoints := make(map[*machine]*standin.Endpoint)
	d.prepare = func(m *machine) {
		endpoints[m] = d.store.NewEndpoint(t)
		m.store = endpoints[m].Address
	}
	d.startMachines(8)
	time.Sleep(2 * time.Second) // until the roles are settled
	var watching []*standin.Endpoint
	eventually(t, "watchers of the configuration", recoveryTimeout, func() bool {
		watching = nil
		for _, e := range endpoints {
			if e.Watching() {
				watching = append(watching, e)
			}
		}
		return len(watching) == 3
	})
	for _, e := range watching {
		e.Silence()
	}
	d.configure(2, "/look/", "/new/")
	deadline := time.Now().Add(applyTimeout)
	for _, m := range d.machines {
		eventually(t, "the route is in force", time.Until(deadline), func() bool { return m.get("/new/") == http.StatusOK })
	}
}
