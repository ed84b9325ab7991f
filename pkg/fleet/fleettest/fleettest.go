// Package fleettest lets tables of a fleet learn of each other in tests, without a network.
package fleettest

import (
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// Hear merges the state and the heartbeat that a member publishes into the table of another
// one.
func Hear(t testing.TB, table, member *fleet.Table) {
	t.Helper()
	options := fleet.Options{Config: &routing.Current{}, Logger: zap.NewNop()}
	sender, receiver := options, options
	sender.Table, receiver.Table = member, table
	reply, err := fleet.New(sender).Sync(t.Context(), &pb.SyncRequest{To: "unknown"})
	assert.NilError(t, err)
	_, err = fleet.New(receiver).Sync(t.Context(), &pb.SyncRequest{From: reply.GetFrom(), States: reply.GetStates()})
	assert.NilError(t, err)
}
