package routing

import (
	"net"
	"strings"
	"sync/atomic"
)

// Table is a configuration compiled for matching requests. It is immutable.
type Table struct {
	Config   *Config
	hosts    map[string]map[string]*Route
	services map[string]*Service

	workspaces map[string]*Workspace
	keys       *keyIndex
}

// NewTable compiles a configuration.
func NewTable(c *Config) *Table {
	t := newTable(c)
	t.workspaces, t.keys = byName(c.Workspaces), newKeyIndex(c.Workspaces)
	return t
}

// newTableAfter compiles a configuration and shares what has not changed since the
// previous one.
func newTableAfter(previous *Table, c *Config) *Table {
	t := newTable(c)
	t.workspaces = byName(c.Workspaces)
	t.keys = previous.keys.update(previous.workspaces, c.Workspaces)
	return t
}

func newTable(c *Config) *Table {
	t := &Table{Config: c, hosts: make(map[string]map[string]*Route), services: make(map[string]*Service)}
	for _, route := range c.Routes {
		host := strings.ToLower(route.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][route.Prefix] = route
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Version returns the version of the configuration, 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.Config.Version
}

// Service returns the configuration of a service, or nil if there is none.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	return t.services[name]
}

// HasWorkspaces reports whether requests need a key of a workspace.
func (t *Table) HasWorkspaces() bool { return t != nil && len(t.workspaces) > 0 }

// WorkspaceByName returns a workspace, or nil if there is none with that name.
func (t *Table) WorkspaceByName(name string) *Workspace {
	if t == nil {
		return nil
	}
	return t.workspaces[name]
}

// Authenticate returns the workspace that a key belongs to, or nil if the key is not
// known.
func (t *Table) Authenticate(key KeyDigest) *Workspace {
	if !t.HasWorkspaces() || key.IsZero() {
		return nil
	}
	name, ok := t.keys.find(key)
	if !ok {
		return nil
	}
	return t.workspaces[name]
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	prefixes := t.hosts[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := prefixes[path[:end+1]]; ok {
			return route
		}
	}
	return nil
}

// Current holds the configuration in force. Its version never decreases.
type Current struct{ table atomic.Pointer[Table] }

// Load returns the table in force, or nil before the first one.
func (c *Current) Load() *Table { return c.table.Load() }

// Advance puts a configuration in force if it is newer than the current one.
// Current owns the configuration from then on: Advance may replace its routes
// and workspaces, and the caller must not modify it.
func (c *Current) Advance(config *Config) bool {
	var next *Table
	for {
		current := c.table.Load()
		if current != nil && current.Config.Version >= config.Version {
			return false
		}
		if next == nil {
			next = compile(current, config)
		}
		if c.table.CompareAndSwap(current, next) {
			return true
		}
	}
}

func compile(current *Table, config *Config) *Table {
	if current == nil {
		return NewTable(config)
	}
	reuseResources(byName(current.Config.Routes), config.Routes)
	reuseResources(current.workspaces, config.Workspaces)
	return newTableAfter(current, config)
}
