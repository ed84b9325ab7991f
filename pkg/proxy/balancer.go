package proxy

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// sameDomainLatency and crossDomainLatency are the assumed network times of
	// a call to another daemon in the same and in a different failure domain.
	sameDomainLatency  = 500 * time.Microsecond
	crossDomainLatency = 2 * time.Millisecond
	// crossDomainCostPerKB is the expected time that a remote target must save
	// for each KB that crosses failure domains, since that traffic is billed.
	crossDomainCostPerKB = 3 * time.Millisecond
	// headersKB is the size of the headers of a call and its response between
	// daemons.
	headersKB = 1.5
	// transferWeight scales the size of a response to allow for transfers of
	// the same size that share the target's link without being reported yet.
	transferWeight = 2
	// smallResponseBacklogKB bounds the backlog on the target's link that
	// delays a small response: it only waits behind the send windows of the
	// active transfers.
	smallResponseBacklogKB = 64
	// overheadWeight is the weight of the newest call in the moving average of
	// the time that calls to a target take in addition to queueing, execution
	// and transfer.
	overheadWeight = 0.15
	// loadMaxAge is the age at which a reported load is no longer used: several
	// times the duration of a request.
	loadMaxAge = 2 * time.Second
	// fullLoadSlowdown is the assumed relative slowdown of a target with all
	// slots in use.
	fullLoadSlowdown = 0.25
	// coldStartFactor is the assumed slowdown of a target during its cold
	// start.
	coldStartFactor = 2
	// runTimeWeight is the weight of the newest response in a target's slowness
	// and in the average run time of a route.
	runTimeWeight = 0.1
	// fullPenalty steers calls away from targets that would refuse them while
	// another target has free slots.
	fullPenalty = 2 * time.Second
	// failureWeight is the weight of the newest attempt in the failure rate,
	// and of the newest response in the average response size.
	failureWeight = 0.1
	// maxFailureRate keeps the expected time finite.
	maxFailureRate = 0.95
	// failuresToPause is the number of consecutive failures after which a
	// target is paused for pauseBase. Each further failure doubles the pause,
	// up to pauseMax.
	failuresToPause = 3
	pauseBase       = 500 * time.Millisecond
	pauseMax        = 4 * time.Second
	// costJitter spreads the choices of daemons that have the same information.
	costJitter = 0.1
	// statsRetention is the time after which the statistics of an unused target
	// are dropped.
	statsRetention = 2 * time.Minute
)

// Endpoint is a target that calls may be sent to.
type Endpoint struct {
	Daemon     string
	Address    string // of the target side of its daemon
	SameDomain bool   // in the failure domain of the local daemon
	Local      bool   // on the machine of the local daemon
	Target     string
	Service    string
	Version    string
	Slots      int
	LinkMbps   float64   // of the target's machine, 0 if unknown
	WarmAt     time.Time // end of the cold start
	Available  bool      // not leaving, down or silent
}

// Directory lists the targets of a service.
type Directory interface {
	Endpoints(service string) []*Endpoint
}

// targetStats holds the statistics of a caller side about one target.
type targetStats struct {
	inFlight            int
	load                Load
	callsSinceLoad      int           // calls started since the load was reported
	slowness            float64       // run time relative to the average of the same routes, 0 if unknown
	overhead            time.Duration // average time of a call in addition to queueing, execution and transfer
	failures            float64       // moving failure rate
	consecutiveFailures int
	pausedUntil         time.Time
	usedAt              time.Time
}

// Balancer chooses the target with the shortest expected response time.
type Balancer struct {
	logger *zap.Logger

	mu         sync.Mutex
	stats      map[string]*targetStats
	runTimes   map[string]time.Duration // average run time by route, normalized by the slowness of the targets
	responseKB map[string]float64       // average response size in KB by route
}

// NewBalancer returns a balancer without statistics.
func NewBalancer(logger *zap.Logger) *Balancer {
	return &Balancer{
		logger: logger, stats: make(map[string]*targetStats), runTimes: make(map[string]time.Duration), responseKB: make(map[string]float64),
	}
}

