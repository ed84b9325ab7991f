package proxy

import (
	"bytes"
	"io"
)

// bufferLimit is the size in bytes up to which a response body is read
// completely before it is forwarded. The target side can then release the slot
// even if the link is slow, and the caller side can replace an interrupted
// response.
const bufferLimit = 256 << 10

// bufferBody reads the body of a response into memory if it is small enough. If
// reading fails, the outcome becomes Unknown.
func (a *AttemptResult) bufferBody() {
	if a.buffered || a.Length > bufferLimit {
		return
	}
	var content bytes.Buffer
	if a.Length > 0 {
		content.Grow(int(a.Length) + bytes.MinRead)
	}
	n, err := io.Copy(&content, io.LimitReader(a.Body, bufferLimit))
	rest := a.Body
	switch {
	case err != nil:
		a.Close()
		a.Outcome, a.Reason, a.Body = Unknown, "answer broke off: "+err.Error(), nil
		return
	case a.Length < 0 && n < bufferLimit:
		a.Length = n
	}
	if a.Length == n {
		// Reading up to EOF returns the connection to its pool.
		_, _ = rest.Read(make([]byte, 1))
		_ = rest.Close()
		a.Body, a.buffered = io.NopCloser(&content), true
		return
	}
	a.Body = &rejoinedBody{Reader: io.MultiReader(&content, rest), Closer: rest}
}

// rejoinedBody reads the buffered start of a long body and then the rest of it.
type rejoinedBody struct {
	io.Reader
	io.Closer
}
