// Package move measures moves: the real recorder, sums, judge, controller and
// chooser, driven in virtual time by a generator of call outcomes.
package move

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
)

// Fault is how the new version is bad.
type Fault string

// Faults. The last two are good versions.
const (
	FaultErrors      Fault = "errors"
	FaultLateErrors  Fault = "errors_after_minutes"
	FaultLoadErrors  Fault = "errors_beyond_load"
	FaultRouteErrors Fault = "errors_on_one_route"
	FaultSlow        Fault = "slow"
	FaultLoadSlow    Fault = "slow_under_load"
	FaultCrash       Fault = "crash"
	FaultHealth      Fault = "wrong_health"
	FaultNone        Fault = "none"
)

// Faults lists all fault kinds.
var Faults = []Fault{
	FaultErrors, FaultLateErrors, FaultLoadErrors, FaultRouteErrors, FaultSlow, FaultLoadSlow, FaultCrash,
	FaultHealth, FaultNone,
}

// Good reports whether the version should be completed.
func (f Fault) Good() bool { return f == FaultNone || f == FaultHealth }

// Condition is something else that happens during the move.
type Condition string

// Conditions.
const (
	ConditionNone       Condition = "none"
	ConditionColdStart  Condition = "cold_start"
	ConditionDependency Condition = "dependency_failing"
	ConditionCallee     Condition = "callee_moves"
	ConditionCrashCall  Condition = "crashing_request"
	ConditionReturn     Condition = "return_of_clients"
	ConditionStore      Condition = "store_outage"
)

// Conditions lists all conditions.
var Conditions = []Condition{
	ConditionNone, ConditionColdStart, ConditionDependency, ConditionCallee, ConditionCrashCall, ConditionReturn,
	ConditionStore,
}

// Outage is a failure of the control part.
type Outage string

// Outages.
const (
	OutageNone       Outage = "none"
	OutageController Outage = "controller_killed"
	OutageBoth       Outage = "controller_killed_and_store_down"
)

// Outages lists the failures of the control part. The outage of the store
// alone is ConditionStore.
var Outages = []Outage{OutageController, OutageBoth}

// Traffic is the calls to one service of a user at one time of day.
type Traffic struct {
	Name     string
	User     string
	Domains  []string
	Targets  int
	Slots    int
	Rate     float64 // calls/s
	Duration time.Duration
	Step     time.Duration // resolution of the run
	Caution  config.Caution
}

// Traffics of the two users (docs/design.md 2.2). The rates by day and night
// are assumptions of this measurement.
var Traffics = []Traffic{
	{
		Name: "inzuzi_day", User: "inzuzi", Domains: []string{"kgl-a", "kgl-b", "kgl-c"}, Targets: 10, Slots: 10,
		Rate: 100, Duration: 10 * time.Minute, Step: 500 * time.Millisecond, Caution: config.CautionNormal,
	},
	{
		Name: "inzuzi_night", User: "inzuzi", Domains: []string{"kgl-a", "kgl-b", "kgl-c"}, Targets: 10, Slots: 10,
		Rate: 2, Duration: 30 * time.Minute, Step: time.Second, Caution: config.CautionNormal,
	},
	{
		Name: "lumiere_day", User: "lumiere", Domains: []string{"sfax-nord", "sfax-sud", "sakiet", "thyna"}, Targets: 7, Slots: 6,
		Rate: 40, Duration: 10 * time.Minute, Step: 500 * time.Millisecond, Caution: config.CautionHigh,
	},
	{
		Name: "lumiere_night", User: "lumiere", Domains: []string{"sfax-nord", "sfax-sud", "sakiet", "thyna"}, Targets: 7, Slots: 6,
		Rate: 4.0 / 60, Duration: 4 * time.Hour, Step: 6 * time.Second, Caution: config.CautionHigh,
	},
}

// Policy is what shifts the traffic.
type Policy string

// Policies: the controller and two baselines.
const (
	PolicyController Policy = "controller"
	PolicySchedule   Policy = "fixed_schedule"
	PolicyThreshold  Policy = "error_threshold"
)

// Scenario is one run.
type Scenario struct {
	Fault     Fault
	Traffic   Traffic
	Condition Condition
	Outage    Outage
	Policy    Policy
	Seed      uint64
}

// Result is what one run showed.
type Result struct {
	Done      bool
	InTime    bool // all traffic on the new version by the set time, and done
	TakenBack bool
	Showed    bool // the fault showed while the move was under way
	// TakeBackTime is from the first showing to the last call to the new version.
	TakeBackTime time.Duration
	// Before is the number of calls that the new version got before its fault
	// showed, as a share of the calls expected until the set time.
	Before float64
	After  float64 // and after
	End    time.Duration
	Reason string
}
