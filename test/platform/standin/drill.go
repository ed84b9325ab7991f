package standin

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// Copy is the content of a store at one moment.
type Copy struct {
	objects  map[string]map[string]*Object
	revision int64
	history  []change
}

// Copy returns a copy of the store.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{objects: make(map[string]map[string]*Object), revision: s.revision, history: slices.Clone(s.history)}
	for kind, objects := range s.objects {
		c.objects[kind] = maps.Clone(objects) // stored objects are replaced, not changed
	}
	return c
}

// Leave makes the store unavailable until it returns. Watches that wait are cut off.
func (s *Store) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// Return makes the store available with the content of a copy and in a new era. It assigns
// the revisions after that of the copy again. Watches that wait are cut off.
func (s *Store) Return(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(c)
	s.cutEra = s.era
}

// Replace is Return for a store that was not away and whose watches go on waiting.
func (s *Store) Replace(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replace(c)
}

func (s *Store) replace(c *Copy) {
	s.objects = make(map[string]map[string]*Object)
	for kind, objects := range c.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.revision, s.history = c.revision, slices.Clone(c.history)
	s.era++
	s.away = false
	s.notify()
}

// reject responds to a call that is not executed.
func (s *Store) reject(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nameEra(w)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// nameEra sets the header that names the era. The caller holds mu.
func (s *Store) nameEra(w http.ResponseWriter) { w.Header().Set("Store-Era", strconv.Itoa(s.era)) }
