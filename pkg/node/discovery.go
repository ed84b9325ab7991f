package node

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/store"
)

const (
	// daemonPrefix is the key prefix of the daemon entries in the store.
	daemonPrefix = "nutmegstand-daemons/"
	// storeCallTimeout bounds one store call, which detects an unreachable store.
	storeCallTimeout = time.Second
	// contactTimeout is the time within which live peers reply, including those in
	// other regions.
	contactTimeout = 80 * time.Millisecond
	// contactPeerCount is the number of listed daemons with which a starting daemon
	// exchanges the table. All listed daemons get a datagram: in a mass restart,
	// exchanges between all daemons would saturate the links.
	contactPeerCount = 4
	// minListDelay and maxListDelay bound the delay after which a daemon that starts
	// together with all others lists them. In the first part of it all of them write
	// their entries. Those that a lister has contacted meanwhile list nothing.
	minListDelay = 400 * time.Millisecond
	maxListDelay = 1200 * time.Millisecond
	// watcherDelay is the time for which a starting daemon discovers its peers before
	// it may take the role of operator watcher. Daemons that rank among the first
	// watcherCount of the listed ones do not wait.
	watcherDelay = 600 * time.Millisecond
	// entryMaxAge is the age of the last heartbeat above which the store entry of a
	// daemon is removed. It is longer than any partition or pause after which a
	// daemon is expected to return.
	entryMaxAge = 30 * time.Second
	// maxHeartbeatDelay is the longest time for which a heartbeat may be in transit. One
	// that arrives later than this after the start of the daemon was sent after the start.
	maxHeartbeatDelay = 5 * time.Second
	// olderPeerAge is the difference in start times from which on a peer counts as
	// older. Daemons that were lost together start within less.
	olderPeerAge = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between retries of store calls.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 3 * time.Second
)

// newBackoff returns the exponential backoff between retries of store calls.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	return b
}

// register writes the entry of this daemon to the store and contacts the daemons
// listed there. It retries until it succeeds or ctx ends.
func (n *Node) register(ctx context.Context) {
	wait := newBackoff()
	for {
		peers, err := n.tryRegister(ctx)
		if err == nil {
			n.registered.Store(true)
			n.releaseTarget(releasedByStore)
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

// releaseReason is the evidence on which the target was made available.
type releaseReason string

const (
	releasedByStore      releaseReason = "stored departures" // the store reported the departures
	releasedByPeers      releaseReason = "older peers"       // peers that outlived the failure reported them
	releasedByHeartbeats releaseReason = "heartbeats"        // the target goes on sending heartbeats
)

// releaseUnregistered makes the target available to a daemon that could not read the
// stored departures.
func (n *Node) releaseUnregistered(ctx context.Context) {
	check := time.NewTicker(roleCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		}
		if n.registered.Load() {
			return
		}
		if reason := n.releaseEvidence(); reason != "" {
			n.releaseTarget(reason)
			return
		}
	}
}

// releaseEvidence returns the evidence of an unregistered daemon that its target has not
// left, or an empty reason. The absence of a reported departure is none: if all daemons
// were lost and the store rejects this one, nobody can report it.
func (n *Node) releaseEvidence() releaseReason {
	switch age := n.clock.Now().Sub(n.startedAt); {
	case age > registerTimeout && mostAreOlder(n.table.Live(), n.table.Local().Incarnation):
		return releasedByPeers
	case n.target.sentHeartbeatsSince(n.startedAt.Add(maxHeartbeatDelay)):
		return releasedByHeartbeats
	}
	return ""
}

// mostAreOlder reports whether most of the live peers have run since well before a
// daemon started. A single one may have been cut off when a target left.
func mostAreOlder(live []fleet.Member, started uint64) bool {
	peers, older := 0, 0
	for i := range live {
		if live[i].Self {
			continue
		}
		peers++
		if live[i].Incarnation+uint64(olderPeerAge.Milliseconds()) < started {
			older++
		}
	}
	return older > peers/2
}

// tryRegister writes the entry of this daemon and contacts its peers. It returns the
// number of peers that replied.
func (n *Node) tryRegister(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, maxListDelay+2*storeCallTimeout)
	defer cancel()
	if n.settings.FirstStart {
		return n.registerWithAll(ctx)
	}
	objects, _, err := n.platform.Store.List(ctx, daemonPrefix)
	if err != nil {
		return 0, err
	}
	for i := range objects {
		if objects[i].Key == n.entry.key {
			n.entry.adopt(&objects[i])
		}
	}
	if err := n.entry.save(ctx, storeCallTimeout); err != nil {
		return 0, err
	}
	return n.contactDaemons(ctx, objects), nil
}

// registerWithAll registers a daemon that starts together with all others. Only the
// first of them list the entries; they contact the rest.
func (n *Node) registerWithAll(ctx context.Context) (int, error) {
	if err := n.entry.save(ctx, storeCallTimeout); err != nil {
		return 0, err
	}
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(minListDelay + rand.N(maxListDelay-minListDelay)):
	}
	if peers := n.table.LiveCount() - 1; peers > 0 {
		time.AfterFunc(watcherDelay, func() { n.watcherEligible.Store(true) })
		return peers, nil
	}
	objects, _, err := n.platform.Store.List(ctx, daemonPrefix)
	if err != nil {
		return 0, err
	}
	return n.contactDaemons(ctx, objects), nil
}

