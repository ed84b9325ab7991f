package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/rollout"
	"nutmegstand.example/nutmegstand/pkg/routing"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// watcherDuty names the followers of the operator in the ranking of members.
	watcherDuty = "operator"
	// watcherCount is the number of daemons that follow the operator. Three daemons
	// outlast the loss of two of them at the same moment.
	watcherCount = 3
	// watchWait is the wait of one watch call. A path to the store that went
	// silent shows after it; the other watchers carry on meanwhile.
	watchWait = 3 * time.Second
	// registerWait is the time in which a daemon finds its peers before it reads
	// the operator's entries itself; peersWait is the time in which they tell it
	// the configuration.
	registerWait = 1500 * time.Millisecond
	peersWait    = 2500 * time.Millisecond
	// dutyInterval is the time between looks at the ranking.
	dutyInterval = 100 * time.Millisecond
	// failuresToYield is the number of failed calls in a row after which a
	// daemon leaves the duty to others.
	failuresToYield = 2
)

// follower watches one part of the operator's entries.
type follower struct {
	node  *Node
	what  string
	read  func(ctx context.Context) (int64, error)
	watch func(ctx context.Context, from int64) (int64, error)

	revision int64 // 0 if the state must be read anew
}

// peersFollow reports whether other daemons tell this one what the operator
// writes. Before the peers are known nobody does.
func (n *Node) peersFollow() bool {
	if !n.registered.Load() {
		return n.clock.Now().Sub(n.startedAt) < registerWait
	}
	return n.store.ok() && (n.config.Load() != nil || n.clock.Now().Sub(n.startedAt) < peersWait)
}

// isWatcher reports whether this daemon follows the operator for its peers.
func (n *Node) isWatcher() bool {
	if !n.registered.Load() || !n.settled.Load() {
		return false
	}
	return slices.Contains(n.watchers(), n.settings.Name)
}

// watchers returns the daemons that follow the operator, best first.
func (n *Node) watchers() []string {
	ranked := n.table.Rank(watcherDuty, func(m fleet.Member) bool { return !m.State.StoreFails })
	return ranked[:min(len(ranked), watcherCount)]
}

// run reads once at the start, and watches while the daemon holds the duty.
func (f *follower) run(ctx context.Context) {
	wait := newBackoff()
	holds := false
	for ctx.Err() == nil {
		if watcher := f.node.isWatcher(); watcher != holds {
			holds = watcher
			f.logDuty(holds)
			if !holds {
				f.revision = 0 // the next term reads what was missed
			}
		}
		if !holds && f.node.peersFollow() {
			f.pause(ctx, dutyInterval)
			continue
		}
		err := f.step(ctx)
		var unreadable *store.NotFoundError
		if err == nil || errors.As(err, &unreadable) {
			f.node.store.succeeded()
			wait.Reset()
			if err == nil {
				continue
			}
		} else if ctx.Err() == nil {
			f.node.store.failed(err)
			eventReadFailed.Log(f.node.logger, zap.String("entries", f.what), zap.Int64("revision", f.revision), zap.Error(err))
		}
		f.pause(ctx, wait.NextBackOff())
	}
}

func (f *follower) logDuty(holds bool) {
	if holds {
		eventWatchStarted.Log(f.node.logger, zap.String("entries", f.what))
	} else {
		eventWatchStopped.Log(f.node.logger, zap.String("entries", f.what))
	}
}

func (f *follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// step makes one call: a read if the revision is not known, a watch otherwise.
func (f *follower) step(ctx context.Context) error {
	timeout := watchWait
	access := func(ctx context.Context) (int64, error) { return f.watch(ctx, f.revision) }
	if f.revision == 0 {
		timeout = storeCallTimeout
		access = f.read
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	revision, err := access(ctx)
	switch {
	case store.IsExpiredWatch(err):
		eventWatchExpired.Log(f.node.logger, zap.String("entries", f.what), zap.Int64("revision", f.revision))
		f.revision = 0
		return nil
	case err != nil:
		return err
	}
	f.revision = revision
	return nil
}

func (n *Node) configFollower() *follower {
	return &follower{
		node: n, what: "configuration",
		read: func(ctx context.Context) (int64, error) {
			config, revision, err := n.platform.Operator.Config(ctx)
			return revision, n.take(config, err)
		},
		watch: func(ctx context.Context, from int64) (int64, error) {
			config, revision, err := n.platform.Operator.WatchConfig(ctx, from)
			return revision, n.take(config, err)
		},
	}
}

// take puts a configuration of the operator in force. One that cannot be
// decoded is left out whole.
func (n *Node) take(config *routing.Config, err error) error {
	if err != nil {
		if store.IsUnavailable(err) || store.IsNotFound(err) || store.IsExpiredWatch(err) {
			return err
		}
		eventConfigRejected.Log(n.logger, zap.Error(err))
		return nil
	}
	if config != nil {
		n.adopt(config, true)
	}
	return nil
}

// adopt puts a configuration in force if it is newer than the held one. The
// followers push the news; others tell it with the next exchange.
func (n *Node) adopt(config *routing.Config, push bool) {
	if !n.config.Advance(config) {
		return
	}
	n.history.Add(config)
	eventConfigInForce.Log(n.logger, zap.Uint64("version", config.Version), zap.Int("routes", len(config.Routes)), zap.Bool("from_store", push))
	change := func(s *fleet.State) { s.ConfigVersion = max(s.ConfigVersion, config.Version) }
	if push {
		n.fleet.Update(change)
	} else {
		n.table.Update(change)
	}
}

func (n *Node) orderFollower() *follower {
	return &follower{
		node: n, what: "orders",
		read: func(ctx context.Context) (int64, error) {
			orders, revision, err := n.platform.Operator.Orders(ctx)
			n.takeOrders(orders)
			return revision, err
		},
		watch: func(ctx context.Context, from int64) (int64, error) {
			orders, revision, err := n.platform.Operator.WatchOrders(ctx, from)
			n.takeOrders(orders)
			return revision, err
		},
	}
}

func (n *Node) takeOrders(orders []rollout.Order) {
	for i := range orders {
		o := &orders[i]
		if n.fleet.SetFact(rollout.OrderKey(o.Service), rollout.Rank(o.Revision), rollout.Encode(o)) {
			eventOrderSeen.Log(n.logger, zap.String("service", o.Service), zap.String("target", o.Target),
				zap.Duration("duration", o.Duration), zap.Int64("revision", o.Revision), zap.String("state", string(o.State)))
		}
	}
}

// storeHealth tells whether the daemon's calls to the store succeed.
type storeHealth struct {
	node *Node

	mu       sync.Mutex
	failures int
	lostAt   clock.Instant
}

func (h *storeHealth) ok() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures < failuresToYield
}

func (h *storeHealth) succeeded() {
	h.mu.Lock()
	was := h.failures
	h.failures = 0
	lostAt := h.lostAt
	h.mu.Unlock()
	if was >= failuresToYield {
		eventStoreBack.Log(h.node.logger, zap.Duration("away", h.node.clock.Now().Sub(lostAt)))
		h.node.fleet.Update(func(s *fleet.State) { s.StoreFails = false })
	}
}

func (h *storeHealth) failed(err error) {
	h.mu.Lock()
	h.failures++
	lost := h.failures == failuresToYield
	if lost {
		h.lostAt = h.node.clock.Now()
	}
	h.mu.Unlock()
	if lost {
		eventStoreLost.Log(h.node.logger, zap.Error(err))
		h.node.fleet.Update(func(s *fleet.State) { s.StoreFails = true })
	}
}
