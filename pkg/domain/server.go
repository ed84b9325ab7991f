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
	// contendJitter spreads the attempts of daemons that contend for one slot.
	contendJitter = 500 * time.Millisecond
)

// Server implements the methods of the Mesh service that concern the failure
// domain, and runs a Distributor while this daemon has that role. The daemon's
// Mesh service embeds it next to the part that implements Call.
type Server struct {
	options Options
	member  *Member
	random  *random
	// OnDistributor, if set before Run, is called whenever this daemon becomes a
	// distributor. Its context ends with the role.
	OnDistributor func(ctx context.Context, d *Distributor)

	current atomic.Pointer[Distributor]
	mu      sync.Mutex
	runCtx  context.Context // of Run, nil before it
	stop    context.CancelFunc
	stopped chan struct{}
}

// NewServer returns the server of a member daemon.
func NewServer(m *Member) *Server {
	return &Server{options: m.options, member: m, random: newRandom(m.options.Seed, "server "+m.options.Name)}
}

// Distributor returns the running distributor of this daemon, or nil.
func (s *Server) Distributor() *Distributor { return s.current.Load() }

// Join implements pb.DRPCMeshServer. While the domain has no distributor, a named
// successor accepts streams as an acting distributor, and so does a restarted
// daemon whose address is still in a lease. Sending updates requires no lease, so
// they need not wait for one to expire.
func (s *Server) Join(stream pb.DRPCMesh_JoinStream) error {
	d := s.current.Load()
	if d == nil && s.mayAct() {
		d = s.startRole(&slotLease{slot: noSlot})
	}
	if d == nil {
		return &NotDistributorError{Name: s.options.Name}
	}
	return d.join(stream.Context(), stream)
}

// Exchange implements pb.DRPCMeshServer.
func (s *Server) Exchange(stream pb.DRPCMesh_ExchangeStream) error {
	d := s.current.Load()
	if d == nil {
		return &NotDistributorError{Name: s.options.Name}
	}
	return d.exchangeWith(stream.Context(), stream, false)
}

// PushHead implements pb.DRPCMeshServer.
func (s *Server) PushHead(_ context.Context, in *pb.PushHeadRequest) (*pb.PushHeadReply, error) {
	d := s.current.Load()
	if d == nil {
		return nil, &NotDistributorError{Name: s.options.Name}
	}
	return &pb.PushHeadReply{Version: d.handlePush(in.GetConfig())}, nil
}

// Offer implements pb.DRPCMeshServer.
func (s *Server) Offer(_ context.Context, in *pb.OfferRequest) (*pb.OfferReply, error) {
	if in.GetDomain() != s.options.Domain {
		return &pb.OfferReply{}, nil
	}
	s.member.addDistributor(in.GetAddress())
	return &pb.OfferReply{Accepted: true}, nil
}

// Run contends for the domain's leases when it is this daemon's turn, until
// ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.runCtx = ctx
	s.mu.Unlock()
	defer s.stopRole()
	// Daemons that are not named successors wait longer, each for a random time.
	delay := successorDelay + s.random.upTo(successorDelay)
	var vacantSince time.Time
	for ctx.Err() == nil {
		sleep(ctx, roleInterval)
		s.endActing()
		vacant := s.vacantSlots()
		if len(vacant) == 0 || !s.member.storeAvailable() {
			vacantSince = time.Time{}
			continue
		}
		if vacantSince.IsZero() {
			vacantSince = time.Now()
		}
		if slot := s.member.consumePreviousSlot(); slices.Contains(vacant, slot) {
			s.contend(ctx, slot)
			continue
		}
		rank, named := s.rank()
		if rank < 0 && time.Since(vacantSince) < s.contentionDelay(named, delay) {
			continue
		}
		if rank < 0 {
			rank = int(s.random.upTo(slots)) // so that both slots have contenders
		}
		s.contend(ctx, vacant[rank%len(vacant)])
	}
	return ctx.Err()
}

// contentionDelay returns how long a daemon that is not a named successor waits
// before it contends. In a domain without named successors the wait is shorter,
// because one of the daemons must become a distributor soon.
func (s *Server) contentionDelay(named bool, delay time.Duration) time.Duration {
	if named {
		return delay
	}
	return delay - successorDelay
}

// rank returns the index of this daemon among the named successors, or -1, and
// whether any successors are named.
func (s *Server) rank() (rank int, named bool) {
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	return slices.Index(s.member.successorNames, s.options.Name), len(s.member.successorNames) > 0
}

