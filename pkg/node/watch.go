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
	// watcherRole is the role of operator watcher in the ranking of members.
	watcherRole = "operator"
	// watcherCount is the number of daemons that watch the operator's entries. Three
	// tolerate the simultaneous loss of two.
	watcherCount = 3
	// standbyCount is the number of daemons, ranked behind the watchers, that watch in
	// their place when no watcher reports contact with the store.
	standbyCount = 9
	// configWatchPeriod is the period of the watch calls of one watcher of the
	// configuration. The calls of the watchers end in turn, so that the standbys hear
	// from one of them watcherCount times in each period.
	configWatchPeriod = 2 * time.Second
	// minConfigWatch is the shortest watch call of the configuration.
	minConfigWatch = 100 * time.Millisecond
	// standbyTimeout is the time without a report of a better ranked daemon after which
	// the first standby watches. It is longer than the interval between the reports of
	// all watchers. standbyStagger is added for each further standby.
	standbyTimeout = 1100 * time.Millisecond
	standbyStagger = 30 * time.Millisecond
	// orderWatchTimeout bounds one watch call of the orders.
	orderWatchTimeout = 6 * time.Second
	// registerTimeout bounds the wait for the registration after the start. An
	// unregistered daemon then reads the operator's entries itself.
	// peerConfigTimeout bounds the wait of a registered daemon for a configuration
	// from its peers.
	registerTimeout   = 1500 * time.Millisecond
	peerConfigTimeout = 2500 * time.Millisecond
	// ordersTimeout bounds the wait for the orders before the first configuration is put
	// in force. A store may answer reads of the one and not of the other.
	ordersTimeout = 5 * time.Second
	// roleCheckInterval is the interval between checks of the ranking.
	roleCheckInterval = 100 * time.Millisecond
	// storeFailureThreshold is the number of consecutive failed store calls after
	// which a daemon gives up its roles that need the store.
	storeFailureThreshold = 2
)

// watcher reads and watches one kind of the operator's entries.
type watcher struct {
	node    *Node
	entries string
	read    func(ctx context.Context) (int64, error)
	watch   func(ctx context.Context, from int64) (int64, error)
	timeout func() time.Duration // of the next watch call
	contact func()               // called after each successful call, if set

	revision int64 // last revision seen, 0 if all entries must be read again
	failed   bool  // the last call failed
}

// reliesOnPeers reports whether this daemon waits for its peers to send it the
// operator's entries. Until its registration it does so for registerTimeout.
func (n *Node) reliesOnPeers() bool {
	if !n.registered.Load() {
		return n.clock.Now().Sub(n.startedAt) < registerTimeout
	}
	return n.store.ok() && (n.config.Load() != nil || n.clock.Now().Sub(n.startedAt) < peerConfigTimeout)
}

// isWatcher reports whether this daemon watches the operator's entries, as a watcher or
// as a standby.
func (n *Node) isWatcher() bool {
	if !n.registered.Load() || !n.watcherEligible.Load() {
		return false
	}
	ranked := n.watchers()
	position := slices.Index(ranked, n.settings.Name)
	return position >= 0 && watchesAt(position, n.contacts.age(n.clock.Now(), ranked[:position]))
}

// watchers returns the watchers and behind them the standbys, best first.
func (n *Node) watchers() []string {
	ranked := n.table.Rank(watcherRole, func(m *fleet.Member) bool { return !m.State.StoreFails })
	return ranked[:min(len(ranked), watcherCount+standbyCount)]
}

// reportContact tells the other watchers and the standbys that the store has answered.
func (n *Node) reportContact() { n.fleet.ReportStoreContact(n.watchers()) }

// configWatchTimeout returns the time to wait in the next watch call.
func (n *Node) configWatchTimeout() time.Duration {
	return watchUntilTurn(time.Now(), slices.Index(n.watchers(), n.settings.Name))
}

