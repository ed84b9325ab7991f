package target

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// answerRetention is the time for which a repeat gets the stored answer.
	answerRetention = 10 * time.Minute
	// markRetention is the time for which a key is known to have been run.
	markRetention = time.Hour
	// maxAnswerBytes bounds the stored answers of a daemon.
	maxAnswerBytes = 4 << 20
	// maxRecords bounds the full records. The oldest become marks early, which
	// costs repeats their stored answer and nothing else.
	maxRecords = 16 << 10
	// maxDatedMarks bounds the marks of dated keys. With the records they cover
	// the 10 minutes in which a dated key may run at 80 orders a second.
	maxDatedMarks = 32 << 10
	// maxUndatedMarks bounds the marks of undated keys, which are needed for the
	// whole hour: 36 orders a second. Beyond it new undated keys are refused.
	maxUndatedMarks = 128 << 10
	// maxWaitingRepeats bounds the repeats that wait for one run.
	maxWaitingRepeats = 16
	// MaxKeyBytes bounds the length of a key.
	MaxKeyBytes = 128
)

// keyState is what the table knows of a key.
type keyState int

const (
	keyNew       keyState = iota // not seen; Begin reserved it for the caller
	keyAbsent                    // not seen; Find reserves nothing
	keyRunning                   // an attempt is queued or runs; wait for its end
	keyAnswered                  // run, with the stored answer
	keyRun                       // run, or handed over with an unknown outcome; no answer is kept
	keyOther                     // the key came with another request before
	keyForgotten                 // the key may have been run; its mark was dropped
	keyFull                      // the table cannot remember another key
	keyCrowded                   // an attempt is in progress and too many repeats wait for it
)

// keyRecord is the record of one key.
type keyRecord struct {
	id         string
	request    uint64 // hash of method, path and body
	dated      bool
	waiting    int
	dispatched bool
	finished   bool
	at         time.Time     // end of the run
	end        chan struct{} // closed at the end of the run, or when it did not start
	answer     *Answer
}

// mark remembers that a key was run.
type mark struct {
	hash uint64
	at   int64 // Unix seconds
}

// marks is a bounded set of marks in order of time.
type marks struct {
	known map[uint64]struct{}
	order []mark
}

func (m *marks) add(hash uint64, at int64) {
	m.known[hash] = struct{}{}
	m.order = append(m.order, mark{hash: hash, at: at})
}

// drop removes the oldest mark and returns its time.
func (m *marks) drop() int64 {
	oldest := m.order[0]
	m.order = m.order[1:]
	delete(m.known, oldest.hash)
	return oldest.at
}

func (m *marks) expire(now int64) {
	for len(m.order) > 0 && now-m.order[0].at >= int64(markRetention/time.Second) {
		m.drop()
	}
}

// KeyTable remembers the keys that ran at this daemon, so that each runs at
// most once. It is safe for concurrent use.
type KeyTable struct {
	mu          sync.Mutex
	records     map[string]*keyRecord
	finished    []*keyRecord // in order of the end of the run
	answers     []*keyRecord // those with a stored answer, in the same order
	answerBytes int
	dated       marks
	undated     marks
	// floorMS is set when marks of dated keys were dropped for want of room:
	// a key created at or before it may have been run.
	floorMS int64
}

// NewKeyTable returns an empty table.
func NewKeyTable() *KeyTable {
	return &KeyTable{
		records: make(map[string]*keyRecord),
		dated:   marks{known: make(map[uint64]struct{})},
		undated: marks{known: make(map[uint64]struct{})},
	}
}

// keyID names a key within its member, since two members may use one key.
func keyID(service, member, key string) string {
	return service + "\x00" + member + "\x00" + key
}

// Begin looks up a key and reserves it when it is new. createdMS is 0 for an
// undated key. A reservation ends with Abort or Finish.
func (t *KeyTable) Begin(id string, request uint64, createdMS int64) (*keyRecord, keyState) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	record, state := t.find(id, request, createdMS, now)
	if state != keyAbsent {
		return record, state
	}
	if len(t.records)-len(t.finished) >= maxRecords || createdMS == 0 && t.undatedFull() {
		return nil, keyFull
	}
	record = &keyRecord{id: id, request: request, dated: createdMS != 0, end: make(chan struct{})}
	t.records[id] = record
	return record, keyNew
}

