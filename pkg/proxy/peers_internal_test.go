package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/responsehead/headtest"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestMalformedHeadOfDaemon guards against bytes that another daemon sends, that are no
// response and that count as the result of a call.
func TestMalformedHeadOfDaemon(t *testing.T) {
	const length = "Content-Length: 2\r\n"
	result := fmt.Sprintf("%s: %s\r\n", outcomeHeader, (&AttemptResult{Outcome: Answered, Ran: time.Millisecond}).encodeOutcome())
	answer := "HTTP/1.1 200 OK\r\n" + result + length + "\r\nno"
	responses := map[string]string{"valid": answer}
	for _, line := range headtest.StatusLines {
		responses[line] = fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", line, result, len(answer), answer)
	}
	for _, line := range headtest.Fields {
		responses[line] = "HTTP/1.1 200 OK\r\n" + result + "A: b\r\n" + line + "\r\n" + length + "\r\nno"
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			got := NewPeers().Do(t.Context(), headtest.Serve(t, response), &Call{
				ID: "id-1", Kind: routing.Idempotent, Method: http.MethodGet, URI: "/", Host: "fish.example",
				Header: http.Header{}, Received: now, Deadline: now.Add(5 * time.Second),
			})
			defer got.Close()
			want := Unknown
			if name == "valid" {
				want = Answered
			}
			assert.Equal(t, got.Outcome, want, got.Reason)
		})
	}
}
