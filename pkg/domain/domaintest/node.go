package domaintest

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcerr"

	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// Node is one daemon with a target that is ready as soon as the daemon is.
type Node struct {
	Name    string
	Domain  string
	Service string
	Depends []string
	Member  *domain.Member
	Server  *domain.Server
	Store   *Path

	fleet   *Fleet
	stop    context.CancelFunc
	tasks   *sync.WaitGroup // of the present run
	Started time.Time
	mu      sync.Mutex
	readyAt time.Time
	reached []Reached
}

// Reached tells when a version came into force.
type Reached struct {
	Version uint64
	At      time.Time
}

// mesh is the daemon's drpc service without the request path.
type mesh struct{ *domain.Server }

func (mesh) Call(pb.DRPCMesh_CallStream) error {
	return drpcerr.WithCode(errRefused, drpcerr.Unimplemented)
}

// start runs the daemon as a fresh process that holds nothing.
func (n *Node) start() {
	f := n.fleet
	ctx, cancel := context.WithCancel(context.Background())
	n.stop, n.Started, n.tasks = cancel, time.Now(), &sync.WaitGroup{}
	n.readyAt, n.reached = time.Time{}, nil
	n.Store = &Path{Store: f.Platform}
	n.Member = domain.NewMember(domain.Options{
		Name: n.Name, Address: n.Name, Domain: n.Domain, Store: n.Store, Dial: f.Network.Dial(n.Name),
		Tasks: f.tasks, Logger: f.logger, Seed: f.seed + uint64(time.Now().UnixNano()),
	})
	n.Server = domain.NewServer(n.Member)
	server, err := link.NewServer(mesh{n.Server}, f.tasks, f.logger)
	if err != nil {
		f.t.Fatalf("link server: %v", err)
	}
	f.Network.Listen(n.Name, func(c net.Conn) { n.goTask(func() { _ = server.ServeConn(ctx, c) }) })
	n.goTask(func() { _ = n.Member.Run(ctx) })
	n.goTask(func() { _ = n.Server.Run(ctx) })
	n.goTask(func() { n.observe(ctx) })
	n.goTask(func() { n.serve(ctx) })
}

func (n *Node) goTask(f func()) {
	tasks := n.tasks
	tasks.Add(1)
	if err := n.fleet.tasks.Submit(func() { defer tasks.Done(); f() }); err != nil {
		tasks.Done()
	}
}

// serve subscribes and announces the target, as a daemon does.
func (n *Node) serve(ctx context.Context) {
	if n.Member.WaitReady(ctx) != nil {
		return
	}
	n.mu.Lock()
	n.readyAt = time.Now()
	n.mu.Unlock()
	n.fleet.served(n, n.Member.Snapshot().Version())
	if n.Member.Subscribe(ctx, append([]string{n.Service}, n.Depends...)...) != nil {
		return
	}
	n.Announce(pb.EndpointState_ENDPOINT_READY)
}

// Announce publishes the target's endpoint.
func (n *Node) Announce(state pb.EndpointState) {
	n.Member.Publish(EndpointRecord(n.Name, n.Domain, n.Service, state))
}

// observe notes each version that comes into force.
func (n *Node) observe(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.Member.Swapped():
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
			n.fleet.revert(n, last, version)
		}
		if ready {
			n.fleet.served(n, version)
		}
	}
}

// ReadyAt returns when the floor was met, zero before.
func (n *Node) ReadyAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.readyAt
}

// ReachedAt returns when the daemon had the version or a newer one in force.
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

// Usable reports whether this daemon would send new work to another one.
func (n *Node) Usable(other *Node) bool {
	for _, e := range n.Member.Table().Endpoints(other.Service) {
		if e.GetName() == other.Name {
			return e.Usable()
		}
	}
	return false
}

// Stop ends the daemon as planned.
func (n *Node) Stop() {
	n.stop()
	n.tasks.Wait()
	n.fleet.Network.reset(n.Name)
}

// Crash ends the process; its connections are reset and its leases stay.
func (n *Node) Crash() {
	n.Store.Cut(true)
	n.fleet.Network.reset(n.Name)
	n.end()
}

// Vanish ends the machine; its connections go silent.
func (n *Node) Vanish() {
	n.Store.Cut(true)
	n.fleet.Network.silence(n.Name)
	n.end()
}

func (n *Node) end() {
	n.stop()
	n.fleet.ended.Add(1)
	tasks := n.tasks
	go func() { defer n.fleet.ended.Done(); tasks.Wait() }()
}

// Restart runs a fresh process in place of one that ended.
func (n *Node) Restart() {
	n.tasks.Wait()
	n.start()
}

// Path is one daemon's way to the store.
type Path struct {
	store.Store
	mu  sync.Mutex
	cut bool
}

// Cut makes the store unreachable for this daemon.
func (p *Path) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *Path) check(op string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return &store.UnavailableError{Op: op, Cause: errTimeout}
	}
	return nil
}

// Get implements store.Store.
func (p *Path) Get(ctx context.Context, key string) (store.Object, error) {
	if err := p.check("get"); err != nil {
		return store.Object{}, err
	}
	return p.Store.Get(ctx, key)
}

// List implements store.Store.
func (p *Path) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	if err := p.check("list"); err != nil {
		return nil, 0, err
	}
	return p.Store.List(ctx, prefix)
}

// Create implements store.Store.
func (p *Path) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	if err := p.check("create"); err != nil {
		return store.Object{}, err
	}
	return p.Store.Create(ctx, key, value)
}

// Update implements store.Store.
func (p *Path) Update(ctx context.Context, key string, value []byte, revision int64) (store.Object, error) {
	if err := p.check("update"); err != nil {
		return store.Object{}, err
	}
	return p.Store.Update(ctx, key, value, revision)
}

// Watch implements store.Store. A path that is cut during a watch fails it.
func (p *Path) Watch(ctx context.Context, prefix string, from int64) ([]store.Event, int64, error) {
	if err := p.check("watch"); err != nil {
		return nil, from, err
	}
	events, next, err := p.Store.Watch(ctx, prefix, from)
	if cut := p.check("watch"); cut != nil {
		return nil, from, cut
	}
	return events, next, err
}
