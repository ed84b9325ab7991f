package domaintest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/domain"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

// Shape configures a fleet.
type Shape struct {
	Domains   int
	PerDomain int
	Services  int
	// Depends is the number of other services that each service depends on.
	Depends int
	Seed    uint64
	Logger  *zap.Logger
	// Wrap, if set, wraps the store as the daemons use it.
	Wrap func(store.Store) store.Store
}

// Fleet is a set of daemons with their store and network.
type Fleet struct {
	Store       *standin.Store
	DaemonStore store.Store // the store as used by the daemons
	Network     *Network
	Nodes       []*Node
	Rand        *rand.Rand

	t        testing.TB
	seed     uint64
	logger   *zap.Logger
	tasks    *ants.Pool
	stopping sync.WaitGroup
	services map[string]config.Service
	version  uint64

	mu      sync.Mutex
	highest map[string]uint64 // highest version served, by daemon
	reverts int
}

// Run runs body with a fleet in virtual time and stops the fleet afterwards. The
// daemons are created but not started.
func Run(t *testing.T, shape Shape, body func(t *testing.T, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, shape)
		defer f.close()
		body(t, f)
	})
}

func newFleet(t testing.TB, shape Shape) *Fleet {
	tasks, err := ants.NewPool(-1, ants.WithDisablePurge(true))
	if err != nil {
		t.Fatalf("task pool: %v", err)
	}
	f := &Fleet{
		Store: standin.New(shape.Seed), Network: NewNetwork(), Rand: rand.New(rand.NewPCG(shape.Seed, 7)),
		t: t, seed: shape.Seed, logger: shape.Logger, tasks: tasks,
		services: map[string]config.Service{}, highest: map[string]uint64{},
	}
	f.DaemonStore = f.Store
	if shape.Wrap != nil {
		f.DaemonStore = shape.Wrap(f.Store)
	}
	if f.logger == nil {
		f.logger = zap.NewNop()
	}
	for i := range shape.Services {
		name := ServiceName(i)
		service := config.Service{Name: name, Team: "team", Version: "v1", Slots: 10, Connections: 130}
		for j := range shape.Depends {
			service.DependsOn = append(service.DependsOn, ServiceName((i+j+1)%shape.Services))
		}
		service.Routes = []config.Route{{
			Name: "main", Host: name + ".example", Path: "/", Idempotent: true,
			Deadline: config.Duration(time.Second),
			Limits:   &config.Limits{PerMember: &config.Rate{PerSecond: MemberLimit, Burst: MemberLimit}},
		}}
		f.services[name] = service
	}
	for i := range shape.Domains * shape.PerDomain {
		d, service := i%shape.Domains, i%shape.Services
		f.Nodes = append(f.Nodes, &Node{
			Name: fmt.Sprintf("d%02d-n%03d", d, i/shape.Domains), Domain: DomainName(d),
			Service: ServiceName(service), Depends: f.services[ServiceName(service)].DependsOn, fleet: f,
		})
	}
	f.Accept()
	return f
}

// MemberLimit is the limit of each member on each route, in calls per second.
const MemberLimit = 100

// ServiceName returns the name of a service by its index.
func ServiceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// DomainName returns the name of a failure domain by its index.
func DomainName(i int) string { return fmt.Sprintf("domain-%02d", i) }

func (f *Fleet) close() {
	f.Store.SetFaults(standin.Faults{})
	for _, n := range f.Nodes {
		// An accepted connection starts a task, which must not happen during the wait.
		f.Network.refuse(n.Name)
		if n.stop != nil {
			n.stop()
		}
	}
	for _, n := range f.Nodes {
		if n.tasks != nil {
			n.tasks.Wait()
		}
	}
	f.stopping.Wait()
	for _, n := range f.Nodes {
		f.Network.reset(n.Name)
	}
	if err := f.tasks.ReleaseTimeout(time.Minute); err != nil {
		f.t.Errorf("tasks still running after 1 min: %v", err)
	}
}

// StartAll starts every daemon.
func (f *Fleet) StartAll() {
	for _, n := range f.Nodes {
		n.start()
	}
}

// Start starts every daemon and waits until the fleet is settled.
func (f *Fleet) Start() {
	f.t.Helper()
	f.StartAll()
	f.Await("the fleet is settled", time.Minute, f.Settled)
}

// Settled reports whether each domain has two distributors that hold their leases,
// and each daemon is ready and connected to both. In a domain of one daemon, one
// distributor is sufficient.
func (f *Fleet) Settled() bool {
	count := map[string]int{}
	for _, n := range f.Nodes {
		if d := n.Server.Distributor(); d != nil && d.Held() {
			count[n.Domain]++
		}
		if n.ReadyAt().IsZero() || len(n.Member.Status().Distributors) < min(2, f.perDomain(n.Domain)) {
			return false
		}
	}
	for _, n := range f.Nodes {
		if count[n.Domain] < min(2, f.perDomain(n.Domain)) {
			return false
		}
	}
	return true
}

func (f *Fleet) perDomain(name string) int {
	count := 0
	for _, n := range f.Nodes {
		if n.Domain == name {
			count++
		}
	}
	return count
}

