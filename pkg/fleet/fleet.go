package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	// exchangeInterval is the time between exchanges with random peers. Two
	// rounds reach most of a fleet of a hundred daemons within silentAfter.
	exchangeInterval = 500 * time.Millisecond
	// exchangePeers is the number of live peers of one round.
	exchangePeers = 2
	// syncTimeout bounds one exchange: several round trips between regions.
	syncTimeout = 700 * time.Millisecond
)

// Options configure a Fleet.
type Options struct {
	Table *Table
	Peers *link.Peers
	// Datagrams carries pushes. Its port is that of the Fleet service.
	Datagrams net.PacketConn
	Tasks     *ants.Pool
	Config    *routing.Current
	History   *History // older configurations, for deltas
	Logger    *zap.Logger
	// Adopted is called after a configuration from a peer came into force.
	Adopted func(*routing.Config)
	// Report takes the evidence of another daemon.
	Report func(from string, payload []byte)
	// Left is called with a target whose leaving the daemon's former process had
	// acknowledged.
	Left func(target string, born int64)
}

// Fleet exchanges the table with the other daemons.
type Fleet struct {
	Options
	dirty    chan struct{}
	fetching sync.Mutex
	replies  replyCache

	mu     sync.Mutex
	silent map[string]bool
	fresh  map[string]bool // keys of facts that were not pushed yet
}

// New returns a Fleet. Nothing runs before Run.
func New(options Options) *Fleet {
	return &Fleet{
		Options: options, dirty: make(chan struct{}, 1), silent: make(map[string]bool), fresh: make(map[string]bool),
	}
}

// Update changes the own state and pushes it to all peers.
func (f *Fleet) Update(change func(*State)) {
	if f.Table.Update(change) {
		f.push()
	}
}

// SetFact stores a fact and pushes it to all peers.
func (f *Fleet) SetFact(key string, rank uint64, payload []byte) bool {
	if !f.Table.SetFact(key, rank, payload) {
		return false
	}
	f.mu.Lock()
	f.fresh[key] = true
	f.mu.Unlock()
	f.push()
	return true
}

func (f *Fleet) push() {
	select {
	case f.dirty <- struct{}{}:
	default: // a push that has not begun carries this change too
	}
}

// Run exchanges until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.dirty:
			f.pushAll(ctx)
		case <-ticker.C:
			f.Table.Beat()
			f.Table.forget()
			f.watchSilence()
			f.exchange(ctx)
		}
	}
}

// submit runs a task of the pool; a full pool loses it, and a later exchange
// makes up for it.
func (f *Fleet) submit(task func()) {
	if err := f.Tasks.Submit(task); err != nil {
		eventPeerUnreached.Log(f.Logger, zap.String("reason", "task pool"), zap.Error(err))
	}
}

// exchange compares the table with that of random live peers, and with one that
// is silent or left, so that a daemon that restarted is found again.
func (f *Fleet) exchange(ctx context.Context) {
	now := f.Table.clock.Now()
	var live, absent []Member
	for _, m := range f.Table.Members() {
		switch {
		case m.Self:
		case now.Sub(m.HeardAt) <= silentAfter && !m.State.Leaving:
			live = append(live, m)
		default:
			absent = append(absent, m)
		}
	}
	for _, m := range append(choose(live, exchangePeers), choose(absent, 1)...) {
		f.submit(func() { f.Exchange(ctx, m.Name, m.State.SyncAddress) })
	}
}

// choose returns up to n random members.
func choose(members []Member, n int) []Member {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(n, len(members))]
}

// Exchange compares the table with that of the daemon at an address. The name
// is empty if it is not known yet.
func (f *Fleet) Exchange(ctx context.Context, name, address string) bool {
	reply := f.sync(ctx, address, &pb.SyncRequest{
		From: f.Table.self, To: name, Digests: f.Table.digests(),
		States: []*pb.MemberState{f.Table.ownState()}, Facts: f.Table.encodeFacts(),
	})
	if reply == nil {
		return false
	}
	if wanted := f.Table.states(reply.GetWanted()); len(wanted) > 0 {
		f.sync(ctx, address, &pb.SyncRequest{From: f.Table.self, To: reply.GetFrom(), States: wanted})
	}
	return true
}

