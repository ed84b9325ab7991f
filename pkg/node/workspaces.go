package node

import (
	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

// logWorkspaces logs how the workspaces of a configuration that is now in force differ
// from those of the previous one, nil if there was none. It logs nothing if they are the
// same.
func (n *Node) logWorkspaces(before *routing.Table, config *routing.Config) {
	var old []*routing.Workspace
	if before != nil {
		old = before.Config.Workspaces
	}
	changed, removed := routing.CountChanges(old, config.Workspaces)
	if changed+removed == 0 {
		return
	}
	keys := 0
	for _, w := range config.Workspaces {
		keys += len(w.Keys)
	}
	eventWorkspacesChanged.Log(n.logger, zap.Uint64("version", config.Version), zap.Int("changed", changed),
		zap.Int("removed", removed), zap.Int("workspaces", len(config.Workspaces)), zap.Int("keys", keys))
}
