package admin

import (
	"context"
	"time"

	"nutmegstand.example/nutmegstand/pkg/accept"
	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/move"
)

// Configurations reads and changes the configuration; *accept.Acceptor is one.
type Configurations interface {
	Accept(ctx context.Context, r accept.Request) (accept.Result, error)
	Check(ctx context.Context, r accept.Request) (config.Diff, error)
	Get(ctx context.Context) (accept.Held, error)
}

// StatusProvider tells how far versions have come.
type StatusProvider interface {
	Status(ctx context.Context) (Status, error)
}

// MoveProvider tells the state of moves; an empty service means all.
type MoveProvider interface {
	Moves(ctx context.Context, service string) ([]MoveStatus, error)
}

// Explainer tells what the daemon would do with a call.
type Explainer interface {
	Explain(ctx context.Context, r ExplainRequest) (Explanation, error)
}

// Status is what one daemon knows of the fleet.
type Status struct {
	Daemon string `json:"daemon"`
	Domain string `json:"domain"`
	// Version is in force at this daemon.
	Version uint64 `json:"version"`
	// FleetVersion is the highest version that this daemon has heard of.
	FleetVersion uint64         `json:"fleetVersion"`
	Domains      []DomainStatus `json:"domains"`
	Store        StoreStatus    `json:"store"`
}

// DomainStatus is the progress of one failure domain.
type DomainStatus struct {
	Domain string `json:"domain"`
	// Version is the lowest version in force at any daemon of the domain.
	Version uint64 `json:"version"`
	Members int    `json:"members"`
	Behind  int    `json:"behind"`
	// BehindNames names some of the daemons that are behind.
	BehindNames []string `json:"behindNames,omitempty"`
	// AgeMS is the time since the domain last reported.
	AgeMS int64 `json:"ageMs"`
}

// StoreStatus tells whether the store answers.
type StoreStatus struct {
	Reachable bool `json:"reachable"`
	// StaleSince is when the store last answered, if it does not answer now.
	// What depends on it (acceptance, leases, final move states) is as of then.
	StaleSince *time.Time `json:"staleSince,omitempty"`
	Error      string     `json:"error,omitempty"`
}

// MoveState is the state of a move; see section 10 of the design page.
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
	// Share and NonIdempotentShare are the parts of calls, from 0 to 1, that
	// may go to the new version.
	Share              float64 `json:"share"`
	NonIdempotentShare float64 `json:"nonIdempotentShare"`
	Reason             string  `json:"reason,omitempty"`
	// Recorded is set if the state is recorded in the store.
	Recorded bool `json:"recorded"`
	// AgeMS is the time since the daemon last heard of the move.
	AgeMS int64 `json:"ageMs"`
	// Detail has the evidence by route, if a record of the move is stored.
	Detail *move.Report `json:"detail,omitempty"`
}

// ExplainRequest describes a call.
type ExplainRequest struct {
	Host   string `json:"host"`
	Path   string `json:"path"`
	Method string `json:"method"`
}

// Explanation tells what the daemon would do with a call, and why.
type Explanation struct {
	Version uint64 `json:"version"`
	Matched bool   `json:"matched"`
	// Reason tells why no route matches, or why no target side can be chosen.
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

// VersionShare is the part of calls that goes to one target version.
type VersionShare struct {
	Version string  `json:"version"`
	Share   float64 `json:"share"`
	Move    string  `json:"move,omitempty"`
}

// TargetChoice is one target side that the daemon may send the call to.
type TargetChoice struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	InUse   int    `json:"inUse"`
	Usable  bool   `json:"usable"`
	Reason  string `json:"reason,omitempty"`
}
