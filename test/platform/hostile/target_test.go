package hostile

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/memtest"
	"nutmegstand.example/nutmegstand/pkg/node"
)

// faultyResponses write bytes that are no response to a connection of the daemon, until it
// is closed. They are named like the last part of the path of the request.
var faultyResponses = map[string]func(net.Conn){
	"fields": func(conn net.Conn) { // many short fields, without the end of the head
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		_, _ = conn.Write(memtest.ShortFields(60 << 10))
		_, _ = io.Copy(io.Discard, conn)
	},
	"lines": func(conn net.Conn) { repeatWrites(conn, strings.Repeat("x", 60<<10)+"\r\n") },
	"head":  func(conn net.Conn) { repeatWrites(conn, strings.Repeat("x", 60<<10)) },
	"body": func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: a-/look/body\r\nResponse-Signature: signed\r\n\r\n")
		repeatWrites(conn, strings.Repeat("x", 60<<10))
	},
}

func repeatWrites(conn net.Conn, content string) {
	for {
		if _, err := io.WriteString(conn, content); err != nil {
			return
		}
	}
}

// TestHostileTarget guards against a daemon that keeps what a faulty target sends without
// end, in a head or a body, until its memory is exhausted and the requests of all clients
// end with it.
func TestHostileTarget(t *testing.T) {
	const slots = 96
	for name := range faultyResponses {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t, node.Limits{}, slots)
			var clients sync.WaitGroup
			end := time.Now().Add(attackTime)
			for range slots {
				clients.Go(func() {
					for time.Now().Before(end) {
						d.get("/look/" + name)
					}
				})
			}
			clients.Wait()
			assert.Assert(t, d.process.Running(), "the process has ended")
			memory := d.peakMemory()
			t.Logf("peak memory %d MB", memory/1e6)
			assert.Check(t, memory < memoryLimit, "peak memory %d bytes, bound %d", memory, memoryLimit)
			d.awaitOrdinary()
		})
	}
}
