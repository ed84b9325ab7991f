package soak

import (
	"math/rand/v2"
	"time"
)

const (
	maxCopyAge     = 6 * time.Second
	maxAway        = time.Second
	maxReturnPause = 6 * time.Second
	// storedAgain is the time after a return within which daemons have stored again what
	// the store lacks.
	storedAgain = 2 * time.Second
)

// put writes an object as the operator does, or deletes it if spec is nil.
func (s *soak) put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, spec)
}

// putLocked is put for a caller that holds mu.
func (s *soak) putLocked(kind, name string, spec any) {
	s.written[[2]string{kind, name}] = spec
	if spec == nil {
		s.store.Delete(kind, name)
		return
	}
	s.store.Put(kind, name, spec)
}

// runReturns lets the store return from older copies until done is closed: at once, with or
// without cutting its watches, or after it was away. The operator then writes its objects
// again.
func (s *soak) runReturns(rng *rand.Rand, done <-chan struct{}) {
	const name = "store returns"
	for {
		s.losses.Lock()
		older := s.store.Copy()
		time.Sleep(time.Duration(rng.Int64N(int64(maxCopyAge))))
		away := time.Duration(rng.Int64N(int64(maxAway)))
		s.mu.Lock()
		s.activeFaults[name] = true
		s.mu.Unlock()
		kind := rng.IntN(3)
		if kind == 0 {
			s.store.Leave()
			time.Sleep(away)
		}
		s.mu.Lock()
		if kind == 1 {
			s.store.Replace(older)
		} else {
			s.store.Return(older)
		}
		for key, spec := range s.written {
			s.putLocked(key[0], key[1], spec)
		}
		s.configuredAt = time.Now()
		delete(s.activeFaults, name)
		s.storeFaultAt = time.Now()
		s.mu.Unlock()
		s.logEvent("%s, kind %d, away %s", name, kind, away)
		time.Sleep(storedAgain)
		s.losses.Unlock()
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(maxReturnPause)))):
		}
	}
}
