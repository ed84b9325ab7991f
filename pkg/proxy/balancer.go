package proxy

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// nearTime and farTime are the network time assumed of a call to another
	// daemon of the own and of another failure domain.
	nearTime = 500 * time.Microsecond
	farTime  = 2 * time.Millisecond
	// farTimePerKB is the expected time that must be saved for each KB that
	// crosses failure domains; such bytes are paid for.
	farTimePerKB = 3 * time.Millisecond
	// headKB is the size of the heads of a call and its answer between daemons.
	headKB = 1.5
	// transferWeight is the number of transfers of the own size that an answer
	// is assumed to share the target's link with, besides the reported ones.
	transferWeight = 2
	// smallAnswerKB is what a small answer waits behind on the target's link at
	// most: the windows of the transfers that are being sent.
	smallAnswerKB = 64
	// overheadWeight is the weight of the newest call in the average time that
	// calls to a target take beyond their wait and their run.
	overheadWeight = 0.15
	// loadMemory is the age from which a reported load says nothing any more:
	// several times the duration of a request.
	loadMemory = 2 * time.Second
	// crowding is the slowdown assumed of a target with all slots in use.
	crowding = 0.25
	// coldFactor is the slowdown assumed of a target that has just started.
	coldFactor = 2
	// speedWeight is the weight of the newest answer in a target's slowness and
	// in the average time of a route.
	speedWeight = 0.1
	// fullPenalty keeps calls from targets that would refuse them, as long as
	// another one has room.
	fullPenalty = 2 * time.Second
	// failureWeight is the weight of the newest attempt in the failure rate.
	failureWeight = 0.1
	// maxFailureRate keeps the expected time finite.
	maxFailureRate = 0.95
	// failuresToPause is the number of failures in a row after which a target is
	// left out for pauseBase, twice that for each further one up to pauseMax.
	failuresToPause = 3
	pauseBase       = 500 * time.Millisecond
	pauseMax        = 4 * time.Second
	// jitter spreads the choices of daemons that know the same.
	jitter = 0.1
	// targetMemory is the time after which the record of an unused target is dropped.
	targetMemory = 2 * time.Minute
)

// Endpoint is a target that may get calls.
type Endpoint struct {
	Daemon    string
	Address   string // of the daemon's target side
	Near      bool   // in the own failure domain
	Local     bool   // beside this daemon
	Target    string
	Service   string
	Version   string
	Slots     int
	LinkMbps  float64   // of the target's machine, 0 if it is not known
	WarmAt    time.Time // end of the cold start
	Available bool      // neither leaving nor down nor silent
}

// Directory lists the known targets of a service.
type Directory interface {
	Endpoints(service string) []*Endpoint
}

// record is what a caller side has learned of one target.
type record struct {
	inFlight    int
	load        Load
	sinceLoad   int           // calls begun after the load was reported
	slowness    float64       // of its runs against the average of their routes, 0 if not known
	overhead    time.Duration // beyond wait, run and transfer
	failures    float64
	failedInRow int
	pausedTill  time.Time
	usedAt      time.Time
}

// Balancer chooses targets by the expected time to an answer.
type Balancer struct {
	logger *zap.Logger

	mu      sync.Mutex
	records map[string]*record
	runs    map[string]time.Duration // average time in a target of usual speed, by route
	sizes   map[string]float64       // average KB of an answer, by route
}

// NewBalancer returns a balancer that knows nothing.
func NewBalancer(logger *zap.Logger) *Balancer {
	return &Balancer{
		logger: logger, records: make(map[string]*record), runs: make(map[string]time.Duration), sizes: make(map[string]float64),
	}
}

func (b *Balancer) record(target string) *record {
	r := b.records[target]
	if r == nil {
		r = &record{}
		b.records[target] = r
	}
	return r
}

// Choose returns the endpoint with the shortest expected time, nil without any.
// The chosen one is counted as in use until Done.
func (b *Balancer) Choose(call *Call, endpoints []*Endpoint) *Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best, paused *Endpoint
	shortest, soonest := math.Inf(1), time.Time{}
	for _, e := range endpoints {
		if !e.Available {
			continue
		}
		r := b.record(e.Target)
		if r.pausedTill.After(now) {
			if paused == nil || r.pausedTill.Before(soonest) {
				paused, soonest = e, r.pausedTill
			}
			continue
		}
		cost := b.expected(e, r, call, now) * (1 + jitter*rand.Float64())
		if cost < shortest {
			best, shortest = e, cost
		}
	}
	if best == nil {
		best = paused
	}
	if best == nil {
		return nil
	}
	r := b.record(best.Target)
	r.inFlight++
	r.sinceLoad++
	r.usedAt = now
	if r.failedInRow >= failuresToPause {
		// One call at a time tries a target that failed.
		r.pausedTill = now.Add(pauseBase)
	}
	return best
}

