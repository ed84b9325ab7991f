package target

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// responseRetention is the time for which the response of a key is stored and
	// returned to repeated calls.
	responseRetention = 10 * time.Minute
	// tombstoneRetention is the time for which a tombstone records that a key was
	// run.
	tombstoneRetention = time.Hour
	// maxResponseBytes is the maximum total size of the stored responses of a
	// daemon.
	maxResponseBytes = 4 << 20
	// maxRecords is the maximum number of records of finished keys. Beyond it the
	// oldest are replaced by tombstones early; the only effect is that repeats get no
	// stored response. It is also the maximum number of unfinished keys, beyond which
	// new keys are refused.
	maxRecords = 16 << 10
	// maxDatedTombstones is the maximum number of tombstones of dated keys. Together
	// with the records they cover the 10 minutes during which a dated key may run,
	// at 80 orders per second.
	maxDatedTombstones = 32 << 10
	// maxUndatedTombstones is the maximum number of tombstones of undated keys,
	// which are needed for the whole hour: 36 orders per second. Beyond it new
	// undated keys are refused.
	maxUndatedTombstones = 128 << 10
	// maxWaitingRepeats is the maximum number of repeated calls that wait for the
	// run of one key.
	maxWaitingRepeats = 16
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 128
)

// keyState is the state of a key in the table. A dated key contains its creation
// time, an undated one does not.
type keyState int

const (
	keyNew            keyState = iota // unknown key; Reserve has reserved it for the caller
	keyAbsent                         // unknown key, not reserved
	keyRunning                        // an attempt is queued or running; wait for its end
	keyAnswered                       // run, and the response is stored
	keyRanNoResponse                  // run, or sent to the target with an unknown outcome; no response is stored
	keyMismatch                       // the key was used with a different request
	keyEvicted                        // the key may have been run; its tombstone was evicted
	keyTableFull                      // the table cannot store another key
	keyTooManyWaiting                 // an attempt is in progress and too many repeats are waiting for it
)

// keyRecord is the record of one key.
type keyRecord struct {
	id          string
	requestHash uint64 // hash of method, path and body
	dated       bool
	waiting     int
	dispatched  bool
	finished    bool
	endedAt     time.Time     // end of the run
	done        chan struct{} // closed at the end of the run, or when the reservation is aborted
	response    *Response
}

// tombstone records that a key was run, after its record was dropped.
type tombstone struct {
	hash    uint64
	endedAt int64 // Unix seconds
}

// tombstoneSet is a set of tombstones in order of time.
type tombstoneSet struct {
	hashes map[uint64]struct{}
	order  []tombstone
}

func (m *tombstoneSet) add(hash uint64, endedAt int64) {
	m.hashes[hash] = struct{}{}
	m.order = append(m.order, tombstone{hash: hash, endedAt: endedAt})
}

// evictOldest removes the oldest tombstone and returns its time.
func (m *tombstoneSet) evictOldest() int64 {
	oldest := m.order[0]
	m.order = m.order[1:]
	delete(m.hashes, oldest.hash)
	return oldest.endedAt
}

func (m *tombstoneSet) expire(now int64) {
	for len(m.order) > 0 && now-m.order[0].endedAt >= int64(tombstoneRetention/time.Second) {
		m.evictOldest()
	}
}

// KeyTable stores the keys whose requests were run by this daemon, so that each
// runs at most once. It is safe for concurrent use.
type KeyTable struct {
	mu            sync.Mutex
	records       map[string]*keyRecord
	finished      []*keyRecord // in order of endedAt
	responses     []*keyRecord // records with a stored response, in the same order
	responseBytes int
	dated         tombstoneSet
	undated       tombstoneSet
	// evictedThroughMS is advanced when tombstones of dated keys are evicted
	// because the set is full: a key created at or before this Unix time in
	// milliseconds may have been run.
	evictedThroughMS int64
}

// NewKeyTable returns an empty table.
func NewKeyTable() *KeyTable {
	return &KeyTable{
		records: make(map[string]*keyRecord),
		dated:   tombstoneSet{hashes: make(map[uint64]struct{})},
		undated: tombstoneSet{hashes: make(map[uint64]struct{})},
	}
}

// keyID returns the table's ID of a key. It includes the member, since two members
// may use the same key.
func keyID(service, member, key string) string {
	return service + "\x00" + member + "\x00" + key
}

// Reserve looks up a key and reserves it if it is new. createdMS is 0 for an
// undated key. The caller must end a reservation with Abort or Finish.
func (t *KeyTable) Reserve(id string, requestHash uint64, createdMS int64) (*keyRecord, keyState) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	record, state := t.lookup(id, requestHash, createdMS, now)
	if state != keyAbsent {
		return record, state
	}
	if len(t.records)-len(t.finished) >= maxRecords || createdMS == 0 && t.undatedFull() {
		return nil, keyTableFull
	}
	record = &keyRecord{id: id, requestHash: requestHash, dated: createdMS != 0, done: make(chan struct{})}
	t.records[id] = record
	return record, keyNew
}

