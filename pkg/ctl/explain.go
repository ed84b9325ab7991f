package ctl

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/admin"
	"nutmegstand.example/nutmegstand/pkg/fleetview"
)

func defineExplain(flags *flag.FlagSet) func(*invocation, []string) error {
	method := flags.String("method", "GET", "`method` of the request")
	workspace := flags.String("workspace", "", "`name` of the workspace that sends the request, on the users' platform")
	remaining := flags.Duration("remaining", 0, "time that the caller still waits, on the users' platform; none if left out")
	return func(s *invocation, args []string) error {
		if len(args) != 2 {
			return &UsageError{Message: "explain needs HOST and PATH"}
		}
		query := map[string]string{"host": args[0], "path": args[1], "method": *method}
		if s.token {
			if *workspace != "" || *remaining != 0 {
				return &UsageError{Message: "-workspace and -remaining are for a daemon on the users' platform, which needs no token"}
			}
			return s.explainCall(query)
		}
		query["workspace"] = *workspace
		if *remaining != 0 {
			if *remaining < time.Millisecond {
				return &UsageError{Message: "-remaining must be at least 1ms"}
			}
			query["remaining_ms"] = strconv.FormatInt(remaining.Milliseconds(), 10)
		}
		return s.explainRequest(query)
	}
}

// explainCall asks an administration API.
func (s *invocation) explainCall(query map[string]string) error {
	var explanation admin.Explanation
	if err := s.client.get(s.ctx, admin.PathExplain, query, &explanation); err != nil {
		return err
	}
	return s.print(explanation, func(w io.Writer) { writeExplanation(w, explanation) })
}

// explainRequest asks a daemon on the users' platform.
func (s *invocation) explainRequest(query map[string]string) error {
	var explanation fleetview.Explanation
	err := s.client.get(s.ctx, fleetview.ExplainPath, query, &explanation)
	var response *ResponseError
	if errors.As(err, &response) && response.Status == http.StatusNotFound {
		return &UsageError{Message: response.Server + " does not explain requests; an administration API needs -token-file"}
	}
	if err != nil {
		return err
	}
	return s.print(explanation, func(w io.Writer) { writeRequest(w, explanation) })
}

// writeRequest writes the explanation of a daemon on the users' platform.
func writeRequest(w io.Writer, e fleetview.Explanation) {
	fmt.Fprintf(w, "seen by daemon %s: version %d, %s %s%s\n", e.Daemon, e.ConfigVersion, e.Method, e.Host, e.Path)
	status := ""
	if e.Status != 0 {
		status = fmt.Sprintf(" with status %d", e.Status)
	}
	if e.RetryAfterMS > 0 {
		status += fmt.Sprintf(", retry after at least %v", milliseconds(e.RetryAfterMS))
	}
	fmt.Fprintf(w, "%s%s: %s (%s)\n", e.Outcome, status, e.Detail, e.Reason)
	if r := e.Route; r != nil {
		fmt.Fprintf(w, "route %s (%s%s): %s, priority %d, objective %v, timeout %v, at most %d attempts\n",
			r.Name, r.Host, r.Prefix, r.Kind, r.Priority, milliseconds(r.ObjectiveMS), milliseconds(r.TimeoutMS), r.Attempts)
		if r.AgeMS > 0 {
			fmt.Fprintf(w, "the caller seems to have sent it %v ago\n", milliseconds(r.AgeMS))
		}
	}
	if e.Workspace != nil {
		writeLimit(w, e.Workspace)
	}
	for i := range e.Choices {
		writeChoice(w, &e.Choices[i])
	}
}

func writeLimit(w io.Writer, l *fleetview.ExplainedWorkspace) {
	switch {
	case l.Rate <= 0:
		fmt.Fprintf(w, "workspace %s: no limit\n", l.Name)
	case !l.Enforced:
		fmt.Fprintf(w, "workspace %s: %g requests/s, burst %g, not enforced by this daemon\n", l.Name, l.Rate, l.Burst)
	default:
		fmt.Fprintf(w, "workspace %s: %g requests/s, burst %g; here %.1f requests/s, %d permits in stock, granted by %s\n",
			l.Name, l.Rate, l.Burst, l.Demand, l.Permits, l.Accountant)
	}
}

func writeChoice(w io.Writer, c *fleetview.ExplainedChoice) {
	target := "no target"
	if c.Target != "" {
		target = "target " + c.Target
	}
	fmt.Fprintf(w, "\n%s of requests, service %s: %s, %s: %s (%s)\n", percent(c.Share), c.Service, target, c.Outcome, c.Detail, c.Reason)
	if len(c.Targets) == 0 {
		return
	}
	writeTable(w, "target zone version expected run wait network load load-age failures state", func(add func(...any)) {
		for i := range c.Targets {
			t := &c.Targets[i]
			age := "-"
			if t.LoadAgeMS >= 0 {
				age = milliseconds(t.LoadAgeMS).String()
			}
			if !t.Evaluated {
				add(t.Target, t.Zone, t.Version, "-", "-", "-", "-", "-", age, percent(t.FailureRate), targetStates(t))
				continue
			}
			add(t.Target, t.Zone, t.Version, inMS(t.ExpectedMS), inMS(t.RunMS), inMS(t.WaitMS), inMS(t.NetworkMS), percent(t.Load), age,
				percent(t.FailureRate), targetStates(t))
		}
	})
}

func inMS(ms float64) string { return fmt.Sprintf("%.1fms", ms) }

// targetStates returns the states of a target, the choice first.
func targetStates(t *fleetview.ExplainedTarget) string {
	var states []string
	if t.Chosen {
		states = append(states, "chosen")
	}
	for _, state := range t.States {
		if state == fleetview.CandidatePaused {
			state += " " + milliseconds(t.PausedMS).String()
		}
		states = append(states, state)
	}
	if len(states) == 0 {
		return "-"
	}
	return strings.Join(states, ", ")
}
