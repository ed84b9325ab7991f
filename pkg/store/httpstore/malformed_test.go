package httpstore_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/responsehead/headtest"
	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/store/httpstore"
)

const storedObject = `{"object":{"Key":"a/1","Revision":7,"Value":"b25l"}}`

// checkNoResponse checks that a response counts as none: a read fails, and the outcome of a
// write is unknown.
func checkNoResponse(t *testing.T, response string) {
	t.Helper()
	address := headtest.Serve(t, response)
	// A connection that the server has closed would hide the response.
	fresh := func() *httpstore.Client { return httpstore.NewClient(address, time.Second) }
	object, err := fresh().Get(t.Context(), "a/1")
	assert.Check(t, store.IsUnavailable(err), "get: %v, %v", object, err)
	object, err = fresh().Update(t.Context(), "a/1", []byte("one"), 6)
	assert.Check(t, store.IsOutcomeUnknown(err), "update: %v, %v", object, err)
	err = fresh().Delete(t.Context(), "a/1", 6)
	assert.Check(t, store.IsOutcomeUnknown(err), "delete: %v", err)
}

// TestMalformedStatusLine guards against bytes that are no response, for example with
// status 000, and that count as the response of the store.
func TestMalformedStatusLine(t *testing.T) {
	for _, line := range headtest.StatusLines {
		t.Run(line, func(t *testing.T) {
			checkNoResponse(t, fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", line, len(storedObject), storedObject))
		})
	}
}

// TestMalformedFields guards against a response in whose head a field name has a blank or
// a control byte and that is believed.
func TestMalformedFields(t *testing.T) {
	for _, line := range headtest.Fields {
		if headtest.Folded(line) {
			continue // the client looks at no field
		}
		t.Run(line, func(t *testing.T) {
			checkNoResponse(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", line, len(storedObject), storedObject))
		})
	}
}

// TestFailureStatus guards against a failure whose body can be decoded and that counts as
// a success.
func TestFailureStatus(t *testing.T) {
	for _, status := range []int{201, 302, 400, 404, 500, 503} {
		checkNoResponse(t, fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: 2\r\n\r\n{}", status))
	}
}

// TestCutResponse guards against a part of a response without a length that counts as the
// whole response, even if its connection was closed in order.
func TestCutResponse(t *testing.T) {
	for end := range len(storedObject) {
		checkNoResponse(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+storedObject[:end])
	}
}
