package link

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeoutControl returns a control function for a net.Dialer that sets
// TCP_USER_TIMEOUT: the kernel closes a connection if sent data stays
// unacknowledged for the given time. This detects a partition, which drops packets
// without a reset.
func UserTimeoutControl(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}
}

// SetUserTimeout sets TCP_USER_TIMEOUT of an open connection.
func SetUserTimeout(conn net.Conn, timeout time.Duration) error {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return UserTimeoutControl(timeout)("", "", socket)
}

var errNoSocket = errors.New("link: the connection has no socket")

// Reusable reports whether an idle connection can be reused: the peer has not closed
// it, and its socket has no unread data. It peeks at the socket without consuming
// data or blocking. It returns false if conn has no socket.
func Reusable(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	socket, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = socket.Control(func(fd uintptr) {
		var b [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(recvErr, unix.EAGAIN)
	})
	return err == nil && empty
}
