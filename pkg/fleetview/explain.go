package fleetview

// ExplainPath is the path of explanations on the metrics address of a daemon on the
// users' platform. The query has the parameters host, path, method, workspace and
// remaining_ms, of which the last three are optional. It needs no token.
const ExplainPath = "/explain"

// Outcomes of an explanation.
const (
	OutcomeSent    = "sent"    // the request would be sent to a target
	OutcomeRefused = "refused" // the request would not run
)

// States of a target in an explanation.
const (
	CandidateOtherVersion = "other_version" // a move keeps the request from this version
	CandidateEvacuated    = "evacuated"
	CandidateUnavailable  = "unavailable" // leaving, down or silent
	CandidatePaused       = "paused"      // after failures
	CandidateCold         = "cold"
	CandidateFull         = "full" // the request would wait too long for a slot
)

// Explanation says where a request that is described, not sent, would go now and why, as
// one daemon sees it. It never includes keys or digests of keys.
type Explanation struct {
	Daemon        string              `json:"daemon"`
	ConfigVersion uint64              `json:"configVersion"`
	Host          string              `json:"host"`
	Path          string              `json:"path"`
	Method        string              `json:"method"`
	Outcome       string              `json:"outcome"` // if there are several choices, that of the likeliest
	Reason        string              `json:"reason"`
	Detail        string              `json:"detail"`
	Status        int                 `json:"status,omitempty"` // of a refusal
	RetryAfterMS  int64               `json:"retryAfterMS,omitempty"`
	Route         *ExplainedRoute     `json:"route,omitempty"`
	Workspace     *ExplainedWorkspace `json:"workspace,omitempty"`
	Choices       []ExplainedChoice   `json:"choices,omitempty"`
}

// ExplainedRoute is the route of a request.
type ExplainedRoute struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int64  `json:"timeoutMS"`
	ObjectiveMS int64  `json:"objectiveMS"`
	Attempts    int    `json:"attempts"`
	Priority    int    `json:"priority"` // of the request: the workspace may replace that of the route
	Exempt      bool   `json:"exempt"`   // needs no key
	AgeMS       int64  `json:"ageMS"`    // estimated from the remaining time
}

// ExplainedWorkspace is the workspace of a request and what the daemon knows of its limit.
type ExplainedWorkspace struct {
	Name       string  `json:"name"`
	Rate       float64 `json:"rate"` // requests per second, 0 means no limit
	Burst      float64 `json:"burst"`
	Enforced   bool    `json:"enforced"`             // this daemon needs permits for its requests
	Accountant string  `json:"accountant,omitempty"` // the daemon that grants permits
	Permits    int     `json:"permits"`              // in the stock of this daemon
	Demand     float64 `json:"demand"`               // requests per second at this daemon
	OverLimit  bool    `json:"overLimit"`            // as far as this daemon knows
}

// ExplainedChoice is the choice among the targets of one service and version.
type ExplainedChoice struct {
	Service string            `json:"service"`
	Share   float64           `json:"share"` // of the requests that are described so
	Outcome string            `json:"outcome"`
	Reason  string            `json:"reason"`
	Detail  string            `json:"detail"`
	Target  string            `json:"target,omitempty"`  // the chosen one
	Targets []ExplainedTarget `json:"targets,omitempty"` // all of the service
}

// ExplainedTarget is a target with its evaluation.
type ExplainedTarget struct {
	Target    string   `json:"target"`
	Daemon    string   `json:"daemon"`
	Zone      string   `json:"zone"`
	OwnZone   bool     `json:"ownZone"`
	Version   string   `json:"version"`
	Chosen    bool     `json:"chosen"`
	States    []string `json:"states,omitempty"`
	Evaluated bool     `json:"evaluated"` // the values up to load apply
	// ExpectedMS compares targets: run, wait and network time, raised for failures and
	// full targets, with some jitter.
	ExpectedMS  float64 `json:"expectedMS"`
	RunMS       float64 `json:"runMS"`
	WaitMS      float64 `json:"waitMS"`
	NetworkMS   float64 `json:"networkMS"`
	Load        float64 `json:"load"`      // running and waiting requests relative to the slots
	LoadAgeMS   int64   `json:"loadAgeMS"` // -1 if no load is known
	PausedMS    int64   `json:"pausedMS,omitempty"`
	FailureRate float64 `json:"failureRate"`
}
