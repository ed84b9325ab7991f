package domain

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// staleLimit is how long a distributor may lack a version that the other one
// knows before it stops being the primary.
const staleLimit = 2 * time.Second

// feed is the stream of a member daemon to one distributor.
type feed struct {
	m       *Member
	address string
	wake    chan struct{}

	// Guarded by Member.mu.
	live     bool // an update arrived within silenceLimit
	refused  bool // the distributor asked to come back later
	slot     int32
	fencing  uint64
	version  uint64 // fleet_version of the last update
	heardAt  time.Time
	wantFull bool
	progress []*pb.DomainProgress
	asked    bool // for progress

	toldLeaving bool // the last report was sent

	lease       time.Duration // that each report earns
	liveSince   time.Time
	behindSince time.Time // since when the other distributor knows a newer version

	// Used by the sending task only, but for sentAt.
	sequence   uint64
	sentAt     map[uint64]time.Time // guarded by Member.mu
	covers     map[uint64]uint64    // subscription that a report carried; guarded by Member.mu
	sent       map[recordKey]*pb.Record
	subscribed uint64
	// What the distributor was told last.
	toldVersion uint64
	toldDigest  uint64
	toldPrimary bool
}

// run joins the distributor and is fed until the stream ends.
func (f *feed) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := f.m.peers.Dial(ctx, f.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := pb.NewDRPCMeshClient(conn).Join(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	sending := make(chan struct{})
	if err := f.m.o.submit(func() { defer close(sending); defer cancel(); f.sendReports(ctx, stream) }); err != nil {
		return err
	}
	// A silent stream is closed by its connection, since Recv does not return
	// before that.
	silence := time.AfterFunc(silenceLimit, func() { cancel(); _ = conn.Close() })
	defer silence.Stop()
	for {
		update, err := stream.Recv()
		if err == nil {
			update, err = UnpackUpdate(update)
		}
		if err != nil {
			cancel()
			_ = conn.Close()
			<-sending
			return err
		}
		silence.Reset(silenceLimit)
		f.receive(update)
	}
}

func (f *feed) sendReports(ctx context.Context, stream pb.DRPCMesh_JoinClient) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		report := f.report()
		if err := stream.Send(report); err != nil {
			return
		}
		if report.GetLeaving() {
			f.noteFarewell()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

func (f *feed) noteFarewell() {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	f.toldLeaving = true
	f.m.announceLocked()
}

// report builds the next report: what changed since the last one.
func (f *feed) report() *pb.MemberReport {
	m := f.m
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := m.Snapshot()
	f.sequence++
	r := &pb.MemberReport{
		Sequence: f.sequence, WantFull: f.wantFull, Leaving: m.leaving, WantProgress: f.asked,
	}
	if version := snapshot.Version(); version != f.toldVersion {
		r.ConfigVersion, f.toldVersion = version, version
	}
	if digest := m.table.Digest(m.wanted); digest != f.toldDigest {
		r.RecordsDigest, f.toldDigest = digest, digest
	}
	if primary := m.primary == f.address; primary != f.toldPrimary {
		r.WantAll, r.WantAllChanged, f.toldPrimary = primary, true, primary
	}
	if known := m.known.Load(); known > snapshot.Version() {
		r.KnownVersion = known
	}
	first := f.sequence == 1
	if first {
		r.First, r.Name, r.Address, r.Domain = true, m.o.Name, m.o.Address, m.o.Domain
		r.Incarnation = m.incarnation
	}
	if first || f.subscribed != m.subscribed {
		r.Subscriptions, r.SubscriptionsChanged = m.wanted, true
		f.subscribed = m.subscribed
	}
	if first || f.wantFull {
		for digest := range snapshot.Content() {
			r.HeldDigests = append(r.HeldDigests, digest)
		}
		slices.Sort(r.HeldDigests)
	}
	f.wantFull = false
	for key, record := range m.own {
		if f.sent[key] != record {
			f.sent[key] = record
			r.Records = append(r.Records, record)
		}
	}
	f.sentAt[f.sequence], f.covers[f.sequence] = time.Now(), m.subscribed
	return r
}

func (f *feed) receive(u *pb.FeedUpdate) {
	m := f.m
	if u.GetRetryAfterMs() > 0 {
		m.mu.Lock()
		f.refused = true
		m.mu.Unlock()
		return
	}
	if u.GetMinimumIncarnation() > 0 {
		m.raiseIncarnation(u.GetMinimumIncarnation())
	}
	if len(u.GetRecords()) > 0 {
		m.table.ApplyAll(u.GetRecords())
		m.refute(u.GetRecords())
	}
	wantFull := u.GetConfig() != nil && m.applyConfig(u.GetConfig())
	m.mu.Lock()
	defer m.mu.Unlock()
	if wantFull {
		f.wantFull = true
		notify(f.wake)
	}
	f.noteLocked(u)
	m.choosePrimaryLocked()
	m.learnFloorLocked()
}

// noteLocked takes what an update says besides configuration and records.
func (f *feed) noteLocked(u *pb.FeedUpdate) {
	m := f.m
	if !f.live {
		f.liveSince = time.Now()
		eventFeedJoined.Log(m.o.Logger, zap.String("distributor", f.address), zap.Int32("slot", u.GetSlot()))
	}
	f.live, f.heardAt = true, time.Now()
	if u.GetLeaseChanged() {
		f.slot, f.fencing = u.GetSlot(), u.GetFencing()
	}
	f.version = max(f.version, u.GetFleetVersion())
	if u.GetLeaseMs() != 0 {
		f.lease = time.Duration(u.GetLeaseMs()) * time.Millisecond
	}
	if sent, ok := f.sentAt[u.GetReportSequence()]; ok && f.lease > 0 {
		m.extendLease(sent.Add(f.lease))
	}
	if u.GetComplete() {
		if covered, ok := f.covers[u.GetReportSequence()]; ok && covered > m.completed {
			m.completed = covered
			m.announceLocked()
		}
	}
	for sequence := range f.sentAt {
		if sequence < u.GetReportSequence() {
			delete(f.sentAt, sequence)
			delete(f.covers, sequence)
		}
	}
	if len(u.GetDistributors()) > 0 {
		m.distributors = u.GetDistributors()
		notify(m.wake)
	}
	if len(u.GetSuccessors()) > 0 {
		m.successors, m.successorName = u.GetSuccessorAddresses(), u.GetSuccessors()
	}
	if len(u.GetProgress()) > 0 {
		f.progress, f.asked = u.GetProgress(), false
		m.announceLocked()
	}
}

// choosePrimaryLocked keeps the primary while it is live and not behind the
// other distributor, so that a stale distributor does not feed alone.
func (m *Member) choosePrimaryLocked() {
	current := m.feeds[m.primary]
	if current != nil && current.live && !m.behindLocked(current) && !m.unbalancedLocked(current) {
		return
	}
	best := ""
	for address, f := range m.feeds {
		if !f.live {
			continue
		}
		if best == "" || m.prefersLocked(f, m.feeds[best]) {
			best = address
		}
	}
	if best == m.primary || best == "" {
		return
	}
	if current != nil {
		notify(current.wake)
	}
	m.primary = best
	notify(m.feeds[best].wake)
}

// unbalancedLocked reports whether the other distributor has been live for a
// while and is the one that the hash gives. Without it every daemon would stay
// with the distributor that came first.
func (m *Member) unbalancedLocked(current *feed) bool {
	for _, f := range m.feeds {
		if f != current && f.live && f.version == current.version &&
			time.Since(f.liveSince) > settleGrace && m.prefersLocked(f, current) {
			return true
		}
	}
	return false
}

// behindLocked reports whether the distributor has lacked a version that the
// other one knows for longer than a change takes to spread. A shorter limit
// would change the primary, and resend all records, with every change.
func (m *Member) behindLocked(f *feed) bool {
	behind := false
	for _, other := range m.feeds {
		behind = behind || other.live && other.version > f.version
	}
	if !behind {
		f.behindSince = time.Time{}
		return false
	}
	if f.behindSince.IsZero() {
		f.behindSince = time.Now()
	}
	return time.Since(f.behindSince) > staleLimit
}

// prefersLocked orders distributors by version, then by a hash that spreads
// the member daemons over the two.
func (m *Member) prefersLocked(a, b *feed) bool {
	if a.version != b.version {
		return a.version > b.version
	}
	return rendezvousHash(m.o.Name, a.address) > rendezvousHash(m.o.Name, b.address)
}
