package proxy

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/proxy/admission"
	"nutmegstand.example/nutmegstand/pkg/proxy/cost"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	// minTimeLeft is the shortest remaining time with which a call is sent to
	// the target.
	minTimeLeft = 10 * time.Millisecond
	// leaveShare is the fraction of the drain period during which a leaving
	// target still accepts calls from daemons that have not yet received the
	// update.
	leaveShare = 0.5
	// maxIdleNonRepeatable is the idle time up to which a connection may carry
	// a request that must not run twice. The peer may close an older connection
	// while the request is in transit, and then it is unknown whether the
	// request ran.
	maxIdleNonRepeatable = time.Second
	// downRetryInterval is the time for which calls are refused after a
	// connection to the target has failed.
	downRetryInterval = 250 * time.Millisecond
	// defaultRetryAfter is the Retry-After time of a refusal without a better
	// estimate, and the lower bound of the estimates.
	defaultRetryAfter = 100 * time.Millisecond
)

// LocalTarget is the target on the daemon's machine.
type LocalTarget struct {
	ID      string
	Service string
	Version string
	Address string
	Slots   int
	// HeardAt is when the last heartbeat of the target was received, and WarmupLeft the
	// remaining cold phase that it reported.
	HeardAt    clock.Instant
	WarmupLeft time.Duration
}

// VersionPolicy decides which versions of a service may be used.
type VersionPolicy interface {
	// Allowed reports whether requests may run on a version of a service.
	Allowed(service, version string) bool
}

// GateOptions configure a Gate.
type GateOptions struct {
	Names                HeaderNames
	Config               *routing.Current
	Versions             VersionPolicy
	Suspects             *Suspects
	Uplink               *Uplink
	Evacuation           Evacuation // of the failure domain, nil if the deployment has none
	Buffers              *Buffers   // of responses, nil for no bound
	Clock                clock.Clock
	DrainPeriod          time.Duration // from the acknowledgement that the target leaves until its last request
	Logger               *zap.Logger
	OnReachabilityChange func() // called when the target becomes unreachable or reachable
	// OnLeaving is called with the ID of a target whose response says that it is
	// leaving.
	OnLeaving func(id string)
}

// Gate is the target side of a daemon. It checks each call, queues it for a
// slot and sends it to the local target.
type Gate struct {
	GateOptions

	mu        sync.Mutex
	target    *LocalTarget
	slots     *admission.Queue
	costs     *cost.Estimator // of all targets that this gate has had
	conns     *pool
	leaveEnd  clock.Instant // no request is sent after it, 0 if the target is not leaving
	downUntil clock.Instant
	down      bool
	stopping  bool           // the daemon stops soon; no call is sent anymore
	inFlight  map[*Call]bool // whether the call was a suspect when it was sent
	refusals  map[string]int // by reason

	warmth     warmth
	coldRate   float64       // requests per second that the target gets now, 0 if it is warm
	coldTurn   clock.Instant // when the next refused request may return, while the target is cold
	coldPhases int           // number of times that the target has become cold
}

// NewGate returns a gate without a target.
func NewGate(options GateOptions) *Gate {
	if options.Evacuation == nil {
		options.Evacuation = noEvacuation{}
	}
	return &Gate{GateOptions: options, costs: cost.NewEstimator(), inFlight: make(map[*Call]bool), refusals: make(map[string]int)}
}

// SetTarget sets the target after an announcement. A target with a different ID
// or address replaces the previous one, whose waiting calls are refused.
func (g *Gate) SetTarget(t LocalTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target != nil && g.target.ID == t.ID && g.target.Address == t.Address {
		g.slots.Resize(t.Slots)
		g.target, g.down = &t, false
	} else {
		g.closeLocked(ReasonNoTarget)
		g.target, g.slots, g.conns = &t, admission.NewQueueWithCosts(t.Slots, g.costs), newPool(t.Address)
		g.conns.lost = func() { g.loseConnection(&t) }
		g.leaveEnd, g.down, g.downUntil = 0, false, 0
		g.warmth, g.coldRate, g.coldTurn = warmth{}, 0, 0
	}
	g.warmth.hear(t.HeardAt, t.WarmupLeft)
	g.refreshCold(g.Clock.Now())
}

