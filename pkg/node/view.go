package node

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/fleetview"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// view returns the fleet as this daemon sees it.
func (n *Node) view() fleetview.View {
	now := n.clock.Now()
	v := fleetview.View{Daemon: n.settings.Name, ConfigVersion: n.config.Load().Version(), Refusals: n.gate.Refusals()}
	loads := n.balancer.Loads()
	n.table.Each(func(m *fleet.Member) {
		member := fleetview.Member{
			Name: m.Name, Zone: m.State.Zone, State: daemonState(m, m.Live(now)), ConfigVersion: m.ConfigVersion,
		}
		if m.Self {
			member.ConfigVersion = v.ConfigVersion
		} else {
			member.SilentMS = now.Sub(m.LastHeartbeat).Milliseconds()
		}
		if t := m.State.Target; t != nil {
			target := &fleetview.Target{ID: t.ID, Service: t.Service, Version: t.Version, State: targetState(t), Slots: t.Slots, LoadAgeMS: -1}
			if load, ok := loads[t.ID]; ok {
				target.Busy, target.Queued, target.LoadAgeMS = load.Busy, load.Queued, load.Age().Milliseconds()
			}
			member.Target = target
		}
		v.Members = append(v.Members, member)
	})
	since := n.evacuations.Since()
	for _, zone := range slices.Sorted(maps.Keys(since)) {
		v.Evacuations = append(v.Evacuations, fleetview.Evacuation{Zone: zone, Since: since[zone].UTC()})
	}
	v.Zones = fleetview.Summarize(v.Members)
	return v
}

func daemonState(m *fleet.Member, live bool) string {
	switch {
	case m.State.Leaving:
		return fleetview.DaemonLeaving
	case !live:
		return fleetview.DaemonSilent
	case m.State.Stopping:
		return fleetview.DaemonStopping
	}
	return fleetview.DaemonLive
}

func targetState(t *fleet.Target) string {
	switch {
	case t.Leaving:
		return fleetview.TargetLeaving
	case t.Down:
		return fleetview.TargetDown
	}
	return fleetview.TargetReady
}

// serveView is the HTTP handler of fleetview.Path.
func (n *Node) serveView(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, n.view())
}

// workspaceView returns the workspaces of a configuration in force, nil before the first.
func workspaceView(daemon string, table *routing.Table) fleetview.Workspaces {
	v := fleetview.Workspaces{Daemon: daemon, ConfigVersion: table.Version(), Workspaces: []fleetview.Workspace{}}
	if table == nil {
		return v
	}
	for _, w := range table.Config.Workspaces {
		v.Workspaces = append(v.Workspaces, fleetview.Workspace{
			Name: w.Name, Rate: w.Rate, Burst: w.Burst, Priority: w.Priority, Keys: len(w.Keys),
		})
	}
	slices.SortFunc(v.Workspaces, func(a, b fleetview.Workspace) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// serveWorkspaces is the HTTP handler of fleetview.WorkspacesPath.
func (n *Node) serveWorkspaces(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, workspaceView(n.settings.Name, n.config.Load()))
}

func writeJSON(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content) // fails if the caller has left
}
