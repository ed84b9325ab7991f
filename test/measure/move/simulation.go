package move

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/move"
	"nutmegstand.example/nutmegstand/pkg/move/movetest"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

const (
	serviceName = "orderdesk"
	moveName    = "to-v2"
	oldVersion  = "v1"
	newVersion  = "v2"
	lookupRoute = "look-up"
	orderRoute  = "order"
	generation  = 1
	// Periods, losses and delays of reports and records. relayDelay adds to the
	// reporting period.
	reportPeriod   = time.Second
	standbyPeriod  = 4 * time.Second // period of the second distributor's sums
	relayDelay     = 500 * time.Millisecond
	reportLossRate = 0.05 // share of the reports to the second distributor
	// takeoverDelay is the time until a new controller acquires the lease.
	takeoverDelay = 12 * time.Second
	// maxRunFactor bounds the length of a run, as a multiple of the move's duration.
	maxRunFactor = 1.5
)

// caller is the caller side of one daemon.
type caller struct {
	domain   string
	chooser  *move.Chooser
	recorder *move.Recorder
	warmup   move.Warmup
	active   bool // the recorder records attempts for the move
}

// simulation is the state of one run: callers, distributors, controller and call
// generator.
type simulation struct {
	scenario   Scenario
	rng        *rand.Rand
	start, now time.Time
	bundle     *config.Bundle
	old, new   *targetGroup
	callers    []*caller
	sums       map[string][2]*move.DomainSum
	table      *movetest.Table // table of the controller's distributor
	services   *movetest.Services
	store      *standin.Store
	controller *move.Controller // nil while no controller runs
	fencing    uint64
	takeoverAt time.Time
	leaseValid bool
	inFlight   []delayedRecord // records on the way to the callers
	incoming   []delayedRecord // records on the way to the controller's distributor
	baseline   baselinePolicy
	latest     move.Report

	announced        int // new targets announced to the callers
	nextCrashRequest time.Time
	crashRequests    int
	firstNew         time.Time // first call to the new version
	faultVisibleAt   time.Time // first call affected by the fault
	lastNew          time.Time // last call to the new version
	newVersionCalls  [2]int    // before the fault became visible, and from then on
}

type delayedRecord struct {
	at     time.Time
	record *pb.Record
}

func newSimulation(s Scenario) *simulation {
	start := time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)
	sim := &simulation{
		scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0x6d6f7665)), start: start, now: start, leaseValid: true,
		table: movetest.NewTable(), services: &movetest.Services{}, store: standin.New(s.Seed),
		sums: map[string][2]*move.DomainSum{}, fencing: 1,
	}
	sim.nextCrashRequest = start.Add(time.Duration(sim.rng.Int64N(int64(s.Traffic.Duration / 10))))
	sim.bundle = &config.Bundle{
		Service: config.Service{
			Name: serviceName, Version: oldVersion, Slots: s.Traffic.Slots,
			Routes: []config.Route{{Name: lookupRoute, Idempotent: true}, {Name: orderRoute}},
			Moves: []config.Move{{
				Name: moveName, From: oldVersion, To: newVersion, By: start.Add(s.Traffic.Duration), Caution: s.Traffic.Caution,
			}},
		},
		Generations: map[string]uint64{moveName: generation},
	}
	if s.Condition == ConditionColdStart {
		sim.bundle.Service.ColdStart = config.Duration(coldStart)
	}
	sim.services.SetBundles(sim.bundle)
	sim.old, sim.new = sim.newTargetGroup(false), sim.newTargetGroup(true)
	for i, domain := range s.Traffic.Domains {
		name := fmt.Sprintf("%s-%d", domain, i)
		c := &caller{domain: domain, chooser: move.NewChooser(start), recorder: move.NewRecorder(serviceName, domain, name, 1)}
		c.chooser.SetBundle(sim.bundle)
		sim.callers = append(sim.callers, c)
		sim.sums[domain] = [2]*move.DomainSum{
			move.NewDomainSum(domain, domain+"-0", 1), move.NewDomainSum(domain, domain+"-1", 1),
		}
	}
	sim.table.OnPublish = func(r *pb.Record) {
		sim.inFlight = append(sim.inFlight, delayedRecord{sim.now.Add(2 * relayDelay), r})
	}
	sim.startController()
	return sim
}

func (sim *simulation) newTargetGroup(isNew bool) *targetGroup {
	n := sim.scenario.Traffic.Targets
	g := &targetGroup{isNew: isNew, inUse: n, announced: make([]time.Time, n), down: make([]time.Time, n)}
	for i := range g.announced {
		g.announced[i] = sim.start.Add(-time.Hour)
		if isNew && sim.scenario.Condition == ConditionColdStart {
			g.announced[i] = sim.start.Add(time.Duration(i) * sim.scenario.Traffic.Duration / time.Duration(4*n))
		}
	}
	return g
}

// startController starts a controller with the next fencing number, or a baseline.
func (sim *simulation) startController() {
	if sim.scenario.Policy != PolicyController {
		sim.baseline = newBaseline(sim)
		return
	}
	sim.controller = move.NewController(move.Options{
		Owner: fmt.Sprintf("controller-%d", sim.fencing), Records: sim.table, Services: sim.services, Store: sim.store,
		LeaseValid: func() bool { return sim.leaseValid }, Spawn: func(f func()) { f() },
	})
	sim.controller.Start(sim.fencing, 0)
	sim.fencing++
}

