// Package routing provides the accepted configuration of a deployment (routes,
// services, limits and workspaces), the table that matches requests against the routes, and
// the deltas between versions of the configuration.
package routing

import "time"

// Kind is the kind of a route. It determines whether requests may be retried.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonIdempotent"
	Download      Kind = "download" // idempotent, with large responses
)

// Kinds lists all kinds. Daemons identify a kind to their peers by its index here.
var Kinds = []Kind{Idempotent, NonIdempotent, Download}

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// Share is one part of a weighted split.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route routes the requests for one host and path prefix to services.
type Route struct {
	Name      string        `json:"name"`
	Host      string        `json:"host"`
	Prefix    string        `json:"prefix"` // starts and ends with a slash
	Kind      Kind          `json:"kind"`
	Timeout   time.Duration `json:"timeout"`          // maximum time to a response
	Objective time.Duration `json:"objective"`        // latency objective
	Attempts  int           `json:"attempts"`         // maximum number of targets that one request may reach
	Priority  int           `json:"priority"`         // 0 is the highest
	Split     []Share       `json:"split"`            // never empty
	Exempt    bool          `json:"exempt,omitempty"` // requests need no key of a workspace
}

// Allows reports whether the route sends requests to a service.
func (r *Route) Allows(service string) bool {
	for _, share := range r.Split {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

func (r *Route) name() string { return r.Name }

func (r *Route) equal(o *Route) bool {
	if r == o {
		return true
	}
	if r.Host != o.Host || r.Prefix != o.Prefix || r.Kind != o.Kind || r.Timeout != o.Timeout ||
		r.Objective != o.Objective || r.Attempts != o.Attempts || r.Priority != o.Priority || r.Exempt != o.Exempt || len(r.Split) != len(o.Split) {
		return false
	}
	for i := range r.Split {
		if r.Split[i] != o.Split[i] {
			return false
		}
	}
	return true
}

// Service is the configuration of a service's targets.
type Service struct {
	Name        string `json:"name"`
	HealthPath  string `json:"healthPath"`
	Connections int    `json:"connections"` // maximum number that one target accepts
	// ColdTime is how long a target is cold after its start, 0 if it never is.
	ColdTime time.Duration `json:"coldTime,omitempty"`
	// ColdRate is the number of requests per second that a cold target tolerates, 0
	// for no limit.
	ColdRate float64 `json:"coldRate,omitempty"`
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Config is one accepted version of the configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []*Route  `json:"routes"` // immutable once the version is in force
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// Workspaces are immutable once the version is in force. If there is none, requests
	// need no keys.
	Workspaces []*Workspace `json:"workspaces,omitempty"`
}

// Delta is the difference between two versions of the configuration.
type Delta struct {
	From     uint64    `json:"from"`
	Version  uint64    `json:"version"`
	Set      []*Route  `json:"set,omitempty"`
	Removed  []string  `json:"removed,omitempty"`
	Services []Service `json:"services,omitempty"`
	Limits   Limits    `json:"limits"`

	SetWorkspaces     []*Workspace `json:"setWorkspaces,omitempty"`
	RemovedWorkspaces []string     `json:"removedWorkspaces,omitempty"`
}

// Diff returns the delta from old to c.
func (c *Config) Diff(old *Config) *Delta {
	delta := &Delta{From: old.Version, Version: c.Version, Services: c.Services, Limits: c.Limits}
	delta.Set, delta.Removed = diffResources(old.Routes, c.Routes)
	delta.SetWorkspaces, delta.RemovedWorkspaces = diffResources(old.Workspaces, c.Workspaces)
	return delta
}

// Apply returns the configuration that results from applying the delta to c. It
// reports false if the delta does not start from the version of c.
func (c *Config) Apply(delta *Delta) (*Config, bool) {
	if c.Version != delta.From {
		return nil, false
	}
	next := &Config{Version: delta.Version, Services: delta.Services, Limits: delta.Limits}
	next.Routes = applyResources(c.Routes, delta.Set, delta.Removed)
	next.Workspaces = applyResources(c.Workspaces, delta.SetWorkspaces, delta.RemovedWorkspaces)
	return next, true
}
