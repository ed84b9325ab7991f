package proxy

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

const (
	// minTimeLeft is the shortest time with which a call is worth sending.
	minTimeLeft = 10 * time.Millisecond
	// leaveShare is the part of the drain period in which a leaving target still
	// gets calls that were chosen before the news spread.
	leaveShare = 0.5
	// freshIdle is the idle time up to which a connection carries a request that
	// must not run twice: an older one may be closed while the request is on its
	// way, and then nobody knows whether it ran.
	freshIdle = time.Second
	// downPause is the time for which a target that refused a connection gets no
	// further attempt.
	downPause = 250 * time.Millisecond
	// refusedRetry is the time to come back that a refusal without a better
	// estimate states.
	refusedRetry = 100 * time.Millisecond
)

// LocalTarget is the target beside the daemon.
type LocalTarget struct {
	ID      string
	Service string
	Version string
	Address string
	Slots   int
}

// VersionPolicy tells which versions of a service may be used.
type VersionPolicy interface {
	// Allowed reports whether a request may run on a version of a service.
	Allowed(service, version string) bool
}

// GateOptions configure a Gate.
type GateOptions struct {
	Names       HeaderNames
	Config      *routing.Current
	Versions    VersionPolicy
	Suspects    *Suspects
	Uplink      *Uplink
	Clock       clock.Clock
	DrainPeriod time.Duration // from the acknowledged leaving to the last request
	Logger      *zap.Logger
	Changed     func() // called when the target accepts no connection, or does again
}

// Gate is the target side of a daemon.
type Gate struct {
	GateOptions

	mu       sync.Mutex
	target   *LocalTarget
	slots    *admission
	conns    *pool
	leaveEnd clock.Instant // no request is sent later, 0 while it does not leave
	downTill clock.Instant
	down     bool
	inFlight map[*Call]struct{}
}

// NewGate returns a gate without a target.
func NewGate(options GateOptions) *Gate {
	return &Gate{GateOptions: options, inFlight: make(map[*Call]struct{})}
}

// SetTarget names the target, which has just been heard. A target with another
// ID replaces the former one.
func (g *Gate) SetTarget(t LocalTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target != nil && g.target.ID == t.ID && g.target.Address == t.Address {
		g.slots.resize(t.Slots)
		g.target, g.down = &t, false
		return
	}
	g.closeLocked(ReasonNoTarget)
	g.target, g.slots, g.conns = &t, newAdmission(t.Slots), newPool(t.Address)
	g.leaveEnd, g.down = 0, false
}

// SetDrainPeriod changes the drain period of later leavings.
func (g *Gate) SetDrainPeriod(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.DrainPeriod = d
}

// Leave stops new work for the target: calls already on their way are still
// taken for part of the drain period.
func (g *Gate) Leave(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.ID != id || g.leaveEnd != 0 {
		return
	}
	wait := time.Duration(float64(g.DrainPeriod) * leaveShare)
	g.leaveEnd = g.Clock.Now().Add(wait)
	slots := g.slots
	time.AfterFunc(wait, func() { slots.close(ReasonLeaving) })
}

// Close refuses every further call.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeLocked(ReasonLeaving)
}

func (g *Gate) closeLocked(reason string) {
	if g.target == nil {
		return
	}
	g.slots.close(reason)
	g.conns.close()
	g.target = nil
}

// Load returns the load of the target, nil without one.
func (g *Gate) Load() *Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil {
		return nil
	}
	return g.load(g.slots)
}

func (g *Gate) load(slots *admission) *Load {
	load := slots.load()
	load.Uplink = g.Uplink.PendingKB()
	return load
}

// Down reports whether the target accepts no connections.
func (g *Gate) Down() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down
}

// Sweep closes idle connections; it is called periodically.
func (g *Gate) Sweep() {
	g.mu.Lock()
	conns := g.conns
	g.mu.Unlock()
	if conns != nil {
		conns.sweep()
	}
}

