package domain

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// finalKeep is how long grants are kept after their last change; their
	// term is 10 s, and a move whose grant is gone has no share.
	finalKeep = 24 * time.Hour
	// sumKeep is how long sums of evidence are kept after their last change.
	sumKeep = time.Hour
	// usageKeep is how long a usage record counts without renewal.
	usageKeep = 5 * time.Second
)

// Table holds the newest record of each fact. Views of a service are immutable
// and read without locks or copying.
type Table struct {
	mu       sync.Mutex
	services map[string]*serviceRecords
	domains  map[string]map[string]*entry // liveness of whole domains, by domain and key
	changes  map[*changes]struct{}
	views    atomic.Pointer[map[string]*atomic.Pointer[view]]
}

type serviceRecords struct {
	entries map[recordKey]*entry
	digest  uint64
}

// view is what readers see of one service.
type view struct {
	endpoints []*Endpoint
	grants    []*Grant
	records   map[pb.RecordKind][]*pb.Record
}

type changes struct {
	signal   chan struct{}
	services map[string]bool // empty for all
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		services: map[string]*serviceRecords{},
		domains:  map[string]map[string]*entry{},
		changes:  map[*changes]struct{}{},
	}
	t.views.Store(&map[string]*atomic.Pointer[view]{})
	return t
}

// Endpoints returns the endpoints of a service in order of their names. The
// caller must not change the slice.
func (t *Table) Endpoints(service string) []*Endpoint {
	if v := t.view(service); v != nil {
		return v.endpoints
	}
	return nil
}

// Grants returns the grants of a service. The caller must not change the slice.
func (t *Table) Grants(service string) []*Grant {
	if v := t.view(service); v != nil {
		return v.grants
	}
	return nil
}

// Records returns the records of one kind of a service in order of their keys.
// The caller must not change the slice or the records.
func (t *Table) Records(kind pb.RecordKind, service string) []*pb.Record {
	if v := t.view(service); v != nil {
		return v.records[kind]
	}
	return nil
}

func (t *Table) view(service string) *view {
	if p := (*t.views.Load())[service]; p != nil {
		return p.Load()
	}
	return nil
}

// Apply adds a record and reports whether it holds against the one before it.
func (t *Table) Apply(r *pb.Record) bool { return slices.Contains(t.ApplyAll([]*pb.Record{r}), r) }

// ApplyAll adds records and returns those that hold, with the earlier stays of
// restarted daemons that they tell of. The table keeps the records; the caller must not change them afterwards.
func (t *Table) ApplyAll(records []*pb.Record) []*pb.Record {
	if len(records) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	dirty := map[string]bool{}
	var applied []*pb.Record
	for _, r := range records {
		applied = t.applyLocked(applied, r, now, dirty)
	}
	t.publishLocked(dirty)
	return applied
}

// applyLocked adds a record and appends what holds to applied.
func (t *Table) applyLocked(applied []*pb.Record, r *pb.Record, now time.Time, dirty map[string]bool) []*pb.Record {
	e, ok := newEntry(r, now)
	if !ok {
		return applied
	}
	if r.GetKind() == pb.RecordKind_RECORD_LIVENESS && r.GetService() == "" {
		if t.applyDomainLocked(e, dirty) {
			applied = append(applied, r)
		}
		return applied
	}
	s := t.services[r.GetService()]
	if s == nil {
		s = &serviceRecords{entries: map[recordKey]*entry{}}
		t.services[r.GetService()] = s
	}
	old := s.entries[keyOf(r)]
	earlier, later := old, e
	if old != nil && !newer(r, old.record) {
		earlier, later = e, old
	} else {
		applied = append(applied, s.set(old, e))
		dirty[r.GetService()] = true
	}
	if earlier == nil {
		return applied
	}
	if stay := earlierStay(earlier, later, s.entries[livenessKey(r)]); stay != nil {
		return t.applyLocked(applied, stay, now, dirty)
	}
	return applied
}

// set replaces an entry, which may be nil, and returns the new record.
func (s *serviceRecords) set(old, e *entry) *pb.Record {
	if old != nil {
		s.digest ^= digestOf(old.record)
	}
	s.digest ^= digestOf(e.record)
	s.entries[keyOf(e.record)] = e
	return e.record
}

