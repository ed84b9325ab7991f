package platform_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestLateCallsInPlannedStop guards against requests that a stopping daemon passes on
// shortly before its end and then cuts.
func TestLateCallsInPlannedStop(t *testing.T) {
	d := newDeployment(t, 2)
	d.configure(2, "/look/", "/order/", "/long/")
	stopped := d.machines[1]
	eventually(t, "the route is in force", applyTimeout, func() bool { return stopped.get("/long/0") == http.StatusOK })
	callTarget := func(path string, timeout time.Duration) *proxy.AttemptResult {
		call := &proxy.Call{
			ID: path, Route: path, Service: service, Kind: routing.NonIdempotent, Objective: time.Second, CallerService: service,
			ConfigVersion: 2, Target: stopped.id, Attempt: 1, Method: http.MethodPost, URI: path, Host: "fish.example",
			Header: http.Header{proxytest.Names.RequestID: {path}}, Deadline: time.Now().Add(timeout),
		}
		return proxy.NewPeers().Do(t.Context(), stopped.settings.Listen.Daemons, call)
	}
	eventually(t, "the target accepts calls", recoveryTimeout, func() bool {
		result := callTarget("/order/1", time.Second)
		defer result.Close()
		return result.Outcome == proxy.Answered
	})
	for _, m := range d.machines {
		m.target.Handle(func(r *proxytest.Request) bool {
			work := 2 * time.Second
			if r.URL.Path == "/long/1" {
				work = 4 * time.Second
			}
			time.Sleep(work)
			return proxytest.OK("done")(r)
		})
	}
	long := make(chan *proxy.AttemptResult)
	go func() { long <- callTarget("/long/1", 6*time.Second) }()
	time.Sleep(100 * time.Millisecond)
	stopped.stop()
	time.Sleep(3500 * time.Millisecond)
	assert.Equal(t, stopped.get("/order/2"), http.StatusServiceUnavailable)
	late := callTarget("/order/3", 3*time.Second)
	assert.Equal(t, late.Outcome, proxy.Refused, "a late call of a daemon with a stale view was passed on: %s", late.Reason)
	early := <-long
	assert.Equal(t, early.Outcome, proxy.Answered, "the request that keeps the daemon running: %s", early.Reason)
	early.Close()
	assert.NilError(t, <-stopped.ended)
	stopped.stop = nil
}
