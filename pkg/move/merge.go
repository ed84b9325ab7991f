package move

import (
	"cmp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Sum is the cumulative evidence of one route and caller domain.
type Sum struct {
	Route      string
	Domain     string
	Idempotent bool
	Old, New   Counts
}

// sumReader decodes the sums of the distributors for one move. Records that
// did not change since the last call are not decoded again.
type sumReader struct {
	decoded map[string]*decodedSum
	pairs   map[sourceKey]*sumPair
	sums    []Sum
}

type decodedSum struct {
	incarnation, counter uint64
	owner                string
	evidence             *pb.Evidence
	counts               Counts
}

type sourceKey struct{ route, domain, owner string }

type sumPair struct{ from, to *decodedSum }

// Sums returns for each route and domain the larger of the two distributors'
// sums. A sum counts only if both versions are of the same report. Sums that
// rest on the same caller reports are equal, so the larger one lacks least.
func (s *sumReader) Sums(records []*pb.Record, m Identity) []Sum {
	if s.decoded == nil {
		s.decoded, s.pairs = map[string]*decodedSum{}, map[sourceKey]*sumPair{}
	}
	changed := false
	for _, record := range records {
		if !strings.HasPrefix(record.GetKey(), sumPrefix) {
			continue
		}
		if d, ok := s.decode(record); ok && d.evidence.GetMove() == m.Move && d.evidence.GetGeneration() == m.Generation {
			s.enter(d, m)
			changed = true
		}
	}
	if changed {
		s.sums = largest(s.pairs)
	}
	return s.sums
}

func (s *sumReader) enter(d *decodedSum, m Identity) {
	key := sourceKey{d.evidence.GetRoute(), d.evidence.GetCallerDomain(), d.owner}
	if s.pairs[key] == nil {
		s.pairs[key] = &sumPair{}
	}
	switch d.evidence.GetVersion() {
	case m.From:
		s.pairs[key].from = d
	case m.To:
		s.pairs[key].to = d
	}
}

// decode reports whether the record is a new one.
func (s *sumReader) decode(record *pb.Record) (*decodedSum, bool) {
	d, ok := s.decoded[record.GetKey()]
	if ok && d.incarnation == record.GetIncarnation() && d.counter == record.GetCounter() {
		return d, false
	}
	e := &pb.Evidence{}
	if proto.Unmarshal(record.GetPayload(), e) != nil {
		return nil, false
	}
	d = &decodedSum{
		incarnation: record.GetIncarnation(), counter: record.GetCounter(), owner: record.GetOwner(),
		evidence: e, counts: decodeCounts(e),
	}
	s.decoded[record.GetKey()] = d
	return d, true
}

func largest(pairs map[sourceKey]*sumPair) []Sum {
	best := map[sourceKey]*sumPair{}
	for key, p := range pairs {
		if p.from == nil || p.to == nil || p.from.counter != p.to.counter || p.from.incarnation != p.to.incarnation {
			continue
		}
		key.owner = ""
		if held, ok := best[key]; !ok || p.better(held) {
			best[key] = p
		}
	}
	sums := make([]Sum, 0, len(best))
	for key, p := range best {
		sums = append(sums, Sum{
			Route: key.route, Domain: key.domain, Idempotent: p.to.evidence.GetIdempotent(),
			Old: p.from.counts, New: p.to.counts,
		})
	}
	slices.SortFunc(sums, func(a, b Sum) int {
		return cmp.Or(strings.Compare(a.Route, b.Route), strings.Compare(a.Domain, b.Domain))
	})
	return sums
}

// better reports whether p holds more attempts; the owner's name decides
// between equal ones.
func (p *sumPair) better(held *sumPair) bool {
	n, m := p.from.counts.Attempts+p.to.counts.Attempts, held.from.counts.Attempts+held.to.counts.Attempts
	return n > m || (n == m && p.to.owner < held.to.owner)
}
