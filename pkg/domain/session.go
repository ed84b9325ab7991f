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
	// retryDelay is what a daemon is told whose join is not admitted.
	retryDelay = time.Second
	// standbyDelay is how long a member daemon may lack a version before the
	// standby distributor sends it.
	standbyDelay = 1500 * time.Millisecond
	// resendDelay is how long a sent version may be missing from the reports.
	resendDelay = 2 * time.Second
	// repairDelay is how long the digests must differ before all records are
	// sent again. Records on their way make them differ for a moment, and
	// reports may follow one another closely, so it is a time, not a count.
	repairDelay = 3 * time.Second
	// repairMin and repairMax bound the time between two such repairs.
	repairMin = 10 * time.Second
	repairMax = 5 * time.Minute
)

// noLease tells a member daemon that its reports earn no membership lease.
const noLease = -1

// session is the stream of one member daemon.
type session struct {
	d      *Distributor
	name   string
	stream pb.DRPCMesh_JoinStream
	wake   chan struct{}

	mu           sync.Mutex
	subscribed   []string
	services     map[string]bool
	all          bool // this distributor is the member daemon's primary
	held         map[string]bool
	pending      map[recordKey]*pb.Record
	urgent       bool
	acknowledge  uint64
	leased       bool // the acknowledged report earns a membership lease
	version      uint64
	behindSince  time.Time
	sentVersion  uint64
	sentBase     uint64
	sentAt       time.Time
	wantFull     bool
	wantProgress bool
	minimum      uint64    // incarnation that the member daemon must exceed
	differsSince time.Time // since when the member daemon's records differ
	repairAt     time.Time
	repairWait   time.Duration
	digest       uint64 // of the member daemon's records
	complete     bool   // it was told that its endpoint set is complete
	// What the member daemon was told last.
	toldPeers string // distributors and successors
	toldSlot  *slotLease
	toldFleet uint64
	toldLease int64
}

// join serves the stream of one member daemon.
func (d *Distributor) join(ctx context.Context, stream pb.DRPCMesh_JoinStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if !first.GetFirst() {
		return &FirstReportError{Peer: first.GetName()}
	}
	if first.GetDomain() != d.o.Domain {
		return &OtherDomainError{Want: d.o.Domain, Got: first.GetDomain()}
	}
	if !d.joins.Allow() {
		return stream.Send(&pb.FeedUpdate{RetryAfterMs: retryDelay.Milliseconds()})
	}
	s := &session{
		d: d, name: first.GetName(), stream: stream, wake: make(chan struct{}, 1),
		services: map[string]bool{}, held: map[string]bool{}, pending: map[recordKey]*pb.Record{},
		repairWait: repairMin,
	}
	d.admit(s, first)
	d.reviewEndpoints(s, first.GetIncarnation())
	ctx, cancel := context.WithCancel(ctx)
	sending := make(chan struct{})
	if err := d.o.submit(func() { defer close(sending); s.send(ctx) }); err != nil {
		cancel()
		d.leave(s)
		return err
	}
	s.report(first)
	for {
		r, err := stream.Recv()
		if err != nil {
			cancel()
			d.leave(s)
			<-sending
			return err
		}
		s.report(r)
	}
}

func (d *Distributor) admit(s *session, first *pb.MemberReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.sessions[s.name]; old != nil {
		old.close()
	}
	d.sessions[s.name] = s
	ms := d.memberLocked(s.name)
	if ms.incarnation > first.GetIncarnation() {
		s.minimum = ms.incarnation
	}
	ms.incarnation = max(ms.incarnation, first.GetIncarnation())
	ms.session, ms.address, ms.left, ms.hadStream = s, first.GetAddress(), false, true
}

// reviewEndpoints compares what is known of a joining daemon's endpoints.
// Those of earlier runs are lost, since the process that owned them is gone
// and the new one announces its own. Of those that were declared lost the
// daemon is told, so that it can refute it.
func (d *Distributor) reviewEndpoints(s *session, incarnation uint64) {
	var lost, told []*pb.Record
	for _, e := range d.table.ownedEndpoints(s.name) {
		if e.record.GetIncarnation() < incarnation {
			lost = append(lost, newLiveness(e.record, e.endpoint, false, time.Now()))
		} else if l := d.table.liveness(e.record); l != nil {
			told = append(told, l)
		}
	}
	s.queue(told)
	d.spread(lost, nil)
}

func (d *Distributor) leave(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[s.name] == s {
		delete(d.sessions, s.name)
	}
	if ms := d.members[s.name]; ms != nil && ms.session == s {
		ms.session, ms.endedAt = nil, time.Now()
	}
}

// close ends the stream; a pending Recv returns.
func (s *session) close() {
	_ = s.d.o.submit(func() { _ = s.stream.Close() })
}

