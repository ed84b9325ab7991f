package ctl

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/fleetview"
)

func writeApply(w io.Writer, result admin.ApplyResult) {
	switch {
	case result.Repeated:
		fmt.Fprintf(w, "operation was already accepted as version %d\n", result.Version)
	case !result.Changed:
		fmt.Fprint(w, result.Diff.Text())
		fmt.Fprintf(w, "version %d stays current\n", result.Version)
	default:
		fmt.Fprint(w, result.Diff.Text())
		fmt.Fprintf(w, "accepted as version %d\n", result.Version)
	}
	if result.Wait == nil {
		return
	}
	waited := time.Duration(result.Wait.WaitedMS) * time.Millisecond
	if result.Wait.Complete {
		fmt.Fprintf(w, "in force everywhere after %v\n", waited)
		return
	}
	fmt.Fprintf(w, "not known to be in force everywhere after %v\n", waited)
	if result.Wait.Reason != "" {
		fmt.Fprintln(w, "  "+result.Wait.Reason)
	}
	for _, domain := range result.Wait.Behind {
		fmt.Fprintf(w, "  %s: version %d, %d of %d daemons behind%s\n",
			domain.Domain, domain.Version, domain.Behind, domain.Members, joinNames(domain.BehindNames))
	}
}

func joinNames(names []string) string {
	if len(names) == 0 {
		return ""
	}
	return ": " + strings.Join(names, ", ")
}

func writeTable(w io.Writer, header string, rows func(add func(...any))) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ReplaceAll(header, " ", "\t"))
	rows(func(cells ...any) {
		fmt.Fprintln(t, strings.TrimSuffix(fmt.Sprintf(strings.Repeat("%v\t", len(cells)), cells...), "\t"))
	})
	_ = t.Flush()
}

func writeStatus(w io.Writer, status admin.Status, now time.Time) {
	fmt.Fprintf(w, "daemon %s in %s: version %d, highest version known %d\n", status.Daemon, status.Domain, status.Version, status.FleetVersion)
	switch {
	case status.Store.Reachable:
		fmt.Fprintln(w, "store: reachable")
	case status.Store.StaleSince != nil:
		fmt.Fprintf(w, "store: not reachable, stale since %s (%v)\n",
			status.Store.StaleSince.UTC().Format(time.RFC3339), now.Sub(*status.Store.StaleSince).Round(time.Second))
	default:
		fmt.Fprintln(w, "store: not reachable since this daemon started")
	}
	if status.Store.Error != "" {
		fmt.Fprintln(w, "  "+status.Store.Error)
	}
	writeTable(w, "DOMAIN VERSION DAEMONS BEHIND AGE NAMES", func(add func(...any)) {
		for _, d := range status.Domains {
			age := time.Duration(d.AgeMS) * time.Millisecond
			add(d.Domain, d.Version, d.Members, d.Behind, age, strings.Join(d.BehindNames, ","))
		}
	})
}

func writeMoves(w io.Writer, moves []admin.MoveStatus) {
	if len(moves) == 0 {
		fmt.Fprintln(w, "no moves")
		return
	}
	writeTable(w, "SERVICE MOVE FROM TO BY STATE SHARE NON-IDEMPOTENT REASON", func(add func(...any)) {
		for _, m := range moves {
			state := string(m.State)
			if !m.Recorded {
				state += " (not recorded)"
			}
			add(m.Service, m.Move, m.From, m.To, m.By.UTC().Format(time.RFC3339), state,
				percent(m.Share), percent(m.NonIdempotentShare), m.Reason)
		}
	})
	for _, m := range moves {
		if m.Detail != nil {
			fmt.Fprintf(w, "\n%s", m.Detail)
		}
	}
}

func percent(share float64) string { return fmt.Sprintf("%.4g%%", share*100) }

func writeExplanation(w io.Writer, explanation admin.Explanation) {
	if !explanation.Matched {
		fmt.Fprintf(w, "version %d: no route: %s\n", explanation.Version, explanation.Reason)
		return
	}
	kind := "not idempotent"
	if explanation.Idempotent {
		kind = "idempotent"
	}
	fmt.Fprintf(w, "version %d: route %s of service %s (team %s), %s, deadline %v, at most %d attempts\n",
		explanation.Version, explanation.Route, explanation.Service, explanation.Team, kind, time.Duration(explanation.DeadlineMS)*time.Millisecond, explanation.Attempts)
	if explanation.Reason != "" {
		fmt.Fprintln(w, explanation.Reason)
	}
	for _, v := range explanation.Versions {
		move := ""
		if v.Move != "" {
			move = " by move " + v.Move
		}
		fmt.Fprintf(w, "  %s of calls to version %s%s\n", percent(v.Share), v.Version, move)
	}
	if len(explanation.Targets) == 0 {
		return
	}
	writeTable(w, "TARGET DOMAIN VERSION SLOTS IN-USE USABLE REASON", func(add func(...any)) {
		for _, t := range explanation.Targets {
			add(t.Name, t.Domain, t.Version, t.Slots, t.InUse, t.Usable, t.Reason)
		}
	})
}

// writeFleet writes the sums by zone, and with members a line for each daemon.
func writeFleet(w io.Writer, view fleetview.View, members bool) {
	fmt.Fprintf(w, "seen by daemon %s: version %d, %d daemons%s\n", view.Daemon, view.ConfigVersion, len(view.Members), joinCounts(view.Refusals))
	writeTable(w, "zone live silent stopping leaving ready down draining version longest-silence", func(add func(...any)) {
		for _, z := range view.Zones {
			add(z.Zone, z.Daemons[fleetview.DaemonLive], z.Daemons[fleetview.DaemonSilent], z.Daemons[fleetview.DaemonStopping],
				z.Daemons[fleetview.DaemonLeaving], z.Targets[fleetview.TargetReady], z.Targets[fleetview.TargetDown],
				z.Targets[fleetview.TargetLeaving], z.LowestVersion, milliseconds(z.LongestSilent))
		}
	})
	for _, e := range view.Evacuations {
		fmt.Fprintf(w, "zone %s is evacuated since %s\n", e.Zone, e.Since.UTC().Format(time.RFC3339))
	}
	if !members {
		return
	}
	fmt.Fprintln(w)
	writeTable(w, "daemon zone state silence version target service target-version target-state busy queued slots load-age", func(add func(...any)) {
		for _, m := range view.Members {
			t := m.Target
			if t == nil {
				add(m.Name, m.Zone, m.State, milliseconds(m.SilentMS), m.ConfigVersion, "-", "-", "-", "-", "-", "-", "-", "-")
				continue
			}
			busy, queued, age := any(t.Busy), any(t.Queued), any(milliseconds(t.LoadAgeMS))
			if t.LoadAgeMS < 0 {
				busy, queued, age = "-", "-", "-"
			}
			add(m.Name, m.Zone, m.State, milliseconds(m.SilentMS), m.ConfigVersion, t.ID, t.Service, t.Version, t.State, busy, queued, t.Slots, age)
		}
	})
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// joinCounts returns the refusals of a daemon's target by reason.
func joinCounts(counts map[string]int) string {
	if len(counts) == 0 {
		return ""
	}
	parts := make([]string, 0, len(counts))
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, counts[reason]))
	}
	return "; refused at its target: " + strings.Join(parts, ", ")
}
