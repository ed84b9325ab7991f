package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Endpoint is an address of a Store that can stop answering, or reject all calls, while the
// others work.
type Endpoint struct {
	Address string

	store    *Store
	watches  atomic.Int64 // watches of the configuration in progress
	silenced chan struct{}
	rejects  atomic.Bool
}

// NewEndpoint returns another address of the store.
func (s *Store) NewEndpoint(t testing.TB) *Endpoint {
	t.Helper()
	e := &Endpoint{store: s, silenced: make(chan struct{})}
	server := httptest.NewServer(e)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	e.Address = server.Listener.Addr().String()
	return e
}

// Watching reports whether a watch of the configuration is in progress.
func (e *Endpoint) Watching() bool { return e.watches.Load() > 0 }

// Silence stops all answers, those to watches in progress included.
func (e *Endpoint) Silence() { close(e.silenced) }

// Reject sets whether all calls get status 503. Watches in progress go on.
func (e *Endpoint) Reject(rejects bool) { e.rejects.Store(rejects) }

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.rejects.Load() {
		e.store.reject(w)
		return
	}
	if r.URL.Query().Get("watch") != "" && strings.HasSuffix(r.URL.Path, "/config") {
		e.watches.Add(1)
		defer e.watches.Add(-1)
	}
	response := httptest.NewRecorder()
	answered := make(chan struct{})
	var aborted any
	go func() {
		defer close(answered)
		defer func() { aborted = recover() }()
		e.store.ServeHTTP(response, r)
	}()
	select {
	case <-answered:
		if aborted != nil {
			panic(aborted)
		}
	case <-e.silenced:
	}
	select {
	case <-e.silenced:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
	for name, values := range response.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(response.Code)
	_, _ = w.Write(response.Body.Bytes())
}
