package proxy

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadersWithoutNames guards against a deployment without workspaces whose requests
// lose headers.
func TestHeadersWithoutNames(t *testing.T) {
	h := http.Header{"X-Key": {"k"}, "": {"x"}}
	assert.Assert(t, !HeaderNames{}.takeCredential(h).Present)
	HeaderNames{}.setWorkspace(h, "acme")
	assert.DeepEqual(t, h, http.Header{"X-Key": {"k"}, "": {"x"}})
}

// TestParseErrorHidesHeaders guards against a key in the log entry of a malformed request.
func TestParseErrorHidesHeaders(t *testing.T) {
	const key = "s3cret"
	for _, head := range []string{
		"GET / HTTP/1.1\r\nX-Key " + key + "\r\n\r\n", "GET / HTTP/1.1\r\n X-Key: " + key + "\r\n\r\n", "X-Key: " + key + "\r\n\r\n",
		"X-Key: / " + key + "\r\n\r\n", "GET / HTTP/1.1\r\nX-K(ey: " + key + "\r\n\r\n", "GET " + key + " HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nContent-Length: " + key + "\r\n\r\n", "POST / HTTP/1.1\r\nTransfer-Encoding: " + key + "\r\n\r\n",
		key + " / HTTP/1.1\r\nHost: a\r\n\r\n", "G(" + key + " / HTTP/1.1\r\nHost: a\r\n\r\n", "GET /%zz" + key + " HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nHost: " + key + "\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: " + key + "\r\n\r\n",
	} {
		_, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err == nil {
			continue
		}
		text := (&parseError{err}).Error()
		assert.Assert(t, text != "" && !strings.Contains(text, key), "%q: %s", head, text)
	}
}
