package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/connguard"
	"nutmegstand.example/nutmegstand/pkg/connlimit"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// waitingTarget reads the body of a call and refuses the call at its deadline.
type waitingTarget struct{}

func (waitingTarget) Do(ctx context.Context, call *proxy.Call) *proxy.AttemptResult {
	go func() { _, _ = io.Copy(io.Discard, call.Body.Reader()) }()
	<-ctx.Done()
	return &proxy.AttemptResult{Outcome: proxy.Refused}
}

// callHead returns the head of a call between daemons with a body of the given length.
func callHead(t *testing.T, length int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go proxy.NewPeers().Do(ctx, listener.Addr().String(), &proxy.Call{
		Method: "POST", URI: "/1", Host: "h", Header: http.Header{}, Kind: routing.Idempotent, Deadline: time.Now().Add(200 * time.Millisecond),
		Body: proxy.NewBody(strings.NewReader(""), length),
	})
	conn, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	var head strings.Builder
	for reader := bufio.NewReader(conn); !strings.HasSuffix(head.String(), "\r\n\r\n"); {
		line, err := reader.ReadString('\n')
		assert.NilError(t, err)
		head.WriteString(line)
	}
	return head.String()
}

// TestBodyBetweenDaemonsThatStops guards against a connection of the daemons listener
// that is kept, or whose later bytes are taken for a request, after the deadline of a
// call whose body is not complete, and by bytes that are no call.
func TestBodyBetweenDaemonsThatStops(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := newServer(proxy.Inbound{Target: waitingTarget{}}, zap.NewNop())
	defer s.close(0)
	go func() {
		_ = s.serve(connguard.New(listener, connguard.Options{
			Pool:         connlimit.NewPool(connlimit.Limits{Connections: 10, Memory: 1 << 20}),
			RequestBytes: func() int64 { return peerHeaderBytes }, Stall: time.Minute, Marked: true,
		}))
	}()
	for name, head := range map[string]string{
		"small body": callHead(t, 10), "large body": callHead(t, 100_000), "no call": "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, head+"body")
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := io.ReadAll(conn)
			var timeout net.Error
			assert.Assert(t, !errors.As(err, &timeout), "the connection is open after %q", response)
		})
	}
}
