package responsehead

import (
	"fmt"
	"net/http"
)

// StatusError reports a status code that the final response to a request without an
// upgrade does not have.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("responsehead: status code %d, want 200 or more", e.Status)
}

// Check returns an error for a final response that net/http has read from a malformed head:
// a SyntaxError for a byte in a field name, or a StatusError. net/http itself rejects other
// malformed heads, and joins folded values.
func Check(r *http.Response) error {
	if r.StatusCode < http.StatusOK {
		return &StatusError{Status: r.StatusCode}
	}
	for name := range r.Header {
		for i := range len(name) {
			if !isToken[name[i]] {
				return &SyntaxError{Part: fieldName.String(), Byte: name[i]}
			}
		}
	}
	return nil
}
