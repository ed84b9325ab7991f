package node

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/fleet"
)

const (
	// minDrain is the time within which callers detect that the daemon is not ready:
	// two failed readiness checks a second apart, plus the transit time of a last
	// request.
	minDrain = 2400 * time.Millisecond
	// inboundDrain is the part of minDrain that remains for the calls of peers in
	// progress after the daemon has announced that it accepts no new ones. Until that
	// announcement, peers continue to use the target.
	inboundDrain = 400 * time.Millisecond
	// killMargin is the time kept free between the last request and the kill.
	killMargin = 250 * time.Millisecond
	// drainPollInterval is the interval between checks for requests in progress.
	drainPollInterval = 50 * time.Millisecond
	// partsTimeout bounds the wait for the other parts of the daemon at its end.
	partsTimeout = 100 * time.Millisecond
	// closeTimeout bounds the shutdown of each server after the drain.
	closeTimeout = 300 * time.Millisecond
)

// drain stops the daemon gracefully and waits for the requests in progress. It first
// announces that the daemon is stopping, so that the daemon gets no roles, and
// inboundDrain before the end of minDrain that it is leaving, so that peers send no
// more calls. After minDrain it refuses requests and calls, since they might not end
// before the kill. It returns the number of requests that were cut off.
func (n *Node) drain() int {
	started := time.Now()
	eventDraining.Log(n.logger, zap.Int64("callers", n.callers.Active()), zap.Int64("daemons", n.daemons.active.Load()))
	n.leaving.Store(true)
	refuseTimer := time.AfterFunc(minDrain, func() {
		n.refusing.Store(true)
		n.gate.Stop()
	})
	defer refuseTimer.Stop()
	n.fleet.Update(func(s *fleet.State) { s.Stopping = true })
	leaveTimer := time.AfterFunc(minDrain-inboundDrain, func() { n.fleet.Update(func(s *fleet.State) { s.Leaving = true }) })
	defer leaveTimer.Stop()
	deadline := started.Add(time.Duration(n.stopGrace.Load()) - killMargin - closeTimeout)
	for time.Now().Before(deadline) {
		idle := n.callers.Active() == 0 && n.daemons.active.Load() == 0
		if idle && time.Since(started) >= minDrain {
			break
		}
		time.Sleep(drainPollInterval)
	}
	// Both servers close at the same time, since the deadline leaves room for one
	// closeTimeout.
	cut := make(chan int)
	go func() { cut <- n.callers.Close(closeTimeout) }()
	n.gate.Close()
	return n.daemons.close(closeTimeout) + <-cut
}

// awaitParts waits until the parts of the daemon have ended, at most for partsTimeout.
func (n *Node) awaitParts() {
	ended := make(chan struct{})
	go func() { n.running.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(partsTimeout):
	}
}

// closeListeners frees the addresses of parts that have not ended in time.
func (n *Node) closeListeners() {
	for _, listener := range n.listeners {
		_ = listener.Close() // most are closed already
	}
	_ = n.datagrams.Close()
}

// Reload applies the settings that can change at run time: retries, drain period,
// stop grace and memory limit. All others keep their values from the start.
func (n *Node) Reload(file string) {
	s, err := LoadSettings(file, n.platform.ApplyBounds)
	if err != nil {
		eventReloadFailed.Log(n.logger, zap.Error(err))
		return
	}
	n.budget.Set(s.Retries.Ratio, s.Retries.Slack, s.Retries.Window.Duration())
	n.gate.SetDrainPeriod(s.DrainPeriod.Duration())
	n.stopGrace.Store(int64(s.StopGrace.Duration()))
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(s.RuntimeMemoryLimit())
	}
	eventReload.Log(n.logger, zap.Any("retries", s.Retries), zap.Duration("drain_period", s.DrainPeriod.Duration()),
		zap.Duration("stop_grace", s.StopGrace.Duration()), zap.Int64("memory_limit", s.MemoryLimitBytes))
}
