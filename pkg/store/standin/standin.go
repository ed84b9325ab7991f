// Package standin provides an in-memory fake of the platform's object API, with
// injected faults, for tests and the demo. It is not meant for production.
package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/store"
)

// maxEvents is the number of events retained for watches.
const maxEvents = 4096

var (
	errDown         = errors.New("stand-in is down")
	errLostResponse = errors.New("answer lost after the write took effect")
	errTooLarge     = errors.New("value is larger than the store holds")
)

// Faults selects the faults to inject.
type Faults struct {
	Down          bool          `json:"down"`
	Latency       time.Duration `json:"latencyNs"`
	LoseResponse  float64       `json:"loseAnswer"` // probability that the response of a write is lost
	ReorderEvents bool          `json:"crossOrder"` // shuffle the events of each watch
}

// Counts holds the number of calls by kind, including refused calls. Waiting is
// the number of watches that are waiting; Watches counts them, too.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Waiting int64 `json:"waiting"`
	Refused int64 `json:"refused"`
}

// Store is an in-memory store.Store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	rng      *rand.Rand
	objects  map[string]store.Object
	events   []store.Event // in revision order
	revision int64
	changed  chan struct{} // closed and replaced on each write or fault change
	faults   Faults
	counts   Counts
}

var _ store.Store = (*Store)(nil)

// New returns an empty Store. seed determines its random faults.
func New(seed uint64) *Store {
	return &Store{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		objects: make(map[string]store.Object),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults. Setting Down fails waiting watches.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyLocked()
}

// Counts returns the number of calls since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.beginCall(ctx, "get", &s.counts.Reads); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return store.Object{}, &store.NotFoundError{Key: key}
	}
	return cloneObject(object), nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if err := s.beginCall(ctx, "list", &s.counts.Reads); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var objects []store.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, cloneObject(object))
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, s.revision, nil
}

// Create implements store.Store.
func (s *Store) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	return s.write(ctx, "create", key, value, 0)
}

// Update implements store.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, ifRevision int64) (store.Object, error) {
	return s.write(ctx, "update", key, value, ifRevision)
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, ifRevision int64) error {
	_, err := s.write(ctx, "delete", key, nil, ifRevision)
	return err
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) ([]store.Event, int64, error) {
	if err := s.beginCall(ctx, "watch", &s.counts.Watches); err != nil {
		return nil, from, err
	}
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		events, next, changed, err := s.eventsAfter(prefix, from)
		if err != nil || len(events) > 0 {
			return events, next, err
		}
		select {
		case <-ctx.Done():
			return nil, next, nil
		case <-changed:
		}
	}
}

func (s *Store) addWaiting(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += n
}

// eventsAfter returns the events after revision from whose keys start with prefix,
// the current revision, and a channel that is closed at the next change.
func (s *Store) eventsAfter(prefix string, from int64) ([]store.Event, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, from, nil, &store.UnavailableError{Op: "watch", Cause: errDown}
	}
	if len(s.events) == maxEvents && from < s.events[0].Object.Revision-1 {
		return nil, from, nil, &store.ExpiredWatchError{Prefix: prefix, From: from, Oldest: s.events[0].Object.Revision}
	}
	var events []store.Event
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Object.Revision > from })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Object.Key, prefix) {
			events = append(events, store.Event{Type: event.Type, Object: cloneObject(event.Object)})
		}
	}
	if s.faults.ReorderEvents {
		s.rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	}
	return events, s.revision, s.changed, nil
}

func (s *Store) write(ctx context.Context, op, key string, value []byte, ifRevision int64) (store.Object, error) {
	if len(value) > store.MaxValueBytes {
		return store.Object{}, &store.UnavailableError{Op: op, Cause: errTooLarge}
	}
	if err := s.beginCall(ctx, op, &s.counts.Writes); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	if current.Revision != ifRevision {
		return store.Object{}, &store.ConflictError{Key: key, Expected: ifRevision, Revision: current.Revision}
	}
	s.revision++
	object := store.Object{Key: key, Revision: s.revision, Value: append([]byte(nil), value...)}
	event := store.Event{Type: store.EventPut, Object: object}
	if op == "delete" {
		delete(s.objects, key)
		event.Type = store.EventDelete
	} else {
		s.objects[key] = object
	}
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		s.events = s.events[len(s.events)-maxEvents:]
	}
	s.notifyLocked()
	if s.faults.LoseResponse > 0 && s.rng.Float64() < s.faults.LoseResponse {
		return store.Object{}, &store.OutcomeUnknownError{Op: op, Key: key, Cause: errLostResponse}
	}
	return cloneObject(object), nil
}

// beginCall counts a call, waits for the injected latency and returns an error if
// the store was down when the call arrived.
func (s *Store) beginCall(ctx context.Context, op string, counter *int64) error {
	s.mu.Lock()
	latency, down := s.faults.Latency, s.faults.Down
	*counter++
	if down {
		s.counts.Refused++
	}
	s.mu.Unlock()
	if latency > 0 {
		select {
		case <-ctx.Done():
			return &store.UnavailableError{Op: op, Cause: ctx.Err()}
		case <-time.After(latency):
		}
	}
	if down {
		return &store.UnavailableError{Op: op, Cause: errDown}
	}
	if err := ctx.Err(); err != nil {
		return &store.UnavailableError{Op: op, Cause: err}
	}
	return nil
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneObject(object store.Object) store.Object {
	object.Value = append([]byte(nil), object.Value...)
	return object
}