func (b *Balancer) statsFor(target string) *targetStats {
	s := b.stats[target]
	if s == nil {
		s = &targetStats{}
		b.stats[target] = s
	}
	return s
}

// Choose returns the available endpoint with the shortest expected response
// time, or nil if there is none. If all available endpoints are paused, it
// returns the one whose pause ends first. The call counts as in flight at the
// chosen endpoint until Done is called.
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
		s := b.statsFor(e.Target)
		if s.pausedUntil.After(now) {
			if paused == nil || s.pausedUntil.Before(soonest) {
				paused, soonest = e, s.pausedUntil
			}
			continue
		}
		cost := b.expectedTime(e, s, call, now) * (1 + costJitter*rand.Float64())
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
	s := b.statsFor(best.Target)
	s.inFlight++
	s.callsSinceLoad++
	s.usedAt = now
	if s.consecutiveFailures >= failuresToPause {
		// Until a call succeeds, at most one call per pauseBase probes the target.
		s.pausedUntil = now.Add(pauseBase)
	}
	return best
}

// expectedTime returns the expected response time in nanoseconds, including
// penalties for failures and for traffic between failure domains.
func (b *Balancer) expectedTime(e *Endpoint, s *targetStats, call *Call, now time.Time) float64 {
	run := float64(b.expectedRun(s, call.Route))
	slots := float64(max(s.load.Slots, e.Slots, 1))
	freshness := 1 - min(1, float64(now.Sub(s.load.At))/float64(loadMaxAge))
	occupied := freshness*float64(s.load.Busy+s.load.Queued) + float64(s.callsSinceLoad)
	occupied = max(occupied, float64(s.inFlight))
	t := run * (1 + fullLoadSlowdown*math.Pow(min(1, occupied/slots), 2))
	if now.Before(e.WarmAt) {
		t *= coldStartFactor
	}
	wait := float64(s.rateTime(freshness))
	if occupied >= slots {
		serviceTime := float64(s.load.ServiceTime)
		if serviceTime == 0 {
			serviceTime = run
		}
		wait = max(wait, serviceTime*(occupied-slots+1)/slots)
	}
	t += wait
	if !call.Inner && wait > float64(call.maxQueueWait(time.Duration(run))) {
		t += float64(fullPenalty)
	}
	t += b.networkTime(e, s, call, freshness)
	failures := min(s.failures, maxFailureRate)
	return t/(1-failures) + failures*float64(call.Objective)
}

// expectedRun returns the expected run time of a request of the given route in
// a target.
func (b *Balancer) expectedRun(s *targetStats, route string) time.Duration {
	baseline, ok := b.runTimes[route]
	if !ok {
		baseline = defaultServiceTime
	}
	if s.slowness > 0 {
		baseline = time.Duration(float64(baseline) * s.slowness)
	}
	return baseline
}

// runTime returns the average run time of a request of the given route.
func (b *Balancer) runTime(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if average, ok := b.runTimes[route]; ok {
		return average
	}
	return defaultServiceTime
}

// recordRun adds the run time of a request to the averages. Targets are
// compared on the same route, since the amount of work differs between routes.
func (b *Balancer) recordRun(s *targetStats, route string, ran time.Duration) {
	baseline, ok := b.runTimes[route]
	if !ok {
		b.runTimes[route] = ran
		return
	}
	slowness := float64(ran) / float64(baseline)
	if s.slowness == 0 {
		s.slowness = 1
	}
	b.runTimes[route] = baseline + time.Duration(runTimeWeight*(float64(ran)/s.slowness-float64(baseline)))
	s.slowness += runTimeWeight * (slowness - s.slowness)
}