// Find looks up a key and reserves nothing.
func (t *KeyTable) Find(id string, request uint64, createdMS int64) (*keyRecord, keyState) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(id, request, createdMS, now)
}

func (t *KeyTable) find(id string, request uint64, createdMS int64, now time.Time) (*keyRecord, keyState) {
	t.expire(now)
	if record, ok := t.records[id]; ok {
		switch {
		case record.request != request:
			return nil, keyOther
		case !record.finished:
			if record.waiting >= maxWaitingRepeats {
				return nil, keyCrowded
			}
			record.waiting++
			return record, keyRunning
		case record.answer != nil:
			return record, keyAnswered
		}
		return nil, keyRun
	}
	hash := xxhash.Sum64String(id)
	if _, ok := t.dated.known[hash]; ok {
		return nil, keyRun
	}
	if _, ok := t.undated.known[hash]; ok {
		return nil, keyRun
	}
	if createdMS != 0 && createdMS <= t.floorMS {
		return nil, keyForgotten
	}
	return nil, keyAbsent
}

// undatedFull reports whether the marks of undated keys, with those that the
// records may become, would exceed their bound. They cannot be dropped early,
// because nothing else tells whether an undated key is old.
func (t *KeyTable) undatedFull() bool { return len(t.undated.order)+len(t.records) >= maxUndatedMarks }

// Abort removes the reservation of a key that was not run.
func (t *KeyTable) Abort(record *keyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, record.id)
	record.dispatched = false // a call that was sent on and proved not run
	close(record.end)
}

// Dispatched records that the key's request is about to be handed over.
func (t *KeyTable) Dispatched(record *keyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record.dispatched = true
}

// Finish records the end of a run: its answer, or nil for an unknown outcome.
func (t *KeyTable) Finish(record *keyRecord, answer *Answer) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	record.finished, record.at = true, now
	t.finished = append(t.finished, record)
	close(record.end)
	if answer != nil && answer.size() <= maxAnswerBytes {
		record.answer = answer
		t.answers = append(t.answers, record)
		t.answerBytes += answer.size()
		for t.answerBytes > maxAnswerBytes {
			t.dropAnswer()
		}
	}
	t.expire(now)
}

// outcome returns the stored answer of a run that ended, nil if none is kept,
// and whether the request was handed over.
func (t *KeyTable) outcome(record *keyRecord) (*Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return record.answer, record.dispatched
}

// leave ends the wait of a repeat.
func (t *KeyTable) leave(record *keyRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record.waiting--
}

func (t *KeyTable) dropAnswer() {
	oldest := t.answers[0]
	t.answers = t.answers[1:]
	t.answerBytes -= oldest.answer.size()
	oldest.answer = nil
}

// expire turns old records into marks and drops old marks.
func (t *KeyTable) expire(now time.Time) {
	for len(t.finished) > 0 {
		oldest := t.finished[0]
		if now.Sub(oldest.at) < answerRetention && len(t.finished) <= maxRecords {
			break
		}
		t.finished = t.finished[1:]
		delete(t.records, oldest.id)
		if oldest.answer != nil {
			t.dropAnswer() // answers are in the order of finished
		}
		set := &t.undated
		if oldest.dated {
			set = &t.dated
		}
		set.add(xxhash.Sum64String(oldest.id), oldest.at.Unix())
	}
	t.dated.expire(now.Unix())
	t.undated.expire(now.Unix())
	for len(t.dated.order) > maxDatedMarks {
		// A key was created at most the clock allowance after its run ended;
		// one more second covers the rounding of the mark.
		t.floorMS = max(t.floorMS, (t.dated.drop()+2)*1000)
	}
}

// Fill records a finished run of a key, unless the table knows the key or is
// full; measurements fill a table with it.
func (t *KeyTable) Fill(id string, request uint64, createdMS int64, answer *Answer) {
	if record, state := t.Begin(id, request, createdMS); state == keyNew {
		t.Finish(record, answer)
	}
}

// KeyTableSize is the content of a table.
type KeyTableSize struct{ Records, Marks, AnswerBytes int }

// Size returns the content of the table.
func (t *KeyTable) Size() KeyTableSize {
	t.mu.Lock()
	defer t.mu.Unlock()
	return KeyTableSize{
		Records:     len(t.records),
		Marks:       len(t.dated.order) + len(t.undated.order),
		AnswerBytes: t.answerBytes,
	}
}
