package proxy

import (
	"bytes"
	"io"
	"sync/atomic"
)

// bufferLimit is the size in bytes up to which a response body is read
// completely before it is forwarded. The target side can then release the slot
// even if the link is slow, and the caller side can replace an interrupted
// response.
const bufferLimit = 256 << 10

// Buffers bounds the memory of the response bodies that a daemon holds in memory, for
// example since their callers do not read them. Nil sets no bound.
type Buffers struct {
	limit int64
	used  atomic.Int64
}

// NewBuffers returns buffers with the given number of bytes.
func NewBuffers(limit int64) *Buffers { return &Buffers{limit: limit} }

// take reports whether there is room for a body. If so, release must be called.
func (b *Buffers) take(size int64) bool {
	if b == nil || b.used.Add(size) <= b.limit {
		return true
	}
	b.used.Add(-size)
	return false
}

func (b *Buffers) release(size int64) {
	if b != nil {
		b.used.Add(-size)
	}
}

// bufferBody reads the body of a response into memory if it is small enough and there is
// room in buffers. If reading fails, the outcome becomes Unknown.
func (a *AttemptResult) bufferBody(buffers *Buffers) {
	if a.buffered || a.Length > bufferLimit {
		return
	}
	size := a.Length
	if size < 0 {
		size = bufferLimit
	}
	if !buffers.take(size) {
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
		buffers.release(size)
		a.Close()
		a.Outcome, a.Reason, a.Body = Unknown, "answer broke off: "+errorText(err), nil
		return
	case a.Length < 0 && n < bufferLimit:
		a.Length = n
	}
	free := &bufferCloser{buffers: buffers, size: size}
	if a.Length == n {
		// Reading up to EOF returns the connection to its pool.
		_, _ = rest.Read(make([]byte, 1))
		_ = rest.Close()
		a.Body, a.buffered = &bufferedBody{&content, free}, true
		return
	}
	free.rest = rest
	a.Body = &rejoinedBody{Reader: io.MultiReader(&content, rest), Closer: free}
}

// bufferedBody reads a whole body from memory.
type bufferedBody struct {
	*bytes.Buffer
	io.Closer
}

// rejoinedBody reads the buffered start of a long body and then the rest of it.
type rejoinedBody struct {
	io.Reader
	io.Closer
}

// bufferCloser closes the rest of a body, if any, and releases its buffer once.
type bufferCloser struct {
	buffers *Buffers
	size    int64
	rest    io.Closer
	closed  atomic.Bool
}

// Close implements io.Closer.
func (c *bufferCloser) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	c.buffers.release(c.size)
	if c.rest != nil {
		return c.rest.Close()
	}
	return nil
}