// Lookup looks up a key without reserving it. If the state is keyRunning, the caller
// counts as waiting until it calls stopWaiting; this also applies to Reserve.
func (t *KeyTable) Lookup(id string, requestHash uint64, createdMS int64) (*keyRecord, keyState) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lookup(id, requestHash, createdMS, now)
}

func (t *KeyTable) lookup(id string, requestHash uint64, createdMS int64, now time.Time) (*keyRecord, keyState) {
	t.expire(now)
	if record, ok := t.records[id]; ok {
		switch {
		case record.requestHash != requestHash:
			return nil, keyMismatch
		case !record.finished:
			if record.waiting >= maxWaitingRepeats {
				return nil, keyTooManyWaiting
			}
			record.waiting++
			return record, keyRunning
		case record.response != nil:
			return record, keyAnswered
		}
		return nil, keyRanNoResponse
	}
	hash := xxhash.Sum64String(id)
	if _, ok := t.dated.hashes[hash]; ok {
		return nil, keyRanNoResponse
	}
	if _, ok := t.undated.hashes[hash]; ok {
		return nil, keyRanNoResponse
	}
	if createdMS != 0 && createdMS <= t.evictedThroughMS {
		return nil, keyEvicted
	}
	return nil, keyAbsent
}

// undatedFull reports whether the tombstones of undated keys, including those of
// the current records, reach their limit. Tombstones of undated keys cannot be
// evicted early, because the age of an undated key is not known.
func (t *KeyTable) undatedFull() bool {
	return len(t.undated.order)+len(t.records) >= maxUndatedTombstones
}

// Abort removes the reservation of a key that was not run.
func (t *KeyTable) Abort(record *keyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, record.id)
	record.dispatched = false // it is set for a forwarded call that was then refused as not run
	close(record.done)
}

// Dispatched records that the key's request is about to be sent to a target.
func (t *KeyTable) Dispatched(record *keyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record.dispatched = true
}

// Finish records the end of a run with its response, or nil if the outcome is
// unknown.
func (t *KeyTable) Finish(record *keyRecord, response *Response) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	record.finished, record.endedAt = true, now
	t.finished = append(t.finished, record)
	close(record.done)
	if response != nil && response.size() <= maxResponseBytes {
		record.response = response
		t.responses = append(t.responses, record)
		t.responseBytes += response.size()
		for t.responseBytes > maxResponseBytes {
			t.evictResponse()
		}
	}
	t.expire(now)
}

// outcome returns the stored response of a run that has ended, or nil if none is
// stored, and whether the request was sent to a target.
func (t *KeyTable) outcome(record *keyRecord) (*Response, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return record.response, record.dispatched
}

// stopWaiting ends the wait of a repeated call for the run of its key.
func (t *KeyTable) stopWaiting(record *keyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record.waiting--
}

func (t *KeyTable) evictResponse() {
	oldest := t.responses[0]
	t.responses = t.responses[1:]
	t.responseBytes -= oldest.response.size()
	oldest.response = nil
}

// expire replaces old records by tombstones and removes old tombstones.
func (t *KeyTable) expire(now time.Time) {
	for len(t.finished) > 0 {
		oldest := t.finished[0]
		if now.Sub(oldest.endedAt) < responseRetention && len(t.finished) <= maxRecords {
			break
		}
		t.finished = t.finished[1:]
		delete(t.records, oldest.id)
		if oldest.response != nil {
			t.evictResponse() // the first of responses, which has the order of finished
		}
		set := &t.undated
		if oldest.dated {
			set = &t.dated
		}
		set.add(xxhash.Sum64String(oldest.id), oldest.endedAt.Unix())
	}
	t.dated.expire(now.Unix())
	t.undated.expire(now.Unix())
	for len(t.dated.order) > maxDatedTombstones {
		// A key's creation time is at most the allowed clock skew (1 s) after the
		// end of its run. One more second covers the rounding of the tombstone.
		t.evictedThroughMS = max(t.evictedThroughMS, (t.dated.evictOldest()+2)*1000)
	}
}

// AddFinished adds a finished run of a key unless the table has the key or is full.
// Measurements use it to fill a table.
func (t *KeyTable) AddFinished(id string, requestHash uint64, createdMS int64, response *Response) {
	if record, state := t.Reserve(id, requestHash, createdMS); state == keyNew {
		t.Finish(record, response)
	}
}

// KeyTableSize is the number of entries of a table and the total size of the
// stored responses.
type KeyTableSize struct{ Records, Tombstones, ResponseBytes int }

// Size returns the current size of the table.
func (t *KeyTable) Size() KeyTableSize {
	t.mu.Lock()
	defer t.mu.Unlock()
	return KeyTableSize{
		Records:       len(t.records),
		Tombstones:    len(t.dated.order) + len(t.undated.order),
		ResponseBytes: t.responseBytes,
	}
}
