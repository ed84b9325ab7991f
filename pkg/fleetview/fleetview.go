// Package fleetview defines what a daemon on the users' platform shows operators of the
// fleet: its peers and their targets, as it sees them.
package fleetview

import (
	"cmp"
	"slices"
	"time"
)

// Path is the path of the fleet view on the metrics address of a daemon on the
// users' platform. It needs no token.
const Path = "/fleet"

// States of a daemon in a fleet view.
const (
	DaemonLive     = "live"
	DaemonSilent   = "silent"   // no recent heartbeat
	DaemonStopping = "stopping" // takes no roles, still accepts calls
	DaemonLeaving  = "leaving"  // accepts no calls
)

// States of a target in a fleet view.
const (
	TargetReady   = "ready"
	TargetLeaving = "leaving"
	TargetDown    = "down"
)

// View is the fleet as one daemon sees it. It is read from the memory of that
// daemon and causes no store call.
type View struct {
	Daemon        string         `json:"daemon"`
	ConfigVersion uint64         `json:"configVersion"`         // in force at the daemon
	Members       []Member       `json:"members"`               // by name
	Zones         []Zone         `json:"zones"`                 // by name
	Refusals      map[string]int `json:"refusals"`              // of the daemon's own target, by reason, since its start
	Evacuations   []Evacuation   `json:"evacuations,omitempty"` // in force, by zone
}

// Evacuation is the evacuation of one failure domain.
type Evacuation struct {
	Zone  string    `json:"zone"`
	Since time.Time `json:"since"` // when a daemon first read it from the store
}

// Member is one daemon with its target.
type Member struct {
	Name          string  `json:"name"`
	Zone          string  `json:"zone"`
	State         string  `json:"state"`
	SilentMS      int64   `json:"silentMS"`      // since the last heartbeat
	ConfigVersion uint64  `json:"configVersion"` // at least this version is in force, 0 if not known
	Target        *Target `json:"target,omitempty"`
}

// Target is the target beside a daemon. Its load is known to daemons that send it
// calls.
type Target struct {
	ID        string `json:"id"`
	Service   string `json:"service"`
	Version   string `json:"version"`
	State     string `json:"state"`
	Slots     int    `json:"slots"`
	Busy      int    `json:"busy"`
	Queued    int    `json:"queued"`
	LoadAgeMS int64  `json:"loadAgeMS"` // -1 if the load is not known
}

// Zone counts the daemons and targets of one failure domain.
type Zone struct {
	Zone          string         `json:"zone"`
	Daemons       map[string]int `json:"daemons"` // by state
	Targets       map[string]int `json:"targets"` // by state
	LowestVersion uint64         `json:"lowestVersion"`
	LongestSilent int64          `json:"longestSilentMS"`
}

// Summarize counts the members by zone. Members must be ordered by name.
func Summarize(members []Member) []Zone {
	byZone := make(map[string]*Zone)
	var zones []*Zone
	for _, m := range members {
		z := byZone[m.Zone]
		if z == nil {
			z = &Zone{Zone: m.Zone, Daemons: map[string]int{}, Targets: map[string]int{}}
			byZone[m.Zone] = z
			zones = append(zones, z)
		}
		z.Daemons[m.State]++
		z.LongestSilent = max(z.LongestSilent, m.SilentMS)
		if m.Target != nil {
			z.Targets[m.Target.State]++
		}
		if m.ConfigVersion > 0 && (z.LowestVersion == 0 || m.ConfigVersion < z.LowestVersion) {
			z.LowestVersion = m.ConfigVersion
		}
	}
	slices.SortFunc(zones, func(a, b *Zone) int { return cmp.Compare(a.Zone, b.Zone) })
	summaries := make([]Zone, len(zones))
	for i, z := range zones {
		summaries[i] = *z
	}
	return summaries
}