// expected returns the expected time to an answer in nanoseconds.
func (b *Balancer) expected(e *Endpoint, r *record, call *Call, now time.Time) float64 {
	run := float64(b.run(r, call.Route))
	slots := float64(max(r.load.Slots, e.Slots, 1))
	fresh := 1 - min(1, float64(now.Sub(r.load.At))/float64(loadMemory))
	occupied := fresh*float64(r.load.Busy+r.load.Queued) + float64(r.sinceLoad)
	occupied = max(occupied, float64(r.inFlight))
	t := run * (1 + crowding*math.Pow(min(1, occupied/slots), 2))
	if now.Before(e.WarmAt) {
		t *= coldFactor
	}
	if occupied >= slots {
		service := float64(r.load.Service)
		if service == 0 {
			service = run
		}
		wait := service * (occupied - slots + 1) / slots
		t += wait
		if !call.Inner && wait > float64(patience(call.Objective, time.Duration(run))) {
			t += float64(fullPenalty)
		}
	}
	t += b.network(e, r, call, fresh)
	failures := min(r.failures, maxFailureRate)
	return t/(1-failures) + failures*float64(call.Objective)
}

// run returns the expected time of a route's request in a target.
func (b *Balancer) run(r *record, route string) time.Duration {
	usual, ok := b.runs[route]
	if !ok {
		usual = defaultService
	}
	if r.slowness > 0 {
		usual = time.Duration(float64(usual) * r.slowness)
	}
	return usual
}

// learnRun takes the time of a request in a target. Targets are compared on the
// same route, since routes differ in their work.
func (b *Balancer) learnRun(r *record, route string, ran time.Duration) {
	usual, ok := b.runs[route]
	if !ok {
		b.runs[route] = ran
		return
	}
	slowness := float64(ran) / float64(usual)
	if r.slowness == 0 {
		r.slowness = 1
	}
	b.runs[route] = usual + time.Duration(speedWeight*(float64(ran)/r.slowness-float64(usual)))
	r.slowness += speedWeight * (slowness - r.slowness)
}

// network returns the time that a call to an endpoint takes besides the target's
// own, and the price of its bytes as time. fresh weighs what the target side
// reported of its link.
func (b *Balancer) network(e *Endpoint, r *record, call *Call, fresh float64) float64 {
	if e.Local {
		return 0
	}
	kb := b.sizes[call.Route] + headKB
	behind := r.load.Uplink
	if kb < transferMin>>10 {
		behind = min(behind, smallAnswerKB)
	}
	t := float64(r.overhead) + float64(transfer(transferWeight*kb+fresh*behind, e.LinkMbps))
	if e.Near {
		return t + float64(nearTime)
	}
	return t + float64(farTime) + kb*float64(farTimePerKB)
}

// transfer returns the time of an answer on a link.
func transfer(kb, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	const bitsPerKB, bitsPerMbit = 8 << 10, 1e6
	return time.Duration(kb * bitsPerKB / (mbps * bitsPerMbit) * float64(time.Second))
}

// learnOverhead takes what a call took beyond its wait and its run.
func (r *record) learnOverhead(e *Endpoint, took time.Duration, a *Answer, kb float64) {
	if e.Local || a.Outcome != Answered && a.Outcome != Refused {
		return
	}
	beyond := max(0, took-a.Waited-a.Ran-transfer(kb, e.LinkMbps))
	if a.Outcome == Refused {
		beyond = took
	}
	r.overhead += time.Duration(overheadWeight * float64(beyond-r.overhead))
}

// Done takes the result of an attempt that took some time.
func (b *Balancer) Done(e *Endpoint, call *Call, a *Answer, took time.Duration, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.record(e.Target)
	r.inFlight--
	if took > 0 && (a.Outcome != Refused || a.Waited == 0 && a.Reason != ReasonQueueFull) {
		r.learnOverhead(e, took, a, b.sizes[call.Route])
	}
	if a.Load != nil {
		r.load = *a.Load
		r.load.At = now
		r.sinceLoad = 0
	} else {
		// The call ended without news of the load, so it no longer adds to it.
		r.sinceLoad = max(0, r.sinceLoad-1)
	}
	if a.Outcome == Answered && !failed {
		b.learnRun(r, call.Route, a.Ran)
	}
	if a.Outcome == Refused && a.Reason != ReasonTargetDown {
		return // says nothing of the target's health
	}
	if a.Reason == ReasonGone {
		return
	}
	if !failed {
		r.failures -= failureWeight * r.failures
		r.failedInRow, r.pausedTill = 0, time.Time{}
		return
	}
	r.failures += failureWeight * (1 - r.failures)
	r.failedInRow++
	if a.Silent {
		// Each further call would wait for the same time-out.
		r.failedInRow = max(r.failedInRow, failuresToPause)
	}
	if over := r.failedInRow - failuresToPause; over >= 0 {
		pause := min(pauseBase<<min(over, 8), pauseMax)
		r.pausedTill = now.Add(pause)
		eventTargetPaused.Log(b.logger, zap.String("target", e.Target), zap.String("service", e.Service),
			zap.Int("failures", r.failedInRow), zap.Duration("pause", pause), zap.String("last", a.Reason))
	}
}

// LearnSize takes the size of an answer in bytes.
func (b *Balancer) LearnSize(route string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kb := float64(bytes) / 1024
	if held, ok := b.sizes[route]; ok {
		kb = held + failureWeight*(kb-held)
	}
	b.sizes[route] = kb
}

// Sweep drops the records of targets that are not used any more.
func (b *Balancer) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target, r := range b.records {
		if r.inFlight == 0 && time.Since(r.usedAt) > targetMemory {
			delete(b.records, target)
		}
	}
}