// Await waits until a condition is true and returns the time that passed. It fails
// the test if the condition is still false after limit.
func (f *Fleet) Await(what string, limit time.Duration, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			f.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// Domain returns the daemons of a domain.
func (f *Fleet) Domain(i int) []*Node {
	var nodes []*Node
	for _, n := range f.Nodes {
		if n.Domain == DomainName(i) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// Distributors returns the daemons of a domain that are distributors, sorted by
// slot, and those that are only members.
func (f *Fleet) Distributors(i int) (distributors, members []*Node) {
	for _, n := range f.Domain(i) {
		if n.Server.Distributor() != nil {
			distributors = append(distributors, n)
		} else {
			members = append(members, n)
		}
	}
	slices.SortFunc(distributors, func(a, b *Node) int {
		return a.Server.Distributor().Slot() - b.Server.Distributor().Slot()
	})
	return distributors, members
}

// Accept changes the given services, commits the new version to the store and
// returns it.
func (f *Fleet) Accept(services ...string) uint64 {
	f.t.Helper()
	delta := f.Next(services...)
	for digest, content := range delta.GetBundles() {
		f.write(config.BlobPrefix+digest, content)
	}
	f.write(config.BlobPrefix+delta.GetManifestDigest(), f.manifest().Encode())
	head, err := json.Marshal(config.Head{Version: f.version, Manifest: delta.GetManifestDigest()})
	if err != nil {
		f.t.Fatalf("encode head: %v", err)
	}
	f.write(config.HeadKey, head)
	return f.version
}

// Next changes the given services and returns the new version as a full delta,
// without committing it to the store.
func (f *Fleet) Next(services ...string) *pb.ConfigDelta {
	f.version++
	for _, name := range services {
		service := f.services[name]
		service.Slots++
		f.services[name] = service
	}
	manifest := f.manifest()
	delta := manifest.Delta(nil)
	delta.Bundles = map[string][]byte{}
	for _, service := range f.services {
		content := (&config.Bundle{Service: service}).Encode()
		delta.Bundles[config.Digest(content)] = content
	}
	return delta
}

func (f *Fleet) manifest() *config.Manifest {
	m := &config.Manifest{Version: f.version, Entries: map[string]config.Entry{}}
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		b := &config.Bundle{Service: f.services[name]}
		m.Entries[name] = config.Entry{Digest: config.Digest(b.Encode()), Hosts: b.Hosts()}
	}
	return m
}

// Seed returns the seed with which the fleet was created.
func (f *Fleet) Seed() uint64 { return f.seed }

// Version returns the newest version.
func (f *Fleet) Version() uint64 { return f.version }

// write creates or overwrites a key in the store.
func (f *Fleet) write(key string, value []byte) {
	ctx := context.Background()
	object, err := f.Store.Get(ctx, key)
	if err != nil {
		_, err = f.Store.Create(ctx, key, value)
	} else if string(object.Value) != string(value) {
		_, err = f.Store.Update(ctx, key, value, object.Revision)
	}
	if err != nil {
		f.t.Fatalf("write %s: %v", key, err)
	}
}

// WriteEndpoint changes the endpoint of one daemon in the store. The baseline of the
// measurements keeps endpoints there.
func (f *Fleet) WriteEndpoint(i int) {
	n := f.Nodes[i%len(f.Nodes)]
	f.write("endpoint/"+n.Name, EndpointRecord(n.Name, n.Domain, n.Service, pb.EndpointState(1+i%3)).GetPayload())
}

// InForce returns a condition that is true once a version, or a newer one, has come
// into force at all given daemons.
func InForce(version uint64, nodes ...*Node) func() bool {
	return func() bool {
		for _, n := range nodes {
			if _, ok := n.ReachedAt(version); !ok {
				return false
			}
		}
		return true
	}
}

// recordServed records the version in force at a ready daemon. A version older than
// one that the daemon served before, even before a restart, counts as a revert.
func (f *Fleet) recordServed(n *Node, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.highest[n.Name] {
		f.reverts++
		f.t.Logf("%s serves version %d after version %d", n.Name, version, f.highest[n.Name])
	}
	f.highest[n.Name] = max(f.highest[n.Name], version)
}

func (f *Fleet) recordRevert(n *Node, from, to uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reverts++
	f.t.Logf("%s reverted from version %d to version %d", n.Name, from, to)
}

// Reverts returns how often a daemon reverted to an older version.
func (f *Fleet) Reverts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reverts
}

// EndpointRecord returns an endpoint record without an owner, so that the daemon
// that publishes it becomes its owner.
func EndpointRecord(name, domainName, service string, state pb.EndpointState) *pb.Record {
	payload, err := proto.Marshal(&pb.Endpoint{
		Name: name, Address: name, Domain: domainName, Service: service, Version: "v1", State: state, Slots: 10,
	})
	if err != nil {
		panic("domaintest: cannot encode endpoint: " + err.Error())
	}
	return &pb.Record{Kind: pb.RecordKind_RECORD_ENDPOINT, Service: service, Key: name, Payload: payload}
}

// GrantRecord returns a grant record as published by a rollout controller.
func GrantRecord(service, move string, generation, fencing, counter uint64, share float64, final bool) *pb.Record {
	payload, err := proto.Marshal(&pb.Grant{
		Service: service, Move: move, Generation: generation, Fencing: fencing, Counter: counter, Share: share,
	})
	if err != nil {
		panic("domaintest: cannot encode grant: " + err.Error())
	}
	return &pb.Record{
		Kind: pb.RecordKind_RECORD_GRANT, Service: service, Key: domain.GrantKey(move, generation),
		Owner: "controller", Incarnation: fencing, Counter: counter, Final: final, Payload: payload,
	}
}
