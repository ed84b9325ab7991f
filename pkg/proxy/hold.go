package proxy

import (
	"bytes"
	"io"
)

// holdLimit is the size up to which an answer is read whole before it is passed
// on. The target side gives the slot back as soon as it has the answer, also if
// the link is slow; the caller side can replace a broken answer.
const holdLimit = 256 << 10

// hold reads the body of an answer whole if it is small enough. A body that
// breaks off makes the outcome unknown.
func (a *Answer) hold() {
	if a.held || a.Length > holdLimit {
		return
	}
	var content bytes.Buffer
	if a.Length > 0 {
		content.Grow(int(a.Length) + bytes.MinRead)
	}
	n, err := io.Copy(&content, io.LimitReader(a.Body, holdLimit))
	rest := a.Body
	switch {
	case err != nil:
		a.Close()
		a.Outcome, a.Reason, a.Body = Unknown, "answer broke off: "+err.Error(), nil
		return
	case a.Length < 0 && n < holdLimit:
		a.Length = n
	}
	if a.Length == n {
		// Reading to the end returns the connection to its pool.
		_, _ = rest.Read(make([]byte, 1))
		_ = rest.Close()
		a.Body, a.held = io.NopCloser(&content), true
		return
	}
	a.Body = &heldBody{Reader: io.MultiReader(&content, rest), Closer: rest}
}

// heldBody delivers the part of a long answer that was read before the rest.
type heldBody struct {
	io.Reader
	io.Closer
}