// report takes one report of the member daemon.
func (s *session) report(r *pb.MemberReport) {
	d := s.d
	leased := d.heard(s, r)
	if r.GetKnownVersion() > d.fleet.Load() {
		d.raiseFleet(r.GetKnownVersion())
		notify(d.headWanted)
	}
	if len(r.GetRecords()) > 0 {
		d.spread(d.sums.take(s.name, r.GetRecords()), nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	everything := false
	if r.GetWantAllChanged() {
		everything = r.GetWantAll() && !s.all
		s.all = r.GetWantAll()
	}
	if r.GetSubscriptionsChanged() {
		s.subscribed, s.services = r.GetSubscriptions(), map[string]bool{}
		for _, service := range s.subscribed {
			s.services[service] = true
		}
		everything = everything || s.all
		s.complete = false
	}
	if r.GetFirst() || r.GetWantFull() {
		clear(s.held)
		for _, digest := range r.GetHeldDigests() {
			s.held[digest] = true
		}
	}
	s.wantFull = s.wantFull || r.GetWantFull()
	s.wantProgress = s.wantProgress || r.GetWantProgress()
	s.noteVersionLocked(max(s.version, r.GetConfigVersion()))
	if s.mismatchLocked(r) || everything {
		s.queueAllLocked()
	}
	s.acknowledge, s.leased = r.GetSequence(), leased
	notify(s.wake)
}

// told returns the version in force at the member daemon, which a report gives
// only when it changed.
func (s *session) told(version uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.version, version)
}

func (s *session) noteVersionLocked(version uint64) {
	s.version = version
	switch {
	case version >= s.d.catalog.version():
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
	if r.GetFirst() || s.digest == s.d.table.Digest(s.subscribed) {
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
	eventRecordsRepaired.Log(s.d.o.Logger, zap.String("daemon", s.name))
	s.differsSince = time.Time{}
	s.repairAt, s.repairWait = now.Add(s.repairWait), min(2*s.repairWait, repairMax)
	return true
}

// queue adds records that the member daemon should have. A standby sends only
// what stops new work.
func (s *session) queue(records []*pb.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		about := r.GetKind() == pb.RecordKind_RECORD_LIVENESS && r.GetOwner() == s.name
		if !about && !s.concernsLocked(r) {
			continue
		}
		stops := urgent(r)
		if s.all || stops || about {
			s.pending[keyOf(r)] = r
			s.urgent = s.urgent || stops
		}
	}
	if len(s.pending) > 0 {
		notify(s.wake)
	}
}

func (s *session) concernsLocked(r *pb.Record) bool {
	if !distributed(r.GetKind()) || r.GetOwner() == s.name {
		return false
	}
	return s.services[r.GetService()] || r.GetService() == ""
}

func (s *session) queueAllLocked() {
	for _, r := range s.d.table.distributedRecords(s.subscribed) {
		s.pending[keyOf(r)] = r
	}
	for _, r := range s.d.table.domainRecords() {
		s.pending[keyOf(r)] = r
	}
}

// wakeForVersion sends a newer version, unless this distributor is the standby.
func (s *session) wakeForVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all {
		notify(s.wake)
	}
}

func (s *session) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if s.mayWait() {
			sleep(ctx, coalesceDelay)
		}
		if err := s.stream.Send(packUpdate(s.update())); err != nil {
			return
		}
	}
}

func (s *session) mayWait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0 && !s.urgent
}

// update builds the next message.
func (s *session) update() *pb.FeedUpdate {
	d := s.d
	o := d.lease.Load()
	u := &pb.FeedUpdate{}
	settled := d.settled()
	distributors, successors, addresses := d.tell()
	progress := s.askedProgress()
	s.mu.Lock()
	defer s.mu.Unlock()
	u.Progress = progress
	u.ReportSequence, u.MinimumIncarnation = s.acknowledge, s.minimum
	s.minimum = 0
	if s.all && settled && !s.complete {
		u.Complete, s.complete = true, true
	}
	if o != s.toldSlot {
		u.Primary, u.LeaseChanged, u.Fencing, u.Slot = s.all, true, o.fencing, int32(o.slot)
		s.toldSlot = o
	}
	if fleet := d.fleet.Load(); fleet != s.toldFleet {
		u.FleetVersion, s.toldFleet = fleet, fleet
	}
	lease := int64(noLease)
	if s.leased {
		lease = membershipLease.Milliseconds()
	}
	if lease != s.toldLease {
		u.LeaseMs, s.toldLease = lease, lease
	}
	for key, r := range s.pending {
		u.Records = append(u.Records, r)
		delete(s.pending, key)
	}
	s.urgent = false
	u.Config = s.configLocked()
	told := strings.Join(slices.Concat(distributors, successors, addresses), " ")
	if told != s.toldPeers {
		s.toldPeers = told
		u.Distributors, u.Successors, u.SuccessorAddresses = distributors, successors, addresses
	}
	return u
}

// askedProgress returns the progress if the member daemon asked for it. It
// must not be called with the session's lock held.
func (s *session) askedProgress() []*pb.DomainProgress {
	s.mu.Lock()
	asked := s.wantProgress
	s.wantProgress = false
	s.mu.Unlock()
	if !asked {
		return nil
	}
	return s.d.Progress()
}

// configLocked returns the delta that the member daemon needs now, or nil.
func (s *session) configLocked() *pb.ConfigDelta {
	d, now := s.d, time.Now()
	version := d.catalog.version()
	if version == 0 || version < s.version {
		return nil
	}
	late := !s.behindSince.IsZero() && now.Sub(s.behindSince) > standbyDelay
	if !s.all && !s.wantFull && !late {
		return nil
	}
	sent := s.sentVersion == version && s.sentBase >= s.version && now.Sub(s.sentAt) < resendDelay
	if version > s.version && sent && !s.wantFull {
		return nil
	}
	// The stream is ordered, so the member daemon has what was sent before,
	// although its next report is still to come.
	base := max(s.version, s.sentVersion)
	if s.sentVersion == version {
		base = s.version
	}
	if s.wantFull {
		base = 0
	}
	delta, err := d.catalog.withBundles(d.catalog.deltaFrom(base), s.subscribed, s.held)
	if err != nil {
		notify(d.headWanted) // content is missing here
		return nil
	}
	if version == s.version && len(delta.GetBundles()) == 0 && !s.wantFull {
		return nil
	}
	for digest := range delta.GetBundles() {
		s.held[digest] = true
	}
	s.wantFull = false
	s.sentVersion, s.sentBase, s.sentAt = version, base, now
	return delta
}
