package domain

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/lease"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	roleInterval = 500 * time.Millisecond
	// contendJitter spreads the contenders of one slot.
	contendJitter = 500 * time.Millisecond
)

// Server answers other daemons about the failure domain, and runs the
// distributor's role while this daemon has it. The daemon's Mesh service embeds
// it next to the part that implements Call.
type Server struct {
	o      Options
	member *Member
	random *random
	// Role, if set before Run, is called whenever this daemon becomes a
	// distributor, with a context that ends with the role.
	Role func(ctx context.Context, d *Distributor)

	current atomic.Pointer[Distributor]
	mu      sync.Mutex
	run     context.Context // of Run, nil before it
	stop    context.CancelFunc
	stopped chan struct{}
}

// NewServer returns the server of a member daemon.
func NewServer(m *Member) *Server {
	return &Server{o: m.o, member: m, random: newRandom(m.o.Seed, "server "+m.o.Name)}
}

// Distributor returns the distributor's role of this daemon, or nil.
func (s *Server) Distributor() *Distributor { return s.current.Load() }

// Join implements pb.DRPCMeshServer. When the domain has no distributor, a named
// successor accepts streams without a lease, and so does a restarted daemon that
// a lease still names: feeding needs no lease, and its term need not be awaited.
func (s *Server) Join(stream pb.DRPCMesh_JoinStream) error {
	d := s.current.Load()
	if d == nil && s.mayAct() {
		d = s.start(&slotLease{slot: noSlot})
	}
	if d == nil {
		return &NotDistributorError{Name: s.o.Name}
	}
	return d.join(stream.Context(), stream)
}

// Exchange implements pb.DRPCMeshServer.
func (s *Server) Exchange(stream pb.DRPCMesh_ExchangeStream) error {
	d := s.current.Load()
	if d == nil {
		return &NotDistributorError{Name: s.o.Name}
	}
	return d.exchangeWith(stream.Context(), stream, false)
}

// PushHead implements pb.DRPCMeshServer.
func (s *Server) PushHead(_ context.Context, in *pb.PushHeadRequest) (*pb.PushHeadReply, error) {
	d := s.current.Load()
	if d == nil {
		return nil, &NotDistributorError{Name: s.o.Name}
	}
	return &pb.PushHeadReply{Version: d.push(in.GetConfig())}, nil
}

// Offer implements pb.DRPCMeshServer.
func (s *Server) Offer(_ context.Context, in *pb.OfferRequest) (*pb.OfferReply, error) {
	if in.GetDomain() != s.o.Domain {
		return &pb.OfferReply{}, nil
	}
	s.member.addDistributor(in.GetAddress())
	return &pb.OfferReply{Accepted: true}, nil
}

// Run contends for the domain's leases when it is this daemon's turn, until
// ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.run = ctx
	s.mu.Unlock()
	defer s.stopRole()
	// Daemons without a turn of their own wait longer, each for another time.
	patience := successorDelay + s.random.upTo(successorDelay)
	var vacantSince time.Time
	for ctx.Err() == nil {
		sleep(ctx, roleInterval)
		s.endActing()
		vacant := s.vacantSlots()
		if len(vacant) == 0 || !s.member.storeAnswers() {
			vacantSince = time.Time{}
			continue
		}
		if vacantSince.IsZero() {
			vacantSince = time.Now()
		}
		if slot := s.member.takeFormerSlot(); slices.Contains(vacant, slot) {
			s.contend(ctx, slot)
			continue
		}
		rank, named := s.rank()
		if rank < 0 && time.Since(vacantSince) < s.turn(named, patience) {
			continue
		}
		if rank < 0 {
			rank = int(s.random.upTo(slots)) // both slots find contenders at once
		}
		s.contend(ctx, vacant[rank%len(vacant)])
	}
	return ctx.Err()
}

// turn is how long a daemon that is no named successor waits. In a domain that
// names none, one of the daemons has to begin soon.
func (s *Server) turn(named bool, patience time.Duration) time.Duration {
	if named {
		return patience
	}
	return patience - successorDelay
}

// rank is the place of this daemon among the named successors, or -1.
func (s *Server) rank() (rank int, named bool) {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	return slices.Index(s.member.successorName, s.o.Name), len(s.member.successorName) > 0
}