// networkTime returns the time that a call to an endpoint takes in addition to
// queueing and execution, plus the cost of its traffic between failure domains
// expressed as time. freshness is the weight of the reported link backlog.
func (b *Balancer) networkTime(e *Endpoint, s *targetStats, call *Call, freshness float64) float64 {
	if e.Local {
		return 0
	}
	kb := b.responseKB[call.Route] + headersKB
	backlog := s.load.Uplink
	if kb < minTransferBytes>>10 {
		backlog = min(backlog, smallResponseBacklogKB)
	}
	t := float64(s.overhead) + float64(transferTime(transferWeight*kb+freshness*backlog, e.LinkMbps))
	if e.SameDomain {
		return t + float64(sameDomainLatency)
	}
	return t + float64(crossDomainLatency) + kb*float64(crossDomainCostPerKB)
}

// transferTime returns the time that sending a response takes on a link, 0 if
// the speed of the link is unknown.
func transferTime(kb, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	const bitsPerKB, bitsPerMbit = 8 << 10, 1e6
	return time.Duration(kb * bitsPerKB / (mbps * bitsPerMbit) * float64(time.Second))
}

// recordOverhead adds the time that a call took in addition to queueing,
// execution and transfer to the average.
func (s *targetStats) recordOverhead(e *Endpoint, took time.Duration, result *AttemptResult, kb float64) {
	if e.Local || result.Outcome != Answered && result.Outcome != Refused {
		return
	}
	overhead := max(0, took-result.Waited-result.Ran-transferTime(kb, e.LinkMbps))
	if result.Outcome == Refused {
		overhead = took
	}
	s.overhead += time.Duration(overheadWeight * float64(overhead-s.overhead))
}

// Done records the result of an attempt. took is its duration, 0 if the attempt
// was not made; failed counts it as a failure of the target.
func (b *Balancer) Done(e *Endpoint, call *Call, result *AttemptResult, took time.Duration, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	s := b.statsFor(e.Target)
	s.inFlight--
	if took > 0 && (result.Outcome != Refused || result.Waited == 0 && result.Reason != ReasonQueueFull) {
		s.recordOverhead(e, took, result, b.responseKB[call.Route])
	}
	if result.Load != nil {
		s.load = *result.Load
		s.load.At = now
		s.callsSinceLoad = 0
	} else {
		// The completed call no longer adds to the load that was last reported.
		s.callsSinceLoad = max(0, s.callsSinceLoad-1)
	}
	if result.Outcome == Answered && !failed {
		b.recordRun(s, call.Route, result.Ran)
	}
	if result.Outcome == Refused && result.Reason != ReasonTargetDown {
		return // no information about the target's health
	}
	if result.Reason == ReasonCallerGone {
		return
	}
	if !failed {
		s.failures -= failureWeight * s.failures
		s.consecutiveFailures, s.pausedUntil = 0, time.Time{}
		return
	}
	s.failures += failureWeight * (1 - s.failures)
	s.consecutiveFailures++
	if result.Unresponsive {
		// Pause at once: each further call would wait for the same timeout.
		s.consecutiveFailures = max(s.consecutiveFailures, failuresToPause)
	}
	if excess := s.consecutiveFailures - failuresToPause; excess >= 0 {
		pause := min(pauseBase<<min(excess, 8), pauseMax)
		s.pausedUntil = now.Add(pause)
		eventTargetPaused.Log(b.logger, zap.String("target", e.Target), zap.String("service", e.Service),
			zap.Int("failures", s.consecutiveFailures), zap.Duration("pause", pause), zap.String("last", result.Reason))
	}
}

// Loads returns the last reported loads by target.
func (b *Balancer) Loads() map[string]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[string]Load, len(b.stats))
	for target, s := range b.stats {
		if !s.load.At.IsZero() {
			loads[target] = s.load
		}
	}
	return loads
}

// RecordSize adds the size of a response in bytes to the average of its route.
func (b *Balancer) RecordSize(route string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kb := float64(bytes) / 1024
	if previous, ok := b.responseKB[route]; ok {
		kb = previous + failureWeight*(kb-previous)
	}
	b.responseKB[route] = kb
}

// Sweep drops the statistics of targets that are no longer used.
func (b *Balancer) Sweep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for target, s := range b.stats {
		if s.inFlight == 0 && time.Since(s.usedAt) > statsRetention {
			delete(b.stats, target)
		}
	}
}
