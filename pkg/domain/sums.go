package domain

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// sums adds up the evidence and the usage that the member daemons report.
type sums struct {
	moves    *move.DomainSum
	mu       sync.Mutex
	evidence map[string]*evidenceSum // by service and sum key
	usage    map[usageKey]map[string]*usageReport
	dirty    map[string]bool
}

// evidenceSum keeps the last report of each daemon run, so a repeated or late
// report changes nothing, and a restarted daemon's earlier counts stay.
type evidenceSum struct {
	service string
	reports map[evidenceSource]evidenceReport
}

type evidenceSource struct {
	owner       string
	incarnation uint64
	key         string
}

type evidenceReport struct {
	counter  uint64
	evidence *pb.Evidence
}

type usageKey struct{ service, route, member string }

type usageReport struct {
	rate float64
	key  string
	at   time.Time
}

func newSums(o Options) *sums {
	return &sums{
		moves:    move.NewDomainSum(o.Domain, o.Name, uint64(time.Now().UnixMilli())),
		evidence: map[string]*evidenceSum{}, usage: map[usageKey]map[string]*usageReport{},
		dirty: map[string]bool{},
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
		case pb.RecordKind_RECORD_EVIDENCE:
			s.takeEvidenceLocked(r)
		case pb.RecordKind_RECORD_USAGE:
			s.takeUsageLocked(owner, r)
		default:
			rest = append(rest, r)
		}
	}
	return rest
}

func (s *sums) takeEvidenceLocked(r *pb.Record) {
	e := &pb.Evidence{}
	if proto.Unmarshal(r.GetPayload(), e) != nil {
		return
	}
	key := fmt.Sprintf("%s/%d/%s/%s/%s", e.GetMove(), e.GetGeneration(), e.GetRoute(), e.GetVersion(), e.GetCallerDomain())
	id := r.GetService() + "\x00" + key
	sum := s.evidence[id]
	if sum == nil {
		sum = &evidenceSum{service: r.GetService(), reports: map[evidenceSource]evidenceReport{}}
		s.evidence[id] = sum
	}
	source := evidenceSource{owner: r.GetOwner(), incarnation: r.GetIncarnation(), key: r.GetKey()}
	if old, ok := sum.reports[source]; ok && old.counter >= r.GetCounter() {
		return
	}
	sum.reports[source] = evidenceReport{counter: r.GetCounter(), evidence: e}
	s.dirty[id] = true
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

// total adds the reports of a sum.
func (e *evidenceSum) total() *pb.Evidence {
	var total *pb.Evidence
	for _, report := range e.reports {
		r := report.evidence
		if total == nil {
			total = &pb.Evidence{
				Move: r.GetMove(), Generation: r.GetGeneration(), Route: r.GetRoute(), Version: r.GetVersion(),
				CallerDomain: r.GetCallerDomain(), Idempotent: r.GetIdempotent(),
			}
		}
		total.Attempts += r.GetAttempts()
		total.Failures += r.GetFailures()
		total.Crashes += r.GetCrashes()
		for i, n := range r.GetLatencyBuckets() {
			if i == len(total.LatencyBuckets) {
				total.LatencyBuckets = append(total.LatencyBuckets, 0)
			}
			total.LatencyBuckets[i] += n
		}
	}
	return total
}

// publishSums spreads the changed sums of evidence to the other distributors,
// and gives each daemon its share of the limits on usage.
func (d *Distributor) publishSums(now time.Time) {
	d.spread(d.sums.moves.Records(), nil)
	d.spread(d.evidenceRecords(), nil)
	d.spread(d.usageRecords(now), nil)
	d.shareUsage(now)
}

func (d *Distributor) evidenceRecords() []*pb.Record {
	d.sums.mu.Lock()
	defer d.sums.mu.Unlock()
	var records []*pb.Record
	for _, id := range slices.Sorted(maps.Keys(d.sums.dirty)) {
		sum := d.sums.evidence[id]
		records = append(records, d.ownRecord(pb.RecordKind_RECORD_EVIDENCE, sum.service,
			id[len(sum.service)+1:], mustMarshal(sum.total())))
	}
	clear(d.sums.dirty)
	return records
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

// Evidence returns the evidence of a service: for each move, generation,
// route, version and caller domain the larger of the two distributors' sums.
func (d *Distributor) Evidence(service string) []*pb.Evidence {
	type key struct {
		move, route, version, domain string
		generation                   uint64
	}
	best := map[key]*pb.Evidence{}
	var order []key
	for _, r := range d.table.Records(pb.RecordKind_RECORD_EVIDENCE, service) {
		e := &pb.Evidence{}
		if proto.Unmarshal(r.GetPayload(), e) != nil {
			continue
		}
		k := key{e.GetMove(), e.GetRoute(), e.GetVersion(), e.GetCallerDomain(), e.GetGeneration()}
		if best[k] == nil {
			order = append(order, k)
		}
		if best[k] == nil || e.GetAttempts() > best[k].GetAttempts() {
			best[k] = e
		}
	}
	found := make([]*pb.Evidence, 0, len(order))
	for _, k := range order {
		found = append(found, best[k])
	}
	return found
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
