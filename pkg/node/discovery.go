package node

import (
	"context"
	"encoding/json"
	"sync"
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
	// firstRetry and lastRetry bound the time between attempts at the store.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 3 * time.Second
)

// daemonEntry is a daemon's entry in the store.
type daemonEntry struct {
	Address     string `json:"address"` // of the Fleet service
	Incarnation uint64 `json:"incarnation"`
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
	entry, err := json.Marshal(daemonEntry{Address: n.settings.Listen.Fleet, Incarnation: n.table.Own().Incarnation})
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

// contact exchanges with the listed daemons. It returns the number that answered.
func (n *Node) contact(ctx context.Context, objects []store.Object) int {
	var answered sync.Map
	var all sync.WaitGroup
	for _, o := range objects {
		var entry daemonEntry
		name := o.Key[len(daemonPrefix):]
		if json.Unmarshal(o.Value, &entry) != nil || name == n.settings.Name {
			continue // an entry of another writer, or the own one
		}
		all.Add(1)
		task := func() {
			defer all.Done()
			if n.fleet.Exchange(ctx, name, entry.Address) {
				answered.Store(name, true)
			}
		}
		if err := n.tasks.Submit(task); err != nil {
			all.Done()
		}
	}
	all.Wait()
	count := 0
	answered.Range(func(any, any) bool { count++; return true })
	return count
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
		Zone: n.settings.Domain, CallAddress: n.settings.Listen.Daemons, SyncAddress: n.settings.Listen.Fleet,
		LinkMbps: n.settings.LinkMbps,
	}
}
