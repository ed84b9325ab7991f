package proxy

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBacklogIsReported guards against outstanding work that is lost between daemons, and
// against bytes for a target without any.
func TestBacklogIsReported(t *testing.T) {
	encode := func(backlog time.Duration) string {
		result := &AttemptResult{Outcome: Answered, Load: &Load{Busy: 2, Slots: 4, Backlog: backlog}}
		return result.encodeOutcome()
	}
	for _, backlog := range []time.Duration{0, 350 * time.Millisecond} {
		decoded, err := decodeResult(&http.Response{Header: http.Header{outcomeHeader: {encode(backlog)}}})
		assert.NilError(t, err)
		assert.Equal(t, decoded.Load.Backlog, backlog)
	}
	assert.Assert(t, len(encode(0)) < len(encode(time.Microsecond)))
}

// TestRequestOfCall guards against classes and workspaces that the target side mixes up.
func TestRequestOfCall(t *testing.T) {
	call := &Call{Route: "r", Method: "PUT", CallerService: "c", Workspace: "w", Body: NewBody(nil, -1)}
	request := call.request()
	assert.Equal(t, request.Method+request.Caller+request.Workspace, "PUTcw")
	assert.Equal(t, request.BodyBytes, int64(-1))
	call.Body = nil
	assert.Equal(t, call.request().BodyBytes, int64(0))
}
