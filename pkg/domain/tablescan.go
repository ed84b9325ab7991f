package domain

import (
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// distributedRecords returns the records that subscribers of the services get;
// with no services, those of all.
func (t *Table) distributedRecords(services []string) []*pb.Record {
	return t.selectRecords(func(e *entry) bool {
		return distributed(e.record.GetKind()) &&
			(services == nil || slices.Contains(services, e.record.GetService()))
	})
}

// ownedEndpoints returns the endpoint records of one daemon.
func (t *Table) ownedEndpoints(owner string) []*entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*entry
	for _, s := range t.services {
		for key, e := range s.entries {
			if key.kind == pb.RecordKind_RECORD_ENDPOINT && e.record.GetOwner() == owner {
				found = append(found, e)
			}
		}
	}
	return found
}

// liveness returns the unrefuted liveness record of an endpoint, or nil.
func (t *Table) liveness(endpoint *pb.Record) *pb.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[endpoint.GetService()]
	if s == nil {
		return nil
	}
	if l := s.entries[livenessKey(endpoint)]; l != nil && concerns(l.record, endpoint) {
		return l.record
	}
	return nil
}

func (t *Table) selectRecords(want func(*entry) bool) []*pb.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []*pb.Record
	for _, s := range t.services {
		for _, e := range s.entries {
			if want(e) {
				records = append(records, e.record)
			}
		}
	}
	return records
}

// domainRecords returns the observations of whole domains.
func (t *Table) domainRecords() []*pb.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []*pb.Record
	for _, entries := range t.domains {
		for _, e := range entries {
			records = append(records, e.record)
		}
	}
	return records
}

// Sweep removes what has served its time: departed daemons, old suspects,
// grants, sums and usage.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	dirty := map[string]bool{}
	for service, s := range t.services {
		// An endpoint's expiry depends on its liveness record, so nothing is
		// removed before everything is judged.
		var expired []recordKey
		for key, e := range s.entries {
			if t.expired(s, key, e, now) {
				expired = append(expired, key)
			}
		}
		for _, key := range expired {
			s.digest ^= digestOf(s.entries[key].record)
			delete(s.entries, key)
			dirty[service] = true
		}
		if len(s.entries) == 0 {
			delete(t.services, service)
		}
	}
	t.publishLocked(dirty)
}

func (t *Table) expired(s *serviceRecords, key recordKey, e *entry, now time.Time) bool {
	age := now.Sub(e.at)
	switch key.kind {
	case pb.RecordKind_RECORD_SUSPECT:
		return age > departKeep
	case pb.RecordKind_RECORD_GRANT:
		return age > finalKeep
	case pb.RecordKind_RECORD_EVIDENCE:
		return age > sumKeep
	case pb.RecordKind_RECORD_USAGE:
		return age > usageKeep
	case pb.RecordKind_RECORD_LIVENESS:
		return saysDeparted(e.record) && age > departKeep
	case pb.RecordKind_RECORD_ENDPOINT:
		if isEarlierStay(e.record) {
			return age > departKeep
		}
		l := s.entries[livenessKey(e.record)]
		return l != nil && concerns(l.record, e.record) && saysDeparted(l.record) && now.Sub(l.at) > departKeep
	}
	return false
}

// drop removes the records of services that are no longer subscribed.
func (t *Table) drop(services []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	dirty := map[string]bool{}
	for _, service := range services {
		if t.services[service] != nil {
			delete(t.services, service)
			dirty[service] = true
		}
	}
	t.publishLocked(dirty)
}
