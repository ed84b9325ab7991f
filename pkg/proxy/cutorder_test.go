package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNothingFollowsCutResponse guards against a cut response whose missing bytes are
// filled by the response to the next request of the connection.
func TestNothingFollowsCutResponse(t *testing.T) {
	const connections = 20
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			w.Header().Set("Content-Length", "500")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		}
		time.Sleep(10 * time.Millisecond) // until the response before has been cut
		_, _ = io.WriteString(w, strings.Repeat("x", 500))
	})
	s := startCallerServer(t, handler, repeatable, never)
	for range connections {
		c := s.dial(t)
		c.sendGets("/cut", "/2")
		_, body, err := c.receive()
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, body, "half")
	}
}
