package target

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCutHead guards against a response whose head ended early and that is returned as
// complete.
func TestCutHead(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Last: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Last: 1\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 10\nX-Last: 1\n\n",
	}
	for _, head := range heads {
		raw := startRawTarget(t, func(conn net.Conn, path string) {
			end, _ := strconv.Atoi(strings.TrimPrefix(path, "/"))
			_, _ = conn.Write([]byte(head[:end]))
			_ = conn.Close()
		})
		backend := raw.backend(t, 2, 1)
		for end := range len(head) {
			response, err := runExchange(context.Background(), backend, "/"+strconv.Itoa(end))
			var cut *IncompleteResponseError
			assert.Assert(t, errors.As(err, &cut), "response %v after %q", response, head[:end])
		}
	}
}
