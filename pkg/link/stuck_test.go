package link_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/connguard"
	"nutmegstand.example/nutmegstand/pkg/connlimit"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// TestConnectionsThatAreClosedEndTheirTasks guards against bytes that are no call, after
// which the reader of a connection waits for a call and does not notice that the
// connection was closed. Each such connection kept one of the tasks of the daemon.
func TestConnectionsThatAreClosedEndTheirTasks(t *testing.T) {
	const connections, clients = 2, 30
	tasks, err := ants.NewPool(1000, ants.WithNonblocking(true))
	assert.NilError(t, err)
	defer tasks.Release()
	server, err := link.NewFleetServer(&pb.DRPCFleetUnimplementedServer{}, tasks, zap.NewNop())
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		_ = server.Serve(t.Context(), connguard.New(listener, connguard.Options{
			Pool:         connlimit.NewPool(connlimit.Limits{Connections: connections, Memory: 1 << 20}),
			RequestBytes: func() int64 { return link.MaxMessageBytes }, RequestTime: time.Minute, IdleTime: time.Minute, Stall: time.Minute,
		}))
	}()
	for range clients {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: fish.example\r\n\r\n")
		assert.NilError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	for range 200 {
		if tasks.Running() <= connections {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d tasks for %d connections", tasks.Running(), connections)
}
