package domain

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// retryDelay is the delay sent to a daemon whose join is deferred.
	retryDelay = time.Second
	// standbyDelay is how long a member daemon may lack a version before the
	// standby, the distributor that is not its primary, sends the version.
	standbyDelay = 1500 * time.Millisecond
	// resendDelay is how long a peer may take to report a version that was sent to
	// it before the version is sent again.
	resendDelay = 2 * time.Second
	// repairDelay is how long the digests must differ before all records are
	// sent again. Records in flight make them differ briefly, and reports may
	// follow one another closely, so this is a time and not a number of reports.
	repairDelay = 3 * time.Second
	// repairMin and repairMax limit the time between two such repairs.
	repairMin = 10 * time.Second
	repairMax = 5 * time.Minute
)

// noLease is sent to a member daemon as its lease duration if its reports do not
// renew a membership lease.
const noLease = -1

// session is the distributor's end of the stream of one member daemon.
type session struct {
	distributor *Distributor
	name        string
	stream      pb.DRPCMesh_JoinStream
	wake        chan struct{}

	mu             sync.Mutex
	subscribed     []string
	services       map[string]bool
	primary        bool // this distributor is the member daemon's primary
	cachedDigests  map[string]bool
	pending        map[recordKey]*pb.Record
	urgent         bool
	ackSequence    uint64
	leased         bool // the acknowledged report renews the membership lease
	version        uint64
	behindSince    time.Time
	sentVersion    uint64
	sentBase       uint64
	sentAt         time.Time
	wantFull       bool
	wantProgress   bool
	minIncarnation uint64    // that the member daemon must exceed; 0 if there is none to send
	differsSince   time.Time // since when the digest differs from the distributor's
	repairAt       time.Time
	repairWait     time.Duration
	digest         uint64 // of the member daemon's records
	completeSent   bool   // the update with Complete was sent
	// Last values sent to the member daemon.
	sentPeers        string // distributors and successors
	sentLease        *slotLease
	sentFleetVersion uint64
	sentLeaseMS      int64
}

// join runs the session of one member daemon until its stream ends.
func (d *Distributor) join(ctx context.Context, stream pb.DRPCMesh_JoinStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if !first.GetFirst() {
		return &FirstReportError{Peer: first.GetName()}
	}
	if first.GetDomain() != d.options.Domain {
		return &WrongDomainError{Want: d.options.Domain, Got: first.GetDomain()}
	}
	if !d.joins.Allow() {
		return stream.Send(&pb.FeedUpdate{RetryAfterMs: retryDelay.Milliseconds()})
	}
	s := &session{
		distributor: d, name: first.GetName(), stream: stream, wake: make(chan struct{}, 1),
		services: map[string]bool{}, cachedDigests: map[string]bool{}, pending: map[recordKey]*pb.Record{},
		repairWait: repairMin,
	}
	d.addSession(s, first)
	d.reconcileEndpoints(s, first.GetIncarnation())
	ctx, cancel := context.WithCancel(ctx)
	sending := make(chan struct{})
	if err := d.options.submit(func() { defer close(sending); s.sendUpdates(ctx) }); err != nil {
		cancel()
		d.removeSession(s)
		return err
	}
	s.handleReport(first)
	for {
		r, err := stream.Recv()
		if err != nil {
			cancel()
			d.removeSession(s)
			<-sending
			return err
		}
		s.handleReport(r)
	}
}

func (d *Distributor) addSession(s *session, first *pb.MemberReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.sessions[s.name]; old != nil {
		old.close()
	}
	d.sessions[s.name] = s
	ms := d.memberLocked(s.name)
	if ms.incarnation > first.GetIncarnation() {
		s.minIncarnation = ms.incarnation
	}
	ms.incarnation = max(ms.incarnation, first.GetIncarnation())
	ms.session, ms.address, ms.left, ms.hadStream = s, first.GetAddress(), false, true
}

