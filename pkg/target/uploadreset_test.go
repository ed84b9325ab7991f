package target

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/responsehead/headtest"
)

// TestResetDuringUpload guards against a part of a response without a length that counts
// as complete after the target has reset the connection while the request was being
// written. The target does not read the request, and the buffers are too small for it, so
// the write cannot end before the reset.
func TestResetDuringUpload(t *testing.T) {
	const socketBuffer = 16 << 10
	address := headtest.Listen(t, func(conn net.Conn) {
		tcp := conn.(*net.TCPConn)
		_ = tcp.SetReadBuffer(socketBuffer)
		_ = tcp.SetLinger(0) // the end of the connection is a reset
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"))
			time.Sleep(50 * time.Millisecond) // until the write of the request waits for room
		}
	})
	backend := NewHTTPBackend()
	backend.SetTarget(address, 1, 1)
	defer backend.Close()
	for range 10 {
		exchange, err := backend.Open(t.Context())
		assert.NilError(t, err)
		tcp := exchange.(*httpExchange).conn.Conn.(*net.TCPConn)
		assert.NilError(t, tcp.SetWriteBuffer(socketBuffer))
		response, err := exchange.Do(t.Context(), &Request{
			Head: &pb.CallHead{Method: http.MethodPost, Path: "/", Host: "fish.example"}, Body: make([]byte, MaxBodyBytes),
			Received: time.Now(), Deadline: time.Now().Add(5 * time.Second),
		})
		var incomplete *IncompleteResponseError
		assert.Assert(t, errors.As(err, &incomplete), "%v, %v", response, err)
		assert.Assert(t, incomplete.Reset, "%v", err)
	}
}
