package config

// Route selects calls by host, path prefix and method, and says how they are
// handled.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Path is a prefix that matches whole path segments.
	Path string `json:"path"`
	// Methods are the HTTP methods; none means all.
	Methods    []string `json:"methods,omitempty"`
	Idempotent bool     `json:"idempotent"`
	// Deadline bounds the whole call with its attempts.
	Deadline Duration `json:"deadline"`
	Retry    *Retry   `json:"retry,omitempty"`
	Limits   *Limits  `json:"limits,omitempty"`
}

// Retry bounds the attempts of a call. A call that is not idempotent is tried
// again only after a proved "not run".
type Retry struct {
	// Attempts counts the first attempt.
	Attempts int `json:"attempts"`
}

// Limits bounds the calls that enter the mesh on a route.
type Limits struct {
	PerMember *Rate `json:"perMember,omitempty"`
}

// Rate is a token bucket.
type Rate struct {
	PerSecond float64 `json:"perSecond"`
	Burst     int     `json:"burst"`
}
