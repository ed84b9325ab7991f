package connguard

import (
	"errors"
	"net"
	"os"
	"time"

	"nutmegstand.example/nutmegstand/pkg/connlimit"
)

// stallNotice is the time after which a connection whose client has not taken a part of a
// response may be closed for others. A link of 10 Mbit/s takes the largest part, of 256
// KB, in 0.2 s.
const stallNotice = time.Second

// Write writes to a connection, whose client must take p within the time stall. From
// stallNotice on the slot is marked as stalled. A stall of 0 sets no limit.
func Write(conn net.Conn, slot *connlimit.Conn, p []byte, stall time.Duration) (int, error) {
	if stall <= 0 {
		return conn.Write(p)
	}
	n, err := writeWithin(conn, p, min(stall, stallNotice))
	if !errors.Is(err, os.ErrDeadlineExceeded) || stall <= stallNotice {
		return n, err
	}
	slot.SetStalled(true)
	defer slot.SetStalled(false)
	rest, err := writeWithin(conn, p[n:], stall-stallNotice)
	return n + rest, err
}

func writeWithin(conn net.Conn, p []byte, timeout time.Duration) (int, error) {
	_ = conn.SetWriteDeadline(time.Now().Add(timeout)) // fails on a closed connection only, as the write does
	return conn.Write(p)
}
