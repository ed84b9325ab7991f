// Package routing holds the accepted configuration of a deployment: routes,
// services and limits, the table that matches requests, and the difference
// between two versions.
package routing

import "time"

// Kind tells what may be repeated.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "nonIdempotent"
	Download      Kind = "download" // idempotent, with large answers
)

// Kinds lists all kinds; daemons name them to one another by their index.
var Kinds = []Kind{Idempotent, NonIdempotent, Download}

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// Share is one part of a weighted split.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route sends requests of one host and path prefix to services.
type Route struct {
	Name      string        `json:"name"`
	Host      string        `json:"host"`
	Prefix    string        `json:"prefix"` // begins and ends with a slash
	Kind      Kind          `json:"kind"`
	Timeout   time.Duration `json:"timeout"`   // longest time to an answer
	Objective time.Duration `json:"objective"` // latency objective
	Attempts  int           `json:"attempts"`  // targets that one request may reach
	Priority  int           `json:"priority"`  // 0 is the highest
	Split     []Share       `json:"split"`     // never empty
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

func (r *Route) equal(o *Route) bool {
	if r == o {
		return true
	}
	if r.Host != o.Host || r.Prefix != o.Prefix || r.Kind != o.Kind || r.Timeout != o.Timeout ||
		r.Objective != o.Objective || r.Attempts != o.Attempts || r.Priority != o.Priority || len(r.Split) != len(o.Split) {
		return false
	}
	for i := range r.Split {
		if r.Split[i] != o.Split[i] {
			return false
		}
	}
	return true
}

// Service is what the configuration says of a service's targets.
type Service struct {
	Name        string `json:"name"`
	HealthPath  string `json:"healthPath"`
	Connections int    `json:"connections"` // that one target accepts
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"headerBytes"`
	BodyBytes     int64         `json:"bodyBytes"`
	HeaderTimeout time.Duration `json:"headerTimeout"`
	IdleTimeout   time.Duration `json:"idleTimeout"`
}

// Config is one accepted version of the configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []*Route  `json:"routes"` // not changed once the version is in force
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// share takes the unchanged routes of another version, so that several versions
// of many routes fit into memory.
func (c *Config) share(held *Config) {
	known := make(map[string]*Route, len(held.Routes))
	for _, route := range held.Routes {
		known[route.Name] = route
	}
	for i, route := range c.Routes {
		if old := known[route.Name]; old != nil && route.equal(old) {
			c.Routes[i] = old
		}
	}
}

// Delta turns the configuration of one version into that of another.
type Delta struct {
	From     uint64    `json:"from"`
	Version  uint64    `json:"version"`
	Set      []*Route  `json:"set,omitempty"`
	Removed  []string  `json:"removed,omitempty"`
	Services []Service `json:"services,omitempty"`
	Limits   Limits    `json:"limits"`
}

// Diff returns the delta from old to c.
func (c *Config) Diff(old *Config) *Delta {
	delta := &Delta{From: old.Version, Version: c.Version, Services: c.Services, Limits: c.Limits}
	before := make(map[string]*Route, len(old.Routes))
	for _, route := range old.Routes {
		before[route.Name] = route
	}
	for _, route := range c.Routes {
		previous, ok := before[route.Name]
		if !ok || !route.equal(previous) {
			delta.Set = append(delta.Set, route)
		}
		delete(before, route.Name)
	}
	for name := range before {
		delta.Removed = append(delta.Removed, name)
	}
	return delta
}

// Apply returns the configuration that the delta makes of c. It reports false
// if the delta starts from another version.
func (c *Config) Apply(delta *Delta) (*Config, bool) {
	if c.Version != delta.From {
		return nil, false
	}
	next := &Config{Version: delta.Version, Services: delta.Services, Limits: delta.Limits}
	changed := make(map[string]bool, len(delta.Set)+len(delta.Removed))
	for _, name := range delta.Removed {
		changed[name] = true
	}
	for _, route := range delta.Set {
		changed[route.Name] = true
	}
	for _, route := range c.Routes {
		if !changed[route.Name] {
			next.Routes = append(next.Routes, route)
		}
	}
	next.Routes = append(next.Routes, delta.Set...)
	return next, true
}
