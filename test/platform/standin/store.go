// Package standin provides a fake of the object store of the users' platform for
// tests, with the faults that its protocol allows.
package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Fault is a fault that the store injects into a call.
type Fault string

// Faults that can be injected.
const (
	NoFault      Fault = ""            // the call is executed
	Unavailable  Fault = "unavailable" // status 503, the call is not executed
	Throttled    Fault = "throttled"   // status 429, the call is not executed
	ResponseLost Fault = "lost"        // the call is executed, and the connection is closed without a response
	Delayed      Fault = "late"        // no response; the call is executed after executionDelay if its condition still holds
	NoResponse   Fault = "silent"      // the call is not executed and gets no response
	Malformed    Fault = "garbled"     // the call is executed and gets a malformed response
)

const (
	// executionDelay is the delay after which a Delayed call is executed.
	executionDelay = 300 * time.Millisecond
	// pageSize is the maximum number of objects in one page of a list.
	pageSize = 5
)

// Object is a stored object in its wire format.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata holds the fields of an object that the store maintains.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	CreatedRev      int64    `json:"created_rev"`
	Finalizers      []string `json:"finalizers"`
	DeleteRequested bool     `json:"delete_requested"`
}

type change struct {
	kind     string
	object   Object
	deleted  bool
	revision int64
}

// Store is an object store on loopback.
type Store struct {
	Address string

	mu                sync.Mutex
	objects           map[string]map[string]*Object // by kind and name
	revision          int64
	history           []change
	compactedRevision int64 // revision at the last compaction; watches from an earlier one expire
	era               int   // incremented when the store returns from a copy
	cutEra            int   // watches of earlier eras are cut off
	away              bool
	changed           chan struct{}
	fault             func(r *http.Request) Fault
	calls             int
	raw               map[string][]string // objects of other writers by kind, as JSON text
}

// NewStore starts a store.
func NewStore(t testing.TB) *Store {
	t.Helper()
	s := &Store{
		objects: make(map[string]map[string]*Object), raw: make(map[string][]string), revision: 1, era: 1, changed: make(chan struct{}),
		fault: func(*http.Request) Fault { return NoFault },
	}
	server := httptest.NewServer(s)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	s.Address = server.Listener.Addr().String()
	return s
}

// Inject sets the function that selects the fault of each later call.
func (s *Store) Inject(fault func(r *http.Request) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// InjectAll injects the fault f into every later call.
func (s *Store) InjectAll(f Fault) { s.Inject(func(*http.Request) Fault { return f }) }

// Calls returns the number of calls that the store has received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Compact drops the history of changes, so that watches from an earlier revision
// expire.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notify()
}

// Put writes the spec of an object without a condition, as the operator does.
func (s *Store) Put(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.objects[kind][name]
	o := Object{Metadata: Metadata{Name: name}, Spec: content}
	if stored != nil {
		o = *stored
		o.Spec = content
	}
	s.write(kind, &o, stored == nil)
}

// Delete removes an object without a condition, as the operator does.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored := s.objects[kind][name]; stored != nil {
		s.remove(kind, stored)
	}
}

func (s *Store) remove(kind string, stored *Object) {
	delete(s.objects[kind], stored.Metadata.Name)
	s.revision++
	s.history = append(s.history, change{kind: kind, object: *stored, deleted: true, revision: s.revision})
	s.notify()
}

// PutRaw adds an object of another writer, whose JSON text need not be valid. It comes
// first in lists, and in all watches.
func (s *Store) PutRaw(kind, object string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw[kind] = append(s.raw[kind], object)
	s.revision++
	s.notify()
}

// Get returns an object, or nil if it does not exist.
func (s *Store) Get(kind, name string) *Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name]
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(kind string, o *Object, created bool) {
	s.revision++
	o.Metadata.Revision = s.revision
	if created {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*Object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{kind: kind, object: *o, revision: s.revision})
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault(r)
	if s.away {
		fault = Unavailable
	}
	s.nameEra(w)
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Throttled:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	// The server detects the disconnection of a client only after the body has been
	// read.
	content, err := io.ReadAll(r.Body)
	var body Object
	if err == nil && (r.Method == http.MethodPost || r.Method == http.MethodPut) {
		err = json.Unmarshal(content, &body)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch fault {
	case NoResponse:
		<-r.Context().Done()
		return
	case Delayed:
		time.AfterFunc(executionDelay, func() { s.handleUnanswered(r, &body) })
		<-r.Context().Done()
		return
	}
	if fault == ResponseLost {
		s.handleUnanswered(r, &body)
		panic(http.ErrAbortHandler)
	}
	if fault == Malformed {
		s.handle(httptest.NewRecorder(), r, &body)
		_, _ = w.Write([]byte("{\"items\": 7, \"metadata\": []"))
		return
	}
	s.handle(w, r, &body)
}

// handleUnanswered executes a call whose response nobody gets.
func (s *Store) handleUnanswered(r *http.Request, body *Object) {
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			panic(p)
		}
	}()
	s.handle(httptest.NewRecorder(), r, body)
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request, body *Object) {
	rest := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	parts := strings.Split(rest, "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	status := len(parts) > 2 && parts[2] == "status"
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Get("watch") != "":
		s.watch(w, r, kind)
		return
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	stored := s.objects[kind][name]
	expected := body.Metadata.Revision
	if text := query.Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && stored != nil, stored != nil && expected != 0 && expected != stored.Metadata.Revision:
		writeJSON(w, http.StatusConflict, stored)
	case r.Method == http.MethodPost:
		o := *body
		s.write(kind, &o, true)
		writeJSON(w, http.StatusOK, &o)
	case stored == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, stored)
		writeJSON(w, http.StatusOK, stored)
	case r.Method == http.MethodPut:
		o := *stored
		if status {
			o.Status = body.Status
		} else {
			o.Spec = body.Spec
		}
		s.write(kind, &o, false)
		writeJSON(w, http.StatusOK, &o)
	default:
		writeJSON(w, http.StatusOK, stored)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := map[string]any{"at_rev": s.revision, "has_more": len(names) > pageSize}
	items := []*Object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind][name])
	}
	page["items"] = items
	s.writeWithRaw(w, page, `"items":[`, kind, "%s")
}

// writeWithRaw writes a response with the raw objects of a kind in format at the start
// of its array. The caller holds mu.
func (s *Store) writeWithRaw(w http.ResponseWriter, response any, array, kind, format string) {
	content, err := json.Marshal(response)
	if err != nil {
		panic(err)
	}
	before, after, _ := strings.Cut(string(content), array)
	var raw []string
	for _, object := range s.raw[kind] {
		raw = append(raw, fmt.Sprintf(format, object))
	}
	if len(raw) > 0 && !strings.HasPrefix(after, "]") {
		raw = append(raw, "")
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, before+array+strings.Join(raw, ",")+after)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era, unknown := s.era, from > s.revision
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.away || s.cutEra > era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // a watch that waits is cut off
		}
		if from < s.compactedRevision || unknown {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.nameEra(w)
		if len(events) > 0 {
			s.writeWithRaw(w, map[string]any{"events": events, "at_rev": revision}, `"events":[`, kind, `{"object":%s,"deleted":false}`)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
