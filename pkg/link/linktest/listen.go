// Package linktest provides loopback addresses for tests of processes that end.
package linktest

import (
	"net"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// ClosedAddress returns an address that refuses connections. Its port is reserved until
// the test ends, so that no other process on the machine accepts them.
func ClosedAddress(t testing.TB) string {
	t.Helper()
	address, err := reserve(t)
	if err != nil {
		t.Fatalf("reserve a port: %v", err)
	}
	return address
}

// Listen returns a listener whose port is reserved until the test ends: once the listener
// is closed, its address refuses connections.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", ClosedAddress(t))
	if err != nil {
		t.Fatalf("listen at a reserved port: %v", err)
	}
	return listener
}

// reserve binds a socket that does not listen to a port of the loopback interface. The
// kernel gives the port to no socket that does not name it, and listeners that do name it
// can share it, since the net package sets SO_REUSEADDR for them too.
func reserve(t testing.TB) (string, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", err
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback}); err != nil {
		return "", err
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return "", err
	}
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(bound.(*unix.SockaddrInet4).Port)).String(), nil
}
