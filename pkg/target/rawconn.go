package target

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// readChunkBytes is the least free space for one read.
	readChunkBytes = 4 << 10
	// keptBufferBytes is the largest buffer that an idle connection keeps.
	keptBufferBytes = 16 << 10
)

// rawConn is hertz's buffered connection over a socket whose pending bytes can
// be seen without a wait. hertz's own type does not give access to the socket,
// and a read with a deadline in the past does not look at it: an answer that
// had arrived unasked was then taken for that of the next request.
type rawConn struct {
	net.Conn
	input   []byte // bytes read and not yet consumed
	buffer  []byte // start of the array that input lies in
	output  []byte // bytes written and not yet flushed
	timeout time.Duration
}

func dialRaw(address string, timeout time.Duration) (*rawConn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return &rawConn{Conn: conn}, nil
}

// pending reports whether bytes or the end of the stream wait to be read.
func (c *rawConn) pending() bool {
	if len(c.input) > 0 {
		return true
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	found := true
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = !errors.Is(err, syscall.EAGAIN)
	})
	return found || err != nil
}

// fill reads until n bytes are buffered.
func (c *rawConn) fill(n int) error {
	for len(c.input) < n {
		if cap(c.input)-len(c.input) < readChunkBytes {
			grown := make([]byte, len(c.input), 2*cap(c.input)+readChunkBytes)
			copy(grown, c.input)
			c.input, c.buffer = grown, grown[:0]
		}
		if c.timeout > 0 {
			_ = c.SetReadDeadline(time.Now().Add(c.timeout))
		}
		read, err := c.Conn.Read(c.input[len(c.input):cap(c.input)])
		c.input = c.input[:len(c.input)+read]
		if err != nil && len(c.input) < n {
			return err
		}
	}
	return nil
}

// Peek implements network.Reader.
func (c *rawConn) Peek(n int) ([]byte, error) {
	err := c.fill(n)
	return c.input[:min(n, len(c.input))], err
}

// Skip implements network.Reader.
func (c *rawConn) Skip(n int) error {
	if err := c.fill(n); err != nil {
		return err
	}
	c.input = c.input[n:]
	return nil
}

// Release implements network.Reader. Slices returned before are not used after
// it, so the buffer is filled from its start again.
func (c *rawConn) Release() error {
	if len(c.input) > 0 {
		return nil
	}
	if cap(c.buffer) > keptBufferBytes {
		c.buffer = nil
	}
	c.input = c.buffer
	return nil
}

// Len implements network.Reader.
func (c *rawConn) Len() int { return len(c.input) }

// ReadByte implements network.Reader.
func (c *rawConn) ReadByte() (byte, error) {
	if err := c.fill(1); err != nil {
		return 0, err
	}
	b := c.input[0]
	c.input = c.input[1:]
	return b, nil
}

// ReadBinary implements network.Reader.
func (c *rawConn) ReadBinary(n int) ([]byte, error) {
	if err := c.fill(n); err != nil {
		return nil, err
	}
	p := append([]byte(nil), c.input[:n]...)
	c.input = c.input[n:]
	return p, nil
}

// Read implements io.Reader.
func (c *rawConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if err := c.fill(1); err != nil {
		return 0, err
	}
	n := copy(p, c.input)
	c.input = c.input[n:]
	return n, nil
}

// Malloc implements network.Writer.
func (c *rawConn) Malloc(n int) ([]byte, error) {
	start := len(c.output)
	c.output = append(c.output, make([]byte, n)...)
	return c.output[start:], nil
}

// WriteBinary implements network.Writer.
func (c *rawConn) WriteBinary(p []byte) (int, error) {
	c.output = append(c.output, p...)
	return len(p), nil
}

// Write implements io.Writer.
func (c *rawConn) Write(p []byte) (int, error) {
	if n, err := c.WriteBinary(p); err != nil {
		return n, err
	}
	return len(p), c.Flush()
}

// Flush implements network.Writer.
func (c *rawConn) Flush() error {
	if len(c.output) == 0 {
		return nil
	}
	n, err := c.Conn.Write(c.output)
	if err == nil && n < len(c.output) {
		err = io.ErrShortWrite
	}
	c.output = c.output[:0]
	if cap(c.output) > keptBufferBytes {
		c.output = nil
	}
	return err
}

// SetReadTimeout implements network.Conn.
func (c *rawConn) SetReadTimeout(timeout time.Duration) error {
	c.timeout = timeout
	if timeout <= 0 {
		return c.SetReadDeadline(time.Time{})
	}
	return nil
}

// SetWriteTimeout implements network.Conn.
func (c *rawConn) SetWriteTimeout(timeout time.Duration) error {
	if timeout <= 0 {
		return c.SetWriteDeadline(time.Time{})
	}
	return c.SetWriteDeadline(time.Now().Add(timeout))
}