// applyDomainLocked adds an observation of a whole domain. The endpoints of
// every service may change with it.
func (t *Table) applyDomainLocked(e *entry, dirty map[string]bool) bool {
	name := e.endpoint.GetDomain()
	if t.domains[name] == nil {
		t.domains[name] = map[string]*entry{}
	}
	old := t.domains[name][e.record.GetKey()]
	if old != nil && !newer(e.record, old.record) {
		return false
	}
	before := t.domainLostLocked(name)
	t.domains[name][e.record.GetKey()] = e
	if t.domainLostLocked(name) != before {
		for service := range t.services {
			dirty[service] = true
		}
	}
	return true
}

// domainLostLocked reports whether a domain is lost: one of the own
// distributors misses it, and none reaches it.
func (t *Table) domainLostLocked(name string) bool {
	lost := false
	for _, e := range t.domains[name] {
		if e.endpoint.GetState() == pb.EndpointState_ENDPOINT_READY {
			return false
		}
		lost = true
	}
	return lost
}

func (t *Table) publishLocked(dirty map[string]bool) {
	for service := range dirty {
		views := *t.views.Load()
		p := views[service]
		if p == nil {
			p = &atomic.Pointer[view]{}
			next := maps.Clone(views)
			next[service] = p
			t.views.Store(&next)
		}
		p.Store(t.buildLocked(service))
	}
	for c := range t.changes {
		if c.concerns(dirty) {
			notify(c.signal)
		}
	}
}

func (t *Table) buildLocked(service string) *view {
	v := &view{records: map[pb.RecordKind][]*pb.Record{}}
	s := t.services[service]
	if s == nil {
		return v
	}
	for key, e := range s.entries {
		v.records[key.kind] = append(v.records[key.kind], e.record)
		switch key.kind {
		case pb.RecordKind_RECORD_ENDPOINT:
			v.endpoints = append(v.endpoints, t.observeLocked(s, e))
		case pb.RecordKind_RECORD_GRANT:
			v.grants = append(v.grants, &Grant{Grant: e.grant, Final: e.record.GetFinal()})
		}
	}
	for _, records := range v.records {
		slices.SortFunc(records, func(a, b *pb.Record) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	}
	slices.SortFunc(v.endpoints, func(a, b *Endpoint) int { return strings.Compare(a.GetName(), b.GetName()) })
	slices.SortFunc(v.grants, func(a, b *Grant) int {
		return strings.Compare(GrantKey(a.GetMove(), a.GetGeneration()), GrantKey(b.GetMove(), b.GetGeneration()))
	})
	return v
}

func (t *Table) observeLocked(s *serviceRecords, e *entry) *Endpoint {
	endpoint := &Endpoint{Endpoint: e.endpoint, Lost: t.domainLostLocked(e.endpoint.GetDomain())}
	l := s.entries[livenessKey(e.record)]
	if l != nil && concerns(l.record, e.record) {
		endpoint.Lost = true
		if saysDeparted(l.record) {
			endpoint.Departed, endpoint.DepartedAt = true, l.at
		}
	}
	return endpoint
}

func livenessKey(endpoint *pb.Record) recordKey {
	return recordKey{kind: pb.RecordKind_RECORD_LIVENESS, service: endpoint.GetService(), key: endpoint.GetKey()}
}

// Digest combines the digests of the given services. Equal digests mean that
// two tables hold the same distributed records of them. It is never 0, which
// stands for "not told" in messages.
func (t *Table) Digest(services []string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var digest uint64
	for _, service := range services {
		if s := t.services[service]; s != nil {
			digest ^= s.digest
		}
	}
	return max(digest, 1)
}

// Changes returns a channel that gets a value after records of the given
// services changed, or of any service if none is given. Several changes may
// give one value. The function ends the subscription.
func (t *Table) Changes(services ...string) (<-chan struct{}, func()) {
	c := &changes{signal: make(chan struct{}, 1), services: map[string]bool{}}
	for _, service := range services {
		c.services[service] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes[c] = struct{}{}
	return c.signal, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.changes, c)
	}
}

func (c *changes) concerns(dirty map[string]bool) bool {
	if len(c.services) == 0 {
		return len(dirty) > 0
	}
	for service := range dirty {
		if c.services[service] {
			return true
		}
	}
	return false
}

// notify sets a coalescing signal.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
