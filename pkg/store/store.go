// Package store defines the narrow interface to the platform's object API.
// Everything that must outlast a daemon goes through it.
package store

import "context"

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// Object is one stored value. Revision grows with every write to the store.
type Object struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
}

// EventType tells what happened to an object.
type EventType string

// Event types.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is one change of an object.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// Store is the platform's object API. Each call counts against the platform's
// rates, and a waiting Watch counts as one call. Every error is one of the
// types of this package.
type Store interface {
	// Get returns one object, or NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects below prefix in key order, and the revision of
	// the store that the list shows.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Create writes a new object, or returns ConflictError if the key exists.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces an object if its revision is still ifRevision, and
	// returns ConflictError otherwise.
	Update(ctx context.Context, key string, value []byte, ifRevision int64) (Object, error)
	// Delete removes an object if its revision is still ifRevision.
	Delete(ctx context.Context, key string, ifRevision int64) error
	// Watch waits until objects below prefix change after revision from, or
	// until ctx ends, and returns the events and the revision to go on from.
	// When ctx ends first it returns no events and no error. Events may come
	// out of order; the revision of each object tells the order.
	Watch(ctx context.Context, prefix string, from int64) ([]Event, int64, error)
}
