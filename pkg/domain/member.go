package domain

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Member is a daemon in the role of a member of its failure domain. It keeps the
// configuration snapshot and the records of the subscribed services up to date
// with the updates that it receives from the distributors.
type Member struct {
	options     Options
	random      *random
	peers       *link.Peers
	table       *Table
	snapshot    atomic.Pointer[config.Snapshot]
	lease       atomic.Pointer[time.Time]
	callVersion atomic.Uint64 // highest configuration version received with a call

	mu                   sync.Mutex
	incarnation          uint64
	counter              uint64
	published            map[recordKey]*pb.Record
	subscriptions        []string // subscribed services, sorted
	subscriptionRevision uint64   // incremented with every change of subscriptions
	completedRevision    uint64   // subscription revision for which all records are stored
	feeds                map[string]*feed
	primary              string
	distributors         []string // addresses, as last received
	successorAddresses   []string // in order of the successors' rank
	successorNames       []string
	listed               bool                // a lease of the domain contains this daemon's address
	domainAddresses      map[string][]string // of the distributors, by domain, from the store
	disconnectedSince    time.Time           // since when no distributor is connected
	storeDownSince       time.Time           // since when store calls fail, zero if the last one succeeded
	floor                floorState
	previousSlot         int // of the lease of a previous process of this daemon, or noSlot
	leaving              bool

	changed         chan struct{} // closed and replaced when waiters must check their condition
	wake            chan struct{} // makes Run call supervise
	snapshotChanged chan struct{} // signals a new snapshot; coalescing
}

// NewMember returns a Member without configuration and records.
func NewMember(o Options) *Member {
	o.setDefaults()
	now := time.Now()
	return &Member{
		options: o, random: newRandom(o.Seed, o.Name), peers: link.NewPeers(o.Dial), table: NewTable(),
		incarnation: uint64(now.UnixMilli()), published: map[recordKey]*pb.Record{}, feeds: map[string]*feed{},
		domainAddresses: map[string][]string{}, disconnectedSince: now, changed: make(chan struct{}),
		wake: make(chan struct{}, 1), snapshotChanged: make(chan struct{}, 1), previousSlot: noSlot,
	}
}

// Table returns the records of the subscribed services.
func (m *Member) Table() *Table { return m.table }

// Snapshot returns the configuration in force, nil before there is one.
func (m *Member) Snapshot() *config.Snapshot { return m.snapshot.Load() }

// SnapshotChanged returns a channel that receives a value after a new snapshot
// came into force. It supports one reader.
func (m *Member) SnapshotChanged() <-chan struct{} { return m.snapshotChanged }

// Incarnation returns the incarnation that orders this daemon's records.
func (m *Member) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// Lease returns the time at which the membership lease expires, until which
// non-idempotent work may start. The caller must check it against the monotonic
// clock just before it dispatches a call.
func (m *Member) Lease() time.Time {
	if until := m.lease.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

// RecordVersion records the configuration version of a call. A version newer than
// the snapshot and all previous calls is reported to the distributors at once.
func (m *Member) RecordVersion(version uint64) {
	if version <= m.Snapshot().Version() {
		return
	}
	for {
		highest := m.callVersion.Load()
		if version <= highest {
			return
		}
		if m.callVersion.CompareAndSwap(highest, version) {
			m.wakeFeeds()
			return
		}
	}
}

// Publish adds a record and sends it to the distributors. A record without an
// owner gets this daemon as its owner, with the daemon's incarnation and the
// next counter. A record with an owner, such as a final grant received with a
// call, is sent unchanged.
func (m *Member) Publish(r *pb.Record) {
	m.mu.Lock()
	if r.GetOwner() == "" {
		m.counter++
		r.Owner, r.Incarnation, r.Counter = m.options.Name, m.incarnation, m.counter
	}
	if old := m.published[keyOf(r)]; !newer(r, old) {
		m.mu.Unlock()
		return
	}
	m.published[keyOf(r)] = r
	immediate := distributed(r.GetKind())
	m.mu.Unlock()
	m.table.Apply(r)
	if immediate {
		m.wakeFeeds()
	}
}

// Withdraw stops publishing a record that is no longer needed, such as the usage
// of a member that makes no more calls.
func (m *Member) Withdraw(kind pb.RecordKind, service, key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.published, recordKey{kind: kind, service: service, key: key})
}