// vacantSlots returns the slots that no connected distributor holds, as far as
// this daemon may contend for one.
func (s *Server) vacantSlots() []int {
	if d := s.current.Load(); d != nil && d.Slot() != noSlot {
		return nil
	}
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	vacant := []int{}
	for slot := range slots {
		taken := false
		for _, f := range s.member.feeds {
			taken = taken || f.live && f.slot == int32(slot)
		}
		if !taken {
			vacant = append(vacant, slot)
		}
	}
	return vacant
}

// contend tries to take a slot until another daemon is seen to hold it, and
// works as a distributor for as long as this one does.
func (s *Server) contend(ctx context.Context, slot int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sleep(ctx, s.random.upTo(contendJitter))
	holder := lease.HolderName(s.o.Name, s.member.Incarnation())
	l := lease.New(lease.Options{
		Store: s.o.Store, Key: slotKey(s.o.Domain, slot), Holder: holder, Address: s.o.Address,
		Logger: s.o.Logger, Rand: s.random.child(), Submit: s.o.submit,
		Observe: func(r lease.Record) { s.observe(r, holder, cancel) },
	})
	done := make(chan struct{})
	if s.o.submit(func() { defer close(done); s.watchSlot(ctx, cancel, slot) }) != nil {
		return
	}
	_ = l.Run(ctx, func(held context.Context, fencing uint64) {
		s.start(&slotLease{slot: slot, fencing: fencing, held: held})
		<-held.Done()
	})
	s.stopRole()
	cancel()
	<-done
}

// watchSlot ends the contention when a connected distributor holds the slot.
func (s *Server) watchSlot(ctx context.Context, cancel context.CancelFunc, slot int) {
	for ctx.Err() == nil {
		sleep(ctx, roleInterval)
		if d := s.current.Load(); d != nil && d.Slot() == slot {
			continue
		}
		if !slices.Contains(s.vacantSlots(), slot) || !s.member.storeAnswers() {
			cancel()
		}
	}
}

// observe takes a lease record read while contending. Another holder is a
// distributor to join; a higher fencing number than the own ends the role.
func (s *Server) observe(r lease.Record, holder string, cancel context.CancelFunc) {
	if r.Holder == "" || r.Holder == holder {
		return
	}
	s.member.addDistributor(r.Address)
	if d := s.current.Load(); d != nil && d.Slot() != noSlot && r.Fencing > d.Fencing() {
		eventSuperseded.Log(s.o.Logger, zap.Uint64("fencing", r.Fencing), zap.String("holder", r.Holder))
		s.stopRole()
		cancel()
	}
}

// start begins the distributor's role, or gives a running one its lease.
func (s *Server) start(o *slotLease) *Distributor {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.current.Load(); d != nil {
		d.lease.Store(o)
		return d
	}
	if s.run == nil || s.run.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(s.run)
	d := newDistributor(s.o, s.member)
	d.lease.Store(o)
	stopped := make(chan struct{})
	if err := s.o.submit(func() { defer close(stopped); s.work(ctx, d) }); err != nil {
		cancel()
		return nil
	}
	s.stop, s.stopped = cancel, stopped
	s.current.Store(d)
	s.member.addDistributor(s.o.Address)
	return d
}

// work runs the role and what depends on it.
func (s *Server) work(ctx context.Context, d *Distributor) {
	done := make(chan struct{})
	if s.Role == nil || s.o.submit(func() { defer close(done); s.Role(ctx, d) }) != nil {
		close(done)
	}
	d.run(ctx)
	<-done
}

// stopRole ends the distributor's role and waits for its end.
func (s *Server) stopRole() {
	s.mu.Lock()
	stop, stopped := s.stop, s.stopped
	s.stop, s.stopped = nil, nil
	s.current.Store(nil)
	s.mu.Unlock()
	if stop != nil {
		stop()
		<-stopped
	}
}

// mayAct reports whether this daemon may accept streams without a lease.
func (s *Server) mayAct() bool {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	return (m.listed || slices.Contains(m.successorName, s.o.Name)) && m.liveLocked() == 0
}

// endActing ends an acting role once a distributor with a lease is connected.
func (s *Server) endActing() {
	d := s.current.Load()
	if d == nil || d.Slot() != noSlot {
		return
	}
	s.member.mu.Lock()
	superseded := false
	for _, f := range s.member.feeds {
		superseded = superseded || f.live && f.fencing > 0
	}
	s.member.mu.Unlock()
	if superseded {
		s.stopRole()
	}
}

// storeAnswers reports whether the store answered last, so that daemons do not
// contend for leases while it is down.
func (m *Member) storeAnswers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeDown.IsZero()
}
