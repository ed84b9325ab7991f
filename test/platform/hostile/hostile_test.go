package hostile

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/node"
)

const (
	// clientsPerKind is the number of concurrent clients of each kind.
	clientsPerKind = 15
	// maxSent is the number of bytes after which a client stops in the middle.
	maxSent        = 3 << 20
	reconnectPause = 300 * time.Millisecond
	// targetSlots is the number of requests that the target runs at a time.
	targetSlots = 16
	// attackTime is the time for which the clients send and hold their connections
	// before the daemon is checked.
	attackTime = 4 * time.Second
)

// client is the behavior of a hostile client: it sends a start, and then the same bytes
// again and again with a pause between them, up to maxSent bytes.
type client struct {
	start, again string
	pause        time.Duration
}

const request = "GET /look/1 HTTP/1.1\r\nHost: fish.example\r\nAttempt-Id: a-1\r\n"

// longHead is a complete request inside the limits with many small header fields.
func longHead() string {
	return request + strings.Repeat("Ab: c\r\n", (headerBytes-1024)/len("Ab: c\r\n")) + "\r\n"
}

func httpClients(post string) map[string]client {
	kilobyte := strings.Repeat("x", 1024)
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	return map[string]client{
		"header value":        {request + "A: ", kilobyte, 0},
		"header lines":        {request, strings.Repeat("Ab: c\r\n", 128), 0},
		"request line":        {"GET /", kilobyte, 0},
		"empty lines":         {"", strings.Repeat("\r\n", 512), 0},
		"chunk size":          {chunked, strings.Repeat("0", 1024), 0},
		"chunk extension":     {chunked + "5;", kilobyte, 0},
		"trailer":             {chunked + "0\r\nT: ", kilobyte, 0},
		"trailer lines":       {chunked + "0\r\n", strings.Repeat("Ab: c\r\n", 128), 0},
		"oversized body":      {post + "Content-Length: 99999999999\r\n\r\n", kilobyte, 0},
		"body that stops":     {post + "Content-Length: 65000\r\n\r\n" + strings.Repeat("x", 60000), "", 0},
		"byte by byte":        {request + "A: ", "x", time.Second},
		"idle":                {"", "", 0},
		"pipelined":           {"", request + "\r\n", 0},
		"pipelined heads":     {"", longHead(), 0},
		"never reads a large": {strings.Repeat(strings.Replace(request, "/look/1", "/look/large", 1)+"\r\n", 16), "", 0},
	}
}

// fleetClients send the start of a message of the Fleet service, and bytes that are
// none.
func fleetClients() map[string]client {
	const invocation = 1 << 1 // control byte of a frame: a call, more frames follow
	frame := binary.AppendUvarint([]byte{invocation, 1, 1}, maxSent)
	clients := httpClients(request)
	clients["message"] = client{string(frame), strings.Repeat("x", 1024), 0}
	clients["small frames"] = client{"", "\x02\x01\x01\x01x", 0}
	return clients
}

// attack runs the clients concurrently. The returned function closes their
// connections and waits for their end.
func attack(address string, clients map[string]client) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for range clientsPerKind {
		for _, c := range clients {
			all.Go(func() { c.run(ctx, address) })
		}
	}
	return func() { cancel(); all.Wait() }
}

// run sends until ctx ends. A client whose connection is closed while it sends
// connects again.
func (c client) run(ctx context.Context, address string) {
	for {
		if conn, err := net.Dial("tcp", address); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			if c.send(conn) == nil {
				<-ctx.Done() // the connection stays open without a read
			}
			stop()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reconnectPause):
		}
	}
}

func (c client) send(conn net.Conn) error {
	sent, err := io.WriteString(conn, c.start)
	for err == nil && sent < maxSent && c.again != "" {
		var n int
		n, err = io.WriteString(conn, c.again)
		sent += n
		time.Sleep(c.pause)
	}
	return err
}

// TestHostileClients guards against clients outside the limits that end the process,
// exhaust its memory or its descriptors, or keep ordinary clients from a response.
func TestHostileClients(t *testing.T) {
	each := node.ListenerLimits{Connections: connections, HeadMemoryBytes: 1 << 20}
	limits := node.Limits{Callers: each, Daemons: each, Fleet: each, Announcements: each, Readiness: each, Metrics: each, Stall: 2000}
	post := strings.Replace(request, "GET", "POST", 1)
	put := "PUT /v1/instances/i-9 HTTP/1.1\r\nHost: h\r\n"
	for _, c := range []struct {
		listener string
		address  func(l *node.Listen) string
		clients  map[string]client
	}{
		{"callers", func(l *node.Listen) string { return l.Callers }, httpClients(post)},
		{"daemons", func(l *node.Listen) string { return l.Daemons }, httpClients(post)},
		{"fleet", func(l *node.Listen) string { return l.Fleet }, fleetClients()},
		{"announcements", func(l *node.Listen) string { return l.Announcements }, httpClients(put)},
		{"readiness", func(l *node.Listen) string { return l.Readiness }, httpClients(post)},
		{"metrics", func(l *node.Listen) string { return l.Metrics }, httpClients(post)},
	} {
		t.Run(c.listener, func(t *testing.T) {
			d := startDaemon(t, limits, targetSlots)
			stop := attack(c.address(&d.settings.Listen), c.clients)
			defer stop()
			time.Sleep(attackTime)
			assert.Assert(t, d.process.Running(), "the process has ended")
			d.checkBounds()
			d.awaitOrdinary()
			d.checkBounds()
			assert.Assert(t, d.process.Running(), "the process has ended")
		})
	}
}

func (d *daemon) checkBounds() {
	d.t.Helper()
	memory, descriptors := d.peakMemory(), d.descriptors()
	d.t.Logf("peak memory %d MB, %d descriptors", memory/1e6, descriptors)
	assert.Check(d.t, memory < memoryLimit, "peak memory %d bytes, bound %d", memory, memoryLimit)
	assert.Check(d.t, descriptors < connections+ownDescriptors, "%d descriptors, bound %d", descriptors, connections+ownDescriptors)
}

// awaitOrdinary waits until ordinary clients of each kind have got a response.
func (d *daemon) awaitOrdinary() {
	d.t.Helper()
	l := d.settings.Listen
	// A target without heartbeats gets no requests.
	d.await("a request", func() bool { return d.heartbeat() == http.StatusOK && d.get("/look/1") == http.StatusOK })
	d.await("a readiness check", func() bool { return d.send(http.MethodGet, l.Readiness, "/v1/readiness", "") == http.StatusOK })
	d.await("a scrape", func() bool { return d.send(http.MethodGet, l.Metrics, "/metrics", "") == http.StatusOK })
}