// Subscribe adds services to the subscriptions and waits until their bundles and
// a complete set of their endpoints are available.
func (m *Member) Subscribe(ctx context.Context, services ...string) error {
	m.mu.Lock()
	for _, service := range services {
		if i, found := slices.BinarySearch(m.subscriptions, service); !found {
			m.subscriptions = slices.Insert(slices.Clone(m.subscriptions), i, service)
			m.subscriptionRevision++
		}
	}
	revision := m.subscriptionRevision
	m.mu.Unlock()
	m.wakeFeeds()
	return m.await(ctx, func() (bool, error) {
		s := m.Snapshot()
		if s.Version() == 0 || m.completedRevision < revision {
			return false, nil
		}
		for _, service := range services {
			if _, ok := s.Manifest().Entries[service]; !ok {
				return true, &UnknownServiceError{Service: service, Version: s.Version()}
			}
			if _, ok := s.Bundle(service); !ok {
				return false, nil
			}
		}
		return true, nil
	})
}

// Unsubscribe removes services from the subscriptions and drops their records.
func (m *Member) Unsubscribe(services ...string) {
	m.mu.Lock()
	m.subscriptions = slices.DeleteFunc(slices.Clone(m.subscriptions), func(s string) bool { return slices.Contains(services, s) })
	m.subscriptionRevision++
	m.mu.Unlock()
	m.table.drop(services)
	m.wakeFeeds()
}

// WaitReady waits until the floor, the lowest version that this daemon may serve,
// is known and the snapshot has reached it.
func (m *Member) WaitReady(ctx context.Context) error {
	return m.await(ctx, func() (bool, error) {
		return m.floor.known && m.Snapshot().Version() >= m.floor.version, nil
	})
}