func (f *Fleet) sync(ctx context.Context, address string, request *pb.SyncRequest) *pb.SyncReply {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	reply, err := f.Peers.Fleet(ctx, address).Sync(ctx, request)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			eventPeerUnreached.Log(f.Logger, zap.String("peer", request.GetTo()), zap.String("address", address), zap.Error(err))
		}
		return nil
	}
	f.take(reply.GetStates(), reply.GetFacts())
	f.takeLeft(reply.GetLeft())
	return reply
}

// take applies what a peer sent and fetches a newer configuration from the
// members that hold one.
func (f *Fleet) take(states []*pb.MemberState, facts []*pb.Fact) {
	joined, err := f.Table.apply(states, facts)
	if err != nil {
		eventStateRejected.Log(f.Logger, zap.Error(err))
	}
	for _, name := range joined {
		eventMemberJoined.Log(f.Logger, zap.String("member", name))
	}
	if f.newestHolder() != nil {
		f.submit(f.fetchConfig)
	}
}

// Sync implements pb.DRPCFleetServer.
func (f *Fleet) Sync(_ context.Context, request *pb.SyncRequest) (*pb.SyncReply, error) {
	f.take(request.GetStates(), request.GetFacts())
	newer, wanted := f.Table.answer(request.GetDigests())
	reply := &pb.SyncReply{From: f.Table.self, States: newer, Wanted: wanted}
	if request.GetTo() != "" && request.GetTo() != f.Table.self {
		reply.States = append(reply.States, f.Table.ownState())
	}
	if len(request.GetDigests()) > 0 {
		reply.Facts, reply.Left = f.Table.encodeFacts(), f.leftBeside(request.GetFrom())
	}
	return reply, nil
}

// leftBeside returns what a daemon's former process had acknowledged, nil if
// nothing is known.
func (f *Fleet) leftBeside(name string) *pb.LeftTarget {
	target, born := f.Table.left(name)
	if target == "" {
		return nil
	}
	return &pb.LeftTarget{Id: target, Born: born}
}

func (f *Fleet) takeLeft(left *pb.LeftTarget) {
	if left.GetId() != "" {
		f.Left(left.GetId(), left.GetBorn())
	}
}

// ReportTo hands evidence to the daemon with the given name.
func (f *Fleet) ReportTo(ctx context.Context, name string, payload []byte) {
	for _, m := range f.Table.Members() {
		if m.Name != name || m.Self {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		request := &pb.ReportRequest{From: f.Table.self, Payload: payload}
		if _, err := f.Peers.Fleet(ctx, m.State.SyncAddress).Report(ctx, request); err != nil {
			eventPeerUnreached.Log(f.Logger, zap.String("peer", name), zap.Error(err))
		}
	}
}

// Serve answers other daemons until ctx ends.
func (f *Fleet) Serve(ctx context.Context, listener net.Listener) error {
	server, err := link.NewFleetServer(fleetService{f}, f.Tasks, f.Logger)
	if err != nil {
		return err
	}
	return server.Serve(ctx, listener)
}

// fleetService adds the methods whose names the exported API uses otherwise.
type fleetService struct{ *Fleet }

// Config implements pb.DRPCFleetServer.
func (s fleetService) Config(_ context.Context, request *pb.ConfigRequest) (*pb.ConfigReply, error) {
	return s.configReply(request.GetHeld())
}

// Report implements pb.DRPCFleetServer.
func (s fleetService) Report(_ context.Context, request *pb.ReportRequest) (*pb.ReportReply, error) {
	s.Options.Report(request.GetFrom(), request.GetPayload())
	return &pb.ReportReply{}, nil
}

// watchSilence logs members that fell silent and those that were heard again.
func (f *Fleet) watchSilence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Table.clock.Now()
	for _, m := range f.Table.Members() {
		age := now.Sub(m.HeardAt)
		silent := !m.Self && !m.State.Leaving && age > silentAfter
		switch {
		case silent && !f.silent[m.Name]:
			eventMemberSilent.Log(f.Logger, zap.String("member", m.Name), zap.Duration("age", age))
		case !silent && f.silent[m.Name]:
			eventMemberHeard.Log(f.Logger, zap.String("member", m.Name))
		}
		f.silent[m.Name] = silent
	}
}