// run reads and then watches the entries while the daemon has the role of operator
// watcher or cannot rely on its peers, until ctx ends.
func (w *watcher) run(ctx context.Context) {
	wait := newBackoff()
	watching := false
	for ctx.Err() == nil {
		if isWatcher := w.node.isWatcher(); isWatcher != watching {
			watching = isWatcher
			w.logRole(watching)
			if !watching {
				w.revision = 0 // read all entries when this daemon gets the role again
			}
		}
		if !watching && w.node.reliesOnPeers() {
			w.pause(ctx, roleCheckInterval)
			continue
		}
		err := w.step(ctx)
		w.failed = err != nil
		var notFound *store.NotFoundError
		if err == nil || errors.As(err, &notFound) {
			w.node.store.succeeded()
			if w.contact != nil {
				w.contact()
			}
			wait.Reset()
			if err == nil {
				continue
			}
		} else if ctx.Err() == nil {
			w.node.store.failed(err)
			eventReadFailed.Log(w.node.logger, zap.String("entries", w.entries), zap.Int64("revision", w.revision),
				zap.Duration("contact_age", w.node.store.contactAge()), zap.Error(err))
		}
		w.pause(ctx, wait.NextBackOff())
	}
}

func (w *watcher) logRole(watching bool) {
	if watching {
		eventWatchStarted.Log(w.node.logger, zap.String("entries", w.entries))
	} else {
		eventWatchStopped.Log(w.node.logger, zap.String("entries", w.entries))
	}
}

func (w *watcher) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// step makes one call: a watch from the last revision, or a read if there is none.
func (w *watcher) step(ctx context.Context) error {
	timeout := w.timeout()
	if w.failed {
		// The response names the era of the store, which may have returned from a copy.
		timeout = min(timeout, minConfigWatch)
	}
	call := func(ctx context.Context) (int64, error) { return w.watch(ctx, w.revision) }
	if w.revision == 0 {
		timeout = storeCallTimeout
		call = w.read
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	revision, err := call(ctx)
	switch {
	case store.IsExpiredWatch(err):
		eventWatchExpired.Log(w.node.logger, zap.String("entries", w.entries), zap.Int64("revision", w.revision))
		w.revision = 0
		return nil
	case err != nil:
		return err
	}
	w.revision = revision
	return nil
}

// configWatcher returns the watcher of the configuration. Its first configuration may wait
// for the orders, beyond the context of the call that read it, until running ends.
func (n *Node) configWatcher(running context.Context) *watcher {
	return &watcher{
		node: n, entries: "configuration", timeout: n.configWatchTimeout, contact: n.reportContact,
		read: func(ctx context.Context) (int64, error) {
			config, revision, err := n.platform.Operator.Config(ctx)
			return revision, n.handleConfig(running, config, err)
		},
		watch: func(ctx context.Context, from int64) (int64, error) {
			config, revision, err := n.platform.Operator.WatchConfig(ctx, from)
			return revision, n.handleConfig(running, config, err)
		},
	}
}

// handleConfig applies a configuration read from the operator. A configuration that
// cannot be decoded is rejected as a whole. Store errors are returned.
func (n *Node) handleConfig(ctx context.Context, config *routing.Config, err error) error {
	if err != nil {
		if store.IsUnavailable(err) || store.IsNotFound(err) || store.IsExpiredWatch(err) {
			return err
		}
		eventConfigRejected.Log(n.logger, zap.Error(err))
		return nil
	}
	if config != nil {
		n.awaitOrders(ctx)
		n.applyConfig(config, true)
	}
	return nil
}

// awaitOrders waits until a daemon without a configuration knows the orders. Without them a
// version that was rolled back before the start of the daemon may look like the one in use.
func (n *Node) awaitOrders(ctx context.Context) {
	if n.config.Load() != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-n.ordersKnown:
	case <-time.After(ordersTimeout):
		eventOrdersUnknown.Log(n.logger, zap.Duration("waited", ordersTimeout))
	}
}