// contactDaemons announces this daemon to the listed ones, exchanges the table with a
// random sample of them, and returns the number of replies within contactTimeout.
// Listed daemons that no longer exist never reply.
func (n *Node) contactDaemons(ctx context.Context, objects []store.Object) int {
	addresses := make(map[string]string, len(objects))
	candidates := []fleet.Candidate{{Name: n.settings.Name, LinkMbps: n.settings.LinkMbps, Cores: n.settings.Cores}}
	for _, o := range objects {
		var entry daemonEntry
		name := o.Key[len(daemonPrefix):]
		err := json.Unmarshal(o.Value, &entry)
		if err == nil {
			_, err = netip.ParseAddrPort(entry.Address)
		}
		if err != nil {
			eventEntryRejected.Log(n.logger, zap.String("key", o.Key), zap.Error(err))
			continue
		}
		if name != n.settings.Name {
			addresses[name] = entry.Address
			candidates = append(candidates, fleet.Candidate{Name: name, LinkMbps: entry.LinkMbps, Cores: entry.Cores})
		}
	}
	n.listedDaemons.Store(int64(len(candidates)))
	ranked := fleet.RankCandidates(watcherRole, candidates)
	n.watcherEligible.Store(slices.Index(ranked, n.settings.Name) < watcherCount)
	time.AfterFunc(watcherDelay, func() { n.watcherEligible.Store(true) })
	n.fleet.Announce(addresses)
	return n.exchangeWithSample(ctx, addresses)
}

// exchangeWithSample exchanges the table with up to contactPeerCount daemons in random
// order, and returns the number of replies within contactTimeout.
func (n *Node) exchangeWithSample(ctx context.Context, addresses map[string]string) int {
	replies := make(chan bool, contactPeerCount)
	contacted := 0
	for name, address := range addresses {
		task := func() { replies <- n.fleet.Exchange(context.WithoutCancel(ctx), name, address) }
		if contacted < contactPeerCount && n.tasks.Submit(task) == nil {
			contacted++
		}
	}
	timeout := time.After(contactTimeout)
	count := 0
	for range contacted {
		select {
		case ok := <-replies:
			if ok {
				count++
			}
		case <-timeout:
			return count
		}
	}
	return count
}

// removeStaleEntries removes the store entries of daemons that have been silent for
// entryMaxAge, after a crash or a planned stop. A daemon that stops leaves its entry,
// since it usually starts again. Only the first of the operator watchers removes them, once
// it has itself followed its peers for as long.
func (n *Node) removeStaleEntries(ctx context.Context) {
	if era := n.platform.Eras.Current(); era != n.removedInEra {
		n.removedInEra = era // the copy from which the store returned may have removed entries
		clear(n.removedEntries)
	}
	ranked := n.watchers()
	if len(ranked) == 0 || ranked[0] != n.settings.Name || n.table.Followed() < entryMaxAge {
		return
	}
	for _, m := range n.table.Members() {
		age := n.clock.Now().Sub(m.LastHeartbeat)
		if m.Self || age < entryMaxAge || n.removedEntries[m.Name] == m.Incarnation {
			continue
		}
		removed, err := n.removeEntry(ctx, daemonPrefix+m.Name)
		if err != nil {
			eventRegisterFailed.Log(n.logger, zap.String("access", "collect"), zap.String("member", m.Name), zap.Error(err))
			continue // repeated in the next round
		}
		n.removedEntries[m.Name] = m.Incarnation
		eventEntryRemoved.Log(n.logger, zap.String("member", m.Name), zap.Duration("age", age), zap.Bool("removed", removed))
	}
}

// removeEntry removes the store entry of a daemon as it is now. It reports false if the
// entry has changed since: the daemon has returned, and may have stored a departure. The
// store may execute the call seconds after it was given up.
func (n *Node) removeEntry(ctx context.Context, key string) (removed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	object, err := n.platform.Store.Get(ctx, key)
	if err == nil {
		err = n.platform.Store.Delete(ctx, key, object.Revision)
	}
	switch {
	case err == nil, store.IsNotFound(err):
		return true, nil
	case store.IsConflict(err):
		return false, nil
	}
	return false, err
}

// initialState returns the state that the daemon publishes at its start.
func (n *Node) initialState() fleet.State {
	return fleet.State{
		Zone: n.settings.Domain, CallAddress: cmp.Or(n.settings.Advertise.Daemons, n.settings.Listen.Daemons),
		SyncAddress: cmp.Or(n.settings.Advertise.Fleet, n.settings.Listen.Fleet),
		LinkMbps:    n.settings.LinkMbps, Cores: n.settings.Cores,
	}
}
