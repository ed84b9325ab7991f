package balance

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

// Reason is the reason of a choice among the targets of a service.
type Reason string

// Reasons.
const (
	OwnDomain         Reason = "own_domain"          // a target of the own failure domain can serve the request
	OwnDomainFull     Reason = "own_domain_full"     // another domain has room, the own one has none
	OtherDomainFaster Reason = "other_domain_faster" // by enough to be worth the traffic
	OwnDomainEmpty    Reason = "own_domain_empty"    // no target of the own domain is in use
	ColdShareDue      Reason = "cold_share_due"      // a cold target gets its share
	AllPaused         Reason = "all_paused"          // the target whose pause ends first is probed
	NoRoom            Reason = "no_room"             // no domain has room, the chosen target is expected to refuse
	NoTarget          Reason = "no_target"           // no target is available
)

func ownDomainReason(near *candidate) Reason {
	switch {
	case near.endpoint == nil:
		return NoTarget
	case near.full:
		return NoRoom
	}
	return OwnDomain
}

func spillReason(near *candidate) Reason {
	if near.full {
		return OwnDomainFull
	}
	return OtherDomainFaster
}

func otherDomainReason(far *candidate) Reason {
	if far.full {
		return NoRoom
	}
	return OwnDomainEmpty
}

func pausedReason(paused *Endpoint) Reason {
	if paused == nil {
		return NoTarget
	}
	return AllPaused
}

// Candidate is a target as Choose sees it.
type Candidate struct {
	Endpoint  *Endpoint
	Evaluated bool // in use: available and not paused
	// Expected is the time by which candidates are compared, if evaluated. It has Run,
	// Wait and Network, weighted for failures and for a full target, and some jitter.
	Expected, Run, Wait, Network time.Duration
	Load                         float64       // running and waiting requests relative to the slots
	LoadAge                      time.Duration // of the last report, -1 if there is none
	Full                         bool          // the request would wait too long for a slot
	Cold                         bool          // in its cold start
	Paused                       time.Duration // remaining time of the pause after failures
	FailureRate                  float64
}

// Explanation is a choice among endpoints that was not made.
type Explanation struct {
	Chosen     *Endpoint // nil if there is none
	Reason     Reason
	Candidates []Candidate // in the order of the endpoints
}

// Explain returns what Choose would return for a first attempt, and why. It decides on a
// copy of the statistics and leaves those of the balancer as they are.
func (b *Balancer) Explain(request *attempt.Request, endpoints []*Endpoint) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	recorded := b.stats
	defer func() { b.stats, b.evaluated = recorded, nil }()
	evaluated := make([]candidate, 0, len(endpoints))
	b.stats, b.evaluated = copyStats(recorded, endpoints), &evaluated
	now := time.Now()
	chosen, reason := b.decide(request, endpoints, nil, now)
	return Explanation{Chosen: chosen, Reason: reason, Candidates: b.describe(endpoints, evaluated, now)}
}

func copyStats(stats map[string]*targetStats, endpoints []*Endpoint) map[string]*targetStats {
	copies := make(map[string]*targetStats, len(endpoints))
	for _, e := range endpoints {
		if s := stats[e.Target]; s != nil {
			duplicate := *s
			copies[e.Target] = &duplicate
		}
	}
	return copies
}

// describe returns all endpoints with the evaluations that were made.
func (b *Balancer) describe(endpoints []*Endpoint, evaluated []candidate, now time.Time) []Candidate {
	byEndpoint := make(map[*Endpoint]candidate, len(evaluated))
	for _, c := range evaluated {
		byEndpoint[c.endpoint] = c
	}
	candidates := make([]Candidate, 0, len(endpoints))
	for _, e := range endpoints {
		s := b.statsFor(e.Target)
		described := Candidate{
			Endpoint: e, LoadAge: -1, Cold: now.Before(e.WarmAt), Paused: max(0, s.pausedUntil.Sub(now)), FailureRate: s.failures,
		}
		if !s.load.At.IsZero() {
			described.LoadAge = now.Sub(s.load.At)
		}
		if c, ok := byEndpoint[e]; ok {
			described.Evaluated, described.Full, described.Load = true, c.full, c.load
			described.Expected, described.Run = time.Duration(c.time), time.Duration(c.run)
			described.Wait, described.Network = time.Duration(c.wait), time.Duration(c.network)
		}
		candidates = append(candidates, described)
	}
	return candidates
}
