package admin

import (
	"context"
	"time"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/move"
)

// Configurations reads and changes the configuration. *accept.Acceptor
// implements it.
type Configurations interface {
	Accept(ctx context.Context, r accept.Request) (accept.Result, error)
	Check(ctx context.Context, r accept.Request) (config.Diff, error)
	Get(ctx context.Context) (accept.Current, error)
}

// StatusProvider reports the rollout progress of versions.
type StatusProvider interface {
	Status(ctx context.Context) (Status, error)
}

// MoveProvider reports the state of moves; an empty service selects all.
type MoveProvider interface {
	Moves(ctx context.Context, service string) ([]MoveStatus, error)
}

// Explainer explains how the daemon would route a call.
type Explainer interface {
	Explain(ctx context.Context, r ExplainRequest) (Explanation, error)
}

// Status is the state of the fleet as seen by one daemon.
type Status struct {
	Daemon string `json:"daemon"`
	Domain string `json:"domain"`
	// Version is the version in force at this daemon.
	Version uint64 `json:"version"`
	// FleetVersion is the highest version known to this daemon.
	FleetVersion uint64         `json:"fleetVersion"`
	Domains      []DomainStatus `json:"domains"`
	Store        StoreStatus    `json:"store"`
}

// DomainStatus is the rollout progress in one failure domain.
type DomainStatus struct {
	Domain string `json:"domain"`
	// Version is the lowest version in force at any daemon of the domain.
	Version uint64 `json:"version"`
	Members int    `json:"members"`
	Behind  int    `json:"behind"`
	// BehindNames is a sample of the daemons that are behind.
	BehindNames []string `json:"behindNames,omitempty"`
	// AgeMS is the time since the last report of the domain, in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

// StoreStatus reports whether the store is reachable.
type StoreStatus struct {
	Reachable bool `json:"reachable"`
	// StaleSince is the time at which the daemon's store calls began to fail or, if
	// that is not known, the time of the last response to a status request. It is
	// set only while the store is unreachable. Data that depends on the store
	// (acceptance, leases, final move states) may be out of date since then.
	StaleSince *time.Time `json:"staleSince,omitempty"`
	Error      string     `json:"error,omitempty"`
}

// MoveState is the state of a move; see section 10 of the design document.
type MoveState string

// Move states.
const (
	MoveWaiting   MoveState = "waiting"
	MoveMoving    MoveState = "moving"
	MoveHolding   MoveState = "holding"
	MoveDone      MoveState = "done"
	MoveTakenBack MoveState = "taken_back"
	MoveLate      MoveState = "late"
)

// MoveStatus is the state of one move.
type MoveStatus struct {
	Service    string    `json:"service"`
	Move       string    `json:"move"`
	From       string    `json:"from"`
	To         string    `json:"to"`
	By         time.Time `json:"by"`
	Generation uint64    `json:"generation"`
	State      MoveState `json:"state"`
	// Share and NonIdempotentShare are the fractions of calls, from 0 to 1, that
	// may be sent to the new version.
	Share              float64 `json:"share"`
	NonIdempotentShare float64 `json:"nonIdempotentShare"`
	Reason             string  `json:"reason,omitempty"`
	// Recorded is set if the state comes from a record in the store.
	Recorded bool `json:"recorded"`
	// AgeMS is the time since the daemon last received an update of the move, in
	// milliseconds.
	AgeMS int64 `json:"ageMs"`
	// Detail is the evidence for each route; set only if the store has a record
	// of the move.
	Detail *move.Report `json:"detail,omitempty"`
}

// ExplainRequest describes the call to explain.
type ExplainRequest struct {
	Host   string `json:"host"`
	Path   string `json:"path"`
	Method string `json:"method"`
}

// Explanation describes how the daemon would route a call, and why.
type Explanation struct {
	Version uint64 `json:"version"`
	Matched bool   `json:"matched"`
	// Reason explains why no route matches or no target can be selected.
	Reason     string         `json:"reason,omitempty"`
	Service    string         `json:"service,omitempty"`
	Team       string         `json:"team,omitempty"`
	Route      string         `json:"route,omitempty"`
	Idempotent bool           `json:"idempotent"`
	DeadlineMS int64          `json:"deadlineMs,omitempty"`
	Attempts   int            `json:"attempts,omitempty"`
	Versions   []VersionShare `json:"versions,omitempty"`
	Targets    []TargetChoice `json:"targets,omitempty"`
}

// VersionShare is the fraction of calls that is sent to one target version.
type VersionShare struct {
	Version string  `json:"version"`
	Share   float64 `json:"share"`
	Move    string  `json:"move,omitempty"`
}

// TargetChoice is one target to which the daemon may send the call.
type TargetChoice struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	InUse   int    `json:"inUse"`
	Usable  bool   `json:"usable"`
	Reason  string `json:"reason,omitempty"`
}
