// Package quota keeps the requests of each workspace below its limit, summed over all
// daemons. Permission to run is granted in advance: one daemon, the accountant of the
// workspace, holds a token bucket and grants permits that lapse after a short time;
// the other daemons keep them in stock. docs/design/workspace-limits.md derives the
// bound that holds for all daemons together.
package quota

import "time"

// Limit is the limit of a workspace.
type Limit struct {
	Rate  float64 // requests per second
	Burst float64 // requests that may run at once after a pause
}

// Bounds state how far the requests that run within a window may exceed a limit: at
// most (Rate x Window + Burst) x (1 + Overrun) + Slack run in any Window.
type Bounds struct {
	Window  time.Duration
	Overrun float64
	Slack   float64 // requests
}

// Runs returns the number of requests that may run within any window.
func (b Bounds) Runs(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overrun) + b.Slack
}

// spare is the part of the bound that is not needed for the rate and the burst. Half
// of it enlarges the bucket, the other half is for grants of a daemon that cannot know
// whether another one grants too.
func (b Bounds) spare(l Limit) float64 { return b.Overrun*l.Rate*b.Window.Seconds() + b.Slack }

// capacity is the largest sum of the tokens and the outstanding permits of a bucket.
func (b Bounds) capacity(l Limit) float64 { return l.Burst + b.spare(l)/2 }

// reserveBurst is the part of a reserve that may be granted at once; the rest becomes
// available over one window.
const reserveBurst = 0.5

// reserve returns the burst and the rate at which a daemon that is not in charge
// grants. At most one daemon does so at a time.
func (b Bounds) reserve(l Limit) Limit {
	total := b.spare(l)/2 + b.Overrun*l.Burst
	return Limit{Burst: total * reserveBurst, Rate: total * (1 - reserveBurst) / b.Window.Seconds()}
}
