package proxy

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
)

// heartbeatTransit is the time that a heartbeat may be in transit. One that is received
// sooner after a lost connection may have been sent by the process that is gone.
const heartbeatTransit = 300 * time.Millisecond

// maxColdRetryAfter bounds the time after which a refused request may return. Callers that
// waited longer would miss that targets have become warm or that others have started.
const maxColdRetryAfter = 5 * time.Second

// warmth decides whether a target counts as cold: if its last heartbeat says so, and
// while its state is unknown, which is the case from a lost connection or the end of an
// evacuation until a later heartbeat.
type warmth struct {
	heardAt clock.Instant // when the last heartbeat was received
	warmAt  clock.Instant // end of the cold phase according to it
	lost    bool
	lostAt  clock.Instant // when the last connection was lost, if lost
}

// hear records a heartbeat that was received at the given time.
func (w *warmth) hear(at clock.Instant, left time.Duration) {
	w.heardAt, w.warmAt = at, at.Add(max(0, left))
	if w.lost && at.Sub(w.lostAt) > heartbeatTransit {
		w.lost = false
	}
}

// lose records a lost connection.
func (w *warmth) lose(now clock.Instant) { w.lost, w.lostAt = true, now }

// announced reports whether the last heartbeat says that the target is cold.
func (w *warmth) announced(now clock.Instant) bool { return now < w.warmAt }

// unknown reports whether the target may have become cold since the last heartbeat.
// evacuationEnd is the end of the last evacuation of the domain, 0 if there was none.
func (w *warmth) unknown(evacuationEnd clock.Instant) bool {
	return w.lost || evacuationEnd != 0 && w.heardAt <= evacuationEnd
}

// Evacuation tells the gate about the evacuations of its failure domain.
type Evacuation interface {
	// Status reports whether an evacuation is in force, and when the last one ended, 0
	// if none did. The end is in the clock of the gate.
	Status() (inForce bool, endedAt clock.Instant)
}

// noEvacuation is the Evacuation of a deployment without evacuations.
type noEvacuation struct{}

func (noEvacuation) Status() (bool, clock.Instant) { return false, 0 }

// evacuated reports whether the failure domain is being evacuated.
func (g *Gate) evacuated() bool {
	inForce, _ := g.Evacuation.Status()
	return inForce
}

// refreshCold applies the rate of a cold target, or lifts it. The caller holds mu.
func (g *Gate) refreshCold(now clock.Instant) {
	if g.target == nil {
		return
	}
	limit := 0.0
	if service := g.Config.Load().Service(g.target.Service); service != nil && service.ColdRate > 0 {
		_, evacuationEnd := g.Evacuation.Status()
		if g.warmth.announced(now) || service.ColdTime > 0 && g.warmth.unknown(evacuationEnd) {
			limit = service.ColdRate
		}
	}
	if limit == g.coldRate {
		return
	}
	eventColdRate.Log(g.Logger, zap.String("target", g.target.ID), zap.Float64("limit", limit), zap.Float64("before", g.coldRate),
		zap.Bool("lost", g.warmth.lost), zap.Duration("left", max(0, g.warmth.warmAt.Sub(now))))
	if g.coldRate == 0 {
		g.coldPhases++
	}
	g.coldRate = limit
	g.slots.SetColdRate(limit)
}

// coldRetryAfter returns the time after which a request that a cold target refuses may
// return, which is wait or more. Refused requests get turns at the rate of the target:
// with the same time for all of them, most would be refused again. The end of the cold
// phase is early enough for any of them.
func (g *Gate) coldRetryAfter(call *Call, wait time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.coldRate == 0 {
		return wait
	}
	now := g.Clock.Now()
	turn := max(g.coldTurn, now.Add(wait))
	if g.warmth.announced(now) {
		turn = min(turn, max(g.warmth.warmAt, now.Add(defaultRetryAfter)))
	}
	turn = min(turn, now.Add(maxColdRetryAfter))
	if call.Attempt <= 1 { // a request that several targets refuse takes one turn
		g.coldTurn = turn.Add(time.Duration(float64(time.Second) / g.coldRate))
	}
	return turn.Sub(now)
}

// coldPhase returns the number of times that the target has become cold.
func (g *Gate) coldPhase() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coldPhases
}

// loseConnection records that a connection to the target was lost, after which the
// target may be another process, which is cold.
func (g *Gate) loseConnection(target *LocalTarget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.target == nil || g.target.ID != target.ID {
		return
	}
	now := g.Clock.Now()
	g.warmth.lose(now)
	g.refreshCold(now)
}

// connectionLost reports whether an error of a connection was not caused on this side.
func connectionLost(err error) bool {
	var connErr *ConnError
	if errors.As(err, &connErr) && (connErr.Phase == "cancelled" || connErr.Phase == "answer") {
		return false
	}
	return !errors.Is(err, net.ErrClosed)
}
