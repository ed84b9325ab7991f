package target

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// suspectRetention is the time for which a crash counts.
	suspectRetention = 10 * time.Minute
	// refusalCrashes is the number of crashes from which a request is refused.
	refusalCrashes = 2
	// maxSuspects bounds the fingerprints held.
	maxSuspects = 4096
	// resetWindow is the time for which a call whose connection was reset is
	// counted to a crash that is announced later. A target that is restarted at
	// once accepts connections again before the crash is noticed.
	resetWindow = 5 * time.Second
	// provenSlots is the size of the table of fingerprints that ran without a
	// crash (32 KB).
	provenSlots = 4096
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

// flight is a call that is being handed to the target.
type flight struct {
	fingerprint uint64
	wasSuspect  bool
	crashed     bool
	explained   bool
	ended       time.Time // set when its connection was reset
}

// suspect is a fingerprint that was in flight at crashes.
type suspect struct {
	crashes map[string]int32 // by reporting daemon; "" is this one
	last    time.Time
	cleared int32 // crashes before the request ran alone without one
}

func (s *suspect) count() int32 {
	var n int32
	for _, c := range s.crashes {
		n += c
	}
	return n - s.cleared
}

// Suspects knows the requests that were in flight when targets of the service
// crashed. It is safe for concurrent use.
type Suspects struct {
	mu        sync.Mutex
	service   string
	publisher SuspectPublisher
	known     map[uint64]*suspect
	flights   map[*flight]struct{}
	resets    []*flight
	// proven holds fingerprints that ran without a crash, so that a frequent
	// harmless request that is in flight at crashes of two daemons is not
	// refused in the whole service.
	proven [provenSlots]uint64
}

// NewSuspects returns a table that publishes through publisher.
func NewSuspects(publisher SuspectPublisher) *Suspects {
	return &Suspects{publisher: publisher, known: make(map[uint64]*suspect), flights: make(map[*flight]struct{})}
}

// Reset begins with another service or version: neither crashes nor clean runs
// of another program tell anything.
func (s *Suspects) Reset(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = service
	s.known = make(map[uint64]*suspect)
	s.proven = [provenSlots]uint64{}
	s.resets = nil
}

// Crashes returns the number of crashes at which the fingerprint was in flight.
func (s *Suspects) Crashes(fingerprint uint64) int32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes(fingerprint, time.Now())
}

func (s *Suspects) crashes(fingerprint uint64, now time.Time) int32 {
	held, ok := s.known[fingerprint]
	if !ok {
		return 0
	}
	if now.Sub(held.last) >= suspectRetention {
		delete(s.known, fingerprint)
		return 0
	}
	return held.count()
}

// begin records a call in flight.
func (s *Suspects) begin(fingerprint uint64) *flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &flight{fingerprint: fingerprint, wasSuspect: s.crashes(fingerprint, time.Now()) > 0}
	s.flights[f] = struct{}{}
	return f
}

// end records the end of a call that ran without a crash. A suspect that ran
// alone to its end is cleared.
func (s *Suspects) end(f *flight, answered bool) {
	s.mu.Lock()
	cleared := false
	delete(s.flights, f)
	if answered && !f.crashed {
		s.proven[f.fingerprint%provenSlots] = f.fingerprint
		if held, ok := s.known[f.fingerprint]; ok && f.wasSuspect {
			cleared = held.crashes[""] > 0
			held.crashes[""] = 0
			held.cleared += held.count()
		}
	}
	service := s.service
	s.mu.Unlock()
	if cleared {
		s.publisher.PublishSuspect(service, &pb.Suspect{Fingerprint: f.fingerprint})
	}
}

// reset records that the connection of a call was reset while the target goes
// on accepting connections.
func (s *Suspects) reset(f *flight) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, f)
	f.ended = now
	s.resets = append(s.recentResets(now), f)
}

func (s *Suspects) recentResets(now time.Time) []*flight {
	i := 0
	for i < len(s.resets) && now.Sub(s.resets[i].ended) >= resetWindow {
		i++
	}
	return s.resets[i:]
}

// fate returns whether the target crashed during the call, and whether the
// crash is explained by a request that was suspect before.
func (s *Suspects) fate(f *flight) (crashed, explained bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.crashed, f.explained
}

// Crash records a crash of the target: all calls in flight become suspects.
// It returns how many.
func (s *Suspects) Crash() int {
	now := time.Now()
	s.mu.Lock()
	var involved []*flight
	for f := range s.flights {
		if !f.crashed {
			involved = append(involved, f)
		}
	}
	involved = append(involved, s.recentResets(now)...)
	s.resets = nil
	explained := false
	for _, f := range involved {
		explained = explained || f.wasSuspect
	}
	publish := make(map[uint64]int32, len(involved))
	for _, f := range involved {
		f.crashed, f.explained = true, explained
		if _, seen := publish[f.fingerprint]; !seen {
			publish[f.fingerprint] = s.accuse(f.fingerprint, now)
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

// accuse counts a crash against a fingerprint and returns the count to publish.
// A request that ran before without a crash is only run alone at this daemon.
func (s *Suspects) accuse(fingerprint uint64, now time.Time) int32 {
	held := s.hold(fingerprint, now, now)
	held.crashes[""]++
	held.last = now
	if slot := &s.proven[fingerprint%provenSlots]; *slot == fingerprint {
		*slot = 0
		return 0
	}
	return held.crashes[""]
}

// hold returns the entry of a fingerprint; a new one begins with a crash at
// the given time.
func (s *Suspects) hold(fingerprint uint64, now, crash time.Time) *suspect {
	if held, ok := s.known[fingerprint]; ok && now.Sub(held.last) < suspectRetention {
		return held
	}
	if len(s.known) >= maxSuspects {
		s.makeRoom(now)
	}
	held := &suspect{crashes: make(map[string]int32), last: crash}
	s.known[fingerprint] = held
	return held
}

// makeRoom drops the expired fingerprints, or else the oldest one.
func (s *Suspects) makeRoom(now time.Time) {
	var oldest uint64
	var oldestAt time.Time
	for fingerprint, held := range s.known {
		if now.Sub(held.last) >= suspectRetention {
			delete(s.known, fingerprint)
			continue
		}
		if oldestAt.IsZero() || held.last.Before(oldestAt) {
			oldest, oldestAt = fingerprint, held.last
		}
	}
	if len(s.known) >= maxSuspects {
		delete(s.known, oldest)
	}
}

// Apply takes a suspect record of another daemon.
func (s *Suspects) Apply(owner, service string, record *pb.Suspect) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(-time.Duration(record.GetAgeMs()) * time.Millisecond)
	if service != s.service || now.Sub(at) >= suspectRetention || owner == "" {
		return
	}
	if record.GetCrashes() == 0 && s.known[record.GetFingerprint()] == nil {
		return
	}
	held := s.hold(record.GetFingerprint(), now, at)
	before := held.crashes[owner]
	held.crashes[owner] = record.GetCrashes()
	if lowered := before - record.GetCrashes(); lowered > 0 {
		held.cleared = max(0, held.cleared-lowered)
	}
	if record.GetCrashes() > before && at.After(held.last) {
		held.last = at
	}
}
