package target

import (
	"errors"
	"fmt"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/responsehead/headtest"
)

// exchangeRaw returns the result of an exchange with a target that sends the given bytes
// and closes the connection.
func exchangeRaw(t *testing.T, response string) (*Response, error) {
	raw := startRawTarget(t, func(conn net.Conn, _ string) {
		_, _ = conn.Write([]byte(response))
		_ = conn.Close()
	})
	return runExchange(t.Context(), raw.backend(t, 1, 1), "/")
}

// TestMalformedStatusLine guards against bytes that are no response and that are returned
// as one: hertz takes status 000 for 200, and any protocol for HTTP.
func TestMalformedStatusLine(t *testing.T) {
	for _, line := range headtest.StatusLines {
		for name, body := range map[string]string{"": "no", " before a response": okResponse("no")} {
			t.Run(line+name, func(t *testing.T) {
				response, err := exchangeRaw(t, line+okResponse(body)[len("HTTP/1.1 200 OK"):])
				var incomplete *IncompleteResponseError
				assert.Assert(t, errors.As(err, &incomplete), "%v, %v", response, err)
			})
		}
	}
}

// TestUnusualStatusLine guards against the rejection of a response whose status line is
// valid, or is accepted by other recipients.
func TestUnusualStatusLine(t *testing.T) {
	for line, status := range map[string]int32{
		"HTTP/1.1 200": 200, "HTTP/1.0 200 OK": 200, "\r\nHTTP/1.1 200 OK": 200, "HTTP/1.1 200 \xff": 200, "HTTP/1.1 418 000": 418,
		"HTTP/1.1 999 Down": 999, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created": 201,
	} {
		t.Run(line, func(t *testing.T) {
			response, err := exchangeRaw(t, line+okResponse("body")[len("HTTP/1.1 200 OK"):])
			assert.NilError(t, err)
			assert.Equal(t, response.Status, status)
			assert.Equal(t, string(response.Body), "body")
		})
	}
}

// TestMalformedFields guards against a response in whose head a field name has a blank or
// a control byte: the line is passed on, or a length that it hides changes the body.
func TestMalformedFields(t *testing.T) {
	const start, length = "HTTP/1.1 200 OK\r\nA: b\r\n", "Content-Length: 2\r\n"
	for _, line := range headtest.Fields {
		line += "\r\n"
		for name, head := range map[string]string{
			"first":     "HTTP/1.1 200 OK\r\n" + line + length,
			"middle":    start + line + length,
			"last":      start + length + line,
			"no length": start + line,
			"interim":   "HTTP/1.1 100 Continue\r\nA: b\r\n" + line + "\r\n" + start + length,
		} {
			t.Run(fmt.Sprintf("%q, %s", line, name), func(t *testing.T) {
				response, err := exchangeRaw(t, head+"\r\nok")
				var incomplete *IncompleteResponseError
				assert.Assert(t, errors.As(err, &incomplete), "%v, %v", response, err)
			})
		}
	}
}
