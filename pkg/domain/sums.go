package domain

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// sums adds up the evidence and the usage that member daemons report.
type sums struct {
	moves *move.DomainSum
	mu    sync.Mutex
	usage map[usageKey]map[string]*usageReport
}

type usageKey struct{ service, route, member string }

type usageReport struct {
	rate       float64
	key        string
	receivedAt time.Time
}

func newSums(o Options) *sums {
	return &sums{
		moves: move.NewDomainSum(o.Domain, o.Name, uint64(time.Now().UnixMilli())),
		usage: map[usageKey]map[string]*usageReport{},
	}
}

// add adds the evidence and the usage in the records of a member daemon to the
// sums, and returns the other records.
func (s *sums) add(owner string, records []*pb.Record) []*pb.Record {
	s.moves.Apply(records...)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rest []*pb.Record
	for _, r := range records {
		switch r.GetKind() {
		case pb.RecordKind_RECORD_EVIDENCE: // added to s.moves above
		case pb.RecordKind_RECORD_USAGE:
			s.addUsageLocked(owner, r)
		default:
			rest = append(rest, r)
		}
	}
	return rest
}

func (s *sums) addUsageLocked(owner string, r *pb.Record) {
	u := &pb.Usage{}
	if proto.Unmarshal(r.GetPayload(), u) != nil {
		return
	}
	key := usageKey{service: r.GetService(), route: u.GetRoute(), member: u.GetMember()}
	if s.usage[key] == nil {
		s.usage[key] = map[string]*usageReport{}
	}
	s.usage[key][owner] = &usageReport{rate: u.GetCallsPerSecond(), key: r.GetKey(), receivedAt: time.Now()}
}

// publishSums distributes the changed sums of evidence and the sums of usage to
// the other distributors, and sends each daemon its shares of the usage limits.
func (d *Distributor) publishSums(now time.Time) {
	d.distribute(d.sums.moves.Records(), nil)
	d.distribute(d.usageRecords(now), nil)
	d.shareUsage(now)
}

// newOwnedRecord returns a record that this distributor owns. Its key contains the
// distributor's name, so that the sums of both distributors of a domain are kept.
func (d *Distributor) newOwnedRecord(kind pb.RecordKind, service, key string, payload []byte) *pb.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter++
	return &pb.Record{
		Kind: kind, Service: service, Key: key + "#" + d.options.Name, Owner: d.options.Name,
		Incarnation: uint64(d.started.UnixMilli()), Counter: d.counter, Payload: payload,
	}
}

// usageRecords returns this domain's sums of usage for the other domains.
func (d *Distributor) usageRecords(now time.Time) []*pb.Record {
	var records []*pb.Record
	for key, total := range d.sums.usageTotals(now) {
		payload := mustMarshal(&pb.Usage{Route: key.route, Member: key.member, CallsPerSecond: total})
		records = append(records, d.newOwnedRecord(pb.RecordKind_RECORD_USAGE, key.service,
			key.route+"/"+key.member+"@"+d.options.Domain, payload))
	}
	return records
}

// usageTotals adds up the reports of the local daemons that are not older than
// usageMaxAge, and drops older ones.
func (s *sums) usageTotals(now time.Time) map[usageKey]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	totals := map[usageKey]float64{}
	for key, reports := range s.usage {
		for owner, r := range reports {
			if now.Sub(r.receivedAt) > usageMaxAge {
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
