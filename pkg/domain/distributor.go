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

// Distributor feeds the member daemons of its failure domain and exchanges
// versions and records with the distributors of the other domains.
type Distributor struct {
	o          Options
	random     *random
	member     *Member // of the same daemon
	peers      *link.Peers
	table      *Table // of every service
	catalog    *catalog
	sums       *sums
	joins      *rate.Limiter
	started    time.Time
	lease      atomic.Pointer[slotLease]
	fleet      atomic.Uint64 // highest version heard of
	headWanted chan struct{} // the head is to be read now

	mu         sync.Mutex
	counter    uint64
	sessions   map[string]*session     // by member daemon
	members    map[string]*memberState // by member daemon
	links      map[string]*exchange    // by address
	others     map[string]*other       // known distributors, by address
	domains    map[string]*otherDomain
	siblings   siblingState
	successors []string
}

// slotLease is the lease under which a distributor works.
type slotLease struct {
	slot    int
	fencing uint64          // 0 for an acting distributor
	held    context.Context // ends when the lease can no longer be trusted; nil without one
}

func newDistributor(o Options, m *Member) *Distributor {
	d := &Distributor{
		o: o, random: newRandom(o.Seed, "distributor "+o.Name), member: m, peers: link.NewPeers(o.Dial),
		table: NewTable(), catalog: newCatalog(), sums: newSums(o), joins: rate.NewLimiter(joinsPerSecond, joinBurst),
		started: time.Now(), headWanted: make(chan struct{}, 1), sessions: map[string]*session{},
		members: map[string]*memberState{}, links: map[string]*exchange{}, others: map[string]*other{},
		domains: map[string]*otherDomain{},
	}
	d.lease.Store(&slotLease{slot: noSlot})
	d.siblings.goneAt = d.started
	d.catalog.seed(m.Snapshot())
	d.raiseFleet(d.catalog.version())
	d.spread(m.table.allDistributed(), nil)
	d.seedEntries()
	return d
}

// run works until ctx ends.
func (d *Distributor) run(ctx context.Context) {
	eventDistributorStarted.Log(d.o.Logger, zap.Int("slot", d.lease.Load().slot),
		zap.Uint64("fencing", d.lease.Load().fencing))
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){d.watchHead, d.watchEntries, d.keepLinks, d.offerMembers} {
		tasks.Add(1)
		if d.o.submit(func() { defer tasks.Done(); task(ctx) }) != nil {
			tasks.Done()
		}
	}
	d.watchMembers(ctx)
	d.closeStreams()
	tasks.Wait()
	_ = d.peers.Close()
	eventDistributorStopped.Log(d.o.Logger)
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

// Held reports whether the distributor's lease can be trusted now.
func (d *Distributor) Held() bool {
	held := d.lease.Load().held
	return held != nil && held.Err() == nil
}

// Fencing returns the fencing number, 0 for an acting distributor.
func (d *Distributor) Fencing() uint64 { return d.lease.Load().fencing }

// Slot returns the lease slot, -1 for an acting distributor.
func (d *Distributor) Slot() int { return d.lease.Load().slot }

// Version returns the configuration version that the distributor holds.
func (d *Distributor) Version() uint64 { return d.catalog.version() }

// Bundles returns the bundles of every service in order of their names.
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

// Records returns the records of one kind of a service. Evidence records are
// the sums of the domains.
func (d *Distributor) Records(kind pb.RecordKind, service string) []*pb.Record {
	return d.table.Records(kind, service)
}

// Changes returns a channel that gets a value after records of the services
// changed, and a function that ends the subscription.
func (d *Distributor) Changes(services ...string) (<-chan struct{}, func()) {
	return d.table.Changes(services...)
}

// Publish spreads a record to every domain. The caller sets its owner,
// incarnation and counter; for a grant these are the fencing number of the
// rollout lease and the grant's counter.
func (d *Distributor) Publish(r *pb.Record) { d.spread([]*pb.Record{r}, nil) }

// spread applies records and hands those that hold to the member daemons and
// the other distributors. from is the link on which they came, nil otherwise.
func (d *Distributor) spread(records []*pb.Record, from *exchange) {
	applied := d.table.ApplyAll(records)
	if len(applied) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteOwnersLocked(applied, from)
	for _, s := range d.sessions {
		s.queue(applied)
	}
	for _, x := range d.links {
		if x != from && (from == nil || !x.reaches(from.domain)) {
			x.queue(applied)
		}
	}
}

// spreadToMembers applies records that concern this domain's view only.
func (d *Distributor) spreadToMembers(records []*pb.Record) {
	applied := d.table.ApplyAll(records)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sessions {
		s.queue(applied)
	}
}

// raiseFleet takes a version that someone claims to know.
func (d *Distributor) raiseFleet(version uint64) {
	for {
		known := d.fleet.Load()
		if version <= known || d.fleet.CompareAndSwap(known, version) {
			return
		}
	}
}

// versionGrew tells members and links of a newer version. A version that did
// not come from the store goes to the links at once, since the store may have
// failed just after it was accepted.
func (d *Distributor) versionGrew(fromStore bool) {
	version := d.catalog.version()
	d.raiseFleet(version)
	eventHeadLearned.Log(d.o.Logger, zap.Uint64("version", version), zap.Bool("fromStore", fromStore))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sessions {
		s.wakeForVersion()
	}
	for _, x := range d.links {
		x.noteVersion(!fromStore)
	}
}

// push takes a configuration from an accepting daemon.
func (d *Distributor) push(delta *pb.ConfigDelta) uint64 {
	grew, err := d.catalog.apply(delta)
	d.raiseFleet(delta.GetVersion())
	switch {
	case grew:
		d.versionGrew(false)
	case err != nil && delta.GetVersion() > d.catalog.version():
		notify(d.headWanted) // the base differs; the store has what is missing
	}
	return d.catalog.version()
}

// distributorAddresses returns this distributor and the other one of the
// domain, if it is linked.
func (d *Distributor) distributorAddressesLocked() []string {
	addresses := []string{d.o.Address}
	for address, x := range d.links {
		if x.domain == d.o.Domain {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// chooseSuccessorsLocked names the first daemons in rendezvous order of the
// slot-independent key of the domain.
func (d *Distributor) chooseSuccessorsLocked(now time.Time) {
	var names []string
	distributors := d.distributorAddressesLocked()
	for name, ms := range d.members {
		if ms.session != nil && !ms.left && now.Sub(ms.heard) < silenceLimit && !slices.Contains(distributors, ms.address) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var chosen []string
	for range min(successorCount, len(names)) {
		next := rendezvous.New(names, xxhash.Sum64String).Lookup(d.o.Domain)
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

// rendezvousHash orders nodes for a key.
func rendezvousHash(key, node string) uint64 { return xxhash.Sum64String(key + "\x00" + node) }

func slotName(slot int) string { return strconv.Itoa(slot) }

// tell returns what every member daemon is told: the distributors and the
// successors with their addresses.
func (d *Distributor) tell() (distributors, successors, addresses []string) {
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
