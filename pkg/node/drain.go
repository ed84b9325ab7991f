package node

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/fleet"
)

const (
	// minDrain is the time in which callers learn that the daemon is not ready:
	// two missed questions, a second apart, and the way of a request after that.
	minDrain = 2400 * time.Millisecond
	// lastCalls is left to the calls of other daemons that are under way when the
	// daemon stops to take new ones. Until then the target is of use.
	lastCalls = 700 * time.Millisecond
	// stopMargin is left between the last request and the kill.
	stopMargin = 250 * time.Millisecond
	// drainPoll is the time between looks at the requests under way.
	drainPoll = 50 * time.Millisecond
	// closeTimeout bounds the end of the servers after the drain.
	closeTimeout = 300 * time.Millisecond
)

// drain is the graceful stop. Peers learn first that the daemon leaves, so that
// they send no further call; what is under way ends. It returns the number of
// requests that were cut.
func (n *Node) drain() int {
	started := time.Now()
	eventDraining.Log(n.logger, zap.Int64("callers", n.callers.active.Load()), zap.Int64("daemons", n.daemons.active.Load()))
	n.leaving.Store(true)
	refusing := time.AfterFunc(minDrain, func() { n.refusing.Store(true) })
	defer refusing.Stop()
	n.fleet.Update(func(s *fleet.State) { s.Stopping = true })
	closing := time.AfterFunc(minDrain-lastCalls, func() { n.fleet.Update(func(s *fleet.State) { s.Leaving = true }) })
	defer closing.Stop()
	go n.unregister()
	end := started.Add(time.Duration(n.grace.Load()) - stopMargin - closeTimeout)
	for time.Now().Before(end) {
		idle := n.callers.active.Load() == 0 && n.daemons.active.Load() == 0
		if idle && time.Since(started) >= minDrain {
			break
		}
		time.Sleep(drainPoll)
	}
	cut := n.callers.close(closeTimeout)
	n.gate.Close()
	return cut + n.daemons.close(closeTimeout)
}

// Reload takes changed settings. Addresses stay as they were at the start.
func (n *Node) Reload(file string) {
	s, err := LoadSettings(file)
	if err != nil {
		eventReloadFailed.Log(n.logger, zap.Error(err))
		return
	}
	n.budget.Set(s.Retries.Ratio, s.Retries.Slack, s.Retries.Window.Duration())
	n.gate.SetDrainPeriod(s.DrainPeriod.Duration())
	n.grace.Store(int64(s.StopGrace.Duration()))
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(s.MemoryLimitBytes)
	}
	eventReload.Log(n.logger, zap.Any("retries", s.Retries), zap.Duration("drain_period", s.DrainPeriod.Duration()),
		zap.Duration("stop_grace", s.StopGrace.Duration()), zap.Int64("memory_limit", s.MemoryLimitBytes))
}