// await waits until done returns true and returns its error. It calls done with
// the lock held.
func (m *Member) await(ctx context.Context, done func() (bool, error)) error {
	for {
		m.mu.Lock()
		ok, err := done()
		changed := m.changed
		m.mu.Unlock()
		if ok {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (m *Member) notifyWaitersLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// wakeFeeds makes every feed send a report at once.
func (m *Member) wakeFeeds() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, f := range m.feeds {
		notify(f.wake)
	}
}

// applyConfig puts the version of a delta in force. It reports whether a full
// update is needed instead.
func (m *Member) applyConfig(delta *pb.ConfigDelta) (wantFull bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.Snapshot()
	if delta.GetVersion() < current.Version() {
		return false
	}
	if base := delta.GetBaseVersion(); base != 0 && base < current.Version() {
		// Overtaken by an update of the other distributor. The next report has the
		// current version.
		for _, f := range m.feeds {
			notify(f.wake)
		}
		return false
	}
	next, err := current.Next(delta, m.requiredServicesLocked(current, delta))
	if err != nil {
		eventDeltaRefused.Log(m.options.Logger, zap.Uint64("version", delta.GetVersion()),
			zap.Uint64("held", current.Version()), zap.Error(err))
		return true
	}
	m.snapshot.Store(next)
	if next.Version() > current.Version() {
		eventVersionInForce.Log(m.options.Logger, zap.Uint64("version", next.Version()))
	}
	m.notifyWaitersLocked()
	notify(m.snapshotChanged)
	return false
}

// requiredServicesLocked returns the subscribed services whose bundles the
// snapshot must have after delta: those in the current snapshot, and new ones
// whose bundle is part of the delta. A new subscription must not delay a version.
func (m *Member) requiredServicesLocked(current *config.Snapshot, delta *pb.ConfigDelta) []string {
	digests := map[string]string{}
	for _, e := range delta.GetChanged() {
		digests[e.GetService()] = e.GetDigest()
	}
	var required []string
	for _, service := range m.subscriptions {
		if _, ok := current.Bundle(service); ok {
			required = append(required, service)
			continue
		}
		digest, ok := digests[service]
		if manifest := current.Manifest(); !ok && manifest != nil {
			digest = manifest.Entries[service].Digest
		}
		if _, ok := delta.GetBundles()[digest]; ok {
			required = append(required, service)
		}
	}
	return required
}

// extendLease extends the membership lease, which runs from the sending of the
// report that renewed it.
func (m *Member) extendLease(until time.Time) {
	if until.After(m.Lease()) {
		m.lease.Store(&until)
	}
}

// raiseIncarnation raises the incarnation above one that a distributor knows, in
// case the clock was set back between two processes of this daemon. The daemon's
// records are sent again with it.
func (m *Member) raiseIncarnation(minimum uint64) {
	m.mu.Lock()
	if minimum < m.incarnation {
		m.mu.Unlock()
		return
	}
	m.incarnation = minimum + 1
	restamped := m.restampLocked(func(*pb.Record) bool { return true })
	m.mu.Unlock()
	m.table.ApplyAll(restamped)
	m.wakeFeeds()
}

// refute publishes a newer endpoint record when a liveness record declares this
// daemon lost or departed. That it received the record proves that it runs.
func (m *Member) refute(records []*pb.Record) {
	if m.options.OnDeclaredDeparted != nil {
		if departedMS, ok := m.departure(records); ok {
			m.options.OnDeclaredDeparted(departedMS)
		}
	}
	m.mu.Lock()
	restamped := m.restampLocked(func(endpoint *pb.Record) bool {
		return endpoint.GetKind() == pb.RecordKind_RECORD_ENDPOINT && slices.ContainsFunc(records, func(r *pb.Record) bool {
			return r.GetKind() == pb.RecordKind_RECORD_LIVENESS && r.GetService() == endpoint.GetService() &&
				r.GetKey() == endpoint.GetKey() && appliesTo(r, endpoint)
		})
	})
	m.mu.Unlock()
	if len(restamped) > 0 {
		m.table.ApplyAll(restamped)
		m.wakeFeeds()
	}
}

// departure returns the time at which this daemon was declared departed, if one
// of the records declares so and applies to the current endpoint record.
func (m *Member) departure(records []*pb.Record) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		if r.GetKind() != pb.RecordKind_RECORD_LIVENESS || r.GetKey() != m.options.Name || !isDeparture(r) {
			continue
		}
		endpoint := m.published[recordKey{kind: pb.RecordKind_RECORD_ENDPOINT, service: r.GetService(), key: r.GetKey()}]
		observed := &pb.Endpoint{}
		if endpoint != nil && appliesTo(r, endpoint) && proto.Unmarshal(r.GetPayload(), observed) == nil {
			return observed.GetDepartedMs(), true
		}
	}
	return 0, false
}

// restampLocked gives those of this daemon's records that are selected the
// current incarnation and a new counter.
func (m *Member) restampLocked(selected func(*pb.Record) bool) []*pb.Record {
	var restamped []*pb.Record
	for key, r := range m.published {
		if r.GetOwner() != m.options.Name || !selected(r) {
			continue
		}
		m.counter++
		next := &pb.Record{
			Kind: r.GetKind(), Service: r.GetService(), Key: r.GetKey(), Owner: r.GetOwner(),
			Incarnation: m.incarnation, Counter: m.counter, Final: r.GetFinal(), Payload: r.GetPayload(),
		}
		m.published[key] = next
		restamped = append(restamped, next)
	}
	return restamped
}
