// Package store defines the interface to the platform's object API, which keeps
// all state that must outlive a daemon, and the errors of that interface.
package store

import "context"

// MaxValueBytes is the platform's limit on the size of a value.
const MaxValueBytes = 1 << 20

// Object is one stored value. Revision is the revision of the store at the last
// write of the object; every write to the store increases it.
type Object struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
}

// EventType is the kind of a change.
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

// Store is the platform's object API. Each call counts against the platform's rate
// limits; a Watch counts as one call however long it waits. Every error has one of
// the error types of this package.
type Store interface {
	// Get returns the object with the given key, or NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with prefix, sorted by key, and
	// the revision of the store at which they were read.
	List(ctx context.Context, prefix string) ([]Object, int64, error)
	// Create writes a new object. It returns ConflictError if the key exists.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces an object if its revision is ifRevision, and returns
	// ConflictError otherwise.
	Update(ctx context.Context, key string, value []byte, ifRevision int64) (Object, error)
	// Delete removes an object if its revision is ifRevision, and returns
	// ConflictError otherwise.
	Delete(ctx context.Context, key string, ifRevision int64) error
	// Watch waits until an object whose key starts with prefix changes after
	// revision from. It returns the events and the revision for the next Watch,
	// or no events and no error if ctx ends first. Events may be out of order;
	// the revisions of their objects give the order.
	Watch(ctx context.Context, prefix string, from int64) ([]Event, int64, error)
}