// SetDrainPeriod changes the drain period of targets that start leaving later.
func (g *Gate) SetDrainPeriod(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.DrainPeriod = d
}

// Leave starts to drain the target. Calls that are already in transit are
// accepted for leaveShare of the drain period.
func (g *Gate) Leave(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.ID != id || g.leaveEnd != 0 {
		return
	}
	wait := time.Duration(float64(g.DrainPeriod) * leaveShare)
	g.leaveEnd = g.Clock.Now().Add(wait)
	slots := g.slots
	time.AfterFunc(wait, func() { slots.Close(ReasonLeaving) })
}

// Stop refuses later calls, which might not end before the daemon does. Calls that have
// been sent to the target go on.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

// Close refuses all waiting and later calls.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeLocked(ReasonLeaving)
}

func (g *Gate) closeLocked(reason string) {
	if g.target == nil {
		return
	}
	g.slots.Close(reason)
	g.conns.close()
	g.target = nil
}

// Load returns the load of the target, nil if there is no target.
func (g *Gate) Load() *Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil {
		return nil
	}
	return g.load(g.slots)
}

func (g *Gate) load(slots *admission.Queue) *Load {
	load := slots.Load()
	load.Uplink = g.Uplink.PendingKB()
	return load
}

// Down reports whether the target does not accept connections.
func (g *Gate) Down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down
}

// Sweep closes expired idle connections. It must be called periodically.
func (g *Gate) Sweep() {
	g.mu.Lock()
	conns := g.conns
	g.mu.Unlock()
	if conns != nil {
		conns.sweep()
	}
}

// admit checks whether a call may be sent now. It returns the target with its
// slots and connections, or the reason of a refusal.
func (g *Gate) admit(call *Call) (*LocalTarget, *admission.Queue, *pool, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.refreshCold(now)
	switch {
	case g.target == nil || g.target.ID != call.Target || g.target.Service != call.Service:
		return nil, nil, nil, ReasonNoTarget
	case g.stopping, g.leaveEnd != 0 && now >= g.leaveEnd:
		return nil, nil, nil, ReasonLeaving
	case g.evacuated():
		return nil, nil, nil, ReasonEvacuated
	case now < g.downUntil:
		return nil, nil, nil, ReasonTargetDown
	}
	return g.target, g.slots, g.conns, g.checkPolicy(call)
}

// checkPolicy checks a call against the current configuration, the allowed
// versions, the suspect requests and its deadline. It returns the reason of a
// refusal, empty if there is none.
func (g *Gate) checkPolicy(call *Call) string {
	table := g.Config.Load()
	if table.Version() > call.ConfigVersion {
		path, _, _ := strings.Cut(call.URI, "?")
		route := table.Match(call.Host, path)
		if route == nil || !route.Allows(call.Service) || !g.confirmAccess(table, route, call) {
			return ReasonStaleConfig
		}
	}
	if !g.Versions.Allowed(g.target.Service, g.target.Version) {
		return ReasonVersion
	}
	if g.Suspects.Check(call) == Refuse {
		return ReasonSuspect
	}
	if time.Until(call.Deadline) < minTimeLeft {
		return ReasonExpired
	}
	return ""
}

