package route_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/route/routetest"
)

// newEntry serves the fixture's router on a loopback address.
func newEntry(t *testing.T, f *fixture, change func(*route.EntryOptions)) (*route.Entry, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	options := route.EntryOptions{Listener: listener, Router: f.router, Logger: zap.NewNop(), Linger: 50 * time.Millisecond}
	if change != nil {
		change(&options)
	}
	entry := route.NewEntry(options)
	ended := make(chan struct{})
	go func() { defer close(ended); _ = entry.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		entry.Drain(ctx)
		<-ended
	})
	return entry, listener.Addr().String()
}

// exchange sends raw bytes and reads one response.
func exchange(t *testing.T, address, request string) *http.Response {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	response.Body = io.NopCloser(strings.NewReader(readAll(response.Body)))
	return response
}

func readAll(r io.Reader) string {
	data, _ := io.ReadAll(r)
	return string(data)
}

// TestHostileInput guards against ambiguous requests (request smuggling), forged mesh
// headers, and input of unbounded size. None of them may reach a target.
func TestHostileInput(t *testing.T) {
	var n atomic.Int32
	f := newFixture(t, nil, counted(&n, fixed(routetest.Answer(200, []byte("ok")))))
	_, address := newEntry(t, f, func(o *route.EntryOptions) { o.MaxBodyBytes = 1000; o.MaxHeaderBytes = 4000 })
	head := "POST / HTTP/1.1\r\nHost: s.example\r\n"
	cases := map[string]struct {
		request string
		status  int
	}{
		"two lengths":           {head + "Content-Length: 5\r\nContent-Length: 1\r\n\r\nhello", 400},
		"length and chunks":     {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"chunks and length":     {head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400},
		"two encodings":         {head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"unknown encoding":      {head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
		"signed length":         {head + "Content-Length: +5\r\n\r\nhello", 400},
		"space before colon":    {head + "Content-Length : 5\r\n\r\nhello", 400},
		"folded line":           {head + "X-A: b\r\n Content-Length: 5\r\n\r\n", 400},
		"two hosts":             {head + "Host: other.example\r\n\r\n", 400},
		"body too large":        {head + "Content-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001), 413},
		"header too large":      {head + "X-A: " + strings.Repeat("x", 5000) + "\r\n\r\n", 431},
		"too many headers":      {head + strings.Repeat("X: y\r\n", 200) + "\r\n", 431},
		"forged depth":          {head + "Nutmegstand-Depth: 1\r\n\r\n", 400},
		"forged deadline":       {head + "nutmegstand-deadline-at: 1\r\n\r\n", 400},
		"forged with underline": {head + "Nutmegstand_Depth: 1\r\n\r\n", 400},
		"forged outcome":        {head + "Nutmegstand-Outcome: not-run\r\n\r\n", 400},
		"two members":           {head + "Nutmegstand-Member: a\r\nNutmegstand-Member: b\r\n\r\n", 400},
		"member with space":     {head + "Nutmegstand-Member: a b\r\n\r\n", 400},
		"member hidden":         {head + "Connection: Nutmegstand-Member\r\nNutmegstand-Member: a b\r\n\r\n", 400},
		"two keys":              {head + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400},
		"dot segments":          {"GET /a/../b HTTP/1.1\r\nHost: s.example\r\n\r\n", 400},
		"encoded dots":          {"GET /a/%2e%2e/b HTTP/1.1\r\nHost: s.example\r\n\r\n", 400},
		"no route":              {"GET / HTTP/1.1\r\nHost: other.example\r\n\r\n", 404},
		"method not allowed":    {"PUT / HTTP/1.1\r\nHost: s.example\r\n\r\n", 405},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, exchange(t, address, c.request).StatusCode, c.status)
		})
	}
	assert.Equal(t, n.Load(), int32(0))
	assert.Equal(t, exchange(t, address, head+"Nutmegstand-Member: a\r\nContent-Length: 5\r\n\r\nhello").StatusCode, 200)
}

// TestSlowSender guards against a connection kept open by a caller that sends a
// request byte by byte, with each byte within the library's read timeout.
func TestSlowSender(t *testing.T) {
	f := newFixture(t, nil, fixed(routetest.Answer(200, nil)))
	_, address := newEntry(t, f, func(o *route.EntryOptions) { o.RequestTimeout = 300 * time.Millisecond })
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	start := time.Now()
	for time.Since(start) < 3*time.Second {
		if _, err = io.WriteString(conn, "G"); err != nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	assert.Assert(t, time.Since(start) < 2*time.Second, "still open after %v", time.Since(start))
}

// TestResponsesToCallers guards against wrong status codes and headers, and against
// mesh headers set by a target that reach an outside caller.
func TestResponsesToCallers(t *testing.T) {
	failure := routetest.Answer(503, []byte("busy"))
	failure.Head.Headers = []*pb.Header{{Name: "Nutmegstand-Outcome", Value: "not-run"}, {Name: "X-A", Value: "b"}, {Name: "Connection", Value: "x"}}
	large := routetest.Answer(200, []byte(strings.Repeat("0123456789", 100<<10)))
	bad := routetest.Result{Head: &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_BAD_REQUEST, Reason: "other body"}}
	tooLarge := routetest.Result{Head: &pb.AnswerHead{Outcome: pb.Outcome_OUTCOME_BAD_REQUEST, Status: 413}}
	cases := []struct {
		name    string
		result  routetest.Result
		status  int
		outcome string
		retry   string
	}{
		{"target's failure", failure, 503, "", ""},
		{"large answer", large, 200, "", ""},
		{"refusal", routetest.Refuse(pb.Refusal_REFUSAL_OVERLOAD), 503, "not-run", "1"},
		{"dropped", routetest.Result{Drop: true}, 502, "unknown", ""},
		{"key with another body", bad, 422, "not-run", ""},
		{"refused by status", tooLarge, 413, "not-run", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, nil, fixed(c.result))
			_, address := newEntry(t, f, nil)
			response := exchange(t, address, "POST / HTTP/1.1\r\nHost: s.example:80\r\nContent-Length: 0\r\n\r\n")
			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, response.Header.Get("Nutmegstand-Outcome"), c.outcome)
			assert.Equal(t, response.Header.Get("Retry-After"), c.retry)
			body := readAll(response.Body)
			assert.Equal(t, response.Header.Get("Content-Length"), strconv.Itoa(len(body)))
			if c.outcome == "" {
				assert.Equal(t, body, string(c.result.Body))
			}
		})
	}
}

