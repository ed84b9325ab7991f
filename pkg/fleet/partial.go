package fleet

import (
	"fmt"

	"nutmegstand.example/nutmegstand/pkg/routing"
)

// partialConfig is a configuration for a peer whose version is not in the history. The
// workspaces that have not changed as far as the history goes are replaced by hashes,
// since the peer most probably has them. A burst of changes, of which each watcher of the
// store sees others, would otherwise cost each peer all keys.
type partialConfig struct {
	*routing.Config
	Kept map[string]string `json:"keptWorkspaces,omitempty"` // hashes by name
}

// MissingWorkspaceError reports a workspace that the peer expected this daemon to have.
type MissingWorkspaceError struct{ Workspace string }

func (e *MissingWorkspaceError) Error() string {
	return fmt.Sprintf("fleet: workspace %q of a received configuration is not in the current one", e.Workspace)
}

// partial returns a configuration without the workspaces that are the same in all
// configurations of the history.
func (h *History) partial(config *routing.Config) *partialConfig {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := make(map[*routing.Workspace]int)
	for _, past := range h.configs {
		for _, w := range past.Workspaces {
			seen[w]++ // versions share workspaces that are equal
		}
	}
	sent := *config
	sent.Workspaces = nil
	p := &partialConfig{Config: &sent, Kept: make(map[string]string)}
	for _, w := range config.Workspaces {
		if seen[w] == len(h.configs) {
			p.Kept[w.Name] = w.Hash()
		} else {
			sent.Workspaces = append(sent.Workspaces, w)
		}
	}
	return p
}

// complete returns the whole configuration, with the kept workspaces from the current
// table. It returns a MissingWorkspaceError if one of them differs.
func (p *partialConfig) complete(current *routing.Table) (*routing.Config, error) {
	for name, hash := range p.Kept {
		w := current.WorkspaceByName(name)
		if w == nil || w.Hash() != hash {
			return nil, &MissingWorkspaceError{name}
		}
		p.Config.Workspaces = append(p.Config.Workspaces, w)
	}
	return p.Config, nil
}
