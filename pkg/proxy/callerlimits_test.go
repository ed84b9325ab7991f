package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/connlimit"
	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// expectLast checks the status of the next response and that it is the last one of
// the connection.
func (c *callerClient) expectLast(status int) {
	c.t.Helper()
	response, _, err := c.receive()
	assert.NilError(c.t, err)
	assert.Equal(c.t, response.StatusCode, status)
	assert.Assert(c.t, response.Close)
	c.expectEnd()
}

func getWithHeader(path string, bytes int) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nA: %s\r\n\r\n", path, strings.Repeat("x", bytes))
}

// TestHeaderSizeInForce guards against a maximum size of headers that stays at its first
// value.
func TestHeaderSizeInForce(t *testing.T) {
	var size atomic.Int64
	size.Store(8 << 10)
	s := startLimitedServer(t, &steps{}, func(o *proxy.CallerServerOptions) {
		o.Limits = func() proxy.CallerLimits {
			return proxy.CallerLimits{HeaderBytes: int(size.Load()), HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}
		}
	})
	c := s.dial(t)
	c.send("%s", getWithHeader("/1", 7<<10))
	c.expect("/1")
	size.Store(64 << 10)
	c.send("%s", getWithHeader("/2", 60<<10))
	c.expect("/2")
	size.Store(8 << 10)
	go func() { _, _ = io.WriteString(c, getWithHeader("/3", 60<<10)) }()
	c.expectLast(http.StatusRequestHeaderFieldsTooLarge)
}

// TestEmptyLines guards against a connection that is kept by empty lines, and against a
// rejection of the one that some clients send after a body.
func TestEmptyLines(t *testing.T) {
	c := startCallerServer(t, &steps{}, repeatable, never).dial(t)
	for range 3 {
		c.send("\r\nGET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		c.expect("/1")
	}
	go func() { _, _ = io.WriteString(c, strings.Repeat("\r\n", 1<<10)) }()
	c.expectLast(http.StatusBadRequest)
}

// TestRoomForRequests guards against requests whose headers take more memory than the
// listener has, and against one that is refused although it only has to wait.
func TestRoomForRequests(t *testing.T) {
	h := &steps{}
	release := h.hold("/1")
	pool := connlimit.NewPool(connlimit.Limits{Connections: 10, Memory: 40 << 10})
	s := startLimitedServer(t, h, func(o *proxy.CallerServerOptions) { o.Pool = pool })
	busy, waiting, refused := s.dial(t), s.dial(t), s.dial(t)
	busy.send("%s", getWithHeader("/1", 7<<10)) // takes 23 KB
	eventually(t, "the first request runs", func() bool { return h.hasStarted("/1") })
	taken := pool.Usage().Memory
	refused.send("%s", getWithHeader("/no", 6<<10))
	refused.expectLast(http.StatusServiceUnavailable)
	assert.Equal(t, pool.Usage().Memory, taken, "memory of the refused request, whose caller has not closed the connection")
	waiting.send("%s", getWithHeader("/2", 6<<10))
	// Takes 18 KB, beside which the 23 KB of /2 fit. With less room for both, the one that is
	// decoded first would be closed for the other.
	busy.send("%s", getWithHeader("/3", 1<<10))
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, !h.hasStarted("/2") && !h.hasStarted("/3") && !h.hasStarted("/no"))
	release()
	waiting.expect("/2")
	busy.expect("/1")
	busy.expect("/3")
	eventually(t, "the memory is released", func() bool { return pool.Usage().Memory == 0 })
}

// TestFullListener guards against connections beyond the limit, and against idle ones
// that keep a new client from its request.
func TestFullListener(t *testing.T) {
	h := &steps{}
	defer h.hold("/held")()
	pool := connlimit.NewPool(connlimit.Limits{Connections: 4, Memory: 1 << 20})
	s := startLimitedServer(t, h, func(o *proxy.CallerServerOptions) { o.Pool = pool })
	held := s.dial(t)
	held.sendGets("/held")
	eventually(t, "the request runs", func() bool { return h.hasStarted("/held") })
	for range 10 {
		s.dial(t).send("GET ")
	}
	c := s.dial(t)
	c.sendGets("/1")
	c.expect("/1")
	usage := pool.Usage()
	assert.Assert(t, usage.Fresh+usage.Served <= 4, "%+v", usage)
}

// TestCallerThatNeverReads guards against a connection that is kept by a response which
// its caller does not read.
func TestCallerThatNeverReads(t *testing.T) {
	ended := make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for {
			if _, err := io.WriteString(w, kilobyte); err != nil {
				return
			}
		}
	})
	s := startLimitedServer(t, handler, func(o *proxy.CallerServerOptions) { o.Stall = 100 * time.Millisecond })
	s.dial(t).sendGets("/1")
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the response is still being written")
	}
}

// TestStalledCallerMakesRoom guards against callers that read no response and keep others
// from a listener until their writes time out.
func TestStalledCallerMakesRoom(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.URL.Path == "/endless" {
			if _, err := io.WriteString(w, kilobyte); err != nil {
				return
			}
		}
	})
	s := startLimitedServer(t, handler, func(o *proxy.CallerServerOptions) {
		o.Pool, o.Stall = connlimit.NewPool(connlimit.Limits{Connections: 1, Memory: 1 << 20}), time.Hour
	})
	s.dial(t).sendGets("/endless")
	eventually(t, "another caller gets a response", func() bool {
		time.Sleep(20 * time.Millisecond)
		c := s.dial(t)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		response, _, err := c.receive()
		return err == nil && response.StatusCode == http.StatusOK
	})
}

// TestBodyThatStops guards against a request that waits for the rest of its body beyond
// its timeout.
func TestBodyThatStops(t *testing.T) {
	m := newMesh(t, 1)
	conn, err := net.Dial("tcp", m.caller.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /short/1 HTTP/1.1\r\nHost: fish.example\r\nX-Request-Id: id-1\r\nContent-Length: 10\r\n\r\nbody")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Equal(t, len(m.targetSides[0].target.Requests()), 0, "408 says that the request has not run")
}
