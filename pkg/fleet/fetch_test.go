package fleet

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestFetchFromAnotherPeer guards against a daemon that stays behind because the first
// peer with a newer configuration does not answer.
func TestFetchFromAnotherPeer(t *testing.T) {
	daemons := startFleet(t, "a", "b")
	receiver, holder := daemons[0], daemons[1]
	for i := range maxFetchAttempts - 1 {
		silent, err := net.Listen("tcp", "127.0.0.1:0") // connections are opened by the kernel and never served
		assert.NilError(t, err)
		t.Cleanup(func() { _ = silent.Close() })
		member := NewTable(fmt.Sprintf("silent-%d", i), 1, State{Zone: "z", SyncAddress: silent.Addr().String()}, receiver.table.clock)
		receiver.merge([]*pb.MemberState{member.localState()}, nil)
	}
	for version := uint64(1); version <= 4; version++ {
		holder.ApplyConfig(&routing.Config{Version: version})
		receiver.table.Each(func(m *Member) { m.ConfigVersion = version })
		receiver.fetchConfig()
		assert.Equal(t, receiver.config.Load().Version(), version)
	}
}

// silenceable forwards connections to an address until they are silenced. Later
// connections work.
type silenceable struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
	muted map[net.Conn]bool
}

func forward(t *testing.T, address string) *silenceable {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &silenceable{Listener: listener, muted: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, client)
			s.mu.Unlock()
			go s.copy(server, client, client)
			go s.copy(client, server, client)
		}
	}()
	return s
}

// copy copies from one side to the other, and drops the bytes of a muted connection.
func (s *silenceable) copy(to io.Writer, from io.Reader, client net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		s.mu.Lock()
		muted := s.muted[client]
		s.mu.Unlock()
		if !muted {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// mute silences the open connections and returns their number.
func (s *silenceable) mute() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, client := range s.conns {
		s.muted[client] = true
	}
	return len(s.conns)
}

// TestFetchOverSilentConnection guards against a daemon that stays behind because its
// open connections to peers no longer deliver.
func TestFetchOverSilentConnection(t *testing.T) {
	const bound = time.Second
	holder := startDaemon(t, "b", 1)
	path := forward(t, holder.address)
	receiver := startDaemon(t, "a", 1)
	member := NewTable("b", 1, State{Zone: "z", SyncAddress: path.Addr().String()}, receiver.table.clock)
	receiver.merge([]*pb.MemberState{member.localState()}, nil)
	holder.ApplyConfig(&routing.Config{Version: 1})
	receiver.table.recordConfigVersion("b", 1)
	receiver.fetchConfig()
	assert.Equal(t, receiver.config.Load().Version(), uint64(1))
	assert.Assert(t, path.mute() > 0)
	holder.ApplyConfig(&routing.Config{Version: 2})
	receiver.table.recordConfigVersion("b", 2)
	started := time.Now()
	receiver.fetchConfig()
	assert.Equal(t, receiver.config.Load().Version(), uint64(2))
	assert.Assert(t, time.Since(started) < bound, "the fetch took %v", time.Since(started))
}
