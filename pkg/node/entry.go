package node

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// maxDepartures bounds the departures in the entry of a daemon. The earliest are
	// dropped; a target replaces another one on its machine rarely.
	maxDepartures = 16
	// firstSaveTimeout bounds the first call that stores a departure; each further one
	// may take twice as long, up to storeCallTimeout. An open connection that no longer
	// delivers then costs little of acknowledgeTimeout.
	firstSaveTimeout = 300 * time.Millisecond
	// acknowledgeTimeout is the time within which a departure is acknowledged, or the
	// target is told to ask again. Targets wait for a second.
	acknowledgeTimeout = 800 * time.Millisecond
	// maxDepartureDelay and maxEntryDelay bound the random delay after which a daemon
	// stores its entry again in a new era, with and without departures. All daemons do so,
	// and the store bounds their calls.
	maxDepartureDelay = time.Second
	maxEntryDelay     = 10 * time.Second
	// saveAttempts bounds the calls that store an entry which others change meanwhile.
	saveAttempts = 4
)

// daemonEntry is the entry of a daemon in the store.
type daemonEntry struct {
	Address  string  `json:"address"` // of the Fleet service
	LinkMbps float64 `json:"linkMbps,omitempty"`
	Cores    float64 `json:"cores,omitempty"`
	// Left has the start times, in Unix milliseconds, of local targets whose departure
	// was announced, by ID. A later process must not send requests to them.
	Left map[string]int64 `json:"left,omitempty"`
}

// storedEntry maintains the entry of this daemon in the store. It stores the departures
// of local targets, since no other memory outlives the loss of all daemons.
type storedEntry struct {
	store  store.Store
	key    string
	logger *zap.Logger
	// onDeparture is called with each departure that another process of this daemon has
	// stored.
	onDeparture func(id string, startMS int64)
	wake        chan struct{} // a departure has to be stored

	saving   sync.Mutex // held during calls to the store
	revision int64      // of the stored entry, 0 if there is none

	mu     sync.Mutex
	entry  daemonEntry
	stored *daemonEntry  // nil if it is not known
	saved  chan struct{} // closed at the next change of stored
}

// newStoredEntry returns an entry that is not yet stored.
func newStoredEntry(entry daemonEntry, s store.Store, key string, logger *zap.Logger, onDeparture func(string, int64)) *storedEntry {
	return &storedEntry{
		store: s, key: key, logger: logger, onDeparture: onDeparture, entry: entry,
		wake: make(chan struct{}, 1), saved: make(chan struct{}),
	}
}

// recordDeparture adds the departure of a target and starts to store it.
func (e *storedEntry) recordDeparture(id string, startMS int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if recorded, ok := e.entry.Left[id]; ok && recorded >= startMS {
		return
	}
	e.add(id, startMS)
	e.requestSave()
}

// requestSave starts to store the entry.
func (e *storedEntry) requestSave() {
	select {
	case e.wake <- struct{}{}:
	default: // the pending save includes the latest change
	}
}

// storeAgain marks the stored entry as unknown, since the store has returned from a copy
// that may lack it, and stores it again after a random delay.
func (e *storedEntry) storeAgain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stored = nil
	maxDelay := maxEntryDelay
	if len(e.entry.Left) > 0 {
		maxDelay = maxDepartureDelay
	}
	time.AfterFunc(rand.N(maxDelay), e.requestSave)
}

// add adds a departure to the entry. The caller holds mu.
func (e *storedEntry) add(id string, startMS int64) {
	left := maps.Clone(e.entry.Left)
	if left == nil {
		left = make(map[string]int64)
	}
	left[id] = startMS
	if len(left) > maxDepartures {
		earliest := slices.MinFunc(slices.Collect(maps.Keys(left)), func(a, b string) int { return cmp.Compare(left[a], left[b]) })
		delete(left, earliest)
	}
	e.entry.Left = left
}

