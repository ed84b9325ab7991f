package config

// Route selects calls by host, path prefix and method, and defines how they are
// handled.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Path is a prefix that matches whole path segments.
	Path string `json:"path"`
	// Methods are the HTTP methods; an empty list matches all methods.
	Methods    []string `json:"methods,omitempty"`
	Idempotent bool     `json:"idempotent"`
	// Deadline is the time limit for the whole call, including all attempts.
	Deadline Duration `json:"deadline"`
	Retry    *Retry   `json:"retry,omitempty"`
	Limits   *Limits  `json:"limits,omitempty"`
}

// Retry limits the attempts of a call. A call that is not idempotent is retried
// only if the previous attempt is proven not to have run.
type Retry struct {
	// Attempts is the maximum number of attempts, including the first.
	Attempts int `json:"attempts"`
}

// Limits are the rate limits for calls that enter the mesh on a route.
type Limits struct {
	PerMember *Rate `json:"perMember,omitempty"`
}

// Rate is a token bucket rate limit.
type Rate struct {
	PerSecond float64 `json:"perSecond"`
	Burst     int     `json:"burst"`
}
