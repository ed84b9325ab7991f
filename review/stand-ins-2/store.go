package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's metadata store.
type object struct {
	Metadata objectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	CreatedRev      int64    `json:"created_rev"`
	Finalizers      []string `json:"finalizers"`
	DeleteRequested bool     `json:"delete_requested"`
}

type change struct {
	kind     string
	object   object
	deleted  bool
	revision int64
}

// store is a stand-in for the platform's metadata store. Each machine has an address of
// its own, at which the store may turn it away.
type store struct {
	mu         sync.Mutex
	objects    map[string]map[string]*object // by kind and name
	revision   int64
	history    []change
	changed    chan struct{}
	refused    map[string]bool // machines that are turned away with 503
	watchedAt  map[string]time.Time
	onStatus   func(kind, name, machine string, status json.RawMessage)
	httpServer []*http.Server
}

func newStore() *store {
	return &store{
		objects: make(map[string]map[string]*object), revision: 1, changed: make(chan struct{}), refused: make(map[string]bool),
		watchedAt: make(map[string]time.Time),
		onStatus:  func(string, string, string, json.RawMessage) {},
	}
}

// serve opens the address of a machine.
func (s *store) serve(machine, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(machine, w, r) })}
	s.httpServer = append(s.httpServer, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *store) close() {
	for _, server := range s.httpServer {
		_ = server.Close()
	}
}

// watching reports whether a machine has watched the store lately.
func (s *store) watching(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.watchedAt[machine]) < 7*time.Second
}

// refuse sets the machines that are turned away from now on. Watches that wait are cut
// off.
func (s *store) refuse(machines ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = make(map[string]bool)
	for _, m := range machines {
		s.refused[m] = true
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes the spec of an object, as the operator does.
func (s *store) put(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := object{Metadata: objectMeta{Name: name, Finalizers: []string{}}, Status: json.RawMessage("null")}
	if stored := s.objects[kind][name]; stored != nil {
		o = *stored
	}
	o.Spec = content
	s.write(kind, &o)
}

func (s *store) write(kind string, o *object) {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{kind: kind, object: *o, revision: s.revision})
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) handle(machine string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	refused := s.refused[machine]
	if r.URL.Query().Get("watch") != "" {
		s.watchedAt[machine] = time.Now()
	}
	s.mu.Unlock()
	if refused {
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "unavailable"})
		return
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, query := parts[0], r.URL.Query()
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	switch {
	case r.Method == http.MethodGet && query.Get("watch") != "":
		s.watch(machine, w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, kind, query.Get("after"))
	default:
		s.access(machine, w, r, parts, &body)
	}
}

// access reads or changes one object.
func (s *store) access(machine string, w http.ResponseWriter, r *http.Request, parts []string, body *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := parts[0], body.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	stored := s.objects[kind][name]
	expected := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && stored != nil, stored != nil && expected != 0 && expected != stored.Metadata.Revision:
		reply(w, http.StatusConflict, stored)
	case r.Method == http.MethodPost:
		o := &object{Metadata: objectMeta{Name: name, Finalizers: []string{}}, Spec: body.Spec, Status: json.RawMessage("null")}
		s.write(kind, o)
		reply(w, http.StatusOK, o)
	case stored == nil:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, stored)
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		s.history = append(s.history, change{kind: kind, object: *stored, deleted: true, revision: s.revision})
		s.notify()
		reply(w, http.StatusOK, stored)
	default:
		o := *stored
		if len(parts) > 2 {
			o.Status = body.Status
			s.onStatus(kind, name, machine, body.Status)
		} else {
			o.Spec = body.Spec
		}
		if string(o.Spec) != string(stored.Spec) || string(o.Status) != string(stored.Status) {
			s.write(kind, &o)
		}
		reply(w, http.StatusOK, &o)
	}
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at_rev": s.revision})
}

func (s *store) watch(machine string, w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed, refused := s.revision, s.changed, s.refused[machine]
		s.mu.Unlock()
		if refused {
			panic(http.ErrAbortHandler) // a watch that waits is cut off
		}
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
