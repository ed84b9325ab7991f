package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/platform"
)

const nesting = 20_000 // deeper than encoding/json allows

// oddObjects are objects of another writer, by what is odd in them.
var oddObjects = map[string]string{
	"deeply nested":           `{"metadata":{"name":"odd","revision":3,"finalizers":[]},"spec":` + strings.Repeat("[", nesting) + strings.Repeat("]", nesting) + `,"status":null}`,
	"deeply nested object":    `{"metadata":{"name":"odd","revision":3,"finalizers":[]},"spec":` + strings.Repeat(`{"a":`, nesting) + "1" + strings.Repeat("}", nesting) + `,"status":null}`,
	"deeply nested status":    `{"metadata":{"name":"odd","revision":3,"finalizers":[]},"spec":{},"status":` + strings.Repeat("[", nesting) + strings.Repeat("]", nesting) + `}`,
	"revision out of range":   `{"metadata":{"name":"odd","revision":1e300,"finalizers":[]},"spec":{"address":"127.0.0.1:9"},"status":null}`,
	"numbers out of range":    `{"metadata":{"name":"odd","revision":3,"finalizers":[]},"spec":{"address":"127.0.0.1:9","linkMbps":1e999,"version":1e999,"duration_s":1e999,"service":"odd","target_version":"v2"},"status":null}`,
	"duration out of range":   `{"metadata":{"name":"odd","revision":3,"finalizers":[]},"spec":{"duration_s":1e300,"service":"odd","target_version":"v2"},"status":null}`,
	"port out of range":       `{"metadata":{"name":"odd","revision":3,"finalizers":[]},"spec":{"address":"127.0.0.1:700000"},"status":null}`,
	"name of another type":    `{"metadata":{"name":[7],"revision":3,"finalizers":[]},"spec":{"address":"127.0.0.1:9"},"status":null}`,
	"metadata missing":        `{"spec":{"address":"127.0.0.1:9"}}`,
	"null":                    `null`,
	"number":                  `7`,
	"brackets in a string":    `{"metadata":{"name":"odd]}\\\"]","revision":"x"},"spec":"[[{\\"}`,
	"other types":             `{"metadata":[],"spec":7,"status":"x"}`,
	"finalizers out of range": `{"metadata":{"name":"odd","revision":3,"finalizers":7},"spec":{},"status":null}`,
}

// TestOddObjectHidesNoOther guards against a list or a watch that fails, or ends early,
// because of an object that another writer left.
func TestOddObjectHidesNoOther(t *testing.T) {
	for name, odd := range oddObjects {
		t.Run(name, func(t *testing.T) {
			s, objects := newObjects(t)
			s.PutRaw("vms", odd)
			for i := range 12 { // three pages
				s.Put("vms", fmt.Sprintf("vm-%02d", i), map[string]int{"a": i})
			}
			isGood := func(key string) bool { return strings.HasPrefix(key, "vms/vm-") }
			listed, revision, err := objects.List(t.Context(), "vms/")
			assert.NilError(t, err)
			good := make(map[string]string)
			for _, o := range listed {
				if isGood(o.Key) {
					good[o.Key] = string(o.Value)
				}
			}
			assert.Equal(t, len(good), 12)
			assert.Equal(t, good["vms/vm-11"], `{"a":11}`)
			s.Put("vms", "vm-12", map[string]int{"a": 12})
			events, next, err := objects.Watch(t.Context(), "vms/", revision)
			assert.NilError(t, err)
			assert.Assert(t, next > revision)
			last := events[len(events)-1].Object
			assert.Equal(t, last.Key+string(last.Value), `vms/vm-12{"a":12}`)
		})
	}
}

// TestOddEntriesOfOtherWriters guards against daemons that end, do not find each other, or
// no longer follow the configuration because of objects that another writer left among
// theirs and the operator's.
func TestOddEntriesOfOtherWriters(t *testing.T) {
	d := newDeployment(t, 0)
	for _, odd := range oddObjects {
		for _, kind := range []string{"nutmegstand-daemons", "config", "rollouts"} {
			d.store.PutRaw(kind, odd)
		}
	}
	d.startMachines(3)
	d.awaitTargets()
	d.configure(2, "/look/", "/two/")
	for _, m := range d.machines {
		eventually(t, "the route is in force", applyTimeout, func() bool { return m.get("/two/1") == http.StatusOK })
	}
	m := d.machines[1]
	m.stop()
	assert.NilError(t, <-m.ended)
	m.settings.FirstStart = false
	m.start()
	eventually(t, "the restarted daemon serves", recoveryTimeout, func() bool { return m.get("/look/1") == http.StatusOK })
	d.awaitTargets()
}

// TestNumbersOutOfRange guards against a heartbeat of another writer whose numbers make
// the target unusable, or hide its own heartbeats.
func TestNumbersOutOfRange(t *testing.T) {
	d := newDeployment(t, 1)
	m := d.machines[0]
	for _, odd := range []string{`"born":9223372036854775807`, `"born":-1`, `"born":1e30`, `"warmup_left_ms":1e300`, `"slots":9223372036854775807`, `"slots":-5`} {
		body := fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":%q,"version":"v1","zone":"z","slots":8},
			"status":{"state":"ready","sequence":99999,"warmup_left_ms":0}}`, m.target.Address, service)
		field, _, _ := strings.Cut(odd, ":")
		at := strings.Index(body, field)
		end := at + strings.IndexAny(body[at:], ",}")
		assert.Equal(t, m.putInstance(m.id, body[:at]+odd+body[end:]), http.StatusBadRequest, odd)
	}
	assert.Equal(t, m.sendHeartbeat("ready"), http.StatusOK)
	assert.Equal(t, m.get("/look/1"), http.StatusOK)
}

// TestListEndsAtPageWithoutNames guards against a list that starts again from its first
// page, for ever, because no object of a later page has a name to continue from.
func TestListEndsAtPageWithoutNames(t *testing.T) {
	for _, items := range []string{``, `{"metadata":{"name":7},"spec":{}}`} {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			page := items
			if r.URL.Query().Get("after") == "" {
				page = `{"metadata":{"name":"a","revision":3},"spec":{}}`
			}
			_, _ = fmt.Fprintf(w, `{"items":[%s],"has_more":true,"at_rev":9}`, page)
		}))
		defer server.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		listed, _, err := platform.NewObjects(server.Listener.Addr().String()).List(ctx, "vms/")
		assert.NilError(t, err)
		assert.Equal(t, listed[0].Key, "vms/a")
		assert.Equal(t, calls.Load(), int32(2))
	}
}
