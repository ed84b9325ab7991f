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
// on each attempt: it does one map look-up and a few atomic additions.
type Recorder struct {
	service, domain, owner string
	incarnation            uint64

	cells atomic.Pointer[map[cellKey]*cell]

	mu      sync.Mutex
	pairs   []*cellPair
	counter uint64
}

type cellKey struct{ route, version string }

// cell holds the counters of one route and version. It is shared by moves that
// have the version in common, which run one after the other.
type cell struct {
	attempts, failures, crashes atomic.Uint64
	latency                     [LatencyBuckets]atomic.Uint64
}

// cellPair is the evidence of one move on one route.
type cellPair struct {
	move       string
	generation uint64
	route      string
	idempotent bool
	versions   [2]string
	cells      [2]*cell
	sent       uint64 // attempts when last encoded
	keys       [2]string
}

// NewRecorder returns a recorder for the calls that the daemon owner, in the
// given domain, sends to a service.
func NewRecorder(service, domain, owner string, incarnation uint64) *Recorder {
	r := &Recorder{service: service, domain: domain, owner: owner, incarnation: incarnation}
	r.cells.Store(&map[cellKey]*cell{})
	return r
}

// Update selects the moves of the bundle that are under way; attempts to other
// versions are not counted. The counters of a move that stays are kept.
func (r *Recorder) Update(bundle *config.Bundle, active func(move string, generation uint64) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.pairs
	cells := map[cellKey]*cell{}
	r.pairs = nil
	for i := range bundle.Service.Moves {
		m := &bundle.Service.Moves[i]
		generation := bundle.Generations[m.Name]
		if !active(m.Name, generation) {
			continue
		}
		for j := range bundle.Service.Routes {
			route := &bundle.Service.Routes[j]
			p := &cellPair{
				move: m.Name, generation: generation, route: route.Name, idempotent: route.Idempotent,
				versions: [2]string{m.From, m.To},
			}
			p.adopt(old, cells)
			r.pairs = append(r.pairs, p)
		}
	}
	r.cells.Store(&cells)
}

// adopt takes over the counters of the same pair, or starts new ones.
func (p *cellPair) adopt(old []*cellPair, cells map[cellKey]*cell) {
	p.cells = [2]*cell{{}, {}}
	for _, o := range old {
		if o.move == p.move && o.generation == p.generation && o.route == p.route && o.versions == p.versions {
			p.cells, p.sent = o.cells, o.sent
		}
	}
	for i, version := range p.versions {
		key := cellKey{p.route, version}
		if shared, ok := cells[key]; ok {
			p.cells[i] = shared
		}
		cells[key] = p.cells[i]
	}
}

// Record counts one attempt.
func (r *Recorder) Record(route, version string, outcome Outcome, latency time.Duration) {
	if outcome == OutcomeExcluded {
		return
	}
	c, ok := (*r.cells.Load())[cellKey{route, version}]
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

func (c *cell) load() Counts {
	n := Counts{Failures: c.failures.Load(), Crashes: c.crashes.Load()}
	for i := range c.latency {
		n.Latency[i] = c.latency[i].Load()
	}
	// Attempts follow from the parts, so that an attempt recorded meanwhile
	// cannot make the parts exceed the whole.
	n.Attempts = n.Failures + n.Crashes + n.Latency.total()
	return n
}

// Records encodes what changed since the last call. Both versions of a route
// are encoded together with the same counter, so that a receiver never
// compares counts of different times.
func (r *Recorder) Records() []*pb.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter++
	var records []*pb.Record
	for _, p := range r.pairs {
		attempts := p.cells[0].attempts.Load() + p.cells[1].attempts.Load()
		if attempts == p.sent {
			continue
		}
		p.sent = attempts
		for i, version := range p.versions {
			counts := p.cells[i].load()
			e := &pb.Evidence{
				Move: p.move, Generation: p.generation, Route: p.route, Version: version,
				CallerDomain: r.domain, Idempotent: p.idempotent,
			}
			counts.encodeInto(e)
			if p.keys[i] == "" {
				p.keys[i] = evidenceKey(ownPrefix, r.owner, e)
			}
			records = append(records, evidenceRecord(p.keys[i], r.service, r.owner, r.incarnation, r.counter, e))
		}
	}
	return records
}

// evidenceKey names evidence of a caller (ownPrefix) or a domain (sumPrefix).
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
