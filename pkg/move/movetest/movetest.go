// Package movetest provides fakes of the dependencies of a move controller: the
// record table of a distributor, and the services with their targets.
package movetest

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Table is an in-memory record table that orders records as pb.Record specifies.
type Table struct {
	mu      sync.Mutex
	records map[tableKey]*pb.Record
	sorted  map[sortKey][]*pb.Record
	// OnPublish, if set, is called with each record that Publish accepted.
	OnPublish func(*pb.Record)
}

type tableKey struct {
	kind         pb.RecordKind
	service, key string
}

type sortKey struct {
	kind    pb.RecordKind
	service string
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[tableKey]*pb.Record{}, sorted: map[sortKey][]*pb.Record{}}
}

// Apply stores a record if it supersedes the existing one, and reports whether it
// does.
func (t *Table) Apply(record *pb.Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := tableKey{record.GetKind(), record.GetService(), record.GetKey()}
	if existing, ok := t.records[key]; ok && !supersedes(record, existing) {
		return false
	}
	t.records[key] = record
	delete(t.sorted, sortKey{record.GetKind(), record.GetService()})
	return true
}

func supersedes(record, existing *pb.Record) bool {
	if record.GetFinal() != existing.GetFinal() {
		return record.GetFinal()
	}
	return cmp.Or(
		cmp.Compare(record.GetIncarnation(), existing.GetIncarnation()),
		cmp.Compare(record.GetCounter(), existing.GetCounter()),
	) > 0
}

// Records returns the records of a kind and service in key order.
func (t *Table) Records(kind pb.RecordKind, service string) []*pb.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := sortKey{kind, service}
	if cached, ok := t.sorted[key]; ok {
		return cached
	}
	var records []*pb.Record
	for k, record := range t.records {
		if k.kind == kind && k.service == service {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b *pb.Record) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	t.sorted[key] = records
	return records
}

// Publish implements move.Records.
func (t *Table) Publish(record *pb.Record) {
	if t.Apply(record) && t.OnPublish != nil {
		t.OnPublish(record)
	}
}

// Services is a set of bundles with numbers of targets, both set by the test.
type Services struct {
	mu      sync.Mutex
	bundles []*config.Bundle
	counts  map[string]map[string]int
}

// SetBundles replaces the bundles.
func (s *Services) SetBundles(bundles ...*config.Bundle) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bundles = bundles
}

// SetTargets replaces the number of targets of one version.
func (s *Services) SetTargets(service, version string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[string]map[string]int{}
	}
	if s.counts[service] == nil {
		s.counts[service] = map[string]int{}
	}
	s.counts[service][version] = n
}

// Bundles implements move.Services; all bundles are in every shard.
func (s *Services) Bundles(int) []*config.Bundle {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bundles
}

// EndpointCounts implements move.Services.
func (s *Services) EndpointCounts(service string) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for version, n := range s.counts[service] {
		counts[version] = n
	}
	return counts
}
