package link

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// LimitSilence returns a control function for dialers. The kernel then ends a
// connection on which sent bytes stay unacknowledged for the given time: a
// partition drops packets without a reset.
func LimitSilence(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// Quiet reports whether an idle connection can be used: the other side has not
// closed it, and no bytes wait on its socket. It does not read or block.
func Quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = socket.Control(func(fd uintptr) {
		var b [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothing = errors.Is(recvErr, unix.EAGAIN)
	})
	return err == nil && nothing
}
