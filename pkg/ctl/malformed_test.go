package ctl

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/responsehead/headtest"
)

// TestMalformedHead guards against bytes that are no response, for example with status 000,
// and that an operator sees as the success of a command.
func TestMalformedHead(t *testing.T) {
	heads := map[string]string{}
	for _, line := range headtest.StatusLines {
		heads[line] = line
	}
	for _, line := range headtest.Fields {
		if !headtest.Folded(line) { // the client looks at no field
			heads[line] = "HTTP/1.1 200 OK\r\n" + line
		}
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			c, err := newClient([]string{headtest.Serve(t, head+"\r\nContent-Length: 2\r\n\r\n{}")}, "secret", "", time.Second)
			assert.NilError(t, err)
			var reply struct{}
			err = c.post(t.Context(), "/", struct{}{}, &reply)
			assert.ErrorType(t, err, &UnreachableError{})
		})
	}
}

// TestCutResponse guards against a part of a response without a length that counts as the
// whole response.
func TestCutResponse(t *testing.T) {
	const body = `{"version":7}`
	for end := range len(body) {
		c, err := newClient([]string{headtest.Serve(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n\r\n%s", body[:end]))}, "secret", "", time.Second)
		assert.NilError(t, err)
		var reply struct{ Version int }
		err = c.get(t.Context(), "/", nil, &reply)
		assert.Assert(t, err != nil, "%q: %v", body[:end], reply)
	}
}
