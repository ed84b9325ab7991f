// Package balance chooses the target of each request on the caller side, from the
// reported loads of the targets and from this daemon's own measurements.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/proxy/attempt"
)

const (
	// sameDomainLatency and crossDomainLatency are the assumed network times of
	// a call to another daemon in the same and in a different failure domain.
	sameDomainLatency  = 500 * time.Microsecond
	crossDomainLatency = 2 * time.Millisecond
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
	// SmallResponseKB is the size below which a response does not queue for the uplink.
	SmallResponseKB = 16
	// overheadWeight is the weight of the newest call in the moving average of
	// the time that calls to a target take in addition to queueing, execution
	// and transfer.
	overheadWeight = 0.15
	// loadMaxAge is the age at which a reported load is no longer used: several
	// times the duration of a request.
	loadMaxAge = 2 * time.Second
	// publishDelay is the typical time between the measurement of a published load and
	// its receipt. It spreads over some daemons, with the heartbeats.
	publishDelay = 500 * time.Millisecond
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

// targetStats holds the statistics of a caller side about one target.
type targetStats struct {
	inFlight            int
	load                attempt.Load
	callsSinceLoad      int           // calls started since the load was reported
	workSinceLoad       time.Duration // expected run times of these calls, added up
	slowness            float64       // run time relative to the average of the same routes, 0 if unknown
	overhead            time.Duration // average time of a call in addition to queueing, execution and transfer
	failures            float64       // moving failure rate
	consecutiveFailures int
	unresponsive        bool // the last failure was a network timeout
	pausedUntil         time.Time
	usedAt              time.Time
	cold                coldShare
}

// Result is the result of an attempt.
type Result struct {
	Took      time.Duration // 0 if the attempt was not made
	Ran       time.Duration // time in the target until the response header
	Waited    time.Duration // time until a slot was granted
	Load      *attempt.Load // nil if none was reported
	Answered  bool          // the target responded
	Refused   bool          // the target side did not send the request to the target
	QueueFull bool          // refused, since it would have waited too long for a slot
	Failed    bool          // counts as a failure of the target
	// Neutral results tell nothing about the target's health.
	Neutral      bool
	Unresponsive bool   // the target's machine did not respond within the network timeouts
	Reason       string // for the log
}

// Balancer chooses the target with the shortest expected response time.
type Balancer struct {
	logger *zap.Logger

	mu         sync.Mutex
	stats      map[string]*targetStats
	runTimes   map[string]time.Duration // average run time by route, normalized by the slowness of the targets
	responseKB map[string]float64       // average response size in KB by route
	fullUntil  map[domainKey]time.Time  // end of the pauses of other domains without room
	evaluated  *[]candidate             // of all targets in use, nil except during Explain
}

// New returns a balancer without statistics.
func New(logger *zap.Logger) *Balancer {
	return &Balancer{
		logger: logger, stats: make(map[string]*targetStats), runTimes: make(map[string]time.Duration), responseKB: make(map[string]float64),
		fullUntil: make(map[domainKey]time.Time),
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

// Choose returns the available endpoint with the shortest expected response time whose
// target is not in attempted, or nil if there is none. If all available endpoints are
// paused, it returns the one whose pause ends first. The call counts as in flight at the
// chosen endpoint until Done is called.
func (b *Balancer) Choose(request *attempt.Request, endpoints []*Endpoint, attempted map[string]bool) *Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	best, _ := b.decide(request, endpoints, attempted, now)
	if best == nil {
		return nil
	}
	s := b.statsFor(best.Target)
	s.inFlight++
	s.callsSinceLoad++
	s.workSinceLoad += b.expectedRun(s, request.Route)
	s.usedAt = now
	if s.consecutiveFailures >= failuresToPause {
		// Until a call succeeds, at most one call per pauseBase probes the target.
		s.pausedUntil = now.Add(pauseBase)
	}
	return best
}

// decide returns the endpoint to use, nil if there is none, and the reason. It changes
// nothing but the entries of stats.
func (b *Balancer) decide(request *attempt.Request, endpoints []*Endpoint, attempted map[string]bool, now time.Time) (*Endpoint, Reason) {
	o := b.collect(request, endpoints, attempted, now)
	best := b.chooseDomain(&o, request)
	if due := b.preferDue(request, endpoints, attempted, best, now); due != best {
		return due, ColdShareDue
	}
	return best, o.reason
}

// evaluate returns an endpoint with its expected response time.
func (b *Balancer) evaluate(e *Endpoint, s *targetStats, request *attempt.Request, now time.Time) candidate {
	run := float64(b.expectedRun(s, request.Route))
	slots := float64(max(s.load.Slots, e.Slots, 1))
	s.adoptPublished(e, slots)
	freshness := 1 - min(1, float64(now.Sub(s.load.At))/float64(loadMaxAge))
	occupied := freshness*float64(s.load.Busy+s.load.Queued) + float64(s.callsSinceLoad)
	occupied = max(occupied, float64(s.inFlight))
	t := run * (1 + fullLoadSlowdown*math.Pow(min(1, occupied/slots), 2))
	if now.Before(e.WarmAt) {
		t *= coldStartFactor
	}
	slowed := t
	wait := float64(s.rateTime(freshness))
	if e.cold(now) && s.load.RateLimit == 0 {
		wait = float64(s.callsSinceLoad) / e.ColdRate * float64(time.Second)
	}
	if occupied >= slots {
		wait = max(wait, s.workPerCall(run, freshness)*(occupied-slots+1)/slots)
	}
	t += wait
	full := !request.Inner && wait > float64(request.MaxQueueWait(time.Duration(run)))
	if full {
		t += float64(fullPenalty)
	}
	network := b.networkTime(e, s, request, freshness)
	t += network
	failures := min(s.failures, maxFailureRate)
	t = t/(1-failures) + failures*float64(request.Objective)
	return candidate{
		endpoint: e, time: t * (1 + costJitter*rand.Float64()), full: full, load: occupied / slots,
		run: slowed, wait: wait, network: network,
	}
}

// adoptPublished takes a published load for the reported one if it is newer. Each daemon
// calls most targets rarely; without it, targets of which nothing is known would look idle.
func (s *targetStats) adoptPublished(e *Endpoint, slots float64) {
	published := e.published.Load()
	if published == nil {
		return
	}
	measured := published.at.Add(-publishDelay)
	if measured.Before(s.load.At) {
		return
	}
	s.load.Busy, s.load.Queued, s.load.At = int(math.Round(published.load*slots)), 0, measured
	s.load.Backlog = 0 // of another time
	s.callsSinceLoad, s.workSinceLoad = 0, 0
}

// expectedRun returns the expected run time of a request of the given route in
// a target.
func (b *Balancer) expectedRun(s *targetStats, route string) time.Duration {
	baseline, ok := b.runTimes[route]
	if !ok {
		baseline = attempt.DefaultRunTime
	}
	if s.slowness > 0 {
		baseline = time.Duration(float64(baseline) * s.slowness)
	}
	return baseline
}

// RunTime returns the average run time of a request of the given route.
func (b *Balancer) RunTime(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if average, ok := b.runTimes[route]; ok {
		return average
	}
	return attempt.DefaultRunTime
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
// queueing and execution. freshness is the weight of the reported link backlog.
func (b *Balancer) networkTime(e *Endpoint, s *targetStats, request *attempt.Request, freshness float64) float64 {
	if e.Local {
		return 0
	}
	kb := b.responseKB[request.Route] + headersKB
	backlog := s.load.Uplink
	if kb < SmallResponseKB {
		backlog = min(backlog, smallResponseBacklogKB)
	}
	t := float64(s.overhead) + float64(transferTime(transferWeight*kb+freshness*backlog, e.LinkMbps))
	if e.SameDomain {
		return t + float64(sameDomainLatency)
	}
	return t + float64(crossDomainLatency)
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
func (s *targetStats) recordOverhead(e *Endpoint, result *Result, kb float64) {
	if e.Local || !result.Answered && !result.Refused {
		return
	}
	overhead := max(0, result.Took-result.Waited-result.Ran-transferTime(kb, e.LinkMbps))
	if result.Refused {
		overhead = result.Took
	}
	s.overhead += time.Duration(overheadWeight * float64(overhead-s.overhead))
}

// Done records the result of an attempt.
func (b *Balancer) Done(e *Endpoint, request *attempt.Request, result *Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	s := b.statsFor(e.Target)
	s.inFlight--
	s.cold.record(e, result, now)
	if result.Took > 0 && (!result.Refused || result.Waited == 0 && !result.QueueFull) {
		s.recordOverhead(e, result, b.responseKB[request.Route])
	}
	if result.Load != nil {
		s.load = *result.Load
		s.load.At = now
		s.callsSinceLoad, s.workSinceLoad = 0, 0
	} else if s.callsSinceLoad > 0 {
		// The completed call no longer adds to the load that was last reported.
		s.workSinceLoad -= s.workSinceLoad / time.Duration(s.callsSinceLoad)
		s.callsSinceLoad--
	}
	if result.Answered && !result.Failed {
		b.recordRun(s, request.Route, result.Ran)
	}
	if result.QueueFull {
		b.recordRefusal(e, now)
	}
	if result.Neutral {
		return
	}
	if !result.Failed {
		s.failures -= failureWeight * s.failures
		s.consecutiveFailures, s.pausedUntil = 0, time.Time{}
		return
	}
	b.recordFailure(e, s, result, now)
}

func (b *Balancer) recordFailure(e *Endpoint, s *targetStats, result *Result, now time.Time) {
	s.failures += failureWeight * (1 - s.failures)
	s.consecutiveFailures++
	s.unresponsive = result.Unresponsive
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
func (b *Balancer) Loads() map[string]attempt.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[string]attempt.Load, len(b.stats))
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
	for key, until := range b.fullUntil {
		if time.Now().After(until) {
			delete(b.fullUntil, key)
		}
	}
}

// RateLimit returns the rate limit that was last reported for a target, 0 if none was.
func (b *Balancer) RateLimit(target string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.stats[target]; s != nil {
		return s.load.RateLimit
	}
	return 0
}

// rateTime returns the expected wait for the rate of a target, given the weight of its
// last report.
func (s *targetStats) rateTime(freshness float64) time.Duration {
	if s.load.RateLimit <= 0 {
		return 0
	}
	sent := float64(s.callsSinceLoad) / s.load.RateLimit * float64(time.Second)
	return time.Duration(freshness * (float64(s.load.RateWait) + sent))
}
