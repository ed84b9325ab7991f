package proxy

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

const (
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

// Suspects tracks requests that were in flight when targets crashed, and identifies those
// that crash the targets that run them. What one daemon sees is sent to the others.
type Suspects struct {
	Clock  clock.Clock
	Logger *zap.Logger
	// Publish sends what this daemon has seen of a request to the other daemons.
	Publish func(fingerprint uint64, evidence Evidence)

	mu      sync.Mutex
	records map[uint64]*suspicion
	bases   map[uint32][]uint64 // fingerprints that are or were suspects, by their first parts
	probing bool
}

// EvidenceReport is the evidence of one daemon about one request.
type EvidenceReport struct {
	Daemon      string // empty for the local daemon
	Fingerprint uint64
	Evidence    Evidence
}

// RunningCall is a call that was sent to the target.
type RunningCall struct {
	Call    *Call
	Suspect bool // it was a suspect when it was sent
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
// their body at most. Check needs it.
func (s *Suspects) AwaitBody(ctx context.Context, call *Call) {
	if s.watches(call) {
		call.Body.readPrefix(ctx)
	}
}

// watches reports whether a suspect has the fingerprintBase of a request.
func (s *Suspects) watches(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.bases) == 0 {
		return false
	}
	now := s.Clock.Now()
	return slices.ContainsFunc(s.bases[fingerprintBase(call)], func(fingerprint uint64) bool {
		return s.records[fingerprint].verdict(now) != Run
	})
}

// Check returns how a request may run. A request that may be one of the suspects, and
// whose body could not be read, is refused.
func (s *Suspects) Check(call *Call) Verdict {
	if !s.watches(call) {
		return Run
	}
	fingerprint, known := Fingerprint(call)
	if !known {
		return Refuse
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.records[fingerprint]; record != nil {
		return record.verdict(s.Clock.Now())
	}
	return Run
}

// RecordRun records that a call has run without a crash.
func (s *Suspects) RecordRun(call *Call) {
	if s.Check(call) == Run {
		return
	}
	fingerprint, known := Fingerprint(call)
	if !known {
		return
	}
	s.mu.Lock()
	evidence := s.getOrCreate(fingerprint).evidence[localDaemon]
	evidence.Clean++
	s.merge(EvidenceReport{localDaemon, fingerprint, evidence})
	s.mu.Unlock()
	eventSuspectCleared.Log(s.Logger, zap.String("request", call.ID), zap.Uint64("fingerprint", fingerprint))
	s.Publish(fingerprint, evidence)
}

// ConfirmCrash probes the target at an address after it closed a connection. If
// the target does not accept connections, the calls that were in flight are
// recorded as suspects.
func (s *Suspects) ConfirmCrash(address string, calls []RunningCall) {
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
func (s *Suspects) recordCrash(calls []RunningCall) {
	alone, seen := len(calls) == 1, make(map[uint64]bool)
	if pending := s.recordKnown(calls, alone, seen); len(pending) > 0 {
		time.AfterFunc(crashBodyTimeout, func() { s.recordKnown(pending, alone, seen) })
	}
}

// recordKnown records the calls whose fingerprints are known and not yet seen at this
// crash, and returns those whose fingerprints are not known.
func (s *Suspects) recordKnown(calls []RunningCall, alone bool, seen map[uint64]bool) (pending []RunningCall) {
	changed := make(map[uint64]Evidence)
	s.mu.Lock()
	for _, running := range calls {
		fingerprint, known := Fingerprint(running.Call)
		if !known {
			pending = append(pending, running)
			continue
		}
		if seen[fingerprint] {
			continue
		}
		seen[fingerprint] = true
		record := s.getOrCreate(fingerprint)
		evidence := record.evidence[localDaemon]
		evidence.addCrash(running.Suspect, alone)
		s.merge(EvidenceReport{localDaemon, fingerprint, evidence})
		changed[fingerprint] = evidence
		eventSuspect.Log(s.Logger, zap.String("request", running.Call.ID), zap.Uint64("fingerprint", fingerprint),
			zap.Int("crashes", record.counted().Crashes), zap.Stringer("verdict", record.verdict(s.Clock.Now())))
	}
	s.mu.Unlock()
	for fingerprint, evidence := range changed {
		s.Publish(fingerprint, evidence)
	}
	return pending
}

// Apply merges the evidence of daemons. Crashes are merged before clean runs, so that a
// daemon that gets all evidence at once, after its start, comes to the others' result.
func (s *Suspects) Apply(reports []EvidenceReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range reports {
		report.Evidence.Clean = 0
		s.merge(report)
	}
	for _, report := range reports {
		s.merge(report)
	}
}

// merge adds evidence to the record of a request. The caller holds mu.
func (s *Suspects) merge(report EvidenceReport) {
	record, now := s.getOrCreate(report.Fingerprint), s.Clock.Now()
	record.merge(report.Daemon, report.Evidence, now)
	base := uint32(report.Fingerprint >> baseBits)
	if record.verdict(now) != Run && !slices.Contains(s.bases[base], report.Fingerprint) {
		s.bases[base] = append(s.bases[base], report.Fingerprint)
	}
}

func (s *Suspects) getOrCreate(fingerprint uint64) *suspicion {
	if s.records == nil {
		s.records, s.bases = make(map[uint64]*suspicion), make(map[uint32][]uint64)
	}
	record := s.records[fingerprint]
	if record == nil {
		record = &suspicion{evidence: make(map[string]Evidence)}
		s.records[fingerprint] = record
	}
	return record
}
