package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	// exchangeInterval is the interval between rounds of exchanges with random
	// peers. Updates reach most of a fleet of 100 daemons within SilentAfter.
	exchangeInterval = 500 * time.Millisecond
	// domainPeers is the number of live peers of the local failure domain contacted
	// in each round.
	domainPeers = 2
	// remoteExchanges is the number of exchanges with other failure domains that the
	// live members of one domain start together in each round. Heartbeats then spread
	// within the domain, so the traffic between domains does not grow with their size.
	remoteExchanges = 12
	// inactiveExchanges is the number of exchanges with silent or leaving members
	// that the live members of the fleet start together in each round.
	inactiveExchanges = 16
	// syncTimeout bounds one call to a peer. It covers several round trips
	// between regions.
	syncTimeout = 700 * time.Millisecond
)

// Options configure a Fleet.
type Options struct {
	Table *Table
	Peers *link.Peers
	// Datagrams sends and receives pushes. It uses the port number of the Fleet
	// service.
	Datagrams net.PacketConn
	Tasks     *ants.Pool
	Config    *routing.Current
	History   *History // past configurations, the bases of deltas
	Logger    *zap.Logger
	// ApplyConfig is called with a newer configuration fetched from a peer.
	ApplyConfig func(*routing.Config)
	// HandleReport is called with the evidence received from a peer.
	HandleReport func(from string, payload []byte)
	// HandleLeftTarget is called with a target whose departure the previous
	// process of this daemon acknowledged, as reported by a peer. startMS is the
	// start of the target in Unix milliseconds.
	HandleLeftTarget func(target string, startMS int64)
	// TargetLoad returns the encoded load of the local target, 0 if there is none. A nil
	// function stands for no target.
	TargetLoad func() byte
	// HandleStoreContact is called when a peer reports that the store has just
	// answered its watch of the configuration.
	HandleStoreContact func(from string)
	// HandlePermitRequests is called with the requests of a peer for permits and
	// returns the answers. It is nil if the daemon grants none.
	HandlePermitRequests func(from string, requests []*pb.PermitRequest) []*pb.PermitGrant
	// HandlePermitGrants is called with the answers of a peer. It is nil if the daemon
	// requests no permits.
	HandlePermitGrants func(from string, grants []*pb.PermitGrant)
}

// Fleet replicates the table between the daemons.
type Fleet struct {
	Options
	dirty    chan struct{}
	fetching sync.Mutex
	replies  replyCache

	silent map[string]bool // members that were silent at the last round, used by Run only

	mu       sync.Mutex
	unpushed map[string]bool // keys of facts set since the previous push
}

// New returns a Fleet. It starts no goroutines; call Run, Serve and
// ReceiveDatagrams.
func New(options Options) *Fleet {
	if options.TargetLoad == nil {
		options.TargetLoad = func() byte { return 0 }
	}
	return &Fleet{
		Options: options, dirty: make(chan struct{}, 1), silent: make(map[string]bool), unpushed: make(map[string]bool),
	}
}

// Update applies change to the local state and pushes the state to all peers if it
// differs.
func (f *Fleet) Update(change func(*State)) {
	if f.Table.Update(change) {
		f.push()
	}
}

// SetFact stores a fact and pushes it to all peers. It reports false without a push
// if the stored fact has the same or a higher rank.
func (f *Fleet) SetFact(key string, rank uint64, payload []byte) bool {
	if !f.Table.SetFact(key, rank, payload) {
		return false
	}
	f.mu.Lock()
	f.unpushed[key] = true
	f.mu.Unlock()
	f.push()
	return true
}

// PushConfigVersion tells all peers which configuration version is in force here.
func (f *Fleet) PushConfigVersion() { f.push() }

func (f *Fleet) push() {
	select {
	case f.dirty <- struct{}{}:
	default: // the pending push includes this change
	}
}

// Run pushes changes and exchanges the table with random peers until ctx ends.
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
			if suspended := f.Table.AdvanceHeartbeat(); suspended > 0 {
				eventSuspended.Log(f.Logger, zap.Duration("for", suspended))
			}
			f.Table.PublishLoad(f.TargetLoad())
			f.Table.removeSilent()
			f.logLiveness()
			f.exchange(ctx)
		}
	}
}

// submit runs a task in the pool. A full pool drops the task; a later exchange
// delivers what the task would have sent.
func (f *Fleet) submit(task func()) {
	if err := f.Tasks.Submit(task); err != nil {
		eventPeerUnreached.Log(f.Logger, zap.String("reason", "task pool"), zap.Error(err))
	}
}

