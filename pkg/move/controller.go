package move

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// Shards is the number of rollout leases.
	Shards = 4
	// tickInterval is how often the evidence is evaluated.
	tickInterval = 500 * time.Millisecond
	// GrantTerm is how long a grant is valid. It is renewed every grantRenewal.
	GrantTerm    = 10 * time.Second
	grantRenewal = 3 * time.Second
)

// Shard returns the shard of a service.
func Shard(service string) int { return int(xxhash.Sum64String(service) % Shards) }

// Records is the record table of the distributor on which the controller runs.
type Records interface {
	Records(kind pb.RecordKind, service string) []*pb.Record
	Publish(record *pb.Record)
}

// Services provides the bundles in force and the number of announced targets.
type Services interface {
	// Bundles returns the current bundles of the services of a shard.
	Bundles(shard int) []*config.Bundle
	// EndpointCounts returns the announced targets of a service that are not
	// leaving, by version. It ignores health, which is delayed and can be wrong.
	EndpointCounts(service string) map[string]int
}

// Options are the dependencies of a controller. Owner, Records, Services and
// Store are required.
type Options struct {
	Owner    string
	Records  Records
	Services Services
	Store    store.Store
	Logger   *zap.Logger
	// LeaseValid reports whether the lease is still valid by the local clock.
	// Without a valid lease no share is raised, but versions are taken back. Nil
	// means that the lease is valid until Run's context ends.
	LeaseValid func() bool
	// Author returns who accepted a configuration version, or an empty string if
	// that is unknown.
	Author func(version uint64) string
	// Spawn runs a store call concurrently with the loop; nil starts a goroutine.
	// A function that runs the call directly makes Tick synchronous.
	Spawn func(func())
}

// Controller evaluates the moves of one shard and publishes their grants.
type Controller struct {
	options Options
	results chan func(now time.Time)

	mu              sync.Mutex
	fencing         uint64
	shard           int
	counter         uint64 // of published grants
	writes          uint64
	runners         map[string]*runner
	storeCallActive bool // one store call runs at a time
	rng             *rand.Rand
	highestFencing  uint64 // highest fencing number seen in the store
}

// NewController returns a controller that is not running.
func NewController(options Options) *Controller {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.LeaseValid == nil {
		options.LeaseValid = func() bool { return true }
	}
	if options.Author == nil {
		options.Author = func(uint64) string { return "" }
	}
	if options.Spawn == nil {
		options.Spawn = func(f func()) { go f() }
	}
	return &Controller{options: options}
}

// Run controls the shard until ctx ends, which is not an error, or until a grant
// or record has a higher fencing number.
func (c *Controller) Run(ctx context.Context, fencing uint64, shard int) error {
	c.Start(fencing, shard)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		err := c.Tick(ctx, time.Now())
		if err != nil {
			eventStopped.Log(c.options.Logger, zap.Int("shard", shard), zap.Error(err))
			return err
		}
		select {
		case <-ctx.Done():
			eventStopped.Log(c.options.Logger, zap.Int("shard", shard))
			return nil
		case <-ticker.C:
		}
	}
}

// Start prepares for ticks under a fencing number. It drops the state of an
// earlier run, which is rebuilt from the move records and current evidence.
func (c *Controller) Start(fencing uint64, shard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fencing, c.shard, c.highestFencing, c.storeCallActive = fencing, shard, 0, false
	c.runners = map[string]*runner{}
	c.results = make(chan func(time.Time), 1)
	c.rng = rand.New(rand.NewPCG(fencing, uint64(shard)))
	eventStarted.Log(c.options.Logger, zap.Int("shard", shard), zap.Uint64("fencing", fencing))
}

// Tick runs one iteration: it reads the evidence, decides, publishes grants and
// starts at most one store call. Run calls it; simulations call it after Start
// with simulated time.
func (c *Controller) Tick(ctx context.Context, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	c.applyResults(now)
	bundles := c.options.Services.Bundles(c.shard)
	if err := c.checkFencing(bundles); err != nil {
		return err
	}
	current := map[string]*runner{}
	for _, bundle := range bundles {
		c.tickService(now, bundle, current)
	}
	for key, r := range c.runners {
		if current[key] == nil && r.inProgress() {
			eventWithdrawn.Log(c.options.Logger, r.fields()...)
		}
	}
	c.runners = current
	c.startStoreCall(ctx, now)
	c.applyResults(now)
	return c.checkSuperseded(c.highestFencing)
}

// applyResults applies the result of a finished store call, if there is one.
func (c *Controller) applyResults(now time.Time) {
	select {
	case apply := <-c.results:
		c.storeCallActive = false
		apply(now)
	default:
	}
}

func (c *Controller) checkSuperseded(fencing uint64) error {
	if fencing > c.fencing {
		return &SupersededError{Shard: c.shard, Fencing: c.fencing, Highest: fencing}
	}
	return nil
}

// checkFencing returns an error if a grant has a higher fencing number, so that a
// controller that was paused until its lease expired stops before it publishes
// anything.
func (c *Controller) checkFencing(bundles []*config.Bundle) error {
	for _, bundle := range bundles {
		if len(bundle.Service.Moves) == 0 {
			continue
		}
		for _, record := range c.options.Records.Records(pb.RecordKind_RECORD_GRANT, bundle.Service.Name) {
			if err := c.checkSuperseded(record.GetIncarnation()); err != nil {
				return err
			}
		}
	}
	return nil
}

// tickService runs the moves of one service one at a time: a move begins when its
// old version has all traffic.
func (c *Controller) tickService(now time.Time, bundle *config.Bundle, current map[string]*runner) {
	if len(bundle.Service.Moves) == 0 {
		return
	}
	service := bundle.Service.Name
	evidence := c.options.Records.Records(pb.RecordKind_RECORD_EVIDENCE, service)
	grants := c.options.Records.Records(pb.RecordKind_RECORD_GRANT, service)
	counts := c.options.Services.EndpointCounts(service)
	base, inProgress := bundle.Service.Version, false
	for _, m := range SortMoves(bundle.Service.Moves) {
		r := c.runnerFor(now, bundle, &m)
		current[r.key] = r
		r.applyGrants(c, now, grants)
		r.eligible = m.From == base && !inProgress
		if r.eligible && r.isJudged() {
			r.tick(c, now, evidence, Targets{Old: counts[m.From], New: counts[m.To]})
		}
		r.renewGrant(c, now)
		switch {
		case r.eligible && r.recordedState() == pb.MoveState_MOVE_DONE:
			base = m.To
		case r.eligible && !r.takenBack:
			inProgress = true
		}
	}
}

// runnerFor returns the runner of a move, or a new one for a new generation.
func (c *Controller) runnerFor(now time.Time, bundle *config.Bundle, m *config.Move) *runner {
	key := RecordKey(bundle.Service.Name, m.Name)
	plan := NewPlan(bundle, m)
	if existing, ok := c.runners[key]; ok && existing.plan.Generation == plan.Generation {
		return existing
	}
	return newRunner(key, plan, now)
}

// Reports returns the reports of the shard's moves, sorted by service and move.
func (c *Controller) Reports(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []Report
	for _, r := range c.runners {
		reports = append(reports, r.report())
	}
	sortReports(reports)
	return reports
}
