package platform_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/platform"
)

// lateEdge keeps the listener of the readiness server open for some time after its stop.
type lateEdge struct{ platform.Edge }

func (lateEdge) ServeReadiness(ctx context.Context, listener net.Listener, _ func() bool) error {
	<-ctx.Done()
	time.Sleep(time.Second)
	return listener.Close()
}

// TestAddressesAfterStop guards against a daemon that has ended and still holds an
// address, so that its successor in the same process cannot start.
func TestAddressesAfterStop(t *testing.T) {
	d := newDeployment(t, 0)
	d.prepare = func(m *machine) { m.edge = lateEdge{} }
	d.startMachines(1)
	d.stop()
	listen := d.machines[0].settings.Listen
	for name, address := range map[string]string{
		"callers": listen.Callers, "daemons": listen.Daemons, "fleet": listen.Fleet,
		"announcements": listen.Announcements, "readiness": listen.Readiness, "metrics": listen.Metrics,
	} {
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err, name)
		assert.NilError(t, listener.Close())
	}
}
