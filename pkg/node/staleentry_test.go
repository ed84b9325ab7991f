package node

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/fleet/fleettest"
	"nutmegstand.example/nutmegstand/pkg/store"
	"nutmegstand.example/nutmegstand/pkg/store/standin"
)

// lateDeleteStore is a store that executes a removal after the owner of the entry has
// written it again. Like the platform's, it removes an object whatever its revision if none
// is given.
type lateDeleteStore struct {
	*standin.Store
	beforeDelete func()
}

func (s *lateDeleteStore) Delete(ctx context.Context, key string, ifRevision int64) error {
	if s.beforeDelete != nil {
		s.beforeDelete()
	}
	if object, err := s.Get(ctx, key); err == nil && ifRevision == 0 {
		ifRevision = object.Revision
	}
	return s.Store.Delete(ctx, key, ifRevision)
}

// watcherWithPeer returns the only operator watcher of a fleet whose other daemon has a
// stored departure.
func watcherWithPeer(t *testing.T) (*Node, *clock.Manual, *lateDeleteStore) {
	c, s := &clock.Manual{}, &lateDeleteStore{Store: standin.New(1)}
	_, err := s.Create(t.Context(), daemonPrefix+"vm-2", []byte(`{"address":"127.0.0.1:1","left":{"a":1}}`))
	assert.NilError(t, err)
	n := &Node{
		clock: c, logger: zap.NewNop(), settings: &Settings{Name: "vm-1"}, table: fleet.NewTable("vm-1", 1, fleet.State{}, c),
		platform: Platform{Store: s, Eras: &store.Eras{}}, removedEntries: make(map[string]uint64),
	}
	fleettest.Hear(t, n.table, fleet.NewTable("vm-2", 1, fleet.State{}, c))
	return n, c, s
}

// runRounds lets the daemon run for a time without a heartbeat of the other one.
func runRounds(t *testing.T, n *Node, c *clock.Manual, d time.Duration) {
	const round = 500 * time.Millisecond
	for ; d > 0; d -= round {
		c.Advance(round)
		n.table.AdvanceHeartbeat()
		n.removeStaleEntries(t.Context())
	}
}

// TestSuspendedWatcherRemovesNothing guards against the loss of confirmed departures: a
// watcher that returned from a suspension took all other daemons for silent and removed
// their entries.
func TestSuspendedWatcherRemovesNothing(t *testing.T) {
	n, c, s := watcherWithPeer(t)
	stored := func() bool {
		_, err := s.Get(t.Context(), daemonPrefix+"vm-2")
		return err == nil
	}
	runRounds(t, n, c, 5*time.Second)
	c.Advance(entryMaxAge)
	n.removeStaleEntries(t.Context())
	assert.Assert(t, stored(), "removed before the first round after the suspension")
	runRounds(t, n, c, entryMaxAge)
	assert.Assert(t, stored(), "removed by a watcher that has not followed its peers for long enough")
	runRounds(t, n, c, time.Second)
	assert.Assert(t, !stored(), "the entry of a silent daemon stays")
}

// TestLateRemoval guards against a removal that the store executes late, after the daemon
// has returned and stored a departure.
func TestLateRemoval(t *testing.T) {
	n, c, s := watcherWithPeer(t)
	s.beforeDelete = func() {
		s.beforeDelete = nil
		object, err := s.Get(t.Context(), daemonPrefix+"vm-2")
		assert.NilError(t, err)
		_, err = s.Update(t.Context(), object.Key, []byte(`{"address":"127.0.0.1:1","left":{"a":1,"b":2}}`), object.Revision)
		assert.NilError(t, err)
	}
	runRounds(t, n, c, entryMaxAge+10*time.Second)
	object, err := s.Get(t.Context(), daemonPrefix+"vm-2")
	assert.NilError(t, err, "the entry that the daemon has written since was removed")
	assert.Equal(t, string(object.Value), `{"address":"127.0.0.1:1","left":{"a":1,"b":2}}`)
}
