package linktest_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/link/linktest"
)

// TestReservedPort guards against a test whose crashed process seems to be alive, since
// another process on the machine has got its port.
func TestReservedPort(t *testing.T) {
	listener := linktest.Listen(t)
	address := listener.Addr().String()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	for range 2 { // the port can be used again by a test that names it
		assert.NilError(t, listener.Close())
		_, err = net.Dial("tcp", address)
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		_, err = listenAlone(t.Context(), address)
		assert.Assert(t, errors.Is(err, syscall.EADDRINUSE), "%v", err)
		listener, err = net.Listen("tcp", address)
		assert.NilError(t, err)
	}
	assert.NilError(t, listener.Close())
}

// listenAlone listens with a socket that shares its port with no other one, as sockets
// whose ports the kernel chooses do.
func listenAlone(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 0) })
		return errors.Join(err, optErr)
	}}
	return config.Listen(ctx, "tcp", address)
}
