// Package domain distributes configuration and records within and between
// failure domains. Each daemon has a Member, which is fed by the two
// distributors of its domain, and a Server, which answers other daemons and
// becomes a Distributor when it holds one of the domain's two leases.
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

// Times and limits of design sections 7 and 8.
const (
	heartbeatInterval = time.Second
	// silenceLimit is the silence after which a stream's other end counts as lost.
	silenceLimit = 3 * time.Second
	// membershipLease is counted from the sending of the heartbeat that earned it.
	membershipLease = 3 * time.Second
	// joinJitter spreads the joining daemons' reads of the store.
	joinJitter = 3 * time.Second
	// dialJitter spreads the dials of member daemons.
	dialJitter = 2 * time.Second
	// secondReportWait is how long a daemon without the store waits for the
	// second distributor's report before it takes the floor from the first.
	secondReportWait = 2 * time.Second
	// joinsPerSecond and joinBurst bound the joins that a distributor admits.
	joinsPerSecond = 100
	joinBurst      = 10
	// settleGrace is how long the endpoint set of a new distributor is unknown.
	settleGrace = 5 * time.Second
	// massHold is how long daemons that vanish together stay usable without a
	// confirmation by the other distributor.
	massHold = 10 * time.Second
	// domainGone is the silence after which a whole domain counts as lost.
	domainGone = 5 * time.Second
	// departKeep is how long departed daemons are remembered and lost daemons
	// are offered a distributor.
	departKeep = 10 * time.Minute
	// departMargin is added to the membership lease before a daemon is
	// declared departed.
	departMargin = time.Second
	// aloneLimit is how long a distributor must have missed the other one
	// before it declares a daemon departed without the other's agreement.
	aloneLimit = 10 * time.Second
	// actingAfter is how long a daemon is without distributors before it dials
	// the successors; a successor accepts streams at once. Waiting for
	// a lease alone took 9.8 s until a version was in force in a domain that
	// lost both distributors.
	actingAfter = 500 * time.Millisecond
	// watchWait is the length of one long poll of the head.
	watchWait = 30 * time.Second
	// storeTimeout bounds one store call; a slow store takes 5 s to answer.
	storeTimeout = 10 * time.Second
	// coalesceDelay gathers records that are not urgent into one message.
	coalesceDelay = 50 * time.Millisecond
	// successorCount is the number of named successors.
	successorCount = 3
	// successorDelay holds back daemons that are not named successors.
	successorDelay = 10 * time.Second
	// slots is the number of distributors of a domain.
	slots = 2
	// noSlot is the slot of a distributor that holds no lease.
	noSlot = -1
)

// Options configures the parts of one daemon in its failure domain.
type Options struct {
	Name    string
	Address string // where other daemons reach this one
	Domain  string
	Store   store.Store
	Dial    link.DialFunc
	// Tasks runs every connection and peer. A distributor needs about two
	// tasks for each member daemon of its domain and each other distributor.
	Tasks  *ants.Pool
	Logger *zap.Logger
	// Seed fixes the random choices; 0 takes a random seed.
	Seed uint64
	// Returned is called when a lease holder had declared this daemon departed
	// at the given time (Unix ms) and it is back. It publishes the endpoint anew,
	// since others may have taken over its keys. Nil publishes the endpoint as
	// it was.
	Returned func(departedMS int64)
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Seed == 0 {
		o.Seed = new(maphash.Hash).Sum64()
	}
}

// submit runs f as a task. It fails only when the pool is closed or full.
func (o *Options) submit(f func()) error {
	if err := o.Tasks.Submit(f); err != nil {
		eventTaskRefused.Log(o.Logger, zap.Error(err))
		return &TaskError{Cause: err}
	}
	return nil
}

// random is a seeded source that tasks share.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandom(seed uint64, use string) *random {
	return &random{rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(use)))}
}

// upTo returns a duration in [0, limit].
func (r *random) upTo(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(limit) + 1))
}

// child returns a source for use by one other task.
func (r *random) child() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
}

// distributorPrefix is the prefix of the distributor leases of a domain.
func distributorPrefix(domain string) string { return "entry/distributor/" + domain + "/" }

func slotKey(domain string, slot int) string { return distributorPrefix(domain) + strconv.Itoa(slot) }
