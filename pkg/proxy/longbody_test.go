package proxy_test

import (
	"bytes"
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestLongBodyAfterRefusal guards against an order that runs without a part of its body,
// and against a refusal that does not say so. The target side refuses the call after
// more of the body was sent to it than can be sent again.
func TestLongBodyAfterRefusal(t *testing.T) {
	content := make([]byte, 200<<10)
	for i := range content {
		content[i] = byte(rand.Uint32())
	}
	for name, length := range map[string]int64{"chunked": -1, "with a length": int64(len(content))} {
		t.Run(name, func(t *testing.T) {
			m := newMesh(t, 2)
			m.hideLast.Store(true)
			release := make(chan struct{})
			full := m.targetSides[0]
			full.target.Handle(func(r *proxytest.Request) bool {
				<-release
				return proxytest.OK("ok")(r)
			})
			var requests sync.WaitGroup
			defer requests.Wait()
			defer close(release)
			for range 2 {
				requests.Go(func() { m.get("/look/1") })
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result { return await(len(full.target.Requests()) == 2, "the slots are in use") })
			answered := make(chan result, 1)
			sent := make(chan struct{})
			go func() {
				body := io.MultiReader(bytes.NewReader(content), readerFunc(sync.OnceFunc(func() { close(sent) })))
				answered <- m.requestWithID(t.Context(), "long", "/order/1", body, length)
			}()
			<-sent
			time.Sleep(100 * time.Millisecond) // the body is under way between the daemons
			m.hideLast.Store(false)
			full.gate.Close()
			got := <-answered
			assert.NilError(t, got.err)
			for _, r := range m.targetSides[1].target.Requests() {
				assert.Assert(t, bytes.Equal(r.Content, content), "ran with %d of %d bytes", len(r.Content), len(content))
			}
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
		})
	}
}

func await(done bool, condition string) poll.Result {
	if done {
		return poll.Success()
	}
	return poll.Continue("condition not met: %s", condition)
}

// readerFunc is an empty reader that calls a function at its first read.
type readerFunc func()

func (f readerFunc) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

// refusingSide is a target side that refuses every call.
type refusingSide struct{}

func (refusingSide) Do(context.Context, *proxy.Call) *proxy.AttemptResult {
	return &proxy.AttemptResult{Outcome: proxy.Refused, Reason: proxy.ReasonQueueFull}
}

// TestRefusalBeforeTheBodyWasRead guards against a connection between daemons that
// breaks after a refusal, with the next request already on it: the server cannot use a
// connection again whose last body it has not read.
func TestRefusalBeforeTheBodyWasRead(t *testing.T) {
	server := httptest.NewUnstartedServer(proxy.Inbound{Names: proxytest.Names, Target: refusingSide{}, Uplink: proxy.NewUplink(0)})
	var errorLog lockedBuffer
	server.Config.ErrorLog = log.New(&errorLog, "", 0)
	server.Start()
	defer server.Close()
	peers := proxy.NewPeers()
	for _, size := range []int{30, 5000, 100_000} {
		for range 10 {
			call := &proxy.Call{
				ID: "order", Method: http.MethodPost, URI: "/order/1", Host: "fish.example", Header: http.Header{}, Kind: routing.NonIdempotent,
				Body: proxy.NewBody(bytes.NewReader(make([]byte, size)), -1), Deadline: time.Now().Add(time.Second),
			}
			result := peers.Do(t.Context(), server.Listener.Addr().String(), call)
			assert.Equal(t, result.Outcome, proxy.Refused, "%d bytes: %s", size, result.Reason)
		}
	}
	server.Close() // waits for the connections
	assert.Equal(t, errorLog.String(), "")
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}
