// Package domain distributes configuration and records within and between
// failure domains. Each daemon has a Member, which receives updates from the
// two distributors of its domain, and a Server, which serves other daemons and
// runs a Distributor while the daemon holds one of the domain's two leases.
package domain

import (
	"hash/maphash"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/link"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// Intervals and limits of distribution (design section 7) and of liveness
// (design section 8).
const (
	heartbeatInterval = time.Second
	// silenceTimeout is how long a stream may be silent before its peer counts
	// as lost.
	silenceTimeout = 3 * time.Second
	// membershipLease runs from the time at which the member daemon sent the
	// heartbeat that renewed it.
	membershipLease = 3 * time.Second
	// joinJitter spreads the store reads of daemons that join together.
	joinJitter = 3 * time.Second
	// dialJitter spreads the dials of member daemons to a distributor.
	dialJitter = 2 * time.Second
	// secondReportTimeout is how long a daemon that cannot reach the store waits
	// for the second distributor before it accepts the floor from the first.
	secondReportTimeout = 2 * time.Second
	// joinsPerSecond and joinBurst limit the joins that a distributor accepts.
	joinsPerSecond = 100
	joinBurst      = 10
	// settleGrace is how long a new distributor treats its endpoint set as
	// incomplete.
	settleGrace = 5 * time.Second
	// massLossDelay is how long daemons that vanish together stay usable unless
	// the domain's other distributor confirms the loss.
	massLossDelay = 10 * time.Second
	// domainLossTimeout is how long a domain must be unreachable before it counts
	// as lost.
	domainLossTimeout = 5 * time.Second
	// departedRetention is how long departed daemons are kept, and how long a
	// distributor offers itself to lost ones.
	departedRetention = 10 * time.Minute
	// departureMargin is added to the membership lease before a daemon is
	// declared departed.
	departureMargin = time.Second
	// soloDepartureDelay is how long the domain's other distributor must be
	// unreachable before a distributor declares a daemon departed on its own.
	soloDepartureDelay = 10 * time.Second
	// actingDelay is how long a daemon is without distributors before it dials
	// the successors, which accept streams without a lease. When successors
	// waited for a lease, a version took 9.8 s to be in force in a domain that
	// had lost both distributors.
	actingDelay = 500 * time.Millisecond
	// watchTimeout is the length of one watch of the head in the store.
	watchTimeout = 30 * time.Second
	// storeTimeout limits one store call; a slow store takes 5 s to respond.
	storeTimeout = 10 * time.Second
	// coalesceDelay is how long a message waits for further records that are not
	// urgent.
	coalesceDelay = 50 * time.Millisecond
	// successorCount is the number of named successors.
	successorCount = 3
	// successorDelay is the extra delay before daemons that are not named
	// successors contend for a lease.
	successorDelay = 10 * time.Second
	// slots is the number of distributor leases, and so of distributors, of a
	// domain.
	slots = 2
	// noSlot is the slot of an acting distributor, which has no lease.
	noSlot = -1
)

// Options configures the Member, Server and Distributor of one daemon.
type Options struct {
	Name    string
	Address string // at which other daemons reach this one
	Domain  string
	Store   store.Store
	Dial    link.DialFunc
	// Tasks runs the goroutines of every connection. A distributor needs about
	// two tasks for each member daemon of its domain and each other distributor.
	Tasks  *ants.Pool
	Logger *zap.Logger
	// Seed makes random choices reproducible; 0 selects a random seed.
	Seed uint64
	// OnDeclaredDeparted is called when this daemon learns that a lease holder
	// declared it departed at the given time (Unix ms). It must publish the
	// endpoint again, since other targets may have become the homes of its keys.
	// If it is nil, the endpoint is published unchanged.
	OnDeclaredDeparted func(departedMS int64)
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Seed == 0 {
		o.Seed = new(maphash.Hash).Sum64()
	}
}

// submit runs f on the task pool. It fails only if the pool is closed or full.
func (o *Options) submit(f func()) error {
	if err := o.Tasks.Submit(f); err != nil {
		eventTaskRefused.Log(o.Logger, zap.Error(err))
		return &TaskError{Cause: err}
	}
	return nil
}

// random is a seeded random source that is safe for concurrent use.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandom(seed uint64, purpose string) *random {
	return &random{rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))}
}

// upTo returns a duration in [0, limit].
func (r *random) upTo(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(limit) + 1))
}

// child returns a source derived from r for a single goroutine.
func (r *random) child() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
}

// distributorPrefix returns the key prefix of a domain's distributor leases.
func distributorPrefix(domain string) string { return "entry/distributor/" + domain + "/" }

func slotKey(domain string, slot int) string { return distributorPrefix(domain) + strconv.Itoa(slot) }
