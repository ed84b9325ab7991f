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
	// crashesToRefuse is the number of crashes at which a request was in flight
	// from which on it is refused: one can be chance.
	crashesToRefuse = 2
	// suspectMemory is the time for which crashes are remembered.
	suspectMemory = 10 * time.Minute
	// crashProbeDelay lets a crashed target close its listener before it is
	// looked whether it accepts connections.
	crashProbeDelay = 20 * time.Millisecond
	// crashProbeTimeout bounds that look; the target is on the same machine.
	crashProbeTimeout = 200 * time.Millisecond
)

// Suspects remembers requests that were in flight when targets crashed, and
// refuses those that crashed several.
type Suspects struct {
	Clock  clock.Clock
	Logger *zap.Logger
	// Publish tells the other daemons of the number of crashes seen here.
	Publish func(fingerprint uint64, crashes int)

	mu      sync.Mutex
	records map[uint64]*suspect
	probing bool
}

type suspect struct {
	own    int
	others map[string]int // by daemon
	at     clock.Instant
}

func (s *suspect) crashes() int {
	total := s.own
	for _, n := range s.others {
		total += n
	}
	return total
}

// Fingerprint identifies a request that is sent again: same method, path,
// caller and body.
func Fingerprint(call *Call) uint64 {
	h := xxhash.New()
	for _, part := range []string{call.Method, call.Host, call.URI, call.CallerService} {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part) // a hash does not fail
	}
	if call.Body != nil {
		if content, ok := call.Body.complete(); ok {
			_, _ = h.Write(content)
		}
	}
	return h.Sum64()
}

// Refuses reports whether a request has crashed several targets.
func (s *Suspects) Refuses(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) == 0 {
		return false
	}
	record := s.records[Fingerprint(call)]
	return record != nil && record.crashes() >= crashesToRefuse && s.Clock.Now().Sub(record.at) < suspectMemory
}

// Check records the calls that were in flight when the target at an address
// broke a connection off, if the target accepts no connection now.
func (s *Suspects) Check(address string, calls []*Call) {
	s.mu.Lock()
	probing := s.probing
	s.probing = true
	s.mu.Unlock()
	if probing {
		return // the breaks of one crash are looked at once
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
			s.record(calls)
		}
	})
}

func (s *Suspects) record(calls []*Call) {
	seen := make(map[uint64]int)
	s.mu.Lock()
	for _, call := range calls {
		fingerprint := Fingerprint(call)
		if _, ok := seen[fingerprint]; ok {
			continue
		}
		record := s.get(fingerprint)
		record.own++
		record.at = s.Clock.Now()
		seen[fingerprint] = record.own
		eventSuspect.Log(s.Logger, zap.String("request", call.ID), zap.Uint64("fingerprint", fingerprint),
			zap.Int("crashes", record.crashes()))
	}
	s.mu.Unlock()
	for fingerprint, crashes := range seen {
		s.Publish(fingerprint, crashes)
	}
}

// Learn takes the number of crashes that another daemon saw.
func (s *Suspects) Learn(daemon string, fingerprint uint64, crashes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.get(fingerprint)
	if record.others[daemon] < crashes {
		record.others[daemon] = crashes
		record.at = s.Clock.Now()
	}
}

func (s *Suspects) get(fingerprint uint64) *suspect {
	if s.records == nil {
		s.records = make(map[uint64]*suspect)
	}
	record := s.records[fingerprint]
	if record == nil {
		record = &suspect{others: make(map[string]int)}
		s.records[fingerprint] = record
	}
	return record
}
