// Package platform_test tests the platform adapter, and daemons that use it, against
// a fake of the users' platform.
package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/platform"
	"nutmegstand.example/nutmegstand/test/platform/standin"
)

func newObjects(t *testing.T) (*standin.Store, *platform.Objects) {
	s := standin.NewStore(t)
	return s, platform.NewObjects(s.Address)
}

// TestConditionalWrites guards against writes that ignore their expected revision.
func TestConditionalWrites(t *testing.T) {
	_, objects := newObjects(t)
	ctx := t.Context()
	created, err := objects.Create(ctx, "moves/desk", []byte(`{"a":1}`))
	assert.NilError(t, err)
	_, err = objects.Create(ctx, "moves/desk", []byte(`{}`))
	assert.Assert(t, store.IsConflict(err))
	updated, err := objects.Update(ctx, "moves/desk", []byte(`{"a":2}`), created.Revision)
	assert.NilError(t, err)
	_, err = objects.Update(ctx, "moves/desk", []byte(`{"a":3}`), created.Revision)
	assert.Assert(t, store.IsConflict(err))
	got, err := objects.Get(ctx, "moves/desk")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), `{"a":2}`)
	assert.Equal(t, got.Revision, updated.Revision)
	assert.Assert(t, store.IsConflict(objects.Delete(ctx, "moves/desk", created.Revision)))
	assert.NilError(t, objects.Delete(ctx, "moves/desk", updated.Revision))
	_, err = objects.Get(ctx, "moves/desk")
	assert.Assert(t, store.IsNotFound(err))
}

// TestListPages guards against lists that omit objects after the first page.
func TestListPages(t *testing.T) {
	_, objects := newObjects(t)
	for i := range 13 {
		_, err := objects.Create(t.Context(), "vms/"+strconv.Itoa(100+i), []byte(`{}`))
		assert.NilError(t, err)
	}
	listed, revision, err := objects.List(t.Context(), "vms/")
	assert.NilError(t, err)
	assert.Equal(t, len(listed), 13)
	assert.Equal(t, revision, listed[12].Revision)
}

// TestWatch guards against missed changes, and against a watch that continues from a
// revision that the store has compacted.
func TestWatch(t *testing.T) {
	s, objects := newObjects(t)
	created, err := objects.Create(t.Context(), "moves/desk", []byte(`{}`))
	assert.NilError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { s.Put("moves", "desk", map[string]int{"a": 2}) })
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	events, revision, err := objects.Watch(ctx, "moves/", created.Revision)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, string(events[0].Object.Value), `{"a":2}`)
	shortCtx, cancelShort := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancelShort()
	events, _, err = objects.Watch(shortCtx, "moves/", revision)
	assert.NilError(t, err, "a watch without a change must not fail")
	assert.Equal(t, len(events), 0)
	s.Put("moves", "desk", map[string]int{"a": 3})
	s.Compact()
	_, _, err = objects.Watch(ctx, "moves/", revision)
	assert.Assert(t, store.IsExpiredWatch(err))
}

// TestStoreFaults guards against a write that is reported as executed or as not
// executed when its outcome is unknown.
func TestStoreFaults(t *testing.T) {
	rejecting := []standin.Fault{standin.Unavailable, standin.Throttled}
	for _, fault := range rejecting {
		s, objects := newObjects(t)
		s.InjectAll(fault)
		_, err := objects.Create(t.Context(), "moves/desk", []byte(`{}`))
		assert.Assert(t, store.IsUnavailable(err), "%s: %v", fault, err)
		assert.Assert(t, s.Get("moves", "desk") == nil)
	}
	for fault, executed := range map[standin.Fault]bool{standin.ResponseLost: true, standin.Delayed: true, standin.Malformed: true, standin.NoResponse: false} {
		s, objects := newObjects(t)
		s.InjectAll(fault)
		_, err := objects.Create(t.Context(), "moves/desk", []byte(`{}`))
		assert.Assert(t, store.IsOutcomeUnknown(err), "%s: %v", fault, err)
		time.Sleep(500 * time.Millisecond) // longer than the delay of a delayed write
		assert.Equal(t, s.Get("moves", "desk") != nil, executed, "%s", fault)
		s.InjectAll(fault)
		_, err = objects.Get(t.Context(), "moves/desk")
		assert.Assert(t, store.IsUnavailable(err), "%s: %v", fault, err)
	}
	objects := platform.NewObjects("127.0.0.1:1")
	_, err := objects.Create(t.Context(), "moves/desk", []byte(`{}`))
	assert.Assert(t, store.IsUnavailable(err), "a refused connection must not leave the outcome unknown: %v", err)
}

