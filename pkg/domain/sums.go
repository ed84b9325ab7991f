package domain

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// sums adds up the evidence and the usage that the member daemons report.
type sums struct {
	moves *move.DomainSum
	mu    sync.Mutex
	usage map[usageKey]map[string]*usageReport
}

type usageKey struct{ service, route, member string }

type usageReport struct {
	rate float64
	key  string
	at   time.Time
}

func newSums(o Options) *sums {
	return &sums{
		moves: move.NewDomainSum(o.Domain, o.Name, uint64(time.Now().UnixMilli())),
		usage: map[usageKey]map[string]*usageReport{},
	}
}

// take removes evidence and usage from the records of a member daemon, and
// returns the others.
func (s *sums) take(owner string, records []*pb.Record) []*pb.Record {
	s.moves.Apply(records...)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rest []*pb.Record
	for _, r := range records {
		switch r.GetKind() {
		case pb.RecordKind_RECORD_EVIDENCE: // in the sums of moves
		case pb.RecordKind_RECORD_USAGE:
			s.takeUsageLocked(owner, r)
		default:
			rest = append(rest, r)
		}
	}
	return rest
}

func (s *sums) takeUsageLocked(owner string, r *pb.Record) {
	u := &pb.Usage{}
	if proto.Unmarshal(r.GetPayload(), u) != nil {
		return
	}
	key := usageKey{service: r.GetService(), route: u.GetRoute(), member: u.GetMember()}
	if s.usage[key] == nil {
		s.usage[key] = map[string]*usageReport{}
	}
	s.usage[key][owner] = &usageReport{rate: u.GetCallsPerSecond(), key: r.GetKey(), at: time.Now()}
}

// publishSums spreads the changed sums of evidence to the other distributors,
// and gives each daemon its share of the limits on usage.
func (d *Distributor) publishSums(now time.Time) {
	d.spread(d.sums.moves.Records(), nil)
	d.spread(d.usageRecords(now), nil)
	d.shareUsage(now)
}

// ownRecord makes a record that this distributor owns; its key has the name,
// so that the sums of both distributors of a domain are kept.
func (d *Distributor) ownRecord(kind pb.RecordKind, service, key string, payload []byte) *pb.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter++
	return &pb.Record{
		Kind: kind, Service: service, Key: key + "#" + d.o.Name, Owner: d.o.Name,
		Incarnation: uint64(d.started.UnixMilli()), Counter: d.counter, Payload: payload,
	}
}

// usageRecords are the sums of this domain for the other domains.
func (d *Distributor) usageRecords(now time.Time) []*pb.Record {
	var records []*pb.Record
	for key, total := range d.sums.usageTotals(now) {
		payload := mustMarshal(&pb.Usage{Route: key.route, Member: key.member, CallsPerSecond: total})
		records = append(records, d.ownRecord(pb.RecordKind_RECORD_USAGE, key.service,
			key.route+"/"+key.member+"@"+d.o.Domain, payload))
	}
	return records
}

// usageTotals adds the fresh reports of the domain's daemons.
func (s *sums) usageTotals(now time.Time) map[usageKey]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := map[usageKey]float64{}
	for key, reports := range s.usage {
		for owner, r := range reports {
			if now.Sub(r.at) > usageKeep {
				delete(reports, owner)
				continue
			}
			totals[key] += r.rate
		}
		if len(reports) == 0 {
			delete(s.usage, key)
		}
	}
	return totals
}
