package proxy

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

const (
	// crashesToSuspect is the number of crashes with a request in flight after which it
	// is a suspect. A single crash can be a coincidence.
	crashesToSuspect = 2
	// proofToRefuse is the weight of crashes while a suspect ran after which it is
	// refused. Without it a popular request is refused if several targets crash for
	// another reason: two of 15 crashed at once, and none of about 1,970 requests of one
	// page was served.
	proofToRefuse = 2
	// proofAlone and proofBeside are the weights of a crash while a suspect ran alone at
	// the target, and beside other requests, which may have caused it.
	proofAlone, proofBeside = 2, 1
	// suspectRetention is the time after its last crash for which a request is refused,
	// or is a suspect.
	suspectRetention = 10 * time.Minute
	// localDaemon is the key of the evidence of this daemon.
	localDaemon = ""
	// evidenceBits is the size of a count in the rank of evidence, and maxCount the
	// largest one.
	evidenceBits = 16
	maxCount     = 1<<evidenceBits - 1
)

// Verdict says how a request may run.
type Verdict int

// Verdicts on a request.
const (
	Run      Verdict = iota // like any other
	RunAlone                // alone at its target if possible: it may crash it
	Refuse                  // it crashes targets
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"run", "alone", "refuse"}[v] }

// Evidence counts what a daemon has seen of a request. The counts never fall.
type Evidence struct {
	Crashes int // crashes with the request in flight
	Proof   int // weights of the crashes at runs that were sent when it was a suspect
	Clean   int // runs that ended without a crash while it was a suspect
}

// addCrash counts a crash.
func (e *Evidence) addCrash(suspect, alone bool) {
	e.Crashes++
	switch {
	case suspect && alone:
		e.Proof += proofAlone
	case suspect:
		e.Proof += proofBeside
	}
}

// Rank returns the evidence as one number, which is higher for later evidence of a daemon.
func (e Evidence) Rank() uint64 {
	rank := uint64(0)
	for _, count := range []int{e.Crashes, e.Proof, e.Clean} {
		rank = rank<<evidenceBits | uint64(min(count, maxCount))
	}
	return rank
}

// EvidenceOfRank returns the evidence with a rank.
func EvidenceOfRank(rank uint64) Evidence {
	return Evidence{
		Crashes: int(rank >> (2 * evidenceBits) & maxCount), Proof: int(rank >> evidenceBits & maxCount), Clean: int(rank & maxCount),
	}
}

// suspicion decides whether a request crashes the targets that run it, or merely ran
// there when they crashed. A request that crashes targets never ends at one.
type suspicion struct {
	evidence  map[string]Evidence // by daemon
	excused   Evidence            // what does not count, since the request has run without a crash
	lastCrash clock.Instant
}

// merge adds later evidence of a daemon. Older evidence changes nothing.
func (s *suspicion) merge(daemon string, e Evidence, now clock.Instant) {
	old := s.evidence[daemon]
	merged := Evidence{max(old.Crashes, e.Crashes), max(old.Proof, e.Proof), max(old.Clean, e.Clean)}
	if merged.Crashes > old.Crashes {
		if s.expired(now) && s.counted().Proof < proofToRefuse {
			s.excused = s.sum()
		}
		s.lastCrash = now
	}
	s.evidence[daemon] = merged
	if merged.Clean > old.Clean {
		s.excused = s.sum()
	}
}

// verdict returns how the request may run. One that was refused may run alone after
// suspectRetention.
func (s *suspicion) verdict(now clock.Instant) Verdict {
	counted := s.counted()
	proven := counted.Proof >= proofToRefuse
	switch {
	case counted.Crashes < crashesToSuspect, !proven && s.expired(now):
		return Run
	case proven && !s.expired(now):
		return Refuse
	}
	return RunAlone
}

func (s *suspicion) expired(now clock.Instant) bool { return now.Sub(s.lastCrash) >= suspectRetention }

func (s *suspicion) sum() Evidence {
	var sum Evidence
	for _, e := range s.evidence {
		sum.Crashes, sum.Proof = sum.Crashes+e.Crashes, sum.Proof+e.Proof
	}
	return sum
}

// counted returns the evidence against the request that is not excused.
func (s *suspicion) counted() Evidence {
	sum := s.sum()
	return Evidence{Crashes: sum.Crashes - s.excused.Crashes, Proof: sum.Proof - s.excused.Proof}
}