// awaitDeparture waits until the departure of a target is stored, and reports whether it
// was within acknowledgeTimeout.
func (e *storedEntry) awaitDeparture(id string) bool {
	timeout := time.After(acknowledgeTimeout)
	for {
		e.mu.Lock()
		startMS, ok := e.entry.Left[id]
		stored := !ok || e.stored != nil && e.stored.covers(id, startMS)
		saved := e.saved
		e.mu.Unlock()
		if stored {
			return true
		}
		select {
		case <-saved:
		case <-timeout:
			return false
		}
	}
}

// covers reports whether the entry has the departure of a start of a target.
func (d *daemonEntry) covers(id string, startMS int64) bool {
	recorded, ok := d.Left[id]
	return ok && recorded >= startMS
}

func (d *daemonEntry) equal(other *daemonEntry) bool {
	return d.Address == other.Address && d.LinkMbps == other.LinkMbps && d.Cores == other.Cores && maps.Equal(d.Left, other.Left)
}

// run stores departures until ctx ends.
func (e *storedEntry) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		wait := newBackoff()
		for timeout := firstSaveTimeout; ; timeout = min(2*timeout, storeCallTimeout) {
			err := e.save(ctx, timeout)
			if err == nil {
				break
			}
			eventDepartureNotSaved.Log(e.logger, zap.Error(err))
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait.NextBackOff()):
			}
		}
	}
}

// save stores the entry unless the stored one is equal. Each call may take timeout.
func (e *storedEntry) save(ctx context.Context, timeout time.Duration) error {
	e.saving.Lock()
	defer e.saving.Unlock()
	var err error
	for range saveAttempts {
		e.mu.Lock()
		entry, stored := e.entry, e.stored
		e.mu.Unlock()
		if stored != nil && stored.equal(&entry) {
			return nil
		}
		err = e.write(ctx, &entry, timeout)
		switch {
		case err == nil:
			e.setStored(&entry)
			eventEntrySaved.Log(e.logger, zap.Int64("revision", e.revision), zap.Int("left", len(entry.Left)))
			return nil
		case store.IsNotFound(err):
			e.revision = 0
		case store.IsConflict(err), store.IsOutcomeUnknown(err):
			// An earlier process or an earlier call without a response wrote it, or
			// this call did.
			if err := e.read(ctx, timeout); err != nil {
				return err
			}
		default:
			return err
		}
	}
	return err
}

func (e *storedEntry) write(ctx context.Context, entry *daemonEntry, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	var object store.Object
	if e.revision == 0 {
		object, err = e.store.Create(ctx, e.key, value)
	} else {
		object, err = e.store.Update(ctx, e.key, value, e.revision)
	}
	if err == nil {
		e.revision = object.Revision
	}
	return err
}

// read reads the stored entry and adopts it.
func (e *storedEntry) read(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	object, err := e.store.Get(ctx, e.key)
	if store.IsNotFound(err) {
		e.revision = 0
		return nil
	}
	if err == nil {
		e.take(&object)
	}
	return err
}

// adopt takes the revision and the departures from the entry in the store.
func (e *storedEntry) adopt(object *store.Object) {
	e.saving.Lock()
	defer e.saving.Unlock()
	e.take(object)
}

// take is adopt for a caller that holds saving.
func (e *storedEntry) take(object *store.Object) {
	e.revision = object.Revision
	stored := &daemonEntry{}
	if err := json.Unmarshal(object.Value, stored); err != nil {
		eventEntryRejected.Log(e.logger, zap.String("key", object.Key), zap.Error(err))
		stored = &daemonEntry{} // the next save replaces it
	}
	e.mu.Lock()
	for id, startMS := range stored.Left {
		if !e.entry.covers(id, startMS) {
			e.add(id, startMS)
		}
	}
	e.mu.Unlock()
	e.setStored(stored)
	for id, startMS := range stored.Left {
		e.onDeparture(id, startMS)
	}
}

func (e *storedEntry) setStored(entry *daemonEntry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stored = entry
	close(e.saved)
	e.saved = make(chan struct{})
}
