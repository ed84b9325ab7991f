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
	// tickInterval is how often the evidence is looked at.
	tickInterval = 500 * time.Millisecond
	// GrantTerm is the term of a grant; it is renewed every grantRenewal.
	GrantTerm    = 10 * time.Second
	grantRenewal = 3 * time.Second
)

// Shard returns the shard of a service.
func Shard(service string) int { return int(xxhash.Sum64String(service) % Shards) }

// Records is the table of records of the distributor that the controller runs
// on.
type Records interface {
	Records(kind pb.RecordKind, service string) []*pb.Record
	Publish(record *pb.Record)
}

// Services gives the bundles in force and the announced targets.
type Services interface {
	// Bundles returns the current bundles of the services of a shard.
	Bundles(shard int) []*config.Bundle
	// EndpointCounts returns the announced targets of a service that are not
	// leaving, by version. Health is not considered, because it lags and
	// misleads.
	EndpointCounts(service string) map[string]int
}

// Options are the parts that a controller works with. Owner, Records, Services
// and Store are required.
type Options struct {
	Owner    string
	Records  Records
	Services Services
	Store    store.Store
	Logger   *zap.Logger
	// LeaseValid reports whether the holder's own clock still allows what only a
	// lease holder may do. Without it no share is raised, but versions are taken
	// back. Nil means that the lease is valid while Run's context lives.
	LeaseValid func() bool
	// Author names who accepted a configuration version, if that is known.
	Author func(version uint64) string
	// Spawn runs a store call beside the loop; nil starts a goroutine. A function
	// that runs it at once makes Tick synchronous.
	Spawn func(func())
}

// Controller judges and grants the moves of one shard.
type Controller struct {
	options Options
	results chan func(now time.Time)

	mu      sync.Mutex
	fencing uint64
	shard   int
	counter uint64 // of grants
	writes  uint64
	runners map[string]*runner
	busy    bool // one store call at a time
	rng     *rand.Rand
	seen    uint64 // highest fencing number seen in the store
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

// Run controls the shard until ctx ends, which is no error, or another
// controller shows a higher fencing number.
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

// Start prepares for ticks under a fencing number. What an earlier run knew is
// dropped: the move records and the current evidence hold.
func (c *Controller) Start(fencing uint64, shard int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fencing, c.shard, c.seen, c.busy = fencing, shard, 0, false
	c.runners = map[string]*runner{}
	c.results = make(chan func(time.Time), 1)
	c.rng = rand.New(rand.NewPCG(fencing, uint64(shard)))
	eventStarted.Log(c.options.Logger, zap.Int("shard", shard), zap.Uint64("fencing", fencing))
}

// Tick does one round: it reads evidence, decides, publishes grants and starts
// at most one store call. Run calls it; measurements call it with their own
// time after Start.
func (c *Controller) Tick(ctx context.Context, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	c.drain(now)
	bundles := c.options.Services.Bundles(c.shard)
	if err := c.checkFencing(bundles); err != nil {
		return err
	}
	current := map[string]*runner{}
	for _, bundle := range bundles {
		c.tickService(now, bundle, current)
	}
	for key, r := range c.runners {
		if current[key] == nil && r.underWay() {
			eventWithdrawn.Log(c.options.Logger, r.fields()...)
		}
	}
	c.runners = current
	c.startStoreCall(ctx, now)
	c.drain(now)
	return c.superseded(c.seen)
}

// drain applies the results of finished store calls.
func (c *Controller) drain(now time.Time) {
	select {
	case apply := <-c.results:
		c.busy = false
		apply(now)
	default:
	}
}

func (c *Controller) superseded(seen uint64) error {
	if seen > c.fencing {
		return &SupersededError{Shard: c.shard, Fencing: c.fencing, Seen: seen}
	}
	return nil
}

// checkFencing ends a controller that was paused past its lease before it
// publishes anything.
func (c *Controller) checkFencing(bundles []*config.Bundle) error {
	for _, bundle := range bundles {
		if len(bundle.Service.Moves) == 0 {
			continue
		}
		for _, record := range c.options.Records.Records(pb.RecordKind_RECORD_GRANT, bundle.Service.Name) {
			if err := c.superseded(record.GetIncarnation()); err != nil {
				return err
			}
		}
	}
	return nil
}

// tickService runs the moves of one service, one after the other: a move
// begins when its old version has all traffic.
func (c *Controller) tickService(now time.Time, bundle *config.Bundle, current map[string]*runner) {
	if len(bundle.Service.Moves) == 0 {
		return
	}
	service := bundle.Service.Name
	evidence := c.options.Records.Records(pb.RecordKind_RECORD_EVIDENCE, service)
	grants := c.options.Records.Records(pb.RecordKind_RECORD_GRANT, service)
	counts := c.options.Services.EndpointCounts(service)
	base, occupied := bundle.Service.Version, false
	for _, m := range SortMoves(bundle.Service.Moves) {
		r := c.runner(now, bundle, &m)
		current[r.key] = r
		r.adoptGrants(c, now, grants)
		r.inTurn = m.From == base && !occupied
		if r.inTurn && r.running() {
			r.tick(c, now, evidence, Targets{Old: counts[m.From], New: counts[m.To]})
		}
		r.renew(c, now)
		switch {
		case r.inTurn && r.recordedState() == pb.MoveState_MOVE_DONE:
			base = m.To
		case r.inTurn && !r.takenBack:
			occupied = true
		}
	}
}

// runner returns the runner of a move, a new one for a new generation.
func (c *Controller) runner(now time.Time, bundle *config.Bundle, m *config.Move) *runner {
	key := RecordKey(bundle.Service.Name, m.Name)
	plan := NewPlan(bundle, m)
	if held, ok := c.runners[key]; ok && held.plan.Generation == plan.Generation {
		return held
	}
	return newRunner(key, plan, now)
}

// Reports returns the state of the shard's moves, sorted by service and move.
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