// reconcileEndpoints handles the stored endpoints of a joining daemon. Endpoints
// of a previous run are declared lost, because the process that owned them has
// ended and the new one announces its own. Liveness records about endpoints of
// the current run are sent to the daemon, so that it can refute them.
func (d *Distributor) reconcileEndpoints(s *session, incarnation uint64) {
	var lost, unrefuted []*pb.Record
	for _, e := range d.table.ownedEndpoints(s.name) {
		if e.record.GetIncarnation() < incarnation {
			lost = append(lost, newLiveness(e.record, e.endpoint, false, time.Now()))
		} else if l := d.table.liveness(e.record); l != nil {
			unrefuted = append(unrefuted, l)
		}
	}
	s.queue(unrefuted)
	d.distribute(lost, nil)
}

func (d *Distributor) removeSession(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[s.name] == s {
		delete(d.sessions, s.name)
	}
	if ms := d.members[s.name]; ms != nil && ms.session == s {
		ms.session, ms.endedAt = nil, time.Now()
	}
}

// close closes the stream, which ends a pending Recv.
func (s *session) close() {
	_ = s.distributor.options.submit(func() { _ = s.stream.Close() })
}

// handleReport processes one report of the member daemon.
func (s *session) handleReport(r *pb.MemberReport) {
	d := s.distributor
	leased := d.recordHeartbeat(s, r)
	if r.GetKnownVersion() > d.fleetVersion.Load() {
		d.raiseFleetVersion(r.GetKnownVersion())
		notify(d.headRequested)
	}
	if len(r.GetRecords()) > 0 {
		d.distribute(d.sums.add(s.name, r.GetRecords()), nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	resendAll := false
	if r.GetWantAllChanged() {
		resendAll = r.GetWantAll() && !s.primary
		s.primary = r.GetWantAll()
	}
	if r.GetSubscriptionsChanged() {
		s.subscribed, s.services = r.GetSubscriptions(), map[string]bool{}
		for _, service := range s.subscribed {
			s.services[service] = true
		}
		resendAll = resendAll || s.primary
		s.completeSent = false
	}
	if r.GetFirst() || r.GetWantFull() {
		clear(s.cachedDigests)
		for _, digest := range r.GetHeldDigests() {
			s.cachedDigests[digest] = true
		}
	}
	s.wantFull = s.wantFull || r.GetWantFull()
	s.wantProgress = s.wantProgress || r.GetWantProgress()
	s.recordVersionLocked(max(s.version, r.GetConfigVersion()))
	if s.mismatchLocked(r) || resendAll {
		s.queueAllLocked()
	}
	s.ackSequence, s.leased = r.GetSequence(), leased
	notify(s.wake)
}

// currentVersion returns the version in force at the member daemon. A report
// contains it only if it changed.
func (s *session) currentVersion(version uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.version, version)
}

func (s *session) recordVersionLocked(version uint64) {
	s.version = version
	switch {
	case version >= s.distributor.catalog.version():
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = time.Now()
	}
}

// mismatchLocked reports whether the member daemon's records have differed for
// repairDelay, so that they are to be sent again.
func (s *session) mismatchLocked(r *pb.MemberReport) bool {
	if r.GetRecordsDigest() != 0 {
		s.digest = r.GetRecordsDigest()
	}
	if r.GetFirst() || s.digest == s.distributor.table.Digest(s.subscribed) {
		s.differsSince = time.Time{}
		return false
	}
	now := time.Now()
	if s.differsSince.IsZero() {
		s.differsSince = now
	}
	if now.Sub(s.differsSince) < repairDelay || now.Before(s.repairAt) {
		return false
	}
	eventRecordsRepaired.Log(s.distributor.options.Logger, zap.String("daemon", s.name))
	s.differsSince = time.Time{}
	s.repairAt, s.repairWait = now.Add(s.repairWait), min(2*s.repairWait, repairMax)
	return true
}

// queue adds those of the records that the member daemon needs. A standby only
// sends records that stop new work or that are about the daemon itself.
func (s *session) queue(records []*pb.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		aboutMember := r.GetKind() == pb.RecordKind_RECORD_LIVENESS && r.GetOwner() == s.name
		if !aboutMember && !s.wantsLocked(r) {
			continue
		}
		stops := urgent(r)
		if s.primary || stops || aboutMember {
			s.pending[keyOf(r)] = r
			s.urgent = s.urgent || stops
		}
	}
	if len(s.pending) > 0 {
		notify(s.wake)
	}
}

