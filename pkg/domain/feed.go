package domain

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// staleLimit is how long a distributor may lack a version that the domain's
// other distributor knows before it stops being the primary.
const staleLimit = 2 * time.Second

// feed is the member daemon's end of its stream to one distributor.
type feed struct {
	member  *Member
	address string
	wake    chan struct{}

	// Guarded by Member.mu.
	live              bool // an update was received within silenceTimeout
	deferred          bool // the distributor deferred the join
	slot              int32
	fencing           uint64
	version           uint64 // highest fleet_version received
	receivedAt        time.Time
	wantFull          bool
	progress          []*pb.DomainProgress
	progressRequested bool // for a Progress call

	leaveReported bool // the report with Leaving was sent

	lease       time.Duration // of the membership lease that a report renews
	liveSince   time.Time
	behindSince time.Time // since when the domain's other distributor knows a newer version

	// Used by the sending task only, except where noted.
	sequence           uint64
	sentAt             map[uint64]time.Time // by report sequence; guarded by Member.mu
	revisionBySequence map[uint64]uint64    // of the subscriptions, by report sequence; guarded by Member.mu
	sent               map[recordKey]*pb.Record
	sentRevision       uint64
	// Last values sent to the distributor.
	sentVersion uint64
	sentDigest  uint64
	sentPrimary bool
}

// run joins the distributor and receives its updates until the stream ends.
func (f *feed) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := f.member.peers.Dial(ctx, f.address)
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
	if err := f.member.options.submit(func() { defer close(sending); defer cancel(); f.sendReports(ctx, stream) }); err != nil {
		return err
	}
	// On a timeout the connection is closed, because Recv on a silent stream does
	// not return before that.
	silence := time.AfterFunc(silenceTimeout, func() { cancel(); _ = conn.Close() })
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
		silence.Reset(silenceTimeout)
		f.receive(update)
	}
}

func (f *feed) sendReports(ctx context.Context, stream pb.DRPCMesh_JoinClient) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		report := f.nextReport()
		if err := stream.Send(report); err != nil {
			return
		}
		if report.GetLeaving() {
			f.recordLeaveReport()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
	}
}

func (f *feed) recordLeaveReport() {
	f.member.mu.Lock()
	defer f.member.mu.Unlock()
	f.leaveReported = true
	f.member.notifyWaitersLocked()
}

// nextReport builds the next report, with what changed since the previous one.
func (f *feed) nextReport() *pb.MemberReport {
	m := f.member
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := m.Snapshot()
	f.sequence++
	report := &pb.MemberReport{
		Sequence: f.sequence, WantFull: f.wantFull, Leaving: m.leaving, WantProgress: f.progressRequested,
	}
	if version := snapshot.Version(); version != f.sentVersion {
		report.ConfigVersion, f.sentVersion = version, version
	}
	if digest := m.table.Digest(m.subscriptions); digest != f.sentDigest {
		report.RecordsDigest, f.sentDigest = digest, digest
	}
	if primary := m.primary == f.address; primary != f.sentPrimary {
		report.WantAll, report.WantAllChanged, f.sentPrimary = primary, true, primary
	}
	if version := m.callVersion.Load(); version > snapshot.Version() {
		report.KnownVersion = version
	}
	first := f.sequence == 1
	if first {
		report.First, report.Name, report.Address, report.Domain = true, m.options.Name, m.options.Address, m.options.Domain
		report.Incarnation = m.incarnation
	}
	if first || f.sentRevision != m.subscriptionRevision {
		report.Subscriptions, report.SubscriptionsChanged = m.subscriptions, true
		f.sentRevision = m.subscriptionRevision
	}
	if first || f.wantFull {
		for digest := range snapshot.Content() {
			report.HeldDigests = append(report.HeldDigests, digest)
		}
		slices.Sort(report.HeldDigests)
	}
	f.wantFull = false
	for key, record := range m.published {
		if f.sent[key] != record {
			f.sent[key] = record
			report.Records = append(report.Records, record)
		}
	}
	f.sentAt[f.sequence], f.revisionBySequence[f.sequence] = time.Now(), m.subscriptionRevision
	return report
}

func (f *feed) receive(update *pb.FeedUpdate) {
	m := f.member
	if update.GetRetryAfterMs() > 0 {
		m.mu.Lock()
		f.deferred = true
		m.mu.Unlock()
		return
	}
	if update.GetMinimumIncarnation() > 0 {
		m.raiseIncarnation(update.GetMinimumIncarnation())
	}
	if len(update.GetRecords()) > 0 {
		m.table.ApplyAll(update.GetRecords())
		m.refute(update.GetRecords())
	}
	wantFull := update.GetConfig() != nil && m.applyConfig(update.GetConfig())
	m.mu.Lock()
	defer m.mu.Unlock()
	if wantFull {
		f.wantFull = true
		notify(f.wake)
	}
	f.recordUpdateLocked(update)
	m.choosePrimaryLocked()
	m.learnFloorLocked()
}

// recordUpdateLocked records everything in an update except its configuration
// and records.
func (f *feed) recordUpdateLocked(update *pb.FeedUpdate) {
	m := f.member
	if !f.live {
		f.liveSince = time.Now()
		eventFeedJoined.Log(m.options.Logger, zap.String("distributor", f.address), zap.Int32("slot", update.GetSlot()))
	}
	f.live, f.receivedAt = true, time.Now()
	if update.GetLeaseChanged() {
		f.slot, f.fencing = update.GetSlot(), update.GetFencing()
	}
	f.version = max(f.version, update.GetFleetVersion())
	if update.GetLeaseMs() != 0 {
		f.lease = time.Duration(update.GetLeaseMs()) * time.Millisecond
	}
	if sent, ok := f.sentAt[update.GetReportSequence()]; ok && f.lease > 0 {
		m.extendLease(sent.Add(f.lease))
	}
	if update.GetComplete() {
		if revision, ok := f.revisionBySequence[update.GetReportSequence()]; ok && revision > m.completedRevision {
			m.completedRevision = revision
			m.notifyWaitersLocked()
		}
	}
	for sequence := range f.sentAt {
		if sequence < update.GetReportSequence() {
			delete(f.sentAt, sequence)
			delete(f.revisionBySequence, sequence)
		}
	}
	if len(update.GetDistributors()) > 0 {
		m.distributors = update.GetDistributors()
		notify(m.wake)
	}
	if len(update.GetSuccessors()) > 0 {
		m.successorAddresses, m.successorNames = update.GetSuccessorAddresses(), update.GetSuccessors()
	}
	if len(update.GetProgress()) > 0 {
		f.progress, f.progressRequested = update.GetProgress(), false
		m.notifyWaitersLocked()
	}
}

// choosePrimaryLocked keeps the primary while it is live, not behind the other
// distributor and preferred by the hash; otherwise it chooses the best live
// distributor. A stale distributor must not be the only source of updates.
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

// unbalancedLocked reports whether the other distributor has been live for
// settleGrace and is the one that the hash prefers. Without this check every
// daemon would keep the distributor that started first as its primary.
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
// other one knows for longer than staleLimit. A limit shorter than the time that
// a change takes to reach both would switch the primary, and resend all records,
// with every change.
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

// prefersLocked reports whether a is a better primary than b: by version, then
// by a hash that balances the member daemons between the distributors.
func (m *Member) prefersLocked(a, b *feed) bool {
	if a.version != b.version {
		return a.version > b.version
	}
	return rendezvousHash(m.options.Name, a.address) > rendezvousHash(m.options.Name, b.address)
}