// exchange synchronizes the table with random live peers, most of them in the local
// failure domain, and from time to time with one member that is silent or leaving, so
// that a restarted daemon is rediscovered.
func (f *Fleet) exchange(ctx context.Context) {
	for _, m := range f.Table.exchangePeers() {
		f.submit(func() { f.Exchange(ctx, m.Name, m.State.SyncAddress) })
	}
}

// exchangePeers returns the members to contact in one round.
func (t *Table) exchangePeers() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	zone := t.members[t.self].State.Zone
	var local, remote, inactive []*Member
	for _, m := range t.ordered {
		switch {
		case m.Self:
		case !m.Live(now):
			inactive = append(inactive, m)
		case m.State.Zone == zone:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	peers := sample(local, domainPeers)
	// A daemon without peers in its domain contacts as many in other domains.
	remotePeers := domainPeers - len(peers)
	if rand.Float64() < remoteExchanges/float64(len(local)+1) {
		remotePeers = max(remotePeers, 1)
	}
	peers = append(peers, sample(remote, remotePeers)...)
	if rand.Float64() < inactiveExchanges/float64(len(local)+len(remote)+1) {
		peers = append(peers, sample(inactive, 1)...)
	}
	return peers
}

// sample returns copies of up to n random members. It reorders the slice.
func sample(members []*Member, n int) []Member {
	n = min(n, len(members))
	chosen := make([]Member, 0, n+1)
	for i := range n {
		at := i + rand.IntN(len(members)-i)
		members[i], members[at] = members[at], members[i]
		chosen = append(chosen, *members[i])
	}
	return chosen
}

// Exchange synchronizes the table with the daemon at an address. The first call
// compares summaries, and a second one transfers the states and facts in which the
// tables differ. The name may be empty if it is not known. Exchange reports whether
// the daemon replied.
func (f *Fleet) Exchange(ctx context.Context, name, address string) bool {
	reply := f.sync(ctx, address, f.firstRequest(name))
	if reply == nil {
		return false
	}
	if second := f.secondRequest(reply); second != nil {
		f.sync(ctx, address, second)
	}
	return true
}

func (f *Fleet) firstRequest(to string) *pb.SyncRequest {
	return &pb.SyncRequest{
		From: f.Table.self, To: to, States: []*pb.MemberState{f.Table.localState()}, Summary: f.Table.summary(),
	}
}

// secondRequest returns the request that transfers the differences between the tables,
// or nil if there are none.
func (f *Fleet) secondRequest(reply *pb.SyncReply) *pb.SyncRequest {
	_, factsDiffer := f.Table.mergeSummary(reply.GetSummary())
	request := &pb.SyncRequest{From: f.Table.self, To: reply.GetFrom()}
	request.States, request.Wanted = f.Table.compare(reply.GetBuckets(), reply.GetDigests())
	if factsDiffer {
		request.Facts = f.Table.encodeFacts()
	}
	if len(request.States)+len(request.Wanted)+len(request.Facts) == 0 {
		return nil
	}
	return request
}

// sync makes one Sync call and merges the reply. It returns nil if the call fails.
func (f *Fleet) sync(ctx context.Context, address string, request *pb.SyncRequest) *pb.SyncReply {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	request.ConfigVersion = f.Options.Config.Load().Version()
	reply, err := f.Peers.Fleet(ctx, address).Sync(ctx, request)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			eventPeerUnreached.Log(f.Logger, zap.String("peer", request.GetTo()), zap.String("address", address), zap.Error(err))
		}
		return nil
	}
	f.merge(reply.GetStates(), reply.GetFacts())
	f.recordConfigVersion(reply.GetFrom(), reply.GetConfigVersion())
	f.handleLeft(reply.GetLeft())
	return reply
}

// merge applies the states and facts of a peer.
func (f *Fleet) merge(states []*pb.MemberState, facts []*pb.Fact) {
	joined, err := f.Table.apply(states, facts)
	if err != nil {
		eventStateRejected.Log(f.Logger, zap.Error(err))
	}
	for _, name := range joined {
		eventMemberJoined.Log(f.Logger, zap.String("member", name))
	}
}

// recordConfigVersion records the configuration version of a peer, and starts a fetch
// if it is newer than the local one.
func (f *Fleet) recordConfigVersion(from string, version uint64) {
	if version == 0 {
		return
	}
	f.Table.recordConfigVersion(from, version)
	if version > f.Options.Config.Load().Version() {
		f.submit(f.fetchConfig)
	}
}

