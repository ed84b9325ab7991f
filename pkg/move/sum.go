package move

import (
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Prefixes of the keys of evidence records: the counts of one caller, and the
// sum of one domain.
const (
	callerKeyPrefix = "own/"
	domainKeyPrefix = "sum/"
)

// DomainSum adds up the evidence of the callers of one domain for a
// distributor. It is safe for concurrent use.
type DomainSum struct {
	mu          sync.Mutex
	domain      string
	distributor string
	incarnation uint64
	counter     uint64
	routes      map[routeKey]*routeSum
}

type routeKey struct {
	service, move string
	generation    uint64
	route         string
}

// routeSum is the sum of both versions on one route of a move.
type routeSum struct {
	idempotent bool
	versions   []string
	total      map[string]*Counts
	callers    map[string]*callerCounts
	changed    bool
	keys       map[string]string // record key by version
}

// callerCounts is the latest report of one caller. Pending counts are added to
// the total when those of both versions have the same counter.
type callerCounts struct {
	incarnation    uint64
	appliedCounter uint64
	pending        map[string]pendingCounts
	counts         map[string]Counts
}

type pendingCounts struct {
	counter uint64
	counts  Counts
}

// NewDomainSum returns the empty sum of a domain, published by a distributor.
func NewDomainSum(domain, distributor string, incarnation uint64) *DomainSum {
	return &DomainSum{domain: domain, distributor: distributor, incarnation: incarnation, routes: map[routeKey]*routeSum{}}
}

// Apply adds the evidence records of callers. It ignores records of any other
// kind, and duplicate or stale ones. The counts from before a caller's restart
// stay in the sum.
func (s *DomainSum) Apply(records ...*pb.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		if record.GetKind() == pb.RecordKind_RECORD_EVIDENCE && strings.HasPrefix(record.GetKey(), callerKeyPrefix) {
			s.apply(record)
		}
	}
}

func (s *DomainSum) apply(record *pb.Record) {
	var e pb.Evidence
	if proto.Unmarshal(record.GetPayload(), &e) != nil || e.GetCallerDomain() != s.domain {
		return
	}
	key := routeKey{record.GetService(), e.GetMove(), e.GetGeneration(), e.GetRoute()}
	route, ok := s.routes[key]
	if !ok {
		if !s.admitGeneration(key) {
			return
		}
		route = &routeSum{total: map[string]*Counts{}, callers: map[string]*callerCounts{}, keys: map[string]string{}}
		s.routes[key] = route
	}
	route.idempotent = e.GetIdempotent()
	route.apply(record, &e)
}

// admitGeneration removes the sums of earlier generations of a move. It returns
// false if there is a sum of a later generation.
func (s *DomainSum) admitGeneration(key routeKey) bool {
	for existing := range s.routes {
		if existing.service != key.service || existing.move != key.move {
			continue
		}
		if existing.generation > key.generation {
			return false
		}
		if existing.generation < key.generation {
			delete(s.routes, existing)
		}
	}
	return true
}

func (p *routeSum) apply(record *pb.Record, e *pb.Evidence) {
	caller, ok := p.callers[record.GetOwner()]
	if !ok || record.GetIncarnation() > caller.incarnation {
		caller = &callerCounts{incarnation: record.GetIncarnation(), pending: map[string]pendingCounts{}, counts: map[string]Counts{}}
		p.callers[record.GetOwner()] = caller
	}
	if record.GetIncarnation() < caller.incarnation || record.GetCounter() <= caller.appliedCounter {
		return
	}
	version := e.GetVersion()
	if record.GetCounter() < caller.pending[version].counter {
		return
	}
	caller.pending[version] = pendingCounts{counter: record.GetCounter(), counts: decodeCounts(e)}
	if p.total[version] == nil {
		p.total[version] = &Counts{}
		p.versions = append(p.versions, version)
	}
	p.commit(caller, record.GetCounter())
}

// commit adds a caller's report to the total once the records of both versions
// have been received.
func (p *routeSum) commit(caller *callerCounts, counter uint64) {
	if len(caller.pending) < 2 {
		return
	}
	for _, pending := range caller.pending {
		if pending.counter != counter {
			return
		}
	}
	for version, pending := range caller.pending {
		previous := caller.counts[version]
		if increment, ok := pending.counts.sub(&previous); ok {
			p.total[version].add(&increment)
		}
		caller.counts[version] = pending.counts
	}
	caller.appliedCounter = counter
	p.changed = true
}

// Records encodes the sums that changed since the last call.
func (s *DomainSum) Records() []*pb.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	var records []*pb.Record
	for key, route := range s.routes {
		if !route.changed {
			continue
		}
		route.changed = false
		for _, version := range route.versions {
			e := &pb.Evidence{
				Move: key.move, Generation: key.generation, Route: key.route, Version: version,
				CallerDomain: s.domain, Idempotent: route.idempotent,
			}
			route.total[version].encodeInto(e)
			if route.keys[version] == "" {
				route.keys[version] = evidenceKey(domainKeyPrefix, s.distributor, e)
			}
			records = append(records, evidenceRecord(route.keys[version], key.service, s.distributor, s.incarnation, s.counter, e))
		}
	}
	return records
}