func (s *session) wantsLocked(r *pb.Record) bool {
	if !distributed(r.GetKind()) || r.GetOwner() == s.name {
		return false
	}
	return s.services[r.GetService()] || r.GetService() == ""
}

func (s *session) queueAllLocked() {
	for _, r := range s.distributor.table.distributedRecords(s.subscribed) {
		s.pending[keyOf(r)] = r
	}
	for _, r := range s.distributor.table.domainRecords() {
		s.pending[keyOf(r)] = r
	}
}

// wakeForVersion triggers the sending of a newer version, unless this distributor
// is the standby.
func (s *session) wakeForVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary {
		notify(s.wake)
	}
}

func (s *session) sendUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if s.canCoalesce() {
			sleep(ctx, coalesceDelay)
		}
		if err := s.stream.Send(packUpdate(s.nextUpdate())); err != nil {
			return
		}
	}
}

func (s *session) canCoalesce() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0 && !s.urgent
}

// nextUpdate builds the next update for the member daemon.
func (s *session) nextUpdate() *pb.FeedUpdate {
	d := s.distributor
	role := d.lease.Load()
	update := &pb.FeedUpdate{}
	settled := d.settled()
	distributors, successors, addresses := d.topology()
	progress := s.requestedProgress()
	s.mu.Lock()
	defer s.mu.Unlock()
	update.Progress = progress
	update.ReportSequence, update.MinimumIncarnation = s.ackSequence, s.minIncarnation
	s.minIncarnation = 0
	if s.primary && settled && !s.completeSent {
		update.Complete, s.completeSent = true, true
	}
	if role != s.sentLease {
		update.Primary, update.LeaseChanged, update.Fencing, update.Slot = s.primary, true, role.fencing, int32(role.slot)
		s.sentLease = role
	}
	if fleet := d.fleetVersion.Load(); fleet != s.sentFleetVersion {
		update.FleetVersion, s.sentFleetVersion = fleet, fleet
	}
	lease := int64(noLease)
	if s.leased {
		lease = membershipLease.Milliseconds()
	}
	if lease != s.sentLeaseMS {
		update.LeaseMs, s.sentLeaseMS = lease, lease
	}
	for key, r := range s.pending {
		update.Records = append(update.Records, r)
		delete(s.pending, key)
	}
	s.urgent = false
	update.Config = s.configLocked()
	peers := strings.Join(slices.Concat(distributors, successors, addresses), " ")
	if peers != s.sentPeers {
		s.sentPeers = peers
		update.Distributors, update.Successors, update.SuccessorAddresses = distributors, successors, addresses
	}
	return update
}

// requestedProgress returns the progress if the member daemon requested it. It
// must not be called with the session's lock held.
func (s *session) requestedProgress() []*pb.DomainProgress {
	s.mu.Lock()
	requested := s.wantProgress
	s.wantProgress = false
	s.mu.Unlock()
	if !requested {
		return nil
	}
	return s.distributor.Progress()
}

// configLocked returns the delta that is due to the member daemon, or nil.
func (s *session) configLocked() *pb.ConfigDelta {
	d, now := s.distributor, time.Now()
	version := d.catalog.version()
	if version == 0 || version < s.version {
		return nil
	}
	late := !s.behindSince.IsZero() && now.Sub(s.behindSince) > standbyDelay
	if !s.primary && !s.wantFull && !late {
		return nil
	}
	sent := s.sentVersion == version && s.sentBase >= s.version && now.Sub(s.sentAt) < resendDelay
	if version > s.version && sent && !s.wantFull {
		return nil
	}
	// The stream is ordered, so the member daemon will have applied the version
	// sent before, even if it has not reported it yet.
	base := max(s.version, s.sentVersion)
	if s.sentVersion == version {
		base = s.version
	}
	if s.wantFull {
		base = 0
	}
	delta, err := d.catalog.withBundles(d.catalog.deltaFrom(base), s.subscribed, s.cachedDigests)
	if err != nil {
		notify(d.headRequested) // this distributor lacks content
		return nil
	}
	if version == s.version && len(delta.GetBundles()) == 0 && !s.wantFull {
		return nil
	}
	for digest := range delta.GetBundles() {
		s.cachedDigests[digest] = true
	}
	s.wantFull = false
	s.sentVersion, s.sentBase, s.sentAt = version, base, now
	return delta
}
