package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	firstVersion = "v1"
	// moveDuration is the time that the operator gives a move.
	moveDuration = 8 * time.Second
	// movePatience is the time after which the soak stops to wait for its end.
	movePatience = 3 * moveDuration
	movePoll     = 20 * time.Millisecond
)

// moves orders one move after the other until the run ends. Every second target is
// started in the new version first; bad versions fail.
func (s *soak) moves(rng *rand.Rand, done <-chan struct{}) {
	current := firstVersion
	for n := 2; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		next, bad := fmt.Sprintf("v%d", n), rng.IntN(2) == 0
		s.startVersion(next, bad)
		s.note("move to %s, bad: %t", next, bad)
		s.store.Put("rollouts", service, map[string]any{
			"service": service, "target_version": next, "duration_s": moveDuration.Seconds(),
		})
		state := s.awaitMove(next, done)
		s.note("move to %s is %s", next, state)
		switch state {
		case "completed":
			if bad {
				s.ledger.breach("version: the bad version %s was completed", next)
			}
			s.ledger.end(current, true)
			s.replaceAll(current, next, false)
			current = next
		case "rolled_back":
			s.ledger.end(next, true)
			s.replaceAll(next, current, true)
		default:
			return // the run is over
		}
	}
}

func (s *soak) startVersion(version string, bad bool) {
	if bad {
		s.ledger.markBad(version)
	}
	for i, m := range s.machines {
		if i%2 == 1 {
			s.check(m.replaceTarget(version, true))
		}
	}
}

// replaceAll replaces the targets of one version by those of another.
func (s *soak) replaceAll(former, version string, drain bool) {
	for _, m := range s.machines {
		if _, t, _ := m.current(); t.version == former {
			s.check(m.replaceTarget(version, drain))
		}
	}
}

// awaitMove returns the state that ended the move, empty if it did not end.
func (s *soak) awaitMove(version string, done <-chan struct{}) string {
	end := time.Now().Add(movePatience)
	for time.Now().Before(end) {
		var status struct {
			State         string `json:"state"`
			TargetVersion string `json:"target_version"`
		}
		object := s.store.Get("rollouts", service)
		// A status that is not written yet decodes to nothing.
		if object != nil && json.Unmarshal(object.Status, &status) == nil && status.TargetVersion == version &&
			(status.State == "completed" || status.State == "rolled_back") {
			return status.State
		}
		select {
		case <-done:
			return ""
		case <-time.After(movePoll):
		}
	}
	s.ledger.breach("version: the move to %s has not ended after %s", version, movePatience)
	return ""
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}
