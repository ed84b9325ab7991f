package config

// Service is a group of interchangeable targets with its routes and moves. A file
// always replaces the whole definition of a service.
type Service struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// Version is the target version that receives all calls until a move shifts
	// traffic to another version.
	Version string `json:"version"`
	// Slots is the number of calls that one target processes concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that one target accepts.
	Connections int `json:"connections"`
	// ColdStart is the warm-up time of a new target until it reaches full speed.
	ColdStart Duration `json:"coldStart,omitempty"`
	// DependsOn names the services that the targets of this service call.
	DependsOn []string `json:"dependsOn,omitempty"`
	Routes    []Route  `json:"routes,omitempty"`
	Moves     []Move   `json:"moves,omitempty"`
}
