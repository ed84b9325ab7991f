package move

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Recorder counts the attempts of one caller to one service. Record is called
// for each attempt and costs one map lookup and a few atomic additions.
type Recorder struct {
	service, domain, owner string
	incarnation            uint64

	counters atomic.Pointer[map[countersKey]*counters]

	mu      sync.Mutex
	routes  []*routeCounters
	counter uint64
}

type countersKey struct{ route, version string }

// counters holds the counters of one route and version. Moves with a common
// version share it; they run one after the other.
type counters struct {
	attempts, failures, crashes atomic.Uint64
	latency                     [LatencyBuckets]atomic.Uint64
}

// routeCounters holds the evidence of one move on one route.
type routeCounters struct {
	move            string
	generation      uint64
	route           string
	idempotent      bool
	versions        [2]string
	counters        [2]*counters
	encodedAttempts uint64 // number of attempts when last encoded
	keys            [2]string
}

// NewRecorder returns a recorder for the calls from the daemon named owner, in a
// domain, to a service.
func NewRecorder(service, domain, owner string, incarnation uint64) *Recorder {
	r := &Recorder{service: service, domain: domain, owner: owner, incarnation: incarnation}
	r.counters.Store(&map[countersKey]*counters{})
	return r
}

// Update selects the moves of the bundle that are in progress. Attempts on the
// versions of any other move are not counted. The counters of a move that was
// selected before are kept.
func (r *Recorder) Update(bundle *config.Bundle, active func(move string, generation uint64) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.routes
	shared := map[countersKey]*counters{}
	r.routes = nil
	for i := range bundle.Service.Moves {
		m := &bundle.Service.Moves[i]
		generation := bundle.Generations[m.Name]
		if !active(m.Name, generation) {
			continue
		}
		for j := range bundle.Service.Routes {
			route := &bundle.Service.Routes[j]
			p := &routeCounters{
				move: m.Name, generation: generation, route: route.Name, idempotent: route.Idempotent,
				versions: [2]string{m.From, m.To},
			}
			p.reuseCounters(previous, shared)
			r.routes = append(r.routes, p)
		}
	}
	r.counters.Store(&shared)
}

// reuseCounters sets the counters to the previous ones of the same move, or to
// new ones.
func (p *routeCounters) reuseCounters(previous []*routeCounters, shared map[countersKey]*counters) {
	p.counters = [2]*counters{{}, {}}
	for _, prev := range previous {
		if prev.move == p.move && prev.generation == p.generation && prev.route == p.route && prev.versions == p.versions {
			p.counters, p.encodedAttempts = prev.counters, prev.encodedAttempts
		}
	}
	for i, version := range p.versions {
		key := countersKey{p.route, version}
		if existing, ok := shared[key]; ok {
			p.counters[i] = existing
		}
		shared[key] = p.counters[i]
	}
}

// Record counts one attempt.
func (r *Recorder) Record(route, version string, outcome Outcome, latency time.Duration) {
	if outcome == OutcomeExcluded {
		return
	}
	c, ok := (*r.counters.Load())[countersKey{route, version}]
	if !ok {
		return
	}
	c.attempts.Add(1)
	switch outcome {
	case OutcomeFailed:
		c.failures.Add(1)
	case OutcomeCrashed:
		c.crashes.Add(1)
	default:
		c.latency[bucketOf(latency)].Add(1)
	}
}

func (c *counters) load() Counts {
	n := Counts{Failures: c.failures.Load(), Crashes: c.crashes.Load()}
	for i := range c.latency {
		n.Latency[i] = c.latency[i].Load()
	}
	// The attempts are the sum of the parts, so that an attempt recorded
	// concurrently cannot make the parts exceed the whole.
	n.Attempts = n.Failures + n.Crashes + n.Latency.total()
	return n
}

// Records encodes the counts that changed since the last call. Both versions of a
// route are encoded together with the same counter, so that a receiver never
// compares counts of different times.
func (r *Recorder) Records() []*pb.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	var records []*pb.Record
	for _, p := range r.routes {
		attempts := p.counters[0].attempts.Load() + p.counters[1].attempts.Load()
		if attempts == p.encodedAttempts {
			continue
		}
		p.encodedAttempts = attempts
		for i, version := range p.versions {
			counts := p.counters[i].load()
			e := &pb.Evidence{
				Move: p.move, Generation: p.generation, Route: p.route, Version: version,
				CallerDomain: r.domain, Idempotent: p.idempotent,
			}
			counts.encodeInto(e)
			if p.keys[i] == "" {
				p.keys[i] = evidenceKey(callerKeyPrefix, r.owner, e)
			}
			records = append(records, evidenceRecord(p.keys[i], r.service, r.owner, r.incarnation, r.counter, e))
		}
	}
	return records
}

// evidenceKey returns the record key of the evidence of a caller
// (callerKeyPrefix) or a domain (domainKeyPrefix).
func evidenceKey(prefix, owner string, e *pb.Evidence) string {
	return fmt.Sprintf("%s%s/%s/%d/%s/%s/%s", prefix, owner, e.GetMove(), e.GetGeneration(), e.GetRoute(),
		e.GetVersion(), e.GetCallerDomain())
}

func evidenceRecord(key, service, owner string, incarnation, counter uint64, e *pb.Evidence) *pb.Record {
	payload, err := proto.Marshal(e)
	if err != nil {
		panic("move: evidence cannot be encoded: " + err.Error()) // only invalid UTF-8 fails, and names are checked
	}
	return &pb.Record{
		Kind: pb.RecordKind_RECORD_EVIDENCE, Service: service, Owner: owner, Key: key,
		Incarnation: incarnation, Counter: counter, Payload: payload,
	}
}
