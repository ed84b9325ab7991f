// Package platform_test checks the adapter, and daemons on it, against a
// stand-in of the users' platform.
package platform_test

import (
	"context"
	"net/http"
	"strconv"
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

// TestObjects guards against writes that ignore their condition.
func TestObjects(t *testing.T) {
	_, c := newObjects(t)
	ctx := t.Context()
	created, err := c.Create(ctx, "moves/desk", []byte(`{"a":1}`))
	assert.NilError(t, err)
	_, err = c.Create(ctx, "moves/desk", []byte(`{}`))
	assert.Assert(t, store.IsConflict(err))
	updated, err := c.Update(ctx, "moves/desk", []byte(`{"a":2}`), created.Revision)
	assert.NilError(t, err)
	_, err = c.Update(ctx, "moves/desk", []byte(`{"a":3}`), created.Revision)
	assert.Assert(t, store.IsConflict(err))
	got, err := c.Get(ctx, "moves/desk")
	assert.NilError(t, err)
	assert.Equal(t, string(got.Value), `{"a":2}`)
	assert.Equal(t, got.Revision, updated.Revision)
	assert.Assert(t, store.IsConflict(c.Delete(ctx, "moves/desk", created.Revision)))
	assert.NilError(t, c.Delete(ctx, "moves/desk", updated.Revision))
	_, err = c.Get(ctx, "moves/desk")
	assert.Assert(t, store.IsNotFound(err))
}

// TestPages guards against objects beyond the first page that are left out.
func TestPages(t *testing.T) {
	_, c := newObjects(t)
	for i := range 13 {
		_, err := c.Create(t.Context(), "vms/"+strconv.Itoa(100+i), []byte(`{}`))
		assert.NilError(t, err)
	}
	all, revision, err := c.List(t.Context(), "vms/")
	assert.NilError(t, err)
	assert.Equal(t, len(all), 13)
	assert.Equal(t, revision, all[12].Revision)
}

// TestWatch guards against changes that are missed, and against a watch that
// goes on from a history that is gone.
func TestWatch(t *testing.T) {
	s, c := newObjects(t)
	created, err := c.Create(t.Context(), "moves/desk", []byte(`{}`))
	assert.NilError(t, err)
	time.AfterFunc(50*time.Millisecond, func() { s.Put("moves", "desk", map[string]int{"a": 2}) })
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	events, at, err := c.Watch(ctx, "moves/", created.Revision)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, string(events[0].Object.Value), `{"a":2}`)
	short, cancelShort := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancelShort()
	events, _, err = c.Watch(short, "moves/", at)
	assert.NilError(t, err, "a watch without a change is no error")
	assert.Equal(t, len(events), 0)
	s.Put("moves", "desk", map[string]int{"a": 3})
	s.Compact()
	_, _, err = c.Watch(ctx, "moves/", at)
	assert.Assert(t, store.IsExpiredWatch(err))
}

// TestStoreFaults guards against writes that are taken for done or for not done
// when neither is known.
func TestStoreFaults(t *testing.T) {
	refused := []standin.Fault{standin.Unavailable, standin.Throttled}
	for _, fault := range refused {
		s, c := newObjects(t)
		s.Always(fault)
		_, err := c.Create(t.Context(), "moves/desk", []byte(`{}`))
		assert.Assert(t, store.IsUnavailable(err), "%s: %v", fault, err)
		assert.Assert(t, s.Get("moves", "desk") == nil)
	}
	for fault, done := range map[standin.Fault]bool{standin.Lost: true, standin.Late: true, standin.Garbled: true, standin.Silent: false} {
		s, c := newObjects(t)
		s.Always(fault)
		_, err := c.Create(t.Context(), "moves/desk", []byte(`{}`))
		assert.Assert(t, store.IsOutcomeUnknown(err), "%s: %v", fault, err)
		time.Sleep(500 * time.Millisecond) // late writes are done by now
		assert.Equal(t, s.Get("moves", "desk") != nil, done, "%s", fault)
		s.Always(fault)
		_, err = c.Get(t.Context(), "moves/desk")
		assert.Assert(t, store.IsUnavailable(err), "%s: %v", fault, err)
	}
	c := platform.NewObjects("127.0.0.1:1")
	_, err := c.Create(t.Context(), "moves/desk", []byte(`{}`))
	assert.Assert(t, store.IsUnavailable(err), "nothing was sent: %v", err)
}

// TestCutWatch guards against a watch that waits for ever on a silent store.
func TestCutWatch(t *testing.T) {
	s, c := newObjects(t)
	s.Inject(func(r *http.Request) standin.Fault {
		if r.URL.Query().Get("watch") != "" {
			return standin.Silent
		}
		return standin.Serve
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, _, err := c.Watch(ctx, "moves/", 1)
	assert.Assert(t, store.IsUnavailable(err), "%v", err)
	assert.Assert(t, time.Since(began) < 2*time.Second)
}
