package move

import (
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// ownPrefix and sumPrefix start the keys of evidence of one caller and of one
// domain.
const (
	ownPrefix = "own/"
	sumPrefix = "sum/"
)

// DomainSum adds up the evidence of the callers of one domain. It belongs to a
// distributor and is safe for concurrent use.
type DomainSum struct {
	mu          sync.Mutex
	domain      string
	distributor string
	incarnation uint64
	counter     uint64
	pairs       map[pairKey]*domainPair
}

type pairKey struct {
	service, move string
	generation    uint64
	route         string
}

// domainPair holds both versions of one route of a move.
type domainPair struct {
	idempotent bool
	versions   []string
	total      map[string]*Counts
	callers    map[string]*callerPair
	changed    bool
	keys       map[string]string // record key by version
}

// callerPair is the latest report of one caller. Pending versions become
// effective when both have the same counter.
type callerPair struct {
	incarnation uint64
	applied     uint64
	pending     map[string]pendingCounts
	counts      map[string]Counts
}

type pendingCounts struct {
	counter uint64
	counts  Counts
}

// NewDomainSum returns an empty sum of a distributor.
func NewDomainSum(domain, distributor string, incarnation uint64) *DomainSum {
	return &DomainSum{domain: domain, distributor: distributor, incarnation: incarnation, pairs: map[pairKey]*domainPair{}}
}

// Apply takes records of callers; records of other kinds, repeated and older
// ones are ignored. After a caller's restart its earlier counts stay in the
// sum.
func (s *DomainSum) Apply(records ...*pb.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		if record.GetKind() == pb.RecordKind_RECORD_EVIDENCE && strings.HasPrefix(record.GetKey(), ownPrefix) {
			s.apply(record)
		}
	}
}

func (s *DomainSum) apply(record *pb.Record) {
	var e pb.Evidence
	if proto.Unmarshal(record.GetPayload(), &e) != nil || e.GetCallerDomain() != s.domain {
		return
	}
	key := pairKey{record.GetService(), e.GetMove(), e.GetGeneration(), e.GetRoute()}
	pair, ok := s.pairs[key]
	if !ok {
		if !s.admit(key) {
			return
		}
		pair = &domainPair{total: map[string]*Counts{}, callers: map[string]*callerPair{}, keys: map[string]string{}}
		s.pairs[key] = pair
	}
	pair.idempotent = e.GetIdempotent()
	pair.apply(record, &e)
}

// admit drops the sums of replaced generations, and refuses evidence of a
// generation that was replaced.
func (s *DomainSum) admit(key pairKey) bool {
	for other := range s.pairs {
		if other.service != key.service || other.move != key.move {
			continue
		}
		if other.generation > key.generation {
			return false
		}
		if other.generation < key.generation {
			delete(s.pairs, other)
		}
	}
	return true
}

func (p *domainPair) apply(record *pb.Record, e *pb.Evidence) {
	c, ok := p.callers[record.GetOwner()]
	if !ok || record.GetIncarnation() > c.incarnation {
		c = &callerPair{incarnation: record.GetIncarnation(), pending: map[string]pendingCounts{}, counts: map[string]Counts{}}
		p.callers[record.GetOwner()] = c
	}
	if record.GetIncarnation() < c.incarnation || record.GetCounter() <= c.applied {
		return
	}
	version := e.GetVersion()
	if record.GetCounter() < c.pending[version].counter {
		return
	}
	c.pending[version] = pendingCounts{counter: record.GetCounter(), counts: decodeCounts(e)}
	if p.total[version] == nil {
		p.total[version] = &Counts{}
		p.versions = append(p.versions, version)
	}
	p.commit(c, record.GetCounter())
}

// commit makes a caller's report effective once both versions have arrived.
func (p *domainPair) commit(c *callerPair, counter uint64) {
	if len(c.pending) < 2 {
		return
	}
	for _, pending := range c.pending {
		if pending.counter != counter {
			return
		}
	}
	for version, pending := range c.pending {
		before := c.counts[version]
		if increment, ok := pending.counts.sub(&before); ok {
			p.total[version].add(&increment)
		}
		c.counts[version] = pending.counts
	}
	c.applied = counter
	p.changed = true
}

// Records returns the sums that changed since the last call.
func (s *DomainSum) Records() []*pb.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter++
	var records []*pb.Record
	for key, pair := range s.pairs {
		if !pair.changed {
			continue
		}
		pair.changed = false
		for _, version := range pair.versions {
			e := &pb.Evidence{
				Move: key.move, Generation: key.generation, Route: key.route, Version: version,
				CallerDomain: s.domain, Idempotent: pair.idempotent,
			}
			pair.total[version].encodeInto(e)
			if pair.keys[version] == "" {
				pair.keys[version] = evidenceKey(sumPrefix, s.distributor, e)
			}
			records = append(records, evidenceRecord(pair.keys[version], key.service, s.distributor, s.incarnation, s.counter, e))
		}
	}
	return records
}
