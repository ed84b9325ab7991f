package move

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// StateName is the name of a move's state in reports.
type StateName string

// States of a move.
const (
	StateWaiting   StateName = "waiting"
	StateMoving    StateName = "moving"
	StateHolding   StateName = "holding"
	StateDone      StateName = "done"
	StateTakenBack StateName = "taken back"
	StateLate      StateName = "late"
)

var stateNames = map[pb.MoveState]StateName{
	pb.MoveState_MOVE_WAITING:    StateWaiting,
	pb.MoveState_MOVE_MOVING:     StateMoving,
	pb.MoveState_MOVE_HOLDING:    StateHolding,
	pb.MoveState_MOVE_DONE:       StateDone,
	pb.MoveState_MOVE_TAKEN_BACK: StateTakenBack,
	pb.MoveState_MOVE_LATE:       StateLate,
}

// StateNameOf returns the name of a state.
func StateNameOf(state pb.MoveState) StateName { return stateNames[state] }

// Report is the state of a move for operators.
type Report struct {
	Identity
	State         StateName `json:"state"`
	Share         float64   `json:"share"`
	NonIdempotent float64   `json:"nonIdempotentShare"`
	By            time.Time `json:"by"`
	// ExpectedEnd is when all traffic is expected to be on the new version, or
	// when it first was. It is zero if that is unknown.
	ExpectedEnd time.Time `json:"expectedEnd,omitzero"`
	Ended       time.Time `json:"ended,omitzero"`
	// Reason explains why a move ended, or what a running one is waiting for.
	Reason string `json:"reason"`
	// Pending describes a decision that is in force but not yet recorded in the
	// store.
	Pending  string        `json:"pending,omitempty"`
	EValue   float64       `json:"eValue,omitempty"`
	Limit    float64       `json:"limit,omitempty"`
	Routes   []RouteReport `json:"routes,omitempty"`
	Replaced []Replacement `json:"replaced,omitempty"`
}

// RouteReport is the evidence of one route.
type RouteReport struct {
	Route      string        `json:"route"`
	Idempotent bool          `json:"idempotent"`
	Old        VersionReport `json:"old"`
	New        VersionReport `json:"new"`
}

// VersionReport is the evidence of one version on one route.
type VersionReport struct {
	Attempts uint64        `json:"attempts"`
	Failures uint64        `json:"failures"`
	Crashes  uint64        `json:"crashes"`
	Median   time.Duration `json:"medianNs"`
	Tail     time.Duration `json:"p95Ns"`
}

func versionReport(c *Counts) VersionReport {
	return VersionReport{
		Attempts: c.Attempts, Failures: c.Failures, Crashes: c.Crashes,
		Median: bucketEnd(c.Latency.quantile(medianQuantile)), Tail: bucketEnd(c.Latency.quantile(tailQuantile)),
	}
}

// routeReports returns the evidence by route name.
func (j *Judge) routeReports() []RouteReport {
	var reports []RouteReport
	for _, name := range slices.Sorted(maps.Keys(j.totals)) {
		t := j.totals[name]
		reports = append(reports, RouteReport{
			Route: name, Idempotent: j.plan.Routes[name], Old: versionReport(&t.Old), New: versionReport(&t.New),
		})
	}
	return reports
}

// Report converts a stored record to a report.
func (r *Record) Report() Report {
	report := Report{
		Identity: r.Identity, State: stateNames[r.Stage.State], Share: r.Stage.Share, NonIdempotent: r.Stage.NonIdempotent,
		By: r.By, ExpectedEnd: r.Stage.Full, Reason: r.Reason, Routes: r.Routes, Replaced: r.Replaced,
	}
	if r.ended() {
		report.Ended = r.At
	}
	return report
}

// String renders the report as plain text.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: move %q from %s to %s: %s\n", r.Service, r.Move, r.From, r.To, strings.ToUpper(string(r.State)))
	fmt.Fprintf(&b, "  %s\n", r.summary())
	if r.Pending != "" {
		fmt.Fprintf(&b, "  %s\n", r.Pending)
	}
	fmt.Fprintf(&b, "  why: %s\n", r.Reason)
	for i := range r.Routes {
		route := &r.Routes[i]
		fmt.Fprintf(&b, "  route %s: new %s; old %s\n", route.Route, route.New.text(), route.Old.text())
	}
	for i := range r.Replaced {
		fmt.Fprintf(&b, "  %s\n", r.Replaced[i].text())
	}
	return b.String()
}

func (r *Report) summary() string {
	by := r.By.UTC().Format(time.RFC3339)
	switch r.State {
	case StateDone:
		return fmt.Sprintf("all traffic is on %s since %s (set time %s). Nothing to do.", r.To, r.ExpectedEnd.UTC().Format(time.RFC3339), by)
	case StateTakenBack:
		return fmt.Sprintf("all traffic is on %s; %s gets no calls until a new move is accepted. Ended %s (set time %s).",
			r.From, r.To, r.Ended.UTC().Format(time.RFC3339), by)
	default:
		end := "not known"
		if !r.ExpectedEnd.IsZero() {
			end = r.ExpectedEnd.UTC().Format(time.RFC3339)
		}
		return fmt.Sprintf("%.3g%% of idempotent and %.3g%% of other calls go to %s. Set time %s, expected %s.",
			r.Share*100, r.NonIdempotent*100, r.To, by, end)
	}
}

func (v *VersionReport) text() string {
	return fmt.Sprintf("%d of %d failed, %d crashed, median %v, p95 %v", v.Failures, v.Attempts, v.Crashes,
		v.Median.Round(100*time.Microsecond), v.Tail.Round(100*time.Microsecond))
}

func (r *Replacement) text() string {
	author := ""
	if r.Author != "" {
		author = " by " + r.Author
	}
	return fmt.Sprintf("generation %d (%s to %s, %s at %.3g%%) was replaced by generation %d%s at %s",
		r.Generation, r.From, r.To, stateNames[r.State], r.Share*100, r.ByGeneration, author, r.At.UTC().Format(time.RFC3339))
}
