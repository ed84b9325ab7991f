package target

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// suspectRetention is the time for which a crash is counted.
	suspectRetention = 10 * time.Minute
	// crashRefusalThreshold is the number of crashes at which a request is refused.
	crashRefusalThreshold = 2
	// maxSuspects is the maximum number of suspect fingerprints.
	maxSuspects = 4096
	// resetWindow is the time for which a call whose connection was reset is
	// attributed to a crash that is detected later. A target that is restarted
	// immediately accepts connections again before the crash is detected.
	resetWindow = 5 * time.Second
	// cleanTableSize is the number of entries in the table of fingerprints that ran
	// without a crash (32 KB).
	cleanTableSize = 4096
)

// Fingerprint identifies a request by method, path and body.
func Fingerprint(method, path string, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(method)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(path)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// SuspectPublisher sends suspect records to the target sides of the service.
type SuspectPublisher interface {
	PublishSuspect(service string, suspect *pb.Suspect)
}

// trackedCall is a call that was sent to the target.
type trackedCall struct {
	fingerprint uint64
	wasSuspect  bool
	crashed     bool
	explained   bool
	resetAt     time.Time // when its connection was reset; zero if it was not
}

// suspect counts the crashes at which a fingerprint was in flight.
type suspect struct {
	crashes   map[string]int32 // by reporting daemon; "" is the local daemon
	lastCrash time.Time
	cleared   int32 // crashes that no longer count, because a later exclusive run caused none
}

func (s *suspect) count() int32 {
	var n int32
	for _, c := range s.crashes {
		n += c
	}
	return n - s.cleared
}

// Suspects tracks the requests that were in flight when targets of the service
// crashed. It is safe for concurrent use.
type Suspects struct {
	mu        sync.Mutex
	service   string
	publisher SuspectPublisher
	entries   map[uint64]*suspect
	inFlight  map[*trackedCall]struct{}
	resets    []*trackedCall
	// clean holds fingerprints that ran without a crash, each at the index
	// fingerprint % cleanTableSize. The first crash after a clean run is not
	// published, so that a frequent harmless request that is in flight at crashes of
	// two targets is not refused in the whole service.
	clean [cleanTableSize]uint64
}

// NewSuspects returns an empty table that publishes suspect records with publisher.
func NewSuspects(publisher SuspectPublisher) *Suspects {
	return &Suspects{publisher: publisher, entries: make(map[uint64]*suspect), inFlight: make(map[*trackedCall]struct{})}
}

// Reset clears the table for a new service or version, because crashes and clean
// runs of another program do not apply to it.
func (s *Suspects) Reset(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = service
	s.entries = make(map[uint64]*suspect)
	s.clean = [cleanTableSize]uint64{}
	s.resets = nil
}

// Crashes returns the number of crashes at which the fingerprint was in flight and
// that still count.
func (s *Suspects) Crashes(fingerprint uint64) int32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes(fingerprint, time.Now())
}

func (s *Suspects) crashes(fingerprint uint64, now time.Time) int32 {
	entry, ok := s.entries[fingerprint]
	if !ok {
		return 0
	}
	if now.Sub(entry.lastCrash) >= suspectRetention {
		delete(s.entries, fingerprint)
		return 0
	}
	return entry.count()
}

// begin adds a call to the calls in flight.
func (s *Suspects) begin(fingerprint uint64) *trackedCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	tracked := &trackedCall{fingerprint: fingerprint, wasSuspect: s.crashes(fingerprint, time.Now()) > 0}
	s.inFlight[tracked] = struct{}{}
	return tracked
}

// end removes a call from the calls in flight. If it was answered and the target
// did not crash, its fingerprint is recorded as clean, and a call that was suspect
// when it started, and therefore ran exclusively, is cleared.
func (s *Suspects) end(tracked *trackedCall, answered bool) {
	s.mu.Lock()
	cleared := false
	delete(s.inFlight, tracked)
	if answered && !tracked.crashed {
		s.clean[tracked.fingerprint%cleanTableSize] = tracked.fingerprint
		if entry, ok := s.entries[tracked.fingerprint]; ok && tracked.wasSuspect {
			cleared = entry.crashes[""] > 0
			entry.crashes[""] = 0
			entry.cleared += entry.count()
		}
	}
	service := s.service
	s.mu.Unlock()
	if cleared {
		s.publisher.PublishSuspect(service, &pb.Suspect{Fingerprint: tracked.fingerprint})
	}
}

