package proxy_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"nutmegstand.example/nutmegstand/pkg/proxy/proxytest"
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
