package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
)

// TestRepeatedRefusal guards against a second copy of an earlier refusal that is taken
// as the refusal of a request that runs.
func TestRepeatedRefusal(t *testing.T) {
	refusals := map[string]string{
		"with ID":    fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: id-0\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", proxytest.Names.RequestID, proxytest.Names.NotRun),
		"without ID": fmt.Sprintf("HTTP/1.1 503 Full\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", proxytest.Names.NotRun),
	}
	for name, refusal := range refusals {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 2)
			var refused, runs atomic.Int32
			m.handleAll(func(r *proxytest.Request) bool {
				if refused.Add(1) <= 2 {
					return proxytest.NotRun(http.StatusServiceUnavailable)(r)
				}
				_, _ = io.WriteString(r.Conn, refusal)
				runs.Add(1)
				return proxytest.OK("own")(r)
			})
			assert.Equal(t, m.post("/order/1", "box").status, http.StatusServiceUnavailable) // both targets refuse, and keep the connection
			response := m.post("/order/2", "box")
			assert.Equal(t, response.status, http.StatusOK, "a request that ran was refused")
			assert.Equal(t, response.body, "own")
			assert.Equal(t, runs.Load(), int32(1), "the request ran more than once")
		})
	}
}
