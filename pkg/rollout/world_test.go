package rollout

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	worldService  = "desk"
	worldDuration = 14 * time.Second
	worldTick     = 20 * time.Millisecond
	// exposureShare, exposureSlack, rollbackBound and badLimit are the operator's
	// bounds: what a bad version may get, and when it must be stopped after its
	// fiftieth bad answer.
	exposureShare = 0.1
	exposureSlack = 50
	rollbackBound = 5 * time.Second
	badLimit      = 50
)

// bubbleClock follows the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() clock.Instant { return clock.Instant(time.Since(c.start)) }

// memoryRecords is a store of plans that can be away.
type memoryRecords struct {
	mu       sync.Mutex
	plan     *Plan
	revision int64
	reported State
	away     func() bool
	lose     func() bool // the answer, after the write
}

var errAway = errors.New("away")

func (r *memoryRecords) fail() error {
	if r.away != nil && r.away() {
		return &store.UnavailableError{Op: "test", Cause: errAway}
	}
	return nil
}

func (r *memoryRecords) LoadPlan(context.Context, string) (*Plan, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.fail(); err != nil || r.plan == nil {
		return nil, 0, err
	}
	plan := *r.plan
	return &plan, r.revision, nil
}

func (r *memoryRecords) SavePlan(_ context.Context, plan *Plan, ifRevision int64) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.fail(); err != nil {
		return 0, err
	}
	if ifRevision != r.revision {
		return 0, &store.ConflictError{Expected: ifRevision, Revision: r.revision}
	}
	saved := *plan
	r.plan, r.revision = &saved, r.revision+1
	if r.lose != nil && r.lose() {
		return 0, &store.OutcomeUnknownError{Op: "update", Cause: errAway}
	}
	return r.revision, nil
}

func (r *memoryRecords) ReportState(_ context.Context, _ *Order, state State) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.fail(); err != nil {
		return err
	}
	if r.reported != Completed && r.reported != RolledBack {
		r.reported = state
	}
	return nil
}

func (r *memoryRecords) state() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reported
}

// traffic describes the requests of a world.
type traffic struct {
	perSecond float64
	// bad returns the probability of a failure and the factor of the latency.
	bad func(version, route string, share float64, at time.Duration) (failure, slowness float64)
}

// world runs one order with one daemon that is also the controller.
type world struct {
	t         *testing.T
	random    *rand.Rand
	start     time.Time
	clock     bubbleClock
	table     *fleet.Table
	follower  *Follower
	recorder  *Recorder
	collector *Collector
	records   *memoryRecords
	tasks     *ants.Pool

	requests, toNew, badOfNew int
	fiftieth                  time.Duration // when the new version failed for the 50th time
	lastNew                   time.Duration
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), records: &memoryRecords{}}
	w.clock = bubbleClock{w.start}
	w.table = fleet.NewTable("vm", 1, fleet.State{}, w.clock)
	w.follower = NewFollower(zap.NewNop())
	w.follower.Random = w.random.Float64
	w.recorder = NewRecorder(w.follower)
	w.collector = NewCollector(w.clock)
	var err error
	w.tasks, err = ants.NewPool(16)
	assert.NilError(t, err)
	return w
}

func (w *world) controller() *Controller {
	return NewController(ControllerOptions{
		Table: w.table, Follower: w.follower, Collector: w.collector, Records: w.records, Clock: w.clock,
		Tasks: w.tasks, Logger: zap.NewNop(),
		Facts: func(key string, rank uint64, payload []byte) bool {
			set := w.table.SetFact(key, rank, payload)
			w.follower.Refresh(w.table.Facts())
			return set
		},
	})
}

func (w *world) order() {
	o := &Order{Service: worldService, Target: "v2", Duration: worldDuration, Revision: 7, Created: 7}
	w.table.SetFact(OrderKey(worldService), Rank(o.Revision), Encode(o))
}

var worldEndpoints = []*proxy.Endpoint{
	{Target: "old", Service: worldService, Version: "v1", Available: true},
	{Target: "new", Service: worldService, Version: "v2", Available: true},
}

// run sends traffic until the order's duration and some seconds have passed.
func (w *world) run(f traffic) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() { cancel(); time.Sleep(time.Second); w.tasks.Release() }()
	c := w.controller()
	go c.Run(ctx)
	w.order()
	lastReport := time.Duration(0)
	for w.elapsed() < worldDuration+3*time.Second {
		time.Sleep(worldTick)
		w.send(f)
		if now := w.elapsed(); now-lastReport >= ReportInterval {
			lastReport = now
			if r := w.recorder.Report(1, func(string, string) int { return 0 }); r != nil {
				w.collector.Take("vm", r)
			}
		}
	}
}

func (w *world) elapsed() time.Duration { return time.Since(w.start) }

func (w *world) send(f traffic) {
	for range w.poisson(f.perSecond * worldTick.Seconds()) {
		route := "look"
		if w.random.Float64() < 0.3 {
			route = "order"
		}
		version := w.follower.Choose(worldService, worldEndpoints)[0].Version
		share := 0.0
		if plan, _ := w.follower.Plan(worldService); plan != nil {
			share = plan.Share
		}
		failure, slowness := f.bad(version, route, share, w.elapsed())
		bad := w.random.Float64() < failure
		took := time.Duration(float64(220*time.Millisecond) * slowness * math.Exp(0.3*w.random.NormFloat64()))
		w.count(version, bad || slowness > 2)
		// The result is known when the request has ended.
		time.AfterFunc(min(took, time.Second), func() { w.recorder.Attempt(worldService, version, route, bad, took) })
	}
}

func (w *world) count(version string, bad bool) {
	if w.elapsed() < worldDuration {
		w.requests++
	}
	if version != "v2" {
		return
	}
	w.lastNew = w.elapsed()
	if w.elapsed() < worldDuration {
		w.toNew++
	}
	if bad {
		if w.badOfNew++; w.badOfNew == badLimit {
			w.fiftieth = w.elapsed()
		}
	}
}

func (w *world) poisson(mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for {
		if p *= w.random.Float64(); p <= limit {
			return n
		}
		n++
	}
}
