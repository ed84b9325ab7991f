package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	domainCount = 3
	// evacuationBound is the time within which a confirmed evacuation must hold at
	// undisturbed machines while the store is undisturbed.
	evacuationBound = 5 * time.Second
	maxEvacuation   = 3 * time.Second // beyond evacuationBound
	maxReturned     = 2 * time.Second // between two evacuations
	// coldTime, coldRate, coldFactor and coldSlack bound the requests of any second that a
	// target may get after its start. The targets get several times coldRate when warm.
	coldTime   = 2 * time.Second
	coldRate   = 10.0 // requests per second
	coldFactor = 1.5
	coldSlack  = 8
)

func domainName(i int) string { return fmt.Sprintf("domain-%d", i%domainCount) }

// coldService is the entry of the configuration that limits cold targets.
func coldService() map[string]any {
	return map[string]any{
		"resource_type": "services", "metadata": map[string]string{"name": service},
		"spec": map[string]any{"health_path": "/health", "max_conns": 1000, "warmup_s": coldTime.Seconds(), "warmup_per_s": coldRate},
	}
}

// runEvacuations evacuates one failure domain after the other until done is closed.
func (s *soak) runEvacuations(rng *rand.Rand, done <-chan struct{}) {
	for {
		domain := domainName(rng.IntN(domainCount))
		d := time.Duration(rng.Int64N(int64(maxEvacuation)))
		s.logEvent("evacuation %s %s", domain, evacuationBound+d)
		s.put("evacuations", domain, map[string]any{})
		time.Sleep(evacuationBound)
		s.history.evacuate(domain, s.storeUndisturbed)
		time.Sleep(d)
		s.history.evacuate(domain, nil)
		s.put("evacuations", domain, nil)
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(maxReturned)))):
		}
	}
}

// evacuations holds the domains whose targets must get no requests while the function of
// the domain returns true.
type evacuations struct {
	mu      sync.Mutex
	domains map[string]func() bool
}

// evacuate sets whether a domain must get no requests while holds returns true; nil ends
// the evacuation.
func (e *evacuations) evacuate(domain string, holds func() bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.domains == nil {
		e.domains = make(map[string]func() bool)
	}
	e.domains[domain] = holds
}

// mustBeEmpty reports whether the targets of a domain must get no requests now.
func (e *evacuations) mustBeEmpty(domain string) bool {
	e.mu.Lock()
	holds := e.domains[domain]
	e.mu.Unlock()
	return holds != nil && holds()
}

func (t *target) checkEvacuation(id string) {
	if t.history.mustBeEmpty(t.domain) && t.undisturbed() && t.history.mustBeEmpty(t.domain) {
		t.history.addViolation("evacuation: request %s reached %s in the evacuated %s", id, t.id, t.domain)
	}
}

// coldPhase checks the requests that a target gets in any second after its start.
type coldPhase struct {
	mu       sync.Mutex
	arrivals []time.Time // within the last second
}

// coldLeft returns the rest of the cold phase.
func (t *target) coldLeft() time.Duration {
	return max(0, time.Until(time.UnixMilli(t.startedMS).Add(coldTime)))
}

// checkCold records a request. It applies in disturbed machines, too.
func (t *target) checkCold(id string) {
	if !t.limitsCold || t.coldLeft() == 0 {
		return
	}
	t.cold.mu.Lock()
	defer t.cold.mu.Unlock()
	now := time.Now()
	t.cold.arrivals = append(t.cold.arrivals, now)
	for now.Sub(t.cold.arrivals[0]) >= time.Second {
		t.cold.arrivals = t.cold.arrivals[1:]
	}
	if n := len(t.cold.arrivals); float64(n) > coldFactor*coldRate+coldSlack {
		t.history.addViolation("cold: request %s is one of %d within a second that reached %s, which tolerates %v a second", id, n, t.id, coldRate)
	}
}