// TestUnresponsiveWatch guards against a watch that waits indefinitely for a store
// that does not respond.
func TestUnresponsiveWatch(t *testing.T) {
	s, objects := newObjects(t)
	s.Inject(func(r *http.Request) standin.Fault {
		if r.URL.Query().Get("watch") != "" {
			return standin.NoResponse
		}
		return standin.NoFault
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, _, err := objects.Watch(ctx, "moves/", 1)
	assert.Assert(t, store.IsUnavailable(err), "%v", err)
	assert.Assert(t, time.Since(start) < 2*time.Second)
}

// TestCallAfterSilentConnections guards against calls that time out one after the other
// because the open connections to the store no longer deliver: after one failed call, the
// next one opens a new connection.
func TestCallAfterSilentConnections(t *testing.T) {
	s, _ := newObjects(t)
	relay := newSilentRelay(t, s.Address)
	objects := platform.NewObjects(relay.address)
	var reads sync.WaitGroup
	for range 4 { // opens several connections
		reads.Go(func() { _, _, _ = objects.List(t.Context(), "vms/") })
	}
	reads.Wait()
	relay.silence()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := objects.Create(ctx, "moves/desk", []byte(`{}`))
	assert.Assert(t, store.IsOutcomeUnknown(err), "%v", err)
	started := time.Now()
	_, err = objects.Create(t.Context(), "moves/desk", []byte(`{}`))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(started) < 500*time.Millisecond)
}

// silentRelay passes connections on to an address. After silence, those that are open
// deliver nothing, and new ones work.
type silentRelay struct {
	address string

	mu     sync.Mutex
	silent chan struct{} // closed when the connections accepted so far deliver nothing
}

func newSilentRelay(t *testing.T, to string) *silentRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &silentRelay{address: listener.Addr().String(), silent: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			t.Cleanup(func() { _, _ = conn.Close(), out.Close() })
			r.mu.Lock()
			silent := r.silent
			r.mu.Unlock()
			go copyUntil(silent, out, conn)
			go copyUntil(silent, conn, out)
		}
	}()
	return r
}

func (r *silentRelay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

// copyUntil copies what it reads until silent is closed.
func copyUntil(silent chan struct{}, to io.Writer, from io.Reader) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// TestConditionsAcrossEras guards against a conditional write or a watch that applies to
// another change, since the store has returned from a copy and assigned its revision again.
func TestConditionsAcrossEras(t *testing.T) {
	s, objects := newObjects(t)
	first, err := objects.Create(t.Context(), "moves/a", []byte(`{"n":1}`))
	assert.NilError(t, err)
	old := s.Copy()
	read, err := objects.Update(t.Context(), "moves/a", []byte(`{"n":2}`), first.Revision)
	assert.NilError(t, err)
	s.Replace(old)
	s.Put("moves", "a", map[string]int{"n": 3}) // by another writer, with the revision of n = 2
	_, err = objects.Update(t.Context(), "moves/a", []byte(`{"n":4}`), read.Revision)
	assert.Assert(t, store.IsConflict(err) || store.IsOutcomeUnknown(err), "%v", err)
	current, err := objects.Get(t.Context(), "moves/a")
	assert.NilError(t, err)
	assert.Assert(t, current.Revision > read.Revision, "a revision of the new era is not the later one")
	_, err = objects.Update(t.Context(), "moves/a", []byte(`{"n":5}`), read.Revision)
	assert.Assert(t, store.IsConflict(err), "%v", err)
	assert.Assert(t, store.IsConflict(objects.Delete(t.Context(), "moves/a", read.Revision)))
	_, _, err = objects.Watch(t.Context(), "moves/", read.Revision)
	assert.Assert(t, store.IsExpiredWatch(err), "%v", err)
	_, err = objects.Update(t.Context(), "moves/a", []byte(`{"n":5}`), current.Revision)
	assert.NilError(t, err)
}
