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

// sumReader decodes the sums of the distributors for one move. It caches decoded
// records, so that only changed ones are decoded again.
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

// Sums returns, for each route and domain, the larger of the two distributors'
// sums. A sum is used only if both versions are of the same report. Sums of the
// same caller reports are equal, so the larger one is the more complete.
func (s *sumReader) Sums(records []*pb.Record, m Identity) []Sum {
	if s.decoded == nil {
		s.decoded, s.pairs = map[string]*decodedSum{}, map[sourceKey]*sumPair{}
	}
	changed := false
	for _, record := range records {
		if !strings.HasPrefix(record.GetKey(), domainKeyPrefix) {
			continue
		}
		if d, ok := s.decode(record); ok && d.evidence.GetMove() == m.Move && d.evidence.GetGeneration() == m.Generation {
			s.addSum(d, m)
			changed = true
		}
	}
	if changed {
		s.sums = selectLargest(s.pairs)
	}
	return s.sums
}

func (s *sumReader) addSum(d *decodedSum, m Identity) {
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

// decode returns the decoded record, and false if it is cached or invalid.
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

func selectLargest(pairs map[sourceKey]*sumPair) []Sum {
	best := map[sourceKey]*sumPair{}
	for key, p := range pairs {
		if p.from == nil || p.to == nil || p.from.counter != p.to.counter || p.from.incarnation != p.to.incarnation {
			continue
		}
		key.owner = ""
		if current, ok := best[key]; !ok || p.preferredTo(current) {
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

// preferredTo reports whether p has more attempts than current, or as many and
// the smaller owner name.
func (p *sumPair) preferredTo(current *sumPair) bool {
	total, currentTotal := p.from.counts.Attempts+p.to.counts.Attempts, current.from.counts.Attempts+current.to.counts.Attempts
	return total > currentTotal || (total == currentTotal && p.to.owner < current.to.owner)
}
