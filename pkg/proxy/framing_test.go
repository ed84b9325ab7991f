package proxy_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestChunksOfOldProtocol guards against an order that runs without its body. HTTP/1.0
// has no chunks: the parser of net/http ignores their header, and takes the body for
// empty or, with a length, for the bytes of the chunks.
func TestChunksOfOldProtocol(t *testing.T) {
	long := "X-Long: " + strings.Repeat("x", 6000) + "\r\n"
	for name, head := range map[string]string{
		"chunks":             "Transfer-Encoding: chunked\r\n",
		"chunks with length": "Content-Length: 5\r\ntransfer-encoding: chunked\r\n",
		"long header":        long + "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 1)
			client := m.caller.dial(t)
			client.send("POST /order/1 HTTP/1.0\r\nHost: fish.example\r\nX-Request-Id: old\r\n%s\r\n5\r\norder\r\n0\r\n\r\n", head)
			response, _, err := client.receive()
			assert.NilError(t, err)
			for _, r := range m.targetSides[0].target.Requests() {
				t.Errorf("ran with the body %q, status %d", r.Content, response.StatusCode)
			}
			assert.Equal(t, response.StatusCode, http.StatusBadRequest)
		})
	}
	m := newMesh(t, 1)
	client := m.caller.dial(t)
	client.send("POST /order/1 HTTP/1.0\r\nHost: fish.example\r\nX-Request-Id: old\r\n%sContent-Length: 5\r\n\r\norder", long)
	response, _, err := client.receive()
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, string(m.targetSides[0].target.Requests()[0].Content), "order")
}
