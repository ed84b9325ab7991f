package proxy

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// nearTime and farTime are the network time of a call to another daemon of
	// the own and of another failure domain.
	nearTime = 500 * time.Microsecond
	farTime  = 2 * time.Millisecond
	// farTimePerKB is the expected time that must be saved for each KB of an
	// answer that crosses failure domains; such bytes are paid for.
	farTimePerKB = time.Millisecond
	// loadMemory is the age from which a reported load says nothing any more:
	// several times the duration of a request.
	loadMemory = 2 * time.Second
	// crowding is the slowdown assumed of a target with all slots in use.
	crowding = 0.25
	// coldFactor is the slowdown assumed of a target that has just started.
	coldFactor = 2
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
	sinceLoad   int // calls begun after the load was reported
	failures    float64
	failedInRow int
	pausedTill  time.Time
	usedAt      time.Time
}

// Balancer chooses targets by the expected time to an answer.
type Balancer struct {
	logger *zap.Logger

	mu       sync.Mutex
	records  map[string]*record
	services map[string]time.Duration // average time in the target, for new targets
	sizes    map[string]float64       // average KB of an answer, by route
}

// NewBalancer returns a balancer that knows nothing.
func NewBalancer(logger *zap.Logger) *Balancer {
	return &Balancer{
		logger: logger, records: make(map[string]*record), services: make(map[string]time.Duration), sizes: make(map[string]float64),
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
	service := time.Duration(r.load.ServiceMS * float64(time.Millisecond))
	if service <= 0 {
		if service = b.services[e.Service]; service <= 0 {
			service = defaultService
		}
	}
	slots := float64(max(r.load.Slots, e.Slots, 1))
	fresh := 1 - min(1, float64(now.Sub(r.load.At))/float64(loadMemory))
	occupied := fresh*float64(r.load.Busy+r.load.Queued) + float64(r.sinceLoad)
	occupied = max(occupied, float64(r.inFlight))
	t := float64(service) * (1 + crowding*math.Pow(min(1, occupied/slots), 2))
	if now.Before(e.WarmAt) {
		t *= coldFactor
	}
	if occupied >= slots {
		t += float64(service) * (occupied - slots + 1) / slots
	}
	switch {
	case e.Local:
	case e.Near:
		t += float64(nearTime)
	default:
		t += float64(farTime) + b.sizes[call.Route]*float64(farTimePerKB)
	}
	failures := min(r.failures, maxFailureRate)
	return t/(1-failures) + failures*float64(call.Objective)
}

// Done takes the result of an attempt.
func (b *Balancer) Done(e *Endpoint, a *Answer, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := b.record(e.Target)
	r.inFlight--
	if a.Load != nil {
		r.load = *a.Load
		r.load.At = now
		r.sinceLoad = 0
		b.learn(e.Service, a.Load)
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
	if over := r.failedInRow - failuresToPause; over >= 0 {
		pause := min(pauseBase<<min(over, 8), pauseMax)
		r.pausedTill = now.Add(pause)
		eventTargetPaused.Log(b.logger, zap.String("target", e.Target), zap.String("service", e.Service),
			zap.Int("failures", r.failedInRow), zap.Duration("pause", pause), zap.String("last", a.Reason))
	}
}

func (b *Balancer) learn(service string, load *Load) {
	measured := time.Duration(load.ServiceMS * float64(time.Millisecond))
	if held := b.services[service]; held > 0 {
		measured = held + time.Duration(failureWeight*float64(measured-held))
	}
	b.services[service] = measured
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