// TestCallerDisconnectCancels guards against a target that continues to work for a
// caller that has closed its connection.
func TestCallerDisconnectCancels(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	f := newFixture(t, nil, func(ctx context.Context, _ *pb.CallHead, _ []byte) routetest.Result {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return routetest.Result{Drop: true}
	})
	_, address := newEntry(t, f, nil)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: s.example\r\n\r\n")
	<-started
	start := time.Now()
	_ = conn.Close()
	<-cancelled
	assert.Assert(t, time.Since(start) < 500*time.Millisecond, "the route's deadline is 1 s")
}

// TestLocalListenerCarriesChain guards against an inner call that loses the member,
// deadline or depth of its call chain.
func TestLocalListenerCarriesChain(t *testing.T) {
	var mu sync.Mutex
	var head *pb.CallHead
	f := newFixture(t, nil, func(_ context.Context, h *pb.CallHead, _ []byte) routetest.Result {
		mu.Lock()
		defer mu.Unlock()
		head = h
		return routetest.Answer(200, nil)
	})
	_, address := newEntry(t, f, func(o *route.EntryOptions) { o.Local = true })
	at := strconv.FormatInt(time.Now().Add(400*time.Millisecond).UnixMilli(), 10)
	response := exchange(t, address, "GET / HTTP/1.1\r\nHost: s.example\r\nNutmegstand-Member: shop\r\nNutmegstand-Call-Id: c1\r\n"+
		"Nutmegstand-Depth: 3\r\nNutmegstand-Attempts: 4\r\nNutmegstand-Deadline-At: "+at+"\r\n\r\n")
	assert.Equal(t, response.StatusCode, 200)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, head.GetMember(), "shop")
	assert.Equal(t, head.GetCallId(), "c1")
	assert.Equal(t, head.GetDepth(), int32(4))
	assert.Equal(t, head.GetAttempts(), int32(5))
	assert.Assert(t, head.GetDeadlineMs() <= 400, "%d ms", head.GetDeadlineMs())
	assert.Equal(t, len(head.GetHeaders()), 0, "mesh headers must not be forwarded to the target side")
}

// TestDrain guards against requests aborted by a planned stop, responses without
// "Connection: close" during a drain, and aborted requests missing from the report.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, nil, func(ctx context.Context, head *pb.CallHead, _ []byte) routetest.Result {
		if head.GetPath() == "/slow" {
			select {
			case <-release:
			case <-ctx.Done():
			}
		}
		return routetest.Answer(200, []byte("done"))
	})
	request := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: s.example\r\n\r\n" }
	open := func(address string) (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn, bufio.NewReader(conn)
	}
	send := func(conn net.Conn, r *bufio.Reader, path string) *http.Response {
		_, _ = io.WriteString(conn, request(path))
		response, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, readAll(response.Body), "done")
		return response
	}
	drain := func(entry *route.Entry, timeout time.Duration) chan route.DrainReport {
		reports := make(chan route.DrainReport, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			reports <- entry.Drain(ctx)
		}()
		return reports
	}

	entry, address := newEntry(t, f, func(o *route.EntryOptions) { o.Linger = 200 * time.Millisecond })
	kept, keptReader := open(address)
	assert.Assert(t, !send(kept, keptReader, "/").Close)
	open(address) // idle connection, closed by the drain
	slow, slowReader := open(address)
	_, _ = io.WriteString(slow, request("/slow"))
	time.Sleep(20 * time.Millisecond)
	reports := drain(entry, 5*time.Second)
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, send(kept, keptReader, "/").Close)
	late, lateReader := open(address) // new connection within the linger time
	assert.Assert(t, send(late, lateReader, "/").Close)
	time.AfterFunc(400*time.Millisecond, func() { close(release) })
	response, err := http.ReadResponse(slowReader, nil)
	assert.NilError(t, err)
	assert.Equal(t, readAll(response.Body), "done")
	report := <-reports
	assert.Equal(t, len(report.Aborted), 0)
	assert.Equal(t, report.IdleClosed, 1)

	release = make(chan struct{})
	entry, address = newEntry(t, f, nil)
	stuck, _ := open(address)
	_, _ = io.WriteString(stuck, request("/slow"))
	time.Sleep(20 * time.Millisecond)
	report = <-drain(entry, 200*time.Millisecond)
	assert.DeepEqual(t, report.Aborted, []string{"GET /slow"})
}
