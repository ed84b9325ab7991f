package domain

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// distributedRecords returns the distributed records of the given services.
func (t *Table) distributedRecords(services []string) []*pb.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []*pb.Record
	for _, service := range services {
		s := t.services[service]
		if s == nil {
			continue
		}
		for key, e := range s.entries {
			if distributed(key.kind) {
				records = append(records, e.record)
			}
		}
	}
	return records
}

// allDistributed returns the distributed records of every service.
func (t *Table) allDistributed() []*pb.Record {
	return t.selectRecords(func(e *entry) bool { return distributed(e.record.GetKind()) })
}

// ownedEndpoints returns the endpoint records that one daemon owns.
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
	if l := s.entries[livenessKey(endpoint)]; l != nil && appliesTo(l.record, endpoint) {
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

// domainRecords returns the liveness records of whole domains.
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

// Sweep removes expired records: endpoints of departed daemons, and old suspects,
// grants, sums and usage.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	dirty := map[string]bool{}
	for service, s := range t.services {
		// The expiry of an endpoint depends on its liveness record, so nothing is
		// removed before all records have been checked.
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
	age := now.Sub(e.appliedAt)
	switch key.kind {
	case pb.RecordKind_RECORD_SUSPECT:
		return age > departedRetention
	case pb.RecordKind_RECORD_GRANT:
		return age > grantRetention
	case pb.RecordKind_RECORD_EVIDENCE:
		return age > evidenceRetention
	case pb.RecordKind_RECORD_USAGE:
		return age > usageMaxAge
	case pb.RecordKind_RECORD_LIVENESS:
		return isDeparture(e.record) && age > departedRetention
	case pb.RecordKind_RECORD_ENDPOINT:
		if isPreviousRun(e.record) {
			return age > departedRetention
		}
		l := s.entries[livenessKey(e.record)]
		return l != nil && appliesTo(l.record, e.record) && isDeparture(l.record) && now.Sub(l.appliedAt) > departedRetention
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
