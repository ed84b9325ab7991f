package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	firstVersion = "v1"
	// moveDuration is the requested duration of a move.
	moveDuration = 8 * time.Second
	// moveTimeout is how long a run waits for the end of a move.
	moveTimeout      = 3 * moveDuration
	movePollInterval = 20 * time.Millisecond
)

// runMoves requests one move after the other until done is closed or a move times out.
// Each time, every second target is first replaced by one of the new version. The
// targets of a faulty version return errors.
func (s *soak) runMoves(rng *rand.Rand, done <-chan struct{}) {
	current := firstVersion
	for n := 2; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		next, faulty := fmt.Sprintf("v%d", n), rng.IntN(2) == 0
		s.startVersion(next, faulty)
		s.logEvent("move to %s, faulty: %t", next, faulty)
		s.put("rollouts", service, map[string]any{
			"service": service, "target_version": next, "duration_s": moveDuration.Seconds(),
		})
		state := s.awaitMove(next, done)
		s.logEvent("move to %s ended in state %q", next, state)
		switch state {
		case "completed":
			if faulty {
				s.history.addViolation("move: the move to the faulty version %s was completed", next)
			}
			s.history.setRetired(current, true)
			s.replaceAll(current, next, false)
			current = next
		case "rolled_back":
			s.history.setRetired(next, true)
			s.replaceAll(next, current, true)
		default:
			return // the run has ended or the move has timed out
		}
	}
}

func (s *soak) startVersion(version string, faulty bool) {
	if faulty {
		s.history.markFaulty(version)
	}
	for i, m := range s.machines {
		if i%2 == 1 {
			s.check(m.replaceTarget(version, true))
		}
	}
}

// replaceAll replaces all targets of oldVersion by targets of version.
func (s *soak) replaceAll(oldVersion, version string, drain bool) {
	for _, m := range s.machines {
		if _, t, _ := m.current(); t.version == oldVersion {
			s.check(m.replaceTarget(version, drain))
		}
	}
}

// awaitMove waits for the end of a move and returns its final state, or an empty
// string if the move did not end.
func (s *soak) awaitMove(version string, done <-chan struct{}) string {
	deadline := time.Now().Add(moveTimeout)
	for time.Now().Before(deadline) {
		var status struct {
			State         string `json:"state"`
			TargetVersion string `json:"target_version"`
		}
		object := s.store.Get("rollouts", service)
		// A status that has not been written yet fails to decode.
		if object != nil && json.Unmarshal(object.Status, &status) == nil && status.TargetVersion == version &&
			(status.State == "completed" || status.State == "rolled_back") {
			return status.State
		}
		select {
		case <-done:
			return ""
		case <-time.After(movePollInterval):
		}
	}
	s.history.addViolation("move: the move to %s did not end within %s", version, moveTimeout)
	return ""
}

func (s *soak) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}
