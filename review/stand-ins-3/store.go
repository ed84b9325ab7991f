package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is an object of the platform's store in its wire format.
type storeObject struct {
	Metadata objectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedRev int64    `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Delete     bool     `json:"delete_requested"`
}

type storeChange struct {
	kind    string
	object  storeObject
	deleted bool
}

// objectStore is a stand-in of the platform's store. It always answers.
type objectStore struct {
	address string // for a daemon whose calls need not be told from others
	ip      string

	mu       sync.Mutex
	objects  map[string]map[string]storeObject
	revision int64
	history  []storeChange
	changed  chan struct{}
	writers  map[string]string // name of the machine that last wrote an object, by kind and name
	era      int               // rises by one when the store returns from a copy
	away     bool
}

// storeCopy is the content of a store at one moment.
type storeCopy struct {
	objects  map[string]map[string]storeObject
	revision int64
	history  []storeChange
}

// copy returns a copy of the store.
func (s *objectStore) copy() *storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &storeCopy{objects: make(map[string]map[string]storeObject), revision: s.revision, history: slices.Clone(s.history)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	return c
}

// leave makes the store refuse all calls, and cuts its watches off.
func (s *objectStore) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// returnFrom makes the store available with the content of a copy, in a new era.
func (s *objectStore) returnFrom(c *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision, s.history = c.objects, c.revision, c.history
	s.era++
	s.away = false
	s.wake()
}

// wake wakes the watches. The caller holds mu.
func (s *objectStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func startStore(ip string) (*objectStore, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &objectStore{
		address: listener.Addr().String(), ip: ip, writers: make(map[string]string), objects: make(map[string]map[string]storeObject), revision: 1, era: 1, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// addressFor returns an address of the store for the daemon of one machine.
func (s *objectStore) addressFor(machine string) (string, error) {
	listener, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodGet {
				name := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
				s.mu.Lock()
				s.writers[name] = machine
				s.mu.Unlock()
			}
			s.ServeHTTP(w, r)
		}))
	}()
	return listener.Addr().String(), nil
}

// spec returns the spec of an object and the machine that last called to write it or one
// of its kind.
func (s *objectStore) spec(kind, name string) (json.RawMessage, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writer := s.writers[kind+"/"+name]
	if writer == "" {
		writer = s.writers[kind]
	}
	return s.objects[kind][name].Spec, writer
}

// put writes the spec of an object as the operator does.
func (s *objectStore) put(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		o = storeObject{Metadata: objectMeta{Name: name, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Spec = content
	s.write(kind, o)
}

// get returns the status of an object.
func (s *objectStore) status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].Status)
}

func (s *objectStore) write(kind string, o storeObject) storeObject {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storeObject)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.record(storeChange{kind: kind, object: o})
	return o
}

func (s *objectStore) record(c storeChange) {
	s.history = append(s.history, c)
	s.wake()
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	away := s.away
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Get("watch") != "":
		s.watch(w, r, kind)
		return
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
		return
	}
	var body storeObject
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	stored, ok := s.objects[kind][name]
	expected := body.Metadata.Revision
	if text := query.Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && ok, ok && expected != 0 && expected != stored.Metadata.Revision && r.Method != http.MethodGet:
		reply(w, http.StatusConflict, stored)
	case r.Method == http.MethodPost:
		body.Metadata.CreatedRev = 0
		reply(w, http.StatusOK, s.write(kind, body))
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		stored.Metadata.Revision = s.revision
		s.record(storeChange{kind: kind, object: stored, deleted: true})
		reply(w, http.StatusOK, stored)
	case r.Method == http.MethodPut && len(parts) > 2:
		stored.Status = body.Status
		reply(w, http.StatusOK, s.write(kind, stored))
	case r.Method == http.MethodPut:
		stored.Spec = body.Spec
		reply(w, http.StatusOK, s.write(kind, stored))
	default:
		reply(w, http.StatusOK, stored)
	}
}

func (s *objectStore) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeObject{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at_rev": s.revision})
}

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era, unknown := s.era, from > s.revision
	s.mu.Unlock()
	if unknown {
		w.WriteHeader(http.StatusGone)
		return
	}
	for {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // the watch is cut off
		}
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.object.Metadata.Revision > from {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "at_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
