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

// Member is a daemon as a member of its failure domain: it holds the snapshot
// and the records of the subscribed services, fed by the distributors.
type Member struct {
	o        Options
	random   *random
	peers    *link.Peers
	table    *Table
	snapshot atomic.Pointer[config.Snapshot]
	lease    atomic.Pointer[time.Time]
	known    atomic.Uint64 // highest version that calls carried

	mu            sync.Mutex
	incarnation   uint64
	counter       uint64
	own           map[recordKey]*pb.Record
	wanted        []string // subscribed services, sorted
	subscribed    uint64   // grows with every change of wanted
	completed     uint64   // the subscription whose records are all held
	feeds         map[string]*feed
	primary       string
	distributors  []string // addresses, as told last
	successors    []string // addresses, in order
	successorName []string
	listed        bool                // a lease of the domain names this daemon's address
	entries       map[string][]string // addresses by domain, from the store
	alone         time.Time           // since when no distributor is connected
	storeDown     time.Time           // since when the store failed, zero if it answered last
	floor         floorState
	formerSlot    int // of an earlier process of this daemon, noSlot if none
	leaving       bool

	changed chan struct{} // closed and replaced when waiters should look again
	wake    chan struct{} // the supervisor looks again
	swapped chan struct{} // coalescing: a new snapshot is in force
}

// NewMember returns a member daemon that holds nothing yet.
func NewMember(o Options) *Member {
	o.setDefaults()
	now := time.Now()
	return &Member{
		o: o, random: newRandom(o.Seed, o.Name), peers: link.NewPeers(o.Dial), table: NewTable(),
		incarnation: uint64(now.UnixMilli()), own: map[recordKey]*pb.Record{}, feeds: map[string]*feed{},
		entries: map[string][]string{}, alone: now, changed: make(chan struct{}),
		wake: make(chan struct{}, 1), swapped: make(chan struct{}, 1), formerSlot: noSlot,
	}
}

// Table returns the records of the subscribed services.
func (m *Member) Table() *Table { return m.table }

// Snapshot returns the configuration in force, nil before there is one.
func (m *Member) Snapshot() *config.Snapshot { return m.snapshot.Load() }

// Swapped returns a channel that gets a value after a new snapshot came into
// force. It is meant for one reader.
func (m *Member) Swapped() <-chan struct{} { return m.swapped }

// Incarnation returns the incarnation that orders this daemon's records.
func (m *Member) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// Lease returns the time until which non-idempotent work may start. It is
// checked just before the dispatch, against the monotonic clock.
func (m *Member) Lease() time.Time {
	if until := m.lease.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

// NoteVersion takes the configuration version that a call carried. If it is
// newer, the distributors are asked at once.
func (m *Member) NoteVersion(version uint64) {
	if version <= m.Snapshot().Version() {
		return
	}
	for {
		known := m.known.Load()
		if version <= known {
			return
		}
		if m.known.CompareAndSwap(known, version) {
			m.wakeFeeds()
			return
		}
	}
}

// Publish adds a record. Without an owner it becomes this daemon's own and
// gets its incarnation and the next counter; with one it is passed on as it
// is, as for a "taken back" that was learned from a call.
func (m *Member) Publish(r *pb.Record) {
	m.mu.Lock()
	if r.GetOwner() == "" {
		m.counter++
		r.Owner, r.Incarnation, r.Counter = m.o.Name, m.incarnation, m.counter
	}
	if old := m.own[keyOf(r)]; !newer(r, old) {
		m.mu.Unlock()
		return
	}
	m.own[keyOf(r)] = r
	now := distributed(r.GetKind())
	m.mu.Unlock()
	m.table.Apply(r)
	if now {
		m.wakeFeeds()
	}
}

// Withdraw forgets an own record that need not be sent any more, such as the
// usage of a member that no longer calls.
func (m *Member) Withdraw(kind pb.RecordKind, service, key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.own, recordKey{kind: kind, service: service, key: key})
}

