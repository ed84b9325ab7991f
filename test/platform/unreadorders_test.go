package platform_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/test/platform/standin"
)

// failOrderReads injects a fault into all reads of the orders.
func (d *deployment) failOrderReads(fault standin.Fault) {
	d.store.Inject(func(r *http.Request) standin.Fault {
		if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/v1/objects/rollouts") {
			return fault
		}
		return standin.NoFault
	})
}

// TestBadVersionAfterLoss guards against requests to a version that was rolled back, when
// all daemons were lost and read the configuration before the orders. The targets of the
// version in use are heard later than the one of the bad version.
func TestBadVersionAfterLoss(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"unavailable": standin.Unavailable, "silent": standin.NoResponse} {
		t.Run(name, func(t *testing.T) {
			d := newMoves(t, "v1", "v1", "v1", "v2")
			bad := d.announce("v2")[0]
			bad.target.Handle(proxytest.Fail(http.StatusInternalServerError))
			d.order("v2", moveDuration)
			eventually(t, "the bad version is rolled back", moveDuration, func() bool { return d.moveState("v2") == "rolled_back" })
			for _, m := range d.machines[:3] {
				m.setState("")
			}
			d.failOrderReads(fault)
			d.restartAll()
			before := requestCount(bad)
			for returned := time.Now(); time.Since(returned) < time.Second; time.Sleep(20 * time.Millisecond) {
				for _, m := range d.machines {
					m.get("/look/1")
				}
			}
			d.announce("v1")
			d.store.InjectAll(standin.NoFault)
			for _, m := range d.machines {
				eventually(t, "the machine serves", recoveryTimeout, func() bool { return m.get("/look/1") == http.StatusOK })
			}
			assert.Equal(t, requestCount(bad), before, "requests reached a version that was rolled back")
		})
	}
}

// TestUnreadOrders guards against daemons that never serve because the store answers no
// read of the orders.
func TestUnreadOrders(t *testing.T) {
	d := newDrill(t, 3)
	d.failOrderReads(standin.Unavailable)
	d.restartAll()
	for _, m := range d.machines {
		eventually(t, "the machine serves", recoveryTimeout, func() bool { return m.get("/look/1") == http.StatusOK })
	}
}
