package node

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// TestDescribedRequest guards against a description that is read otherwise than the request
// it stands for would be, and against a wrong one that is explained anyway.
func TestDescribedRequest(t *testing.T) {
	got, err := describeRequest(url.Values{
		"host": {"h"}, "path": {"/a/b?c=/d/"}, "method": {"PUT"}, "workspace": {"acme"}, "remaining_ms": {"1500"},
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, proxy.Description{Host: "h", Path: "/a/b", Method: "PUT", Workspace: "acme", Remaining: 1500 * time.Millisecond})
	got, err = describeRequest(url.Values{"host": {"h"}, "path": {"/"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, proxy.Description{Host: "h", Path: "/", Method: "GET"})
	for query, message := range map[string]string{
		"path=/":                          "host must be a host name",
		"host=h&path=a":                   "path must be a path that starts with a slash",
		"host=h&path=/&remaining_ms=-1":   "remaining_ms must be a positive number of milliseconds",
		"host=h&path=/&remaining_ms=1e99": "remaining_ms must be a positive number of milliseconds",
	} {
		w := httptest.NewRecorder()
		(&Node{}).serveExplanation(w, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
		assert.Equal(t, w.Code, http.StatusBadRequest)
		assert.Equal(t, w.Body.String(), `{"error":{"kind":"bad_request","message":"`+message+"\"}}\n")
	}
}
