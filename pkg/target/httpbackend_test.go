package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// rawTarget is a target that writes its answers byte by byte as a test scripts
// them. The handler returns what to write and whether to close after it.
type rawTarget struct {
	listener net.Listener
	accepted atomic.Int32
	open     atomic.Int32
	maxOpen  atomic.Int32
	requests atomic.Int32
}

func startRawTarget(t *testing.T, answer func(conn net.Conn, path string)) *rawTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	raw := &rawTarget{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			raw.accepted.Add(1)
			raw.maxOpen.Store(max(raw.maxOpen.Load(), raw.open.Add(1)))
			go func() {
				defer raw.open.Add(-1)
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					raw.requests.Add(1)
					answer(conn, request.URL.Path)
				}
			}()
		}
	}()
	return raw
}

func (r *rawTarget) backend(t *testing.T, limit, ahead int) *HTTPBackend {
	backend := NewHTTPBackend()
	backend.SetTarget(r.listener.Addr().String(), limit, ahead)
	t.Cleanup(backend.Close)
	return backend
}

func exchange(ctx context.Context, backend Backend, path string) (*Answer, error) {
	e, err := backend.Open(ctx)
	if err != nil {
		return nil, err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(5 * time.Second)
	}
	head := &pb.CallHead{Method: "GET", Path: path, Host: "fish.example"}
	return e.Do(ctx, &Request{Head: head, Received: time.Now(), Deadline: deadline})
}

func whole(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestCutBodies guards against presenting a truncated body as a whole answer.
func TestCutBodies(t *testing.T) {
	cuts := map[string]string{
		"/length":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"/chunked":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"/trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
		"/identity": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc",
		"/head":     "HTTP/1.1 200 OK\r\nContent-Le",
		"/none":     "",
	}
	raw := startRawTarget(t, func(conn net.Conn, path string) {
		_, _ = conn.Write([]byte(cuts[path]))
		_ = conn.Close()
	})
	backend := raw.backend(t, 2, 1)
	for path := range cuts {
		answer, err := exchange(context.Background(), backend, path)
		var cut *CutError
		assert.Assert(t, errors.As(err, &cut), "%s: answer %v, error %v", path, answer, err)
		assert.Assert(t, cut.Reset, "%s: %v", path, err)
	}
	assert.Equal(t, raw.requests.Load(), int32(len(cuts)), "a request was sent again")
}

// TestNoSecondSend guards against a request that is sent again on a new
// connection: hertz does so for GET, PUT and DELETE on a reused connection.
func TestNoSecondSend(t *testing.T) {
	raw := startRawTarget(t, func(conn net.Conn, path string) {
		if path == "/none" {
			_ = conn.Close()
			return
		}
		_, _ = conn.Write([]byte(whole(path)))
	})
	backend := raw.backend(t, 1, 1)
	_, err := exchange(context.Background(), backend, "/whole")
	assert.NilError(t, err)
	_, err = exchange(context.Background(), backend, "/none")
	var cut *CutError
	assert.Assert(t, errors.As(err, &cut) && cut.Reset, "error %v", err)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, raw.requests.Load(), int32(2), "the request was sent again")
}

// TestWholeAnswers guards against rejecting an answer that is whole.
func TestWholeAnswers(t *testing.T) {
	answers := map[string]string{
		"/length":  whole("hello"),
		"/chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"/empty":   "HTTP/1.1 204 No Content\r\n\r\n",
		"/close":   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
	}
	raw := startRawTarget(t, func(conn net.Conn, path string) { _, _ = conn.Write([]byte(answers[path])) })
	backend := raw.backend(t, 2, 1)
	for range 3 {
		for path := range answers {
			answer, err := exchange(context.Background(), backend, path)
			assert.NilError(t, err, path)
			if path != "/empty" {
				assert.Equal(t, string(answer.Body), "hello", path)
			}
		}
	}
}

