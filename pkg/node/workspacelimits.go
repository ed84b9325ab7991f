package node

import (
	"context"
	"time"

	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/quota"
)

const (
	// observeMembersInterval is the interval at which the members are read for the
	// limits of workspaces.
	observeMembersInterval = 250 * time.Millisecond
	// maxLimitWindow is the longest window that package quota can bound.
	maxLimitWindow = time.Minute
)

// WorkspaceLimits bound the requests of a workspace that run within a window: at most
// (rate x window + burst) x (1 + overrun) + slack.
type WorkspaceLimits struct {
	Window  Milliseconds `json:"windowMS"`
	Overrun float64      `json:"overrun"`
	Slack   float64      `json:"slack"` // requests
}

// check reports the values that are not allowed.
func (l *WorkspaceLimits) check(add func(path string, value any, allowed string)) {
	if l == nil {
		return
	}
	if l.Window.Duration() < time.Second || l.Window.Duration() > maxLimitWindow {
		add("workspaceLimits.windowMS", l.Window, "1000 to 60000")
	}
	if l.Overrun < 0 {
		add("workspaceLimits.overrun", l.Overrun, "0 or more")
	}
	if l.Slack < 0 {
		add("workspaceLimits.slack", l.Slack, "0 or more requests")
	}
}

// workspaceLimit returns the limit of a workspace. It reports false if it has none.
func (n *Node) workspaceLimit(workspace string) (quota.Limit, bool) {
	w := n.config.Load().WorkspaceByName(workspace)
	if w == nil || w.Rate <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: w.Rate, Burst: w.Burst}, true
}

// buildLimiter builds the limiter if the settings bound the workspaces.
func (n *Node) buildLimiter() error {
	l := n.settings.WorkspaceLimits
	if l == nil {
		return nil
	}
	metrics, err := quota.NewMetrics(n.metrics.Meter)
	if err != nil {
		return err
	}
	n.quotaMembers = quota.NewMembers(n.settings.Name, quotaSource{n}, n.startedAt)
	n.limiter = quota.NewLimiter(quota.Options{
		Self: n.settings.Name, Clock: n.clock, Members: n.quotaMembers, Limit: n.workspaceLimit,
		Bounds: quota.Bounds{Window: l.Window.Duration(), Overrun: l.Overrun, Slack: l.Slack},
		Send:   n.fleet.SendPermitRequests, Logger: n.logger, Metrics: metrics,
		// The start time in milliseconds is above the sequence numbers of earlier
		// processes as long as they sent fewer than 1,000 requests a second.
		FirstSequence: n.table.Local().Incarnation,
	})
	n.fleet.HandlePermitRequests = func(from string, requests []*pb.PermitRequest) []*pb.PermitGrant {
		return n.limiter.HandleRequests(from, requests)
	}
	n.fleet.HandlePermitGrants = func(from string, grants []*pb.PermitGrant) { n.limiter.HandleGrants(from, grants) }
	return nil
}

// ingressLimiter returns the limiter of the caller side, nil if there is none.
func (n *Node) ingressLimiter() proxy.Limiter {
	if n.limiter == nil {
		return nil
	}
	return n.limiter
}

// observeMembers passes the members to the limiter until ctx ends.
func (n *Node) observeMembers(ctx context.Context) {
	ticker := time.NewTicker(observeMembersInterval)
	defer ticker.Stop()
	for {
		n.quotaMembers.Observe(n.clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// quotaSource reads the members from the table.
type quotaSource struct{ node *Node }

var _ quota.Source = quotaSource{}

// Version implements quota.Source.
func (s quotaSource) Version() uint64 { return s.node.table.Version() }

// Members implements quota.Source.
func (s quotaSource) Members() []quota.Member {
	now := s.node.clock.Now()
	started := s.node.table.Local().Incarnation // Each holds the lock of the table
	var members []quota.Member
	s.node.table.Each(func(m *fleet.Member) {
		members = append(members, quota.Member{
			Candidate: fleet.Candidate{Name: m.Name, LinkMbps: m.State.LinkMbps, Cores: m.State.Cores},
			Live:      m.Live(now), Retired: m.State.Stopping || m.State.Leaving, Leaving: m.State.Leaving,
			HeartbeatAge: now.Sub(m.LastHeartbeat),
			Older:        m.Incarnation+uint64(olderPeerAge.Milliseconds()) < started,
		})
	})
	return members
}

// Expected implements quota.Source. While the store does not answer, a daemon relies
// on peers that have been there for longer.
func (s quotaSource) Expected() (int, bool) {
	n := s.node
	known := n.registered.Load() || mostAreOlder(n.table.Live(), n.table.Local().Incarnation)
	return int(n.listedDaemons.Load()), known
}
