package node

import (
	"encoding/json"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/fleetview"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestWorkspaceView guards against a view with a key or digest, and against an endpoint
// that fails before the first configuration.
func TestWorkspaceView(t *testing.T) {
	digest, priority := routing.DigestKey("secret"), 2
	table := routing.NewTable(&routing.Config{Version: 4, Workspaces: []*routing.Workspace{
		{Name: "zeta", Keys: []routing.KeyDigest{digest}}, {Name: "acme", Rate: 5, Burst: 6, Priority: &priority},
	}})
	got, err := json.Marshal(workspaceView("vm-1", table))
	assert.NilError(t, err)
	assert.Equal(t, string(got), `{"daemon":"vm-1","configVersion":4,"workspaces":[{"name":"acme","rate":5,"burst":6,"priority":2,"keys":0},{"name":"zeta","rate":0,"burst":0,"keys":1}]}`)
	assert.DeepEqual(t, workspaceView("vm-1", nil), fleetview.Workspaces{Daemon: "vm-1", Workspaces: []fleetview.Workspace{}})
}

// TestWorkspaceChangesAreLogged guards against a change of keys that leaves no trace, and
// against an entry for each version of a deployment without workspaces.
func TestWorkspaceChangesAreLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	n := &Node{logger: zap.New(core)}
	with := func(keys ...string) *routing.Config {
		w := &routing.Workspace{Name: "acme"}
		for _, key := range keys {
			w.Keys = append(w.Keys, routing.DigestKey(key))
		}
		return &routing.Config{Version: 2, Workspaces: []*routing.Workspace{w}}
	}
	n.logWorkspaces(nil, &routing.Config{Version: 1})
	n.logWorkspaces(routing.NewTable(with("a")), with("a"))
	assert.Equal(t, logs.Len(), 0)
	n.logWorkspaces(routing.NewTable(with("a")), with("a", "b"))
	n.logWorkspaces(routing.NewTable(with("a")), &routing.Config{Version: 3})
	entries := logs.AllUntimed()
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].ContextMap()["keys"], int64(2))
	assert.Equal(t, entries[0].ContextMap()["changed"], int64(1))
	assert.Equal(t, entries[1].ContextMap()["removed"], int64(1))
}