// recoverPanic logs a panic and replaces it by an error. A datagram of a peer must not
// end the process; package link does the same for calls.
func (f *Fleet) recoverPanic(from string, err *error) {
	if p := recover(); p != nil {
		eventMessageFailed.Log(f.Logger, zap.String("from", from), zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		*err = &MessageError{From: from, Panic: p}
	}
}

// MessageError reports a message of a peer that could not be processed.
type MessageError struct {
	From  string
	Panic any
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("fleet: process message of %q: panic: %v", e.From, e.Panic)
}

// Sync implements pb.DRPCFleetServer.
func (f *Fleet) Sync(_ context.Context, request *pb.SyncRequest) (*pb.SyncReply, error) {
	f.merge(request.GetStates(), request.GetFacts())
	f.recordConfigVersion(request.GetFrom(), request.GetConfigVersion())
	reply := &pb.SyncReply{
		From: f.Table.self, States: f.Table.states(request.GetWanted()), ConfigVersion: f.Options.Config.Load().Version(),
	}
	if request.GetTo() != "" && request.GetTo() != f.Table.self {
		reply.States = append(reply.States, f.Table.localState())
	}
	if request.GetSummary() != nil {
		var factsDiffer bool
		reply.Buckets, factsDiffer = f.Table.mergeSummary(request.GetSummary())
		reply.Digests, reply.Summary = f.Table.digests(reply.Buckets), f.Table.summary()
		if factsDiffer {
			reply.Facts = f.Table.encodeFacts()
		}
		reply.Left = f.leftTarget(request.GetFrom())
	} else if request.GetConfigVersion() == 0 {
		reply.Facts = f.Table.encodeFacts() // the peer is about to fetch its first configuration
	}
	return reply, nil
}

// leftTarget returns the target that had left at the previous process of a daemon,
// or nil if there is none.
func (f *Fleet) leftTarget(name string) *pb.LeftTarget {
	target, startMS := f.Table.leftTarget(name)
	if target == "" {
		return nil
	}
	return &pb.LeftTarget{Id: target, Born: startMS}
}

func (f *Fleet) handleLeft(left *pb.LeftTarget) {
	if left.GetId() != "" {
		f.HandleLeftTarget(left.GetId(), left.GetBorn())
	}
}

// ReportTo sends evidence to the daemon with the given name.
func (f *Fleet) ReportTo(ctx context.Context, name string, payload []byte) {
	m, ok := f.Table.Member(name)
	if !ok || m.Self {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	request := &pb.ReportRequest{From: f.Table.self, Payload: payload}
	if _, err := f.Peers.Fleet(ctx, m.State.SyncAddress).Report(ctx, request); err != nil {
		eventPeerUnreached.Log(f.Logger, zap.String("peer", name), zap.Error(err))
	}
}

// Serve serves the Fleet service to peers until ctx ends.
func (f *Fleet) Serve(ctx context.Context, listener net.Listener) error {
	server, err := link.NewFleetServer(fleetService{f}, f.Tasks, f.Logger)
	if err != nil {
		return err
	}
	return server.Serve(ctx, listener)
}

// fleetService adds the service methods that Fleet does not export. Config cannot
// be a method of Fleet, since it is a field of Options.
type fleetService struct{ *Fleet }

// Config implements pb.DRPCFleetServer.
func (s fleetService) Config(_ context.Context, request *pb.ConfigRequest) (*pb.ConfigReply, error) {
	return s.configReply(request.GetHeld())
}

// Report implements pb.DRPCFleetServer.
func (s fleetService) Report(_ context.Context, request *pb.ReportRequest) (*pb.ReportReply, error) {
	s.Options.HandleReport(request.GetFrom(), request.GetPayload())
	return &pb.ReportReply{}, nil
}

// logLiveness logs the members that became silent or live since the previous call.
func (f *Fleet) logLiveness() {
	now := f.Table.clock.Now()
	f.Table.Each(func(m *Member) {
		age := now.Sub(m.LastHeartbeat)
		silent := !m.Self && !m.State.Leaving && age > SilentAfter
		switch {
		case silent && !f.silent[m.Name]:
			f.silent[m.Name] = true
			eventMemberSilent.Log(f.Logger, zap.String("member", m.Name), zap.Duration("age", age))
		case !silent && f.silent[m.Name]:
			delete(f.silent, m.Name)
			eventMemberHeard.Log(f.Logger, zap.String("member", m.Name))
		}
	})
	for name := range f.silent {
		if _, ok := f.Table.Member(name); !ok {
			delete(f.silent, name)
		}
	}
}
