package proxy

import (
	"errors"
	"net/http"
	"time"

	"nutmegstand.example/nutmegstand/pkg/connguard"
	"nutmegstand.example/nutmegstand/pkg/connlimit"
)

// errNoRoom is the error of a request for which there is no memory.
var errNoRoom = errors.New("proxy: no memory for the request")

// takeRead takes memory for a part of a header. Its complete fields are decoded while the
// rest is still being read.
func (c *callerConn) takeRead(bytes, lines int) error {
	return c.take(bytes*headReadFactor + lines*headerFieldBytes)
}

// take takes memory of the listener for a part of a request. While there is none, it
// waits: for earlier requests of the connection without a limit, since they end with
// their timeouts, and for others up to the header timeout.
func (c *callerConn) take(bytes int) error {
	if c.tryTake(bytes) {
		return nil
	}
	// The header timeout applies to the caller and not to this wait.
	defer func() { c.setReadDeadline(c.server.Limits().HeaderTimeout) }()
	for waitEnd := time.Now().Add(c.server.Limits().HeaderTimeout); ; {
		pending, stopped := c.state()
		if pending {
			waitEnd = time.Now().Add(c.server.Limits().HeaderTimeout)
		}
		switch {
		case stopped:
			return errCallerGone
		case time.Now().After(waitEnd):
			return errNoRoom
		}
		time.Sleep(pollInterval)
		if c.tryTake(bytes) {
			return nil
		}
	}
}

func (c *callerConn) tryTake(bytes int) bool {
	if !c.slot.Take(int64(bytes)) {
		return false
	}
	c.memory += int64(bytes)
	return true
}

func (c *callerConn) state() (pending, stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0, c.stopped || c.ctx.Err() != nil
}

// takeDecoded takes the memory of a request that has been read, in place of that taken
// while its header of the given size was read: the header with its decoded fields and
// the part of the body that is buffered.
func (c *callerConn) takeDecoded(r *http.Request, headerBytes int) error {
	bytes := requestBytes + headerBytes
	for _, values := range r.Header {
		bytes += len(values) * headerFieldBytes
	}
	switch {
	case r.ContentLength < 0 || r.ContentLength > replayLimit:
		bytes += replayLimit
	default:
		bytes += int(r.ContentLength)
	}
	if surplus := int(c.memory) - bytes; surplus > 0 {
		c.slot.Release(int64(surplus))
		c.memory -= int64(surplus)
	}
	if err := c.take(bytes - int(c.memory)); err != nil {
		return &requestError{err}
	}
	return nil
}

// releaseRead returns the memory taken for a request that is not read further. The
// connection may stay open for lingerTimeout.
func (c *callerConn) releaseRead() {
	c.slot.Release(c.memory)
	c.memory = 0
}

// evict closes the connection because of a limit.
func (c *callerConn) evict(reason connlimit.Reason) {
	c.server.Reporter.Closed(reason)
	c.abort()
}

// reportTimeout reports a connection that ended because a header did not arrive in
// time.
func (c *callerConn) reportTimeout() {
	if c.late {
		c.server.Reporter.Closed(connlimit.Time)
	}
}

// stallWriter writes to a caller, which must take each part in time.
type stallWriter struct{ *callerConn }

// Write implements io.Writer.
func (w stallWriter) Write(p []byte) (int, error) {
	return connguard.Write(w.conn, w.slot, p, w.server.Stall)
}
