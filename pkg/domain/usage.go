package domain

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// shareUsage sends each daemon that reported usage its share of the member's
// limit, in proportion to its part of the member's calls in all domains.
func (d *Distributor) shareUsage(now time.Time) {
	totals := d.sums.usageTotals(now)
	if len(totals) == 0 {
		return
	}
	bundles := map[string]*config.Bundle{}
	for key, local := range totals {
		bundle, ok := bundles[key.service]
		if !ok {
			bundle = d.catalog.bundle(key.service)
			bundles[key.service] = bundle
		}
		limit := memberLimit(bundle, key.route)
		total := local + d.remoteUsage(key)
		if limit <= 0 || total <= 0 {
			continue
		}
		d.sendShares(key, limit, total)
	}
}

func memberLimit(b *config.Bundle, route string) float64 {
	if b == nil {
		return 0
	}
	for _, r := range b.Service.Routes {
		if r.Name == route && r.Limits != nil && r.Limits.PerMember != nil {
			return r.Limits.PerMember.PerSecond
		}
	}
	return 0
}

// remoteUsage returns the usage in the other domains. Of each domain it counts the
// larger of its distributors' sums.
func (d *Distributor) remoteUsage(key usageKey) float64 {
	largest := map[string]float64{}
	prefix := key.route + "/" + key.member + "@"
	for _, r := range d.table.Records(pb.RecordKind_RECORD_USAGE, key.service) {
		rest, ok := strings.CutPrefix(r.GetKey(), prefix)
		if !ok {
			continue
		}
		domain, _, _ := strings.Cut(rest, "#")
		u := &pb.Usage{}
		if domain != d.options.Domain && proto.Unmarshal(r.GetPayload(), u) == nil {
			largest[domain] = max(largest[domain], u.GetCallsPerSecond())
		}
	}
	sum := 0.0
	for _, rate := range largest {
		sum += rate
	}
	return sum
}

func (d *Distributor) sendShares(key usageKey, limit, total float64) {
	type share struct {
		session *session
		record  *pb.Record
	}
	var shares []share
	d.sums.mu.Lock()
	reports := d.sums.usage[key]
	d.mu.Lock()
	for owner, report := range reports {
		if s := d.sessions[owner]; s != nil {
			d.counter++
			payload := &pb.Usage{
				Route: key.route, Member: key.member, CallsPerSecond: total,
				SharePerSecond: limit * report.rate / total,
			}
			shares = append(shares, share{s, &pb.Record{
				Kind: pb.RecordKind_RECORD_USAGE, Service: key.service, Key: report.key + "#share",
				Owner: d.options.Name, Incarnation: uint64(d.started.UnixMilli()), Counter: d.counter,
				Payload: mustMarshal(payload),
			}})
		}
	}
	d.mu.Unlock()
	d.sums.mu.Unlock()
	for _, s := range shares {
		s.session.queueShare(s.record)
	}
}

// queueShare queues a share if this distributor is the daemon's primary.
func (s *session) queueShare(r *pb.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary {
		s.pending[keyOf(r)] = r
		notify(s.wake)
	}
}
