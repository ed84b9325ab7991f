package proxy

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

const (
	// crashesToRefuse is the number of crashes with a request in flight after
	// which the request is refused. A single crash can be a coincidence.
	crashesToRefuse = 2
	// suspectRetention is the time after its last crash for which a request is
	// refused.
	suspectRetention = 10 * time.Minute
	// crashProbeDelay gives a crashed target time to close its listener before
	// it is probed.
	crashProbeDelay = 20 * time.Millisecond
	// crashProbeTimeout bounds the probe. It can be short, since the target is
	// on the same machine.
	crashProbeTimeout = 200 * time.Millisecond
	// crashBodyTimeout bounds the wait for the start of a body that was being sent to a
	// target when it crashed.
	crashBodyTimeout = 300 * time.Millisecond
	// baseBits is the position of the part of a fingerprint that does not depend on the body.
	baseBits = 32
)

// Suspects tracks requests that were in flight when targets crashed, and
// identifies those that must be refused after several crashes.
type Suspects struct {
	Clock  clock.Clock
	Logger *zap.Logger
	// Publish sends the number of crashes recorded by this daemon to the other
	// daemons.
	Publish func(fingerprint uint64, crashes int)

	mu      sync.Mutex
	records map[uint64]*suspect
	bases   map[uint32]bool // first parts of the fingerprints in records
	probing bool
}

// suspect counts the crashes of a request.
type suspect struct {
	local     int            // crashes recorded by this daemon
	remote    map[string]int // crashes by remote daemon
	forgiven  int            // crashes before the last suspectRetention without any
	updatedAt clock.Instant
}

func (s *suspect) total() int {
	total := s.local
	for _, n := range s.remote {
		total += n
	}
	return total
}

// crashes returns the number of crashes that count against the request.
func (s *suspect) crashes() int { return s.total() - s.forgiven }

// forgive starts a new count if the last crash is suspectRetention ago. It is called
// before a crash is recorded.
func (s *suspect) forgive(now clock.Instant) {
	if now.Sub(s.updatedAt) >= suspectRetention {
		s.forgiven = s.total()
	}
}

// fingerprintBase returns a hash of the method, host, URI and calling service of a
// request, which are known before its body.
func fingerprintBase(call *Call) uint32 {
	h := xxhash.New()
	for _, part := range []string{call.Method, call.Host, call.URI, call.CallerService} {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part) // a hash does not fail
	}
	return uint32(h.Sum64())
}

// Fingerprint returns the hash by which the repetitions of a request are recognized: its
// fingerprintBase and a hash of the first replayLimit bytes of its body. It reports false
// if they are not known yet. How the body is framed does not matter.
func Fingerprint(call *Call) (uint64, bool) {
	body, known := call.Body.prefixHash()
	return uint64(fingerprintBase(call))<<baseBits | uint64(uint32(body)), known
}

// AwaitBody reads the start of a request's body if suspects differ from the request by
// their body at most. IsBlocked needs it.
func (s *Suspects) AwaitBody(ctx context.Context, call *Call) {
	if s.watches(call) {
		call.Body.readPrefix(ctx)
	}
}

// watches reports whether a suspect has the fingerprintBase of a request.
func (s *Suspects) watches(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.bases) > 0 && s.bases[fingerprintBase(call)]
}

// IsBlocked reports whether a request must be refused because several targets
// crashed while it was in flight. A request that may be one of the suspects, and whose
// body could not be read, is blocked too.
func (s *Suspects) IsBlocked(call *Call) bool {
	if !s.watches(call) {
		return false
	}
	fingerprint, known := Fingerprint(call)
	if !known {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[fingerprint]
	return record != nil && record.crashes() >= crashesToRefuse && s.Clock.Now().Sub(record.updatedAt) < suspectRetention
}

// ConfirmCrash probes the target at an address after it closed a connection. If
// the target does not accept connections, the calls that were in flight are
// recorded as suspects.
func (s *Suspects) ConfirmCrash(address string, calls []*Call) {
	s.mu.Lock()
	probing := s.probing
	s.probing = true
	s.mu.Unlock()
	if probing {
		return // one probe covers all connections lost in a crash
	}
	time.AfterFunc(crashProbeDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
		defer cancel()
		c, err := dial(ctx, address)
		if err == nil {
			_ = c.Close()
		}
		s.mu.Lock()
		s.probing = false
		s.mu.Unlock()
		if err != nil {
			s.recordCrash(calls)
		}
	})
}

// recordCrash records the calls that were in flight at a crash. Those whose bodies are
// still being read follow after crashBodyTimeout.
func (s *Suspects) recordCrash(calls []*Call) {
	seen := make(map[uint64]bool)
	if pending := s.recordKnown(calls, seen); len(pending) > 0 {
		time.AfterFunc(crashBodyTimeout, func() { s.recordKnown(pending, seen) })
	}
}

// recordKnown records the calls whose fingerprints are known and not yet seen at this
// crash, and returns those whose fingerprints are not known.
func (s *Suspects) recordKnown(calls []*Call, seen map[uint64]bool) (pending []*Call) {
	changed := make(map[uint64]int)
	s.mu.Lock()
	for _, call := range calls {
		fingerprint, known := Fingerprint(call)
		if !known {
			pending = append(pending, call)
			continue
		}
		if seen[fingerprint] {
			continue
		}
		seen[fingerprint] = true
		record := s.getOrCreate(fingerprint)
		record.forgive(s.Clock.Now())
		record.local++
		record.updatedAt = s.Clock.Now()
		changed[fingerprint] = record.local
		eventSuspect.Log(s.Logger, zap.String("request", call.ID), zap.Uint64("fingerprint", fingerprint),
			zap.Int("crashes", record.crashes()))
	}
	s.mu.Unlock()
	for fingerprint, crashes := range changed {
		s.Publish(fingerprint, crashes)
	}
	return pending
}

// RecordRemote records the number of crashes that another daemon has seen.
func (s *Suspects) RecordRemote(daemon string, fingerprint uint64, crashes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.getOrCreate(fingerprint)
	if record.remote[daemon] < crashes {
		record.forgive(s.Clock.Now())
		record.remote[daemon] = crashes
		record.updatedAt = s.Clock.Now()
	}
}

func (s *Suspects) getOrCreate(fingerprint uint64) *suspect {
	if s.records == nil {
		s.records, s.bases = make(map[uint64]*suspect), make(map[uint32]bool)
	}
	s.bases[uint32(fingerprint>>baseBits)] = true
	record := s.records[fingerprint]
	if record == nil {
		record = &suspect{remote: make(map[string]int), updatedAt: s.Clock.Now()}
		s.records[fingerprint] = record
	}
	return record
}
