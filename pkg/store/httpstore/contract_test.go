package httpstore_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/store/httpstore"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

// startServer serves backing over HTTP and returns a client for it.
func startServer(t *testing.T, backing *standin.Store) *httpstore.Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	h := server.New(server.WithListener(listener), server.WithExitWaitTime(0), server.WithDisablePrintRoute(true))
	h.POST(httpstore.Path, httpstore.Handler(backing))
	go func() { _ = h.Run() }()
	t.Cleanup(func() { _ = h.Close() })
	client := httpstore.NewClient(address, time.Second)
	assert.Assert(t, waitFor(func() bool {
		_, _, err := client.List(t.Context(), "")
		return err == nil
	}))
	return client
}

func waitFor(condition func() bool) bool {
	for range 200 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// TestContract verifies the store.Store contract in process and over HTTP. It
// guards against an adapter that loses a typed error or a revision on the wire.
func TestContract(t *testing.T) {
	t.Run("in process", func(t *testing.T) {
		backing := standin.New(1)
		testContract(t, backing, backing)
	})
	t.Run("over HTTP", func(t *testing.T) {
		backing := standin.New(1)
		testContract(t, startServer(t, backing), backing)
	})
}

func testContract(t *testing.T, s store.Store, backing *standin.Store) {
	ctx := t.Context()
	_, err := s.Get(ctx, "a/1")
	assert.Assert(t, store.IsNotFound(err), "%v", err)
	created, err := s.Create(ctx, "a/1", []byte("one"))
	assert.NilError(t, err)
	_, err = s.Create(ctx, "a/1", []byte("again"))
	assert.Assert(t, store.IsConflict(err), "%v", err)
	updated, err := s.Update(ctx, "a/1", []byte("two"), created.Revision)
	assert.NilError(t, err)
	_, err = s.Update(ctx, "a/1", []byte("three"), created.Revision)
	assert.Assert(t, store.IsConflict(err), "%v", err)

	events, next, err := s.Watch(ctx, "a/", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 2)
	assert.Equal(t, next, updated.Revision)
	waitCtx, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancel()
	events, _, err = s.Watch(waitCtx, "a/", next)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 0)

	backing.SetFaults(standin.Faults{LoseResponse: 1})
	_, err = s.Create(ctx, "a/2", []byte("lost"))
	assert.Assert(t, store.IsOutcomeUnknown(err), "%v", err)
	backing.SetFaults(standin.Faults{Down: true})
	_, err = s.Get(ctx, "a/2")
	assert.Assert(t, store.IsUnavailable(err), "%v", err)
	backing.SetFaults(standin.Faults{})
	object, err := s.Get(ctx, "a/2")
	assert.NilError(t, err, "the write must take effect if its response is lost")
	assert.Equal(t, string(object.Value), "lost")
	assert.NilError(t, s.Delete(ctx, "a/2", object.Revision))
}

// TestCallAfterDeadline guards against a client that blocks beyond its timeout while
// the store is slow, and against reporting such a write as not run.
func TestCallAfterDeadline(t *testing.T) {
	backing := standin.New(1)
	client := startServer(t, backing)
	backing.SetFaults(standin.Faults{Latency: 3 * time.Second})
	start := time.Now()
	_, err := client.Create(t.Context(), "slow", nil)
	assert.Assert(t, store.IsOutcomeUnknown(err), "%v", err)
	assert.Assert(t, time.Since(start) < 2500*time.Millisecond)
}
