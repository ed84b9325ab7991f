package ctl

import (
	"flag"
	"fmt"
	"io"

	"nutmegstand.example/nutmegstand/pkg/fleetview"
)

func defineWorkspaces(*flag.FlagSet) func(*invocation, []string) error {
	return func(s *invocation, args []string) error {
		if err := rejectArguments(args); err != nil {
			return err
		}
		var view fleetview.Workspaces
		if err := s.client.get(s.ctx, fleetview.WorkspacesPath, nil, &view); err != nil {
			return err
		}
		return s.print(view, func(w io.Writer) { writeWorkspaces(w, view) })
	}
}

func writeWorkspaces(w io.Writer, view fleetview.Workspaces) {
	fmt.Fprintf(w, "seen by daemon %s: version %d, %d workspaces\n", view.Daemon, view.ConfigVersion, len(view.Workspaces))
	if len(view.Workspaces) == 0 {
		return
	}
	writeTable(w, "workspace rate/s burst priority keys", func(add func(...any)) {
		for _, workspace := range view.Workspaces {
			rate, priority := any("no limit"), any("of the route")
			if workspace.Rate > 0 {
				rate = workspace.Rate
			}
			if workspace.Priority != nil {
				priority = *workspace.Priority
			}
			add(workspace.Name, rate, workspace.Burst, priority, workspace.Keys)
		}
	})
}
