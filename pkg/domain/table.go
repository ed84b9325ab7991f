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
	// grantRetention is how long grants are kept after their last change. Their
	// term is 10 s, and a move without a grant has no share.
	grantRetention = 24 * time.Hour
	// evidenceRetention is how long sums of evidence are kept after their last change.
	evidenceRetention = time.Hour
	// usageMaxAge is how long a usage record is valid without renewal.
	usageMaxAge = 5 * time.Second
)

// Table stores the newest record of each key. Views of a service are immutable
// and are read without locks or copying.
type Table struct {
	mu            sync.Mutex
	services      map[string]*serviceRecords
	domains       map[string]map[string]*entry // liveness of whole domains, by domain and key
	subscriptions map[*subscription]struct{}
	views         atomic.Pointer[map[string]*atomic.Pointer[view]]
}

type serviceRecords struct {
	entries map[recordKey]*entry
	digest  uint64
}

// view is an immutable snapshot of the records of one service.
type view struct {
	endpoints []*Endpoint
	grants    []*Grant
	records   map[pb.RecordKind][]*pb.Record
}

type subscription struct {
	signal   chan struct{}
	services map[string]bool // empty for all
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{
		services:      map[string]*serviceRecords{},
		domains:       map[string]map[string]*entry{},
		subscriptions: map[*subscription]struct{}{},
	}
	t.views.Store(&map[string]*atomic.Pointer[view]{})
	return t
}

// Endpoints returns the endpoints of a service, sorted by name. The caller must
// not change the slice.
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

// Records returns a service's records of one kind, sorted by key. The caller must
// not change the slice or the records.
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

// Apply adds a record and reports whether it replaced the stored one.
func (t *Table) Apply(r *pb.Record) bool { return slices.Contains(t.ApplyAll([]*pb.Record{r}), r) }

// ApplyAll adds records and returns those that replaced the stored ones, and the
// records of previous runs that it derived from them. The table keeps the records,
// so the caller must not change them afterwards.
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

// applyLocked adds a record. It appends the record, if it replaced the stored one,
// and the record of a previous run to applied.
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
	if run := previousRun(earlier, later, s.entries[livenessKey(r)]); run != nil {
		return t.applyLocked(applied, run, now, dirty)
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

// applyDomainLocked adds a liveness record of a whole domain, which may change the
// endpoints of every service.
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

// domainLostLocked reports whether a domain is lost: at least one of the local
// distributors reports it as down, and none as reachable.
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
		p.Store(t.buildViewLocked(service))
	}
	for c := range t.subscriptions {
		if c.matches(dirty) {
			notify(c.signal)
		}
	}
}

func (t *Table) buildViewLocked(service string) *view {
	v := &view{records: map[pb.RecordKind][]*pb.Record{}}
	s := t.services[service]
	if s == nil {
		return v
	}
	for key, e := range s.entries {
		v.records[key.kind] = append(v.records[key.kind], e.record)
		switch key.kind {
		case pb.RecordKind_RECORD_ENDPOINT:
			v.endpoints = append(v.endpoints, t.buildEndpointLocked(s, e))
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

func (t *Table) buildEndpointLocked(s *serviceRecords, e *entry) *Endpoint {
	endpoint := &Endpoint{Endpoint: e.endpoint, Lost: t.domainLostLocked(e.endpoint.GetDomain())}
	l := s.entries[livenessKey(e.record)]
	if l != nil && appliesTo(l.record, e.record) {
		endpoint.Lost = true
		if isDeparture(l.record) {
			endpoint.Departed, endpoint.DepartedAt = true, l.appliedAt
		}
	}
	return endpoint
}

func livenessKey(endpoint *pb.Record) recordKey {
	return recordKey{kind: pb.RecordKind_RECORD_LIVENESS, service: endpoint.GetService(), key: endpoint.GetKey()}
}

// Digest returns the combined digest of the given services. Equal digests mean
// that two tables have the same distributed records of these services. It is
// never 0, which stands for "unchanged" in messages.
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

// Changes returns a channel that receives a value after records of the given
// services changed, or of any service if none is given. Several changes may be
// coalesced into one value. The returned function ends the subscription.
func (t *Table) Changes(services ...string) (<-chan struct{}, func()) {
	c := &subscription{signal: make(chan struct{}, 1), services: map[string]bool{}}
	for _, service := range services {
		c.services[service] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscriptions[c] = struct{}{}
	return c.signal, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscriptions, c)
	}
}

func (c *subscription) matches(dirty map[string]bool) bool {
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

// notify sends a coalescing signal without blocking.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