// admit checks a call and returns what it needs to run.
func (g *Gate) admit(call *Call) (*LocalTarget, *admission, *pool, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	switch {
	case g.target == nil || g.target.ID != call.Target || g.target.Service != call.Service:
		return nil, nil, nil, ReasonNoTarget
	case g.leaveEnd != 0 && now >= g.leaveEnd:
		return nil, nil, nil, ReasonLeaving
	case now < g.downTill:
		return nil, nil, nil, ReasonTargetDown
	}
	return g.target, g.slots, g.conns, g.policy(call)
}

// policy checks a call against the configuration and the versions in force.
func (g *Gate) policy(call *Call) string {
	table := g.Config.Load()
	if table.Version() > call.ConfigVersion {
		path, _, _ := strings.Cut(call.URI, "?")
		if route := table.Match(call.Host, path); route == nil || !route.Allows(call.Service) {
			return ReasonStaleConfig
		}
	}
	if !g.Versions.Allowed(g.target.Service, g.target.Version) {
		return ReasonVersion
	}
	if g.Suspects.Refuses(call) {
		return ReasonSuspect
	}
	if time.Until(call.Deadline) < minTimeLeft {
		return ReasonExpired
	}
	return ""
}

// Do implements TargetSide.
func (g *Gate) Do(ctx context.Context, call *Call) *Answer {
	arrived := time.Now()
	target, slots, conns, reason := g.admit(call)
	if reason == "" {
		reason = slots.acquire(ctx, call)
	}
	if reason == "" {
		// The wait may have changed what may be sent.
		if _, _, _, reason = g.admit(call); reason != "" {
			slots.release(call.Route, 0)
		}
	}
	waited := time.Since(arrived)
	if reason != "" {
		answer := refusal(reason, refusedRetry)
		if slots != nil {
			answer.Load = g.load(slots)
			answer.RetryAfter = max(answer.Load.Wait, refusedRetry)
		}
		g.log(call, answer, waited)
		return answer
	}
	answer := g.run(ctx, call, target, slots, conns)
	answer.Waited = waited
	g.log(call, answer, waited)
	return answer
}

func (g *Gate) log(call *Call, answer *Answer, waited time.Duration) {
	fields := []zap.Field{
		zap.String("request", call.ID), zap.String("route", call.Route), zap.String("target", call.Target),
		zap.String("outcome", string(answer.Outcome)), zap.Int("attempt", call.Attempt), zap.Duration("waited", waited),
		zap.Uint64("caller_config", call.ConfigVersion), zap.Uint64("config", g.Config.Load().Version()),
		zap.Duration("left", time.Until(call.Deadline)),
	}
	if answer.Load != nil {
		fields = append(fields, zap.Int("busy", answer.Load.Busy), zap.Int("queued", answer.Load.Queued))
	}
	if answer.Status != 0 {
		fields = append(fields, zap.Int("status", answer.Status), zap.Duration("ran", answer.Ran))
	}
	if answer.Reason != "" {
		fields = append(fields, zap.String("reason", answer.Reason))
	}
	eventAttempt.Log(g.Logger, fields...)
}

// callSeparator stands in the ID of a call that a target makes, between the ID
// of the request that it runs and a part of the call's own.
const callSeparator = "."

// Parent reports whether a request is a call of a request that runs at the
// target, and whether that run is a repeat. IDs of another form are taken for
// requests of clients.
func (g *Gate) Parent(id string) (inner, repeat bool) {
	at := strings.LastIndex(id, callSeparator)
	if at < 0 {
		return false, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for call := range g.inFlight {
		if call.ID == id[:at] {
			return true, call.Repeat
		}
	}
	return false, false
}

// BusyAt returns the number of requests at the target if it serves a service in
// a version other than the given one.
func (g *Gate) BusyAt(service, newVersion string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.Service != service || g.target.Version == newVersion {
		return 0
	}
	return len(g.inFlight)
}
