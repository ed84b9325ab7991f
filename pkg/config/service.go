package config

// Service is a group of targets that do the same work, with its routes and
// moves. It is the unit that a file replaces as a whole.
type Service struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// Version is the target version that takes all calls while no move has
	// shifted traffic away from it.
	Version string `json:"version"`
	// Slots is the number of calls that one target works on at a time.
	Slots int `json:"slots"`
	// Connections is the number of connections that one target accepts.
	Connections int `json:"connections"`
	// ColdStart is the time in which a new target reaches its full speed.
	ColdStart Duration `json:"coldStart,omitempty"`
	// DependsOn names the services that the targets of this service call.
	DependsOn []string `json:"dependsOn,omitempty"`
	Routes    []Route  `json:"routes,omitempty"`
	Moves     []Move   `json:"moves,omitempty"`
}
