package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
)

// TestLeavingInResponse guards against requests that reach a target after its drain
// period, which its responses alone have started.
func TestLeavingInResponse(t *testing.T) {
	m := newMesh(t, 2)
	leaving := m.targetSides[1]
	leaving.target.Handle(func(r *proxytest.Request) bool {
		proxytest.Write(r, http.StatusOK, proxytest.Names.Leaving+": 1\r\n", "ok")
		return true
	})
	for len(leaving.target.Requests()) == 0 {
		m.get("/look/1")
	}
	m.clock.Advance(testDrainPeriod)
	time.Sleep(testDrainPeriod)
	before := len(leaving.target.Requests())
	for range 30 {
		assert.Equal(t, m.get("/order/1").status, http.StatusOK)
	}
	assert.Equal(t, len(leaving.target.Requests()), before)
}