// TestLateAnswers guards against an answer reaching another request: one that
// arrives after its deadline, and one that arrives twice. The second answer is
// on the connection before its reuse; one that arrives later cannot be told
// from the next request's own in HTTP/1.1.
func TestLateAnswers(t *testing.T) {
	var mu sync.Mutex
	second := make(chan struct{}, 1)
	raw := startRawTarget(t, func(conn net.Conn, path string) {
		mu.Lock()
		defer mu.Unlock()
		switch path {
		case "/slow":
			go func() {
				time.Sleep(30 * time.Millisecond)
				_, _ = conn.Write([]byte(whole(path)))
			}()
		case "/twice":
			_, _ = conn.Write([]byte(whole(path)))
			go func() {
				time.Sleep(5 * time.Millisecond)
				_, _ = conn.Write([]byte(whole("second " + path)))
				second <- struct{}{}
			}()
		default:
			_, _ = conn.Write([]byte(whole(path)))
		}
	})
	backend := raw.backend(t, 4, 1)
	for i := range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		_, err := exchange(ctx, backend, "/slow")
		cancel()
		assert.Assert(t, err != nil, "an answer came before its time")
		_, err = exchange(context.Background(), backend, "/twice")
		assert.NilError(t, err)
		<-second
		path := fmt.Sprint("/own/", i)
		answer, err := exchange(context.Background(), backend, path)
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), path)
	}
}

// TestCancellation guards against holding a connection for a caller that left.
func TestCancellation(t *testing.T) {
	raw := startRawTarget(t, func(net.Conn, string) {})
	backend := raw.backend(t, 1, 1)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	start := time.Now()
	_, err := exchange(ctx, backend, "/never")
	var cut *CutError
	assert.Assert(t, errors.As(err, &cut) && !cut.Reset, "error %v", err)
	assert.Assert(t, time.Since(start) < time.Second, "took %s", time.Since(start))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e, err := backend.Open(context.Background()); err == nil {
			e.Release()
			return poll.Success()
		}
		return poll.Continue("the connection is still held")
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
}

// TestIdleClosed guards against sending a request on a connection that the
// target closed while it was idle, which would make its outcome unknown.
func TestIdleClosed(t *testing.T) {
	raw := startRawTarget(t, func(conn net.Conn, path string) {
		_, _ = conn.Write([]byte(whole(path)))
		go func() {
			time.Sleep(2 * time.Millisecond)
			_ = conn.Close()
		}()
	})
	backend := raw.backend(t, 2, 1)
	for i := range 50 {
		_, err := exchange(context.Background(), backend, "/idle")
		assert.NilError(t, err, "call %d", i)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestConnectionLimit guards the number of connections that a target allows,
// and that connections are open before they are needed.
func TestConnectionLimit(t *testing.T) {
	raw := startRawTarget(t, func(conn net.Conn, path string) {
		time.Sleep(2 * time.Millisecond)
		_, _ = conn.Write([]byte(whole(path)))
		if path == "/close" {
			_ = conn.Close()
		}
	})
	backend := raw.backend(t, 6, 4)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if raw.open.Load() == 4 {
			return poll.Success()
		}
		return poll.Continue("%d connections open in advance", raw.open.Load())
	}, poll.WithTimeout(2*time.Second), poll.WithDelay(time.Millisecond))
	var wait sync.WaitGroup
	var busy atomic.Int32
	for range 12 {
		wait.Go(func() {
			for range 20 {
				_, err := exchange(context.Background(), backend, "/")
				var full *BusyError
				if errors.As(err, &full) {
					busy.Add(1)
				} else if err != nil {
					t.Errorf("exchange: %v", err)
				}
			}
		})
	}
	wait.Wait()
	assert.Assert(t, busy.Load() > 0, "the limit was never reached")
	assert.Assert(t, raw.maxOpen.Load() <= 6, "%d connections at a time", raw.maxOpen.Load())
}

// TestDown guards the proof that nothing was sent to a target that is gone.
func TestDown(t *testing.T) {
	raw := startRawTarget(t, func(net.Conn, string) {})
	backend := raw.backend(t, 2, 0)
	assert.Assert(t, backend.Accepts(context.Background()))
	assert.NilError(t, raw.listener.Close())
	_, err := exchange(context.Background(), backend, "/")
	var down *DownError
	assert.Assert(t, errors.As(err, &down), "error %v", err)
	assert.Assert(t, !backend.Accepts(context.Background()))
}
