package domain

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Distributor sends configuration and records to the member daemons of its
// failure domain and exchanges both with the other distributors.
type Distributor struct {
	options       Options
	random        *random
	member        *Member // of this daemon
	peers         *link.Peers
	table         *Table // records of every service
	catalog       *catalog
	sums          *sums
	joins         *rate.Limiter
	started       time.Time
	lease         atomic.Pointer[slotLease]
	fleetVersion  atomic.Uint64 // highest version known anywhere in the fleet
	headRequested chan struct{} // requests an immediate read of the head

	mu                 sync.Mutex
	counter            uint64                        // of the last record that this distributor created
	sessions           map[string]*session           // by member daemon
	members            map[string]*memberState       // by member daemon
	links              map[string]*exchange          // by address
	remoteDistributors map[string]*remoteDistributor // by address
	remoteDomains      map[string]*remoteDomain
	sibling            siblingState // of the domain's other distributor
	successors         []string
}

// slotLease is the lease of a distributor.
type slotLease struct {
	slot     int
	fencing  uint64          // 0 for an acting distributor
	leaseCtx context.Context // done as soon as the lease may have expired; nil without a lease
}

func newDistributor(o Options, m *Member) *Distributor {
	d := &Distributor{
		options: o, random: newRandom(o.Seed, "distributor "+o.Name), member: m, peers: link.NewPeers(o.Dial),
		table: NewTable(), catalog: newCatalog(), sums: newSums(o), joins: rate.NewLimiter(joinsPerSecond, joinBurst),
		started: time.Now(), headRequested: make(chan struct{}, 1), sessions: map[string]*session{},
		members: map[string]*memberState{}, links: map[string]*exchange{}, remoteDistributors: map[string]*remoteDistributor{},
		remoteDomains: map[string]*remoteDomain{},
	}
	d.lease.Store(&slotLease{slot: noSlot})
	d.sibling.unlinkedSince = d.started
	d.catalog.seed(m.Snapshot())
	d.raiseFleetVersion(d.catalog.version())
	d.distribute(m.table.allDistributed(), nil)
	d.seedEntries()
	return d
}

// run runs the distributor until ctx ends.
func (d *Distributor) run(ctx context.Context) {
	eventDistributorStarted.Log(d.options.Logger, zap.Int("slot", d.lease.Load().slot),
		zap.Uint64("fencing", d.lease.Load().fencing))
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){d.watchHead, d.watchEntries, d.maintainLinks, d.offerMembers} {
		tasks.Add(1)
		if d.options.submit(func() { defer tasks.Done(); task(ctx) }) != nil {
			tasks.Done()
		}
	}
	d.watchMembers(ctx)
	d.closeStreams()
	tasks.Wait()
	_ = d.peers.Close()
	eventDistributorStopped.Log(d.options.Logger)
}

func (d *Distributor) closeStreams() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sessions {
		s.close()
	}
	for _, x := range d.links {
		x.close()
	}
}

// Held reports whether the distributor holds a lease that is certainly valid.
func (d *Distributor) Held() bool {
	leaseCtx := d.lease.Load().leaseCtx
	return leaseCtx != nil && leaseCtx.Err() == nil
}

// Fencing returns the fencing number of the lease, 0 for an acting distributor.
func (d *Distributor) Fencing() uint64 { return d.lease.Load().fencing }

// Slot returns the slot of the lease, -1 for an acting distributor.
func (d *Distributor) Slot() int { return d.lease.Load().slot }

// Version returns the distributor's current configuration version.
func (d *Distributor) Version() uint64 { return d.catalog.version() }

// Bundles returns the bundles of every service, sorted by name.
func (d *Distributor) Bundles() []*config.Bundle {
	manifest := d.catalog.current()
	if manifest == nil {
		return nil
	}
	var bundles []*config.Bundle
	for _, service := range slices.Sorted(maps.Keys(manifest.Entries)) {
		if service == config.TeamsEntry {
			continue
		}
		if bundle := d.catalog.bundle(service); bundle != nil {
			bundles = append(bundles, bundle)
		}
	}
	return bundles
}

// Table returns the records of every service.
func (d *Distributor) Table() *Table { return d.table }

// Records returns a service's records of one kind. Evidence records are the
// totals of the domains.
func (d *Distributor) Records(kind pb.RecordKind, service string) []*pb.Record {
	return d.table.Records(kind, service)
}