// vacantSlots returns the slots that no connected distributor holds. It returns
// none if this daemon already holds one.
func (s *Server) vacantSlots() []int {
	if d := s.current.Load(); d != nil && d.Slot() != noSlot {
		return nil
	}
	s.member.mu.Lock()
	defer s.member.mu.Unlock()
	vacant := []int{}
	for slot := range slots {
		held := false
		for _, f := range s.member.feeds {
			held = held || f.live && f.slot == int32(slot)
		}
		if !held {
			vacant = append(vacant, slot)
		}
	}
	return vacant
}

// contend tries to acquire the lease of a slot until another daemon is found to
// hold it or the store is down, and runs the distributor while this daemon holds it.
func (s *Server) contend(ctx context.Context, slot int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sleep(ctx, s.random.upTo(contendJitter))
	holder := lease.HolderName(s.options.Name, s.member.Incarnation())
	l := lease.New(lease.Options{
		Store: s.options.Store, Key: slotKey(s.options.Domain, slot), Holder: holder, Address: s.options.Address,
		Logger: s.options.Logger, Rand: s.random.child(), Submit: s.options.submit,
		Observe: func(r lease.Record) { s.observe(r, holder, cancel) },
	})
	done := make(chan struct{})
	if s.options.submit(func() { defer close(done); s.watchSlot(ctx, cancel, slot) }) != nil {
		return
	}
	_ = l.Run(ctx, func(leaseCtx context.Context, fencing uint64) {
		s.startRole(&slotLease{slot: slot, fencing: fencing, leaseCtx: leaseCtx})
		<-leaseCtx.Done()
	})
	s.stopRole()
	cancel()
	<-done
}

// watchSlot cancels the contention when a connected distributor holds the slot or
// the store is down.
func (s *Server) watchSlot(ctx context.Context, cancel context.CancelFunc, slot int) {
	for ctx.Err() == nil {
		sleep(ctx, roleInterval)
		if d := s.current.Load(); d != nil && d.Slot() == slot {
			continue
		}
		if !slices.Contains(s.vacantSlots(), slot) || !s.member.storeAvailable() {
			cancel()
		}
	}
}

// observe handles a lease record read while contending. Another holder is added
// as a distributor to join. If its fencing number is higher than this daemon's,
// this daemon's role ends.
func (s *Server) observe(r lease.Record, holder string, cancel context.CancelFunc) {
	if r.Holder == "" || r.Holder == holder {
		return
	}
	s.member.addDistributor(r.Address)
	if d := s.current.Load(); d != nil && d.Slot() != noSlot && r.Fencing > d.Fencing() {
		eventSuperseded.Log(s.options.Logger, zap.Uint64("fencing", r.Fencing), zap.String("holder", r.Holder))
		s.stopRole()
		cancel()
	}
}

// startRole starts a distributor, or sets the lease of the running one. It returns
// nil if the server does not run or the task pool is full.
func (s *Server) startRole(l *slotLease) *Distributor {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.current.Load(); d != nil {
		d.lease.Store(l)
		return d
	}
	if s.runCtx == nil || s.runCtx.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(s.runCtx)
	d := newDistributor(s.options, s.member)
	d.lease.Store(l)
	stopped := make(chan struct{})
	if err := s.options.submit(func() { defer close(stopped); s.runRole(ctx, d) }); err != nil {
		cancel()
		return nil
	}
	s.stop, s.stopped = cancel, stopped
	s.current.Store(d)
	s.member.addDistributor(s.options.Address)
	return d
}

// runRole runs the distributor and the callback of the role until both have returned.
func (s *Server) runRole(ctx context.Context, d *Distributor) {
	done := make(chan struct{})
	if s.OnDistributor == nil || s.options.submit(func() { defer close(done); s.OnDistributor(ctx, d) }) != nil {
		close(done)
	}
	d.run(ctx)
	<-done
}

// stopRole stops the distributor and waits until it has ended.
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

// mayAct reports whether this daemon may become an acting distributor.
func (s *Server) mayAct() bool {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	return (m.listed || slices.Contains(m.successorNames, s.options.Name)) && m.liveFeedsLocked() == 0
}

// endActing stops an acting distributor once one with a lease is connected.
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

// storeAvailable reports whether the last store call succeeded. Daemons do not
// contend for leases while the store is down.
func (m *Member) storeAvailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeDownSince.IsZero()
}
