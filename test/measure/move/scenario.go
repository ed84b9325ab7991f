// Package move measures moves from one version of a service to another. It runs
// the production recorder, sums, judge, controller and chooser in virtual time
// with generated call outcomes.
package move

import (
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
)

// Fault is the kind of fault of the new version.
type Fault string

// Faults. A version with FaultHealth or FaultNone is good.
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

// Faults lists all faults.
var Faults = []Fault{
	FaultErrors, FaultLateErrors, FaultLoadErrors, FaultRouteErrors, FaultSlow, FaultLoadSlow, FaultCrash,
	FaultHealth, FaultNone,
}

// Good reports whether the move to the version should be completed.
func (f Fault) Good() bool { return f == FaultNone || f == FaultHealth }

// Condition is an event during the move that is independent of the new version's
// fault.
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

// Outage is an outage in the control plane.
type Outage string

// Outages.
const (
	OutageNone       Outage = "none"
	OutageController Outage = "controller_killed"
	OutageBoth       Outage = "controller_killed_and_store_down"
)

// Outages lists the outages that include the controller. The outage of the store
// alone is ConditionStore.
var Outages = []Outage{OutageController, OutageBoth}

// Traffic describes the calls to one service of a user at one time of day.
type Traffic struct {
	Name     string
	User     string
	Domains  []string
	Targets  int
	Slots    int
	Rate     float64 // calls/s
	Duration time.Duration
	Step     time.Duration // time step of the simulation
	Caution  config.Caution
}

// Traffics lists the traffic of the two users (docs/design.md, section 2.2). The
// rates by day and night are assumptions of this measurement.
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

// Policy is the policy that shifts calls to the new version.
type Policy string

// Policies: the controller and two baselines.
const (
	PolicyController Policy = "controller"
	PolicySchedule   Policy = "fixed_schedule"
	PolicyThreshold  Policy = "error_threshold"
)

// Scenario describes one run.
type Scenario struct {
	Fault     Fault
	Traffic   Traffic
	Condition Condition
	Outage    Outage
	Policy    Policy
	Seed      uint64
}

// Result is the result of one run.
type Result struct {
	Done         bool
	InTime       bool // the move ended with all calls on the new version by the time set for it
	TakenBack    bool
	FaultVisible bool // the fault affected a call during the move
	// TakeBackTime is the time from the first call affected by the fault to the last
	// call to the new version.
	TakeBackTime time.Duration
	// ExposureBefore is the number of calls to the new version before the fault
	// affected a call, as a share of the calls expected by the time set for the
	// move.
	ExposureBefore float64
	ExposureAfter  float64 // the same, from the first affected call on
	End            time.Duration
	Reason         string
}