// Changes returns a channel that receives a value after records of the given
// services changed, and a function that ends the subscription.
func (d *Distributor) Changes(services ...string) (<-chan struct{}, func()) {
	return d.table.Changes(services...)
}

// Publish distributes a record to every domain. The caller sets its owner,
// incarnation and counter. The incarnation of a grant is the fencing number of
// the rollout lease, and its counter is the grant's counter.
func (d *Distributor) Publish(r *pb.Record) { d.distribute([]*pb.Record{r}, nil) }

// distribute applies records and queues those that are newer than the stored
// ones for the member daemons and the other distributors. from is the link on
// which they were received, or nil.
func (d *Distributor) distribute(records []*pb.Record, from *exchange) {
	applied := d.table.ApplyAll(records)
	if len(applied) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordOwnersLocked(applied, from)
	for _, s := range d.sessions {
		s.queue(applied)
	}
	for _, x := range d.links {
		if x != from && (from == nil || !x.reaches(from.domain)) {
			x.queue(applied)
		}
	}
}

// distributeToMembers applies records that only concern this domain and queues
// them for its member daemons.
func (d *Distributor) distributeToMembers(records []*pb.Record) {
	applied := d.table.ApplyAll(records)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sessions {
		s.queue(applied)
	}
}

// raiseFleetVersion raises the highest known version to one that a peer
// reported.
func (d *Distributor) raiseFleetVersion(version uint64) {
	for {
		highest := d.fleetVersion.Load()
		if version <= highest || d.fleetVersion.CompareAndSwap(highest, version) {
			return
		}
	}
}

// announceVersion notifies the member daemons and the other distributors of a
// newer version. A version that was not read from the store is sent to the other
// distributors without delay, since the store may have failed right after the
// version was accepted.
func (d *Distributor) announceVersion(fromStore bool) {
	version := d.catalog.version()
	d.raiseFleetVersion(version)
	eventHeadLearned.Log(d.options.Logger, zap.Uint64("version", version), zap.Bool("fromStore", fromStore))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sessions {
		s.wakeForVersion()
	}
	for _, x := range d.links {
		x.notifyVersion(!fromStore)
	}
}

// handlePush applies a configuration pushed by an accepting daemon and returns
// the current version.
func (d *Distributor) handlePush(delta *pb.ConfigDelta) uint64 {
	advanced, err := d.catalog.apply(delta)
	d.raiseFleetVersion(delta.GetVersion())
	switch {
	case advanced:
		d.announceVersion(false)
	case err != nil && delta.GetVersion() > d.catalog.version():
		notify(d.headRequested) // the base version does not match; read the version from the store
	}
	return d.catalog.version()
}

// distributorAddressesLocked returns the addresses of this distributor and, if
// it is linked, of the domain's other distributor.
func (d *Distributor) distributorAddressesLocked() []string {
	addresses := []string{d.options.Address}
	for address, x := range d.links {
		if x.domain == d.options.Domain {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// chooseSuccessorsLocked names as successors the first daemons in rendezvous
// order of the domain's name. The order does not depend on this distributor's slot.
func (d *Distributor) chooseSuccessorsLocked(now time.Time) {
	var names []string
	distributors := d.distributorAddressesLocked()
	for name, ms := range d.members {
		if ms.session != nil && !ms.left && now.Sub(ms.lastReceived) < silenceTimeout && !slices.Contains(distributors, ms.address) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var chosen []string
	for range min(successorCount, len(names)) {
		next := rendezvous.New(names, xxhash.Sum64String).Lookup(d.options.Domain)
		chosen = append(chosen, next)
		names = slices.DeleteFunc(names, func(name string) bool { return name == next })
	}
	if slices.Equal(chosen, d.successors) {
		return
	}
	d.successors = chosen
	for _, s := range d.sessions {
		notify(s.wake)
	}
}

// rendezvousHash returns the weight of a node for a key.
func rendezvousHash(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

func slotName(slot int) string { return strconv.Itoa(slot) }

// topology returns the addresses of the distributors, and the names and
// addresses of the successors, as they are sent to every member daemon.
func (d *Distributor) topology() (distributors, successors, addresses []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.successors {
		address := ""
		if ms := d.members[name]; ms != nil {
			address = ms.address
		}
		addresses = append(addresses, address)
	}
	return d.distributorAddressesLocked(), d.successors, addresses
}