// run runs the scenario until the move has ended or maxRunFactor is reached.
func (sim *simulation) run() Result {
	var step time.Duration
	limit := sim.start.Add(time.Duration(maxRunFactor * float64(sim.scenario.Traffic.Duration)))
	var report move.Report
	for ; sim.now.Before(limit); sim.now = sim.now.Add(step) {
		step = sim.scenario.Traffic.Step
		aligned := sim.now.Sub(sim.start)%reportPeriod == 0
		if aligned && report.State == move.StateHolding && report.Share == 1 && sim.scenario.Fault.Good() {
			step = max(step, reportPeriod) // few events occur in this long stage
		}
		sim.injectFaults()
		sim.announce()
		sim.deliverRecords()
		sim.generateCalls(step)
		sim.exchangeReports()
		report = sim.runController()
		if report.State == move.StateDone || (report.State == move.StateTakenBack && sim.now.Sub(sim.lastNew) > 5*time.Second) {
			break
		}
	}
	return sim.result(report)
}

func (sim *simulation) result(report move.Report) Result {
	r := Result{
		Done: report.State == move.StateDone, TakenBack: report.State == move.StateTakenBack, FaultVisible: !sim.faultVisibleAt.IsZero(),
		End: sim.now.Sub(sim.start), Reason: report.Reason,
	}
	r.InTime = r.Done && !report.ExpectedEnd.After(report.By)
	if r.FaultVisible {
		r.TakeBackTime = sim.lastNew.Sub(sim.faultVisibleAt)
	}
	all := sim.scenario.Traffic.Rate * sim.scenario.Traffic.Duration.Seconds()
	r.ExposureBefore, r.ExposureAfter = float64(sim.newVersionCalls[0])/all, float64(sim.newVersionCalls[1])/all
	return r
}

// runController runs the controller or the baseline for one step and returns the
// report of the move.
func (sim *simulation) runController() move.Report {
	if sim.baseline != nil {
		return sim.baseline.tick(sim)
	}
	if sim.controller == nil {
		return move.Report{}
	}
	if err := sim.controller.Tick(context.Background(), sim.now); err != nil {
		return move.Report{Reason: err.Error()}
	}
	if sim.now.Sub(sim.start)%reportPeriod == 0 {
		if reports := sim.controller.Reports(sim.now); len(reports) > 0 {
			sim.latest = reports[0]
		}
	}
	return sim.latest
}

// injectFaults starts and ends the outages of the store and the controller.
func (sim *simulation) injectFaults() {
	down := sim.scenario.Condition == ConditionStore || sim.scenario.Outage == OutageBoth
	isDown := down && sim.inPhase(sim.now, 0.25, 0.5)
	sim.store.SetFaults(standin.Faults{Down: isDown})
	sim.leaseValid = !isDown
	killed := sim.scenario.Outage == OutageController || sim.scenario.Outage == OutageBoth
	if sim.scenario.Policy != PolicyController || !killed {
		return
	}
	if sim.controller != nil && sim.fencing == 2 && sim.inPhase(sim.now, 0.27, 1) {
		sim.controller = nil
	}
	if sim.controller == nil {
		if isDown || sim.takeoverAt.IsZero() {
			sim.takeoverAt = sim.now.Add(takeoverDelay)
		}
		if !sim.now.Before(sim.takeoverAt) {
			sim.startController()
		}
	}
}

// announce announces the current targets to the callers and the controller.
func (sim *simulation) announce() {
	n := sim.new.announcedCount(sim.now)
	for ; sim.announced < n; sim.announced++ {
		for _, c := range sim.callers {
			c.warmup.Add(targetNames[sim.announced], 1, sim.now)
		}
	}
	if sim.scenario.Fault == FaultHealth && sim.rng.Float64() < 0.3 {
		n = sim.rng.IntN(n + 1) // the health checks report running targets as down
	}
	sim.services.SetTargets(serviceName, oldVersion, sim.old.announcedCount(sim.now))
	sim.services.SetTargets(serviceName, newVersion, n)
}

var targetNames = [...]string{"new-0", "new-1", "new-2", "new-3", "new-4", "new-5", "new-6", "new-7", "new-8", "new-9"}

// deliverRecords applies the records whose delay has passed.
func (sim *simulation) deliverRecords() {
	pendingInFlight := sim.inFlight[:0]
	for _, d := range sim.inFlight {
		if d.at.After(sim.now) {
			pendingInFlight = append(pendingInFlight, d)
			continue
		}
		for _, c := range sim.callers {
			c.chooser.Apply(d.record, sim.now)
			if active := c.chooser.Active(serviceName); active(moveName, generation) != c.active {
				c.active = !c.active
				c.recorder.Update(sim.bundle, active)
			}
		}
	}
	sim.inFlight = pendingInFlight
	pendingIncoming := sim.incoming[:0]
	for _, d := range sim.incoming {
		if d.at.After(sim.now) {
			pendingIncoming = append(pendingIncoming, d)
			continue
		}
		sim.table.Apply(d.record)
	}
	sim.incoming = pendingIncoming
}