// Do implements TargetSide.
func (g *Gate) Do(ctx context.Context, call *Call) *AttemptResult {
	arrived := time.Now()
	g.Suspects.AwaitBody(ctx, call)
	target, slots, conns, reason := g.admit(call)
	request := call.request()
	if reason == "" {
		slots.AdoptRate(call.TargetLimit)
		reason = slots.Acquire(ctx, request)
	}
	if reason == "" {
		defer g.isolate(ctx, call, slots)()
		// The conditions may have changed during the wait.
		if _, _, _, reason = g.admit(call); reason != "" {
			slots.Finish(request, 0)
		}
	}
	waited := time.Since(arrived)
	if reason != "" {
		g.countRefusal(reason)
		result := refusal(reason, defaultRetryAfter)
		if slots != nil {
			result.Load = g.load(slots)
			result.RetryAfter = max(result.Load.Wait, defaultRetryAfter)
			if reason == ReasonQueueFull {
				result.RetryAfter = g.coldRetryAfter(call, result.RetryAfter)
			}
		}
		g.logAttempt(call, result, waited)
		return result
	}
	result := g.run(ctx, call, request, target, slots, conns)
	result.Waited = waited
	g.logAttempt(call, result, waited)
	return result
}

// isolate makes a suspect that has got a slot run alone if possible, until the returned
// function is called.
func (g *Gate) isolate(ctx context.Context, call *Call, slots *admission.Queue) (end func()) {
	g.Suspects.AwaitBody(ctx, call)
	needed := func() bool { return g.Suspects.Check(call) == RunAlone }
	if !needed() {
		return func() {}
	}
	eventSuspectAlone.Log(g.Logger, zap.String("request", call.ID))
	return slots.Isolate(ctx, needed)
}

func (g *Gate) countRefusal(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusals[reason]++
}

// Refusals returns the number of refused calls by reason.
func (g *Gate) Refusals() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.refusals)
}

func (g *Gate) logAttempt(call *Call, result *AttemptResult, waited time.Duration) {
	fields := []zap.Field{
		zap.String("request", call.ID), zap.String("route", call.Route), zap.String("target", call.Target),
		zap.String("outcome", string(result.Outcome)), zap.Int("attempt", call.Attempt), zap.Duration("waited", waited),
		zap.Uint64("caller_config", call.ConfigVersion), zap.Uint64("config", g.Config.Load().Version()),
		zap.Duration("left", time.Until(call.Deadline)),
	}
	if result.Load != nil {
		fields = append(fields, zap.Int("busy", result.Load.Busy), zap.Int("queued", result.Load.Queued))
	}
	if result.Status != 0 {
		fields = append(fields, zap.Int("status", result.Status), zap.Duration("ran", result.Ran))
	}
	if result.Reason != "" {
		fields = append(fields, zap.String("reason", result.Reason))
	}
	eventAttempt.Log(g.Logger, fields...)
}

// callSeparator separates the two parts of the ID of an inner call: the ID of
// the request that makes the call, and a suffix for the call.
const callSeparator = "."

// FindParent reports whether a request is an inner call, made by a request in
// flight at the target, and whether that request is a retry. All other requests
// count as requests of clients.
func (g *Gate) FindParent(id string) (inner, retry bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if parent := g.parentLocked(id); parent != nil {
		return true, parent.Retry
	}
	return false, false
}

// parentLocked returns the request in flight that makes an inner call, or nil.
func (g *Gate) parentLocked(id string) *Call {
	at := strings.LastIndex(id, callSeparator)
	if at < 0 {
		return nil
	}
	for call := range g.inFlight {
		if call.ID == id[:at] {
			return call
		}
	}
	return nil
}

// RecordInnerFailure records that an inner call of a request in flight was not answered.
func (g *Gate) RecordInnerFailure(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if parent := g.parentLocked(id); parent != nil {
		parent.innerFailed = true
	}
}

// innerFailed reports whether an inner call of a request was not answered.
func (g *Gate) innerFailed(call *Call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.innerFailed
}

// InFlightOnOtherVersion returns the number of requests in flight at the
// target if the target serves the service in a version other than newVersion,
// and 0 otherwise.
func (g *Gate) InFlightOnOtherVersion(service, newVersion string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.Service != service || g.target.Version == newVersion {
		return 0
	}
	return len(g.inFlight)
}
