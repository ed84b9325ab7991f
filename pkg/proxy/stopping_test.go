package proxy_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
)

// TestInnerCallsWhileStopping guards against a running request that fails because the
// stopping daemon refuses the calls that it makes.
func TestInnerCallsWhileStopping(t *testing.T) {
	m := newMesh(t, 1)
	m.handleAll(func(r *proxytest.Request) bool {
		if r.URL.Path != "/look/parent" {
			return proxytest.OK("inner")(r)
		}
		m.refusing.Store(true)
		inner := m.requestWithID(t.Context(), "id-1.1", "/look/inner", nil, 0)
		other := m.requestWithID(t.Context(), "id-2", "/look/other", nil, 0)
		proxytest.Write(r, http.StatusOK, "", http.StatusText(inner.status)+", "+http.StatusText(other.status))
		return true
	})
	assert.Equal(t, m.get("/look/parent").body, "OK, Service Unavailable")
}