// applyConfig puts a configuration in force if it is newer than the current one. With
// push, the new version is pushed to all peers; otherwise the next exchanges
// advertise it.
func (n *Node) applyConfig(config *routing.Config, push bool) {
	before := n.config.Load()
	if before == nil { // requests follow the orders and evacuations from the first one on
		facts := n.table.Facts()
		n.moves.Refresh(facts)
		n.applyEvacuations(facts)
	}
	if !n.config.Advance(config) {
		return
	}
	n.setOrdersKnown()
	n.logWorkspaces(before, config)
	n.history.Add(config)
	eventConfigInForce.Log(n.logger, zap.Uint64("version", config.Version), zap.Int("routes", len(config.Routes)), zap.Bool("from_store", push))
	if push {
		n.fleet.PushConfigVersion()
	}
}

func (n *Node) orderWatcher() *watcher {
	return &watcher{
		node: n, entries: "orders", timeout: func() time.Duration { return orderWatchTimeout },
		read: func(ctx context.Context) (int64, error) {
			orders, revision, err := n.platform.Operator.Orders(ctx)
			n.handleOrders(orders)
			if err == nil || store.IsNotFound(err) {
				n.setOrdersKnown()
			}
			return revision, err
		},
		watch: func(ctx context.Context, from int64) (int64, error) {
			orders, revision, err := n.platform.Operator.WatchOrders(ctx, from)
			n.handleOrders(orders)
			return revision, err
		},
	}
}

func (n *Node) handleOrders(orders []rollout.Order) {
	for i := range orders {
		o, current := orders[i].Succeed(n.knownOrder(orders[i].Service))
		if !current {
			eventOrderOutdated.Log(n.logger, zap.String("service", orders[i].Service), zap.String("target", orders[i].Target),
				zap.Int64("revision", orders[i].Revision))
			continue
		}
		if n.fleet.SetFact(rollout.OrderKey(o.Service), rollout.Rank(o.Revision), rollout.Encode(o)) {
			eventOrderSeen.Log(n.logger, zap.String("service", o.Service), zap.String("target", o.Target),
				zap.Duration("duration", o.Duration), zap.Int64("revision", o.Revision), zap.String("state", string(o.State)))
		}
	}
}

// knownOrder returns the order of a service among the facts, nil if there is none.
func (n *Node) knownOrder(service string) *rollout.Order {
	key := rollout.OrderKey(service)
	fact, ok := n.table.Fact(key)
	if !ok {
		return nil
	}
	order, err := rollout.Decode[rollout.Order](key, fact.Payload)
	if err != nil {
		return nil // the new order replaces it
	}
	return order
}

// storeHealth tracks whether the store calls of the watchers succeed.
type storeHealth struct {
	node *Node

	mu          sync.Mutex
	failures    int
	lostAt      clock.Instant
	succeededAt clock.Instant // the last successful call, or the start of the daemon
}

// contactAge returns the time since the last successful call.
func (h *storeHealth) contactAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.clock.Now().Sub(h.succeededAt)
}

func (h *storeHealth) ok() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures < storeFailureThreshold
}

// observe counts the result of a call that is not repeated by a watcher. Any response of
// the store counts as a success.
func (h *storeHealth) observe(err error) {
	if store.IsUnavailable(err) || store.IsOutcomeUnknown(err) {
		h.failed(err)
	} else {
		h.succeeded()
	}
}

func (h *storeHealth) succeeded() {
	h.mu.Lock()
	failures := h.failures
	h.failures = 0
	h.succeededAt = h.node.clock.Now()
	lostAt := h.lostAt
	h.mu.Unlock()
	if failures >= storeFailureThreshold {
		eventStoreBack.Log(h.node.logger, zap.Duration("away", h.node.clock.Now().Sub(lostAt)))
		h.node.fleet.Update(func(s *fleet.State) { s.StoreFails = false })
	}
}

func (h *storeHealth) failed(err error) {
	h.mu.Lock()
	h.failures++
	lost := h.failures == storeFailureThreshold
	if lost {
		h.lostAt = h.node.clock.Now()
	}
	h.mu.Unlock()
	if lost {
		eventStoreLost.Log(h.node.logger, zap.Duration("contact_age", h.contactAge()), zap.Error(err))
		h.node.fleet.Update(func(s *fleet.State) { s.StoreFails = true })
	}
}