// Subscribe adds services and waits until their bundles and a complete set of
// endpoints are held.
func (m *Member) Subscribe(ctx context.Context, services ...string) error {
	m.mu.Lock()
	for _, service := range services {
		if i, found := slices.BinarySearch(m.wanted, service); !found {
			m.wanted = slices.Insert(slices.Clone(m.wanted), i, service)
			m.subscribed++
		}
	}
	goal := m.subscribed
	m.mu.Unlock()
	m.wakeFeeds()
	return m.await(ctx, func() (bool, error) {
		s := m.Snapshot()
		if s.Version() == 0 || m.completed < goal {
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

// Unsubscribe drops services and their records.
func (m *Member) Unsubscribe(services ...string) {
	m.mu.Lock()
	m.wanted = slices.DeleteFunc(slices.Clone(m.wanted), func(s string) bool { return slices.Contains(services, s) })
	m.subscribed++
	m.mu.Unlock()
	m.table.drop(services)
	m.wakeFeeds()
}

// WaitReady returns when the floor is learned and the snapshot has reached it.
func (m *Member) WaitReady(ctx context.Context) error {
	return m.await(ctx, func() (bool, error) {
		return m.floor.known && m.Snapshot().Version() >= m.floor.version, nil
	})
}

// await waits until done, which is called with the lock held.
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

func (m *Member) announceLocked() {
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

// applyConfig swaps to the version of a delta. It reports whether a full
// update is needed.
func (m *Member) applyConfig(delta *pb.ConfigDelta) (wantFull bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := m.Snapshot()
	if delta.GetVersion() < held.Version() {
		return false
	}
	if base := delta.GetBaseVersion(); base != 0 && base < held.Version() {
		// Overtaken by the other distributor: the report tells the version held.
		for _, f := range m.feeds {
			notify(f.wake)
		}
		return false
	}
	next, err := held.Next(delta, m.coveredLocked(held, delta))
	if err != nil {
		eventDeltaRefused.Log(m.o.Logger, zap.Uint64("version", delta.GetVersion()),
			zap.Uint64("held", held.Version()), zap.Error(err))
		return true
	}
	m.snapshot.Store(next)
	if next.Version() > held.Version() {
		eventVersionInForce.Log(m.o.Logger, zap.Uint64("version", next.Version()))
	}
	m.announceLocked()
	notify(m.swapped)
	return false
}

// coveredLocked returns the subscribed services that the snapshot must hold
// after delta: those held before, and new ones whose bundle came with it. A
// service subscribed a moment ago must not hold up a version.
func (m *Member) coveredLocked(held *config.Snapshot, delta *pb.ConfigDelta) []string {
	digests := map[string]string{}
	for _, e := range delta.GetChanged() {
		digests[e.GetService()] = e.GetDigest()
	}
	var covered []string
	for _, service := range m.wanted {
		if _, ok := held.Bundle(service); ok {
			covered = append(covered, service)
			continue
		}
		digest, ok := digests[service]
		if manifest := held.Manifest(); !ok && manifest != nil {
			digest = manifest.Entries[service].Digest
		}
		if _, ok := delta.GetBundles()[digest]; ok {
			covered = append(covered, service)
		}
	}
	return covered
}

// extendLease takes a membership lease counted from the sending of a report.
func (m *Member) extendLease(until time.Time) {
	if until.After(m.Lease()) {
		m.lease.Store(&until)
	}
}

// raiseIncarnation moves above an incarnation that a distributor holds, so a
// clock that went back does no harm. The own records are sent again.
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

// refute answers a liveness record about this daemon with a newer endpoint
// record: it is alive, since it could read that it was lost.
func (m *Member) refute(records []*pb.Record) {
	if m.o.Returned != nil {
		if departedMS, ok := m.departure(records); ok {
			m.o.Returned(departedMS)
		}
	}
	m.mu.Lock()
	restamped := m.restampLocked(func(own *pb.Record) bool {
		return own.GetKind() == pb.RecordKind_RECORD_ENDPOINT && slices.ContainsFunc(records, func(r *pb.Record) bool {
			return r.GetKind() == pb.RecordKind_RECORD_LIVENESS && r.GetService() == own.GetService() &&
				r.GetKey() == own.GetKey() && concerns(r, own)
		})
	})
	m.mu.Unlock()
	if len(restamped) > 0 {
		m.table.ApplyAll(restamped)
		m.wakeFeeds()
	}
}

// departure returns the time at which the records say that this daemon's
// endpoint departed, if they concern the present endpoint record.
func (m *Member) departure(records []*pb.Record) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range records {
		if r.GetKind() != pb.RecordKind_RECORD_LIVENESS || r.GetKey() != m.o.Name || !saysDeparted(r) {
			continue
		}
		own := m.own[recordKey{kind: pb.RecordKind_RECORD_ENDPOINT, service: r.GetService(), key: r.GetKey()}]
		observed := &pb.Endpoint{}
		if own != nil && concerns(r, own) && proto.Unmarshal(r.GetPayload(), observed) == nil {
			return observed.GetDepartedMs(), true
		}
	}
	return 0, false
}

// restampLocked gives the selected own records a new counter.
func (m *Member) restampLocked(selected func(*pb.Record) bool) []*pb.Record {
	var restamped []*pb.Record
	for key, r := range m.own {
		if r.GetOwner() != m.o.Name || !selected(r) {
			continue
		}
		m.counter++
		next := &pb.Record{
			Kind: r.GetKind(), Service: r.GetService(), Key: r.GetKey(), Owner: r.GetOwner(),
			Incarnation: m.incarnation, Counter: m.counter, Final: r.GetFinal(), Payload: r.GetPayload(),
		}
		m.own[key] = next
		restamped = append(restamped, next)
	}
	return restamped
}
