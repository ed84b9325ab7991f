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
	"nutmegstand.example/nutmegstand/pkg/proxy/balance"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	testService   = "desk"
	orderDuration = 14 * time.Second
	tick          = 20 * time.Millisecond
	// The operator's limits: a bad version may get exposureShare of the requests
	// plus exposureSlack, and must be stopped within rollbackBound once failureLimit
	// of its requests have failed.
	exposureShare = 0.1
	exposureSlack = 50
	rollbackBound = 5 * time.Second
	failureLimit  = 50
)

// synctestClock returns the virtual time of a synctest bubble.
type synctestClock struct{ start time.Time }

func (c synctestClock) Now() clock.Instant { return clock.Instant(time.Since(c.start)) }

// memoryRecords stores plans in memory. It can be unavailable and lose answers.
type memoryRecords struct {
	mu          sync.Mutex
	plan        *Plan
	revision    int64
	reported    State
	replaced    bool // the operator has replaced the order
	unavailable func() bool
	loseAnswer  func() bool // whether the answer to a successful write is lost
}

var errUnavailable = errors.New("unavailable")

func (r *memoryRecords) fail() error {
	if r.unavailable != nil && r.unavailable() {
		return &store.UnavailableError{Op: "test", Cause: errUnavailable}
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
	if r.plan == nil && ifRevision != 0 || r.plan != nil && ifRevision != r.revision {
		return 0, &store.ConflictError{Expected: ifRevision, Revision: r.revision}
	}
	saved := *plan
	r.plan, r.revision = &saved, r.revision+1
	if r.loseAnswer != nil && r.loseAnswer() {
		return 0, &store.OutcomeUnknownError{Op: "update", Cause: errUnavailable}
	}
	return r.revision, nil
}

func (r *memoryRecords) ReportState(_ context.Context, o *Order, state State) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.fail(); err != nil {
		return err
	}
	switch {
	case r.replaced:
		return &ReplacedError{Service: o.Service, Target: o.Target}
	case r.reported != Completed && r.reported != RolledBack:
		r.reported = state
	case r.reported != state && state != Active:
		return &EndedError{Service: o.Service, Target: o.Target, State: r.reported}
	}
	return nil
}

func (r *memoryRecords) state() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reported
}

// traffic describes the requests of a simulation.
type traffic struct {
	perSecond float64
	// effects returns the failure probability and the latency factor of a request.
	effects func(version, route string, share float64, at time.Duration) (failure, slowness float64)
}

// simulation runs one order with one daemon that is also the controller.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	start     time.Time
	clock     synctestClock
	table     *fleet.Table
	follower  *Follower
	recorder  *Recorder
	collector *Collector
	records   *memoryRecords
	tasks     *ants.Pool

	requests, newRequests, newFailures int
	limitReachedAt                     time.Duration // when the new version reached failureLimit
	lastNewAt                          time.Duration // last request to the new version
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), records: &memoryRecords{}}
	s.clock = synctestClock{s.start}
	s.table = fleet.NewTable("vm", 1, fleet.State{}, s.clock)
	s.follower = NewFollower(zap.NewNop())
	s.follower.Random = s.random.Float64
	s.recorder = NewRecorder(s.follower)
	s.collector = NewCollector(s.clock)
	var err error
	s.tasks, err = ants.NewPool(16)
	assert.NilError(t, err)
	return s
}

func (s *simulation) controller() *Controller {
	return NewController(ControllerOptions{
		Table: s.table, Follower: s.follower, Collector: s.collector, Records: s.records, Clock: s.clock,
		Tasks: s.tasks, Logger: zap.NewNop(),
		SetFact: func(key string, rank uint64, payload []byte) bool {
			set := s.table.SetFact(key, rank, payload)
			s.follower.Refresh(s.table.Facts())
			return set
		},
	})
}

func (s *simulation) order() {
	o := &Order{Service: testService, Target: "v2", Duration: orderDuration, Revision: 7, Created: 7}
	s.table.SetFact(OrderKey(testService), Rank(o.Revision), Encode(o))
}

var testEndpoints = []*balance.Endpoint{
	{Target: "old", Service: testService, Version: "v1", Available: true},
	{Target: "new", Service: testService, Version: "v2", Available: true},
}

// run generates traffic until three seconds after the order's duration.
func (s *simulation) run(load traffic) { s.runWithSuccessor(load, 0, 0) }

// runWithSuccessor is run with a controller that is lost at the instant lost and replaced
// at the instant replaced, both since the order.
func (s *simulation) runWithSuccessor(load traffic, lost, replaced time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() { cancel(); time.Sleep(time.Second); s.tasks.Release() }()
	first, lose := context.WithCancel(ctx)
	defer lose()
	go s.controller().Run(first)
	if replaced > 0 {
		time.AfterFunc(lost, lose)
		time.AfterFunc(replaced, func() { s.controller().Run(ctx) })
	}
	s.order()
	lastReport := time.Duration(0)
	for s.elapsed() < orderDuration+3*time.Second {
		time.Sleep(tick)
		s.send(load)
		if now := s.elapsed(); now-lastReport >= ReportInterval {
			lastReport = now
			s.table.AdvanceHeartbeat()
			if r := s.recorder.Report(1, func(string, string) int { return 0 }); r != nil {
				s.collector.Receive("vm", r)
			}
		}
	}
}

func (s *simulation) elapsed() time.Duration { return time.Since(s.start) }

func (s *simulation) send(load traffic) {
	for range s.poisson(load.perSecond * tick.Seconds()) {
		route := "look"
		if s.random.Float64() < 0.3 {
			route = "order"
		}
		version := s.follower.Choose(testService, testEndpoints)[0].Version
		share := 0.0
		if plan, _ := s.follower.Plan(testService); plan != nil {
			share = plan.Share
		}
		failure, slowness := load.effects(version, route, share, s.elapsed())
		failed := s.random.Float64() < failure
		latency := time.Duration(float64(220*time.Millisecond) * slowness * math.Exp(0.3*s.random.NormFloat64()))
		s.count(version, failed || slowness > 2)
		// The result is recorded when the request has ended.
		time.AfterFunc(min(latency, time.Second), func() { s.recorder.RecordAttempt(testService, version, route, failed, latency) })
	}
}

func (s *simulation) count(version string, failed bool) {
	if s.elapsed() < orderDuration {
		s.requests++
	}
	if version != "v2" {
		return
	}
	s.lastNewAt = s.elapsed()
	if s.elapsed() < orderDuration {
		s.newRequests++
	}
	if failed {
		if s.newFailures++; s.newFailures == failureLimit {
			s.limitReachedAt = s.elapsed()
		}
	}
}

func (s *simulation) poisson(mean float64) int {
	n, product, limit := 0, 1.0, math.Exp(-mean)
	for {
		if product *= s.random.Float64(); product <= limit {
			return n
		}
		n++
	}
}
