package fleetview

// WorkspacesPath is the path of the workspaces on the metrics address of a daemon on the
// users' platform. It needs no token.
const WorkspacesPath = "/workspaces"

// Workspaces are the workspaces in the configuration in force at one daemon. They never
// include keys or digests of keys.
type Workspaces struct {
	Daemon        string      `json:"daemon"`
	ConfigVersion uint64      `json:"configVersion"`
	Workspaces    []Workspace `json:"workspaces"` // by name
}

// Workspace is a workspace with its limits.
type Workspace struct {
	Name     string  `json:"name"`
	Rate     float64 `json:"rate"`               // requests per second, 0 means no limit
	Burst    float64 `json:"burst"`              // requests above the rate
	Priority *int    `json:"priority,omitempty"` // replaces that of the route, absent if that applies
	Keys     int     `json:"keys"`               // number of keys
}
