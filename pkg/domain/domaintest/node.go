package domaintest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcerr"

	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// Node is one daemon with one target, which is ready as soon as the daemon is.
type Node struct {
	DepartedMS atomic.Int64 // time of the last departure of which the daemon was notified
	Name       string
	Domain     string
	Service    string
	Depends    []string
	Member     *domain.Member
	Server     *domain.Server
	Store      *StorePath

	fleet   *Fleet
	stop    context.CancelFunc
	tasks   *sync.WaitGroup // of the current run
	Started time.Time
	mu      sync.Mutex
	readyAt time.Time
	reached []Reached
}

// Reached is a version and the time at which it came into force.
type Reached struct {
	Version uint64
	At      time.Time
}

// mesh is the daemon's drpc service. It does not implement Call.
type mesh struct{ *domain.Server }

func (mesh) Call(pb.DRPCMesh_CallStream) error {
	return drpcerr.WithCode(errRefused, drpcerr.Unimplemented)
}

// start runs the daemon as a new process without stored state.
func (n *Node) start() {
	f := n.fleet
	ctx, cancel := context.WithCancel(context.Background())
	n.stop, n.Started, n.tasks = cancel, time.Now(), &sync.WaitGroup{}
	n.readyAt, n.reached = time.Time{}, nil
	n.Store = &StorePath{Store: f.DaemonStore}
	n.Member = domain.NewMember(domain.Options{
		Name: n.Name, Address: n.Name, Domain: n.Domain, Store: n.Store, Dial: f.Network.Dial(n.Name),
		Tasks: f.tasks, Logger: f.logger, Seed: f.seed + uint64(time.Now().UnixNano()),
		OnDeclaredDeparted: func(departedMS int64) { n.DepartedMS.Store(departedMS) },
	})
	n.Server = domain.NewServer(n.Member)
	server, err := link.NewServer(mesh{n.Server}, f.tasks, f.logger)
	if err != nil {
		f.t.Fatalf("create link server: %v", err)
	}
	f.Network.Listen(n.Name, func(c net.Conn) { n.startTask(func() { _ = server.ServeConn(ctx, c) }) })
	n.startTask(func() { _ = n.Member.Run(ctx) })
	n.startTask(func() { _ = n.Server.Run(ctx) })
	n.startTask(func() { n.observe(ctx) })
	n.startTask(func() { n.serve(ctx) })
}

func (n *Node) startTask(f func()) {
	tasks := n.tasks
	tasks.Add(1)
	if err := n.fleet.tasks.Submit(func() { defer tasks.Done(); f() }); err != nil {
		tasks.Done()
	}
}

// serve waits until the daemon is ready, subscribes to its services and announces
// the target.
func (n *Node) serve(ctx context.Context) {
	if n.Member.WaitReady(ctx) != nil {
		return
	}
	n.mu.Lock()
	n.readyAt = time.Now()
	n.mu.Unlock()
	n.fleet.recordServed(n, n.Member.Snapshot().Version())
	if n.Member.Subscribe(ctx, append([]string{n.Service}, n.Depends...)...) != nil {
		return
	}
	n.Announce(pb.EndpointState_ENDPOINT_READY)
}

// Announce publishes the target's endpoint.
func (n *Node) Announce(state pb.EndpointState) {
	n.Member.Publish(EndpointRecord(n.Name, n.Domain, n.Service, state))
}

// observe records each version that comes into force until ctx ends.
func (n *Node) observe(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.Member.SnapshotChanged():
		}
		version := n.Member.Snapshot().Version()
		n.mu.Lock()
		last := uint64(0)
		if len(n.reached) > 0 {
			last = n.reached[len(n.reached)-1].Version
		}
		if version != last {
			n.reached = append(n.reached, Reached{Version: version, At: time.Now()})
		}
		ready := !n.readyAt.IsZero()
		n.mu.Unlock()
		if version < last {
			n.fleet.recordRevert(n, last, version)
		}
		if ready {
			n.fleet.recordServed(n, version)
		}
	}
}

// ReadyAt returns when the daemon became ready, or zero if it is not.
func (n *Node) ReadyAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readyAt
}

// ReachedAt returns when the version, or a newer one, came into force.
func (n *Node) ReachedAt(version uint64) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.reached {
		if r.Version >= version {
			return r.At, true
		}
	}
	return time.Time{}, false
}

// Usable reports whether this daemon may send new work to the target of other.
func (n *Node) Usable(other *Node) bool {
	for _, e := range n.Member.Table().Endpoints(other.Service) {
		if e.GetName() == other.Name {
			return e.Usable()
		}
	}
	return false
}

// Stop performs a planned stop and waits until it is complete.
func (n *Node) Stop() {
	n.stop()
	n.fleet.Network.refuse(n.Name)
	n.tasks.Wait()
	n.fleet.Network.reset(n.Name)
}

// Crash ends the process without a planned stop. Its connections are reset, and its
// leases are not released.
func (n *Node) Crash() {
	n.Store.Cut(true)
	n.fleet.Network.reset(n.Name)
	n.end()
}

// Vanish ends the machine without a planned stop. Its connections stay open and
// silent, and its leases are not released.
func (n *Node) Vanish() {
	n.Store.Cut(true)
	n.fleet.Network.silence(n.Name)
	n.end()
}

func (n *Node) end() {
	n.stop()
	n.fleet.stopping.Add(1)
	tasks := n.tasks
	go func() { defer n.fleet.stopping.Done(); tasks.Wait() }()
}

// Restart starts a new process after the previous one has ended.
func (n *Node) Restart() {
	n.tasks.Wait()
	n.start()
}

// StorePath is one daemon's connection to the store, which tests can cut.
type StorePath struct {
	store.Store
	mu  sync.Mutex
	cut bool
}

// Cut makes the store unreachable for this daemon, or reachable again.
func (p *StorePath) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *StorePath) check(op string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return &store.UnavailableError{Op: op, Cause: errTimeout}
	}
	return nil
}

// Get implements store.Store.
func (p *StorePath) Get(ctx context.Context, key string) (store.Object, error) {
	if err := p.check("get"); err != nil {
		return store.Object{}, err
	}
	return p.Store.Get(ctx, key)
}

// List implements store.Store.
func (p *StorePath) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if err := p.check("list"); err != nil {
		return nil, 0, err
	}
	return p.Store.List(ctx, prefix)
}

// Create implements store.Store.
func (p *StorePath) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	if err := p.check("create"); err != nil {
		return store.Object{}, err
	}
	return p.Store.Create(ctx, key, value)
}

// Update implements store.Store.
func (p *StorePath) Update(ctx context.Context, key string, value []byte, revision int64) (store.Object, error) {
	if err := p.check("update"); err != nil {
		return store.Object{}, err
	}
	return p.Store.Update(ctx, key, value, revision)
}

// Watch implements store.Store. It fails if the path is cut during the watch.
func (p *StorePath) Watch(ctx context.Context, prefix string, from int64) ([]store.Event, int64, error) {
	if err := p.check("watch"); err != nil {
		return nil, from, err
	}
	events, next, err := p.Store.Watch(ctx, prefix, from)
	if cutErr := p.check("watch"); cutErr != nil {
		return nil, from, cutErr
	}
	return events, next, err
}