// addReset records that the connection of a call was reset while the target still
// accepts connections.
func (s *Suspects) addReset(tracked *trackedCall) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, tracked)
	tracked.resetAt = now
	s.resets = append(s.recentResets(now), tracked)
}

func (s *Suspects) recentResets(now time.Time) []*trackedCall {
	i := 0
	for i < len(s.resets) && now.Sub(s.resets[i].resetAt) >= resetWindow {
		i++
	}
	return s.resets[i:]
}

// crashResult reports whether the target crashed during the call, and whether the
// crash is explained by a request in flight that was already suspect.
func (s *Suspects) crashResult(tracked *trackedCall) (crashed, explained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return tracked.crashed, tracked.explained
}

// RecordCrash records a crash of the target and marks all requests in flight as
// suspects. It returns the number of distinct requests.
func (s *Suspects) RecordCrash() int {
	now := time.Now()
	s.mu.Lock()
	var involved []*trackedCall
	for tracked := range s.inFlight {
		if !tracked.crashed {
			involved = append(involved, tracked)
		}
	}
	involved = append(involved, s.recentResets(now)...)
	s.resets = nil
	explained := false
	for _, tracked := range involved {
		explained = explained || tracked.wasSuspect
	}
	publish := make(map[uint64]int32, len(involved))
	for _, tracked := range involved {
		tracked.crashed, tracked.explained = true, explained
		if _, seen := publish[tracked.fingerprint]; !seen {
			publish[tracked.fingerprint] = s.addCrash(tracked.fingerprint, now)
		}
	}
	service := s.service
	s.mu.Unlock()
	for fingerprint, crashes := range publish {
		if crashes > 0 {
			s.publisher.PublishSuspect(service, &pb.Suspect{Fingerprint: fingerprint, Crashes: crashes})
		}
	}
	return len(publish)
}

// addCrash adds a crash to a fingerprint and returns the count to publish. The
// count is 0 if the request last ran without a crash: it is then suspect only at
// this daemon.
func (s *Suspects) addCrash(fingerprint uint64, now time.Time) int32 {
	entry := s.getOrAdd(fingerprint, now, now)
	entry.crashes[""]++
	entry.lastCrash = now
	if slot := &s.clean[fingerprint%cleanTableSize]; *slot == fingerprint {
		*slot = 0
		return 0
	}
	return entry.crashes[""]
}

// getOrAdd returns the entry of a fingerprint. A new entry gets the given time of
// its last crash.
func (s *Suspects) getOrAdd(fingerprint uint64, now, crash time.Time) *suspect {
	if entry, ok := s.entries[fingerprint]; ok && now.Sub(entry.lastCrash) < suspectRetention {
		return entry
	}
	if len(s.entries) >= maxSuspects {
		s.evict(now)
	}
	entry := &suspect{crashes: make(map[string]int32), lastCrash: crash}
	s.entries[fingerprint] = entry
	return entry
}

// evict removes the expired fingerprints, or the oldest one if none is expired.
func (s *Suspects) evict(now time.Time) {
	var oldest uint64
	var oldestAt time.Time
	for fingerprint, entry := range s.entries {
		if now.Sub(entry.lastCrash) >= suspectRetention {
			delete(s.entries, fingerprint)
			continue
		}
		if oldestAt.IsZero() || entry.lastCrash.Before(oldestAt) {
			oldest, oldestAt = fingerprint, entry.lastCrash
		}
	}
	if len(s.entries) >= maxSuspects {
		delete(s.entries, oldest)
	}
}

// Apply merges a suspect record of another daemon.
func (s *Suspects) Apply(owner, service string, record *pb.Suspect) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	crashedAt := now.Add(-time.Duration(record.GetAgeMs()) * time.Millisecond)
	if service != s.service || now.Sub(crashedAt) >= suspectRetention || owner == "" {
		return
	}
	if record.GetCrashes() == 0 && s.entries[record.GetFingerprint()] == nil {
		return
	}
	entry := s.getOrAdd(record.GetFingerprint(), now, crashedAt)
	previous := entry.crashes[owner]
	entry.crashes[owner] = record.GetCrashes()
	// Crashes that their owner has cleared are no longer in the sum, so they must not
	// be subtracted from it as well.
	if lowered := previous - record.GetCrashes(); lowered > 0 {
		entry.cleared = max(0, entry.cleared-lowered)
	}
	if record.GetCrashes() > previous && crashedAt.After(entry.lastCrash) {
		entry.lastCrash = crashedAt
	}
}
