package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// daemonPrefix is the kind of the store's objects that name daemons.
	daemonPrefix = "nutmegstand-daemons/"
	// storeCallTimeout bounds one call, so that a silent store is noticed.
	storeCallTimeout = time.Second
	// contactWait is the time in which live peers answer, also from other regions.
	contactWait = 80 * time.Millisecond
	// contactPeers is the number of listed daemons with which a starting one
	// exchanges; all others are told of it by a datagram. Exchanges with all of
	// them fill the links when a whole deployment starts.
	contactPeers = 4
	// settleWait is the time in which a starting daemon hears of the others before
	// it takes the duty of following the operator. Daemons that rank high among
	// the listed ones do not wait.
	settleWait = 600 * time.Millisecond
	// entryMaxAge is the age of a silent daemon whose entry is removed: longer
	// than any partition or pause that it is expected to come back from.
	entryMaxAge = 30 * time.Second
	// firstRetry and lastRetry bound the time between attempts at the store.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 3 * time.Second
)

// daemonEntry is a daemon's entry in the store.
type daemonEntry struct {
	Address     string  `json:"address"` // of the Fleet service
	Incarnation uint64  `json:"incarnation"`
	LinkMbps    float64 `json:"linkMbps,omitempty"`
	Cores       float64 `json:"cores,omitempty"`
}

// newBackoff returns the times between attempts at the store.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, lastRetry
	return b
}

// register writes the daemon's entry and contacts the daemons listed in the
// store. It tries until it succeeds or ctx ends.
func (n *Node) register(ctx context.Context) {
	wait := newBackoff()
	for {
		peers, err := n.tryRegister(ctx)
		if err == nil {
			n.registered.Store(true)
			n.keeper.release()
			eventRegistered.Log(n.logger, zap.Int("peers", peers))
			return
		}
		eventRegisterFailed.Log(n.logger, zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (n *Node) tryRegister(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	key := daemonPrefix + n.settings.Name
	entry, err := json.Marshal(daemonEntry{
		Address: n.initialState().SyncAddress, Incarnation: n.table.Own().Incarnation,
		LinkMbps: n.settings.LinkMbps, Cores: n.settings.Cores,
	})
	if err != nil {
		return 0, err
	}
	if _, err = n.platform.Store.Create(ctx, key, entry); err != nil && !store.IsConflict(err) {
		return 0, err
	}
	// A conflict is an entry of an earlier process of this daemon: the name and
	// the address are the same.
	objects, _, err := n.platform.Store.List(ctx, daemonPrefix)
	if err != nil {
		return 0, err
	}
	return n.contact(ctx, objects), nil
}

// contact tells the listed daemons of this one, and exchanges with some of them.
// It returns the number that answered within contactWait; entries of daemons
// that are gone answer never.
func (n *Node) contact(ctx context.Context, objects []store.Object) int {
	addresses := make(map[string]string, len(objects))
	candidates := []fleet.Candidate{{Name: n.settings.Name, LinkMbps: n.settings.LinkMbps, Cores: n.settings.Cores}}
	for _, o := range objects {
		var entry daemonEntry
		name := o.Key[len(daemonPrefix):]
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			eventEntryRejected.Log(n.logger, zap.String("key", o.Key), zap.Error(err))
			continue
		}
		if name != n.settings.Name {
			addresses[name] = entry.Address
			candidates = append(candidates, fleet.Candidate{Name: name, LinkMbps: entry.LinkMbps, Cores: entry.Cores})
		}
	}
	ranked := fleet.RankCandidates(watcherDuty, candidates)
	n.settled.Store(slices.Index(ranked, n.settings.Name) < watcherCount)
	time.AfterFunc(settleWait, func() { n.settled.Store(true) })
	n.fleet.Announce(addresses)
	return n.exchangeWithSome(ctx, addresses)
}

// exchangeWithSome compares the table with some daemons, in random order.
func (n *Node) exchangeWithSome(ctx context.Context, addresses map[string]string) int {
	answered := make(chan bool, contactPeers)
	contacted := 0
	for name, address := range addresses {
		task := func() { answered <- n.fleet.Exchange(context.WithoutCancel(ctx), name, address) }
		if contacted < contactPeers && n.tasks.Submit(task) == nil {
			contacted++
		}
	}
	timeout := time.After(contactWait)
	count := 0
	for range contacted {
		select {
		case ok := <-answered:
			if ok {
				count++
			}
		case <-timeout:
			return count
		}
	}
	return count
}

// collectEntries removes the entries of daemons that have been silent for long.
// The first of the operator's followers does it for all.
func (n *Node) collectEntries(ctx context.Context) {
	ranked := n.watchers()
	if len(ranked) == 0 || ranked[0] != n.settings.Name {
		return
	}
	for _, m := range n.table.Members() {
		age := n.clock.Now().Sub(m.HeardAt)
		if m.Self || m.State.Leaving || age < entryMaxAge || n.collected[m.Name] == m.Incarnation {
			continue
		}
		n.collected[m.Name] = m.Incarnation
		call, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := n.platform.Store.Delete(call, daemonPrefix+m.Name, 0)
		cancel()
		if err != nil && !store.IsNotFound(err) {
			eventRegisterFailed.Log(n.logger, zap.String("access", "collect"), zap.String("member", m.Name), zap.Error(err))
			continue
		}
		eventEntryRemoved.Log(n.logger, zap.String("member", m.Name), zap.Duration("age", age))
	}
}

// unregister removes the daemon's entry at a planned end.
func (n *Node) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	if err := n.platform.Store.Delete(ctx, daemonPrefix+n.settings.Name, 0); err != nil && !store.IsNotFound(err) {
		eventRegisterFailed.Log(n.logger, zap.String("access", "remove"), zap.Error(err))
	}
}

// initialState is what the daemon says of itself before it has heard anything.
func (n *Node) initialState() fleet.State {
	return fleet.State{
		Zone: n.settings.Domain, CallAddress: cmp.Or(n.settings.Advertise.Daemons, n.settings.Listen.Daemons),
		SyncAddress: cmp.Or(n.settings.Advertise.Fleet, n.settings.Listen.Fleet),
		LinkMbps:    n.settings.LinkMbps, Cores: n.settings.Cores,
	}
}
