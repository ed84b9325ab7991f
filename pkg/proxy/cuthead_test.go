package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
)

// TestCutHead guards against a successful response whose head ended early, with an empty
// or a short body that looks complete.
func TestCutHead(t *testing.T) {
	const body = "0123456789"
	heads := map[string]string{
		"length":  "HTTP/1.1 200 OK\r\n%[1]s: %[2]s\r\n%[3]s: signed\r\nContent-Length: 10\r\nX-Last: 1\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\n%[1]s: %[2]s\r\n%[3]s: signed\r\nTransfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n",
		"LF only": "HTTP/1.1 200 OK\n%[1]s: %[2]s\n%[3]s: signed\nContent-Length: 10\nX-Last: 1\n\n",
	}
	for name, format := range heads {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 1)
			head := fmt.Sprintf(format, proxytest.Names.RequestID, "id-1", proxytest.Names.Signature)
			for end := range len(head) + len(body) {
				sent := (head + body)[:end]
				m.handleAll(func(r *proxytest.Request) bool {
					_, _ = io.WriteString(r.Conn, sent)
					return false
				})
				response := m.post("/order/1", "box")
				complete := response.err == nil && response.status < http.StatusMultipleChoices
				assert.Assert(t, !complete, "status %d with body %q after %q", response.status, response.body, sent)
			}
		})
	}
}
