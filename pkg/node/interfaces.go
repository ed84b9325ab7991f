package node

import (
	"context"
	"net"
	"time"

	"nutmegstand.example/nutmegstand/pkg/evacuation"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/rollout"
	"nutmegstand.example/nutmegstand/pkg/routing"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// Operator provides the accepted configuration and the orders of moves, and accepts
// reports on the orders. Errors are those of package store, or errors of entries
// that cannot be decoded.
type Operator interface {
	// Config returns the accepted configuration and the store's revision.
	Config(ctx context.Context) (*routing.Config, int64, error)
	// WatchConfig waits for a newer configuration until ctx ends. It returns the
	// configuration, or nil if there is none, and the revision to continue from.
	WatchConfig(ctx context.Context, from int64) (*routing.Config, int64, error)
	// Orders returns all orders and the store's revision.
	Orders(ctx context.Context) ([]rollout.Order, int64, error)
	// WatchOrders waits for changed orders until ctx ends. It returns them and the
	// revision to continue from.
	WatchOrders(ctx context.Context, from int64) ([]rollout.Order, int64, error)
	// Evacuations returns the failure domains that the operator evacuates and the store's
	// revision.
	Evacuations(ctx context.Context) ([]string, int64, error)
	// WatchEvacuations waits for evacuations that begin or end until ctx ends. It returns
	// them in order, and the revision to continue from.
	WatchEvacuations(ctx context.Context, from int64) ([]evacuation.Event, int64, error)
	// ReportState reports the state of an order to the operator, see rollout.Records.
	ReportState(ctx context.Context, order *rollout.Order, state rollout.State) error
}

// Announcement is a heartbeat of a target.
type Announcement struct {
	ID         string
	Address    string
	Service    string
	Version    string
	Slots      int
	Leaving    bool
	Sequence   int64         // increases with each announcement of one start
	StartMS    int64         // start time of the target in Unix milliseconds, 0 if not given
	WarmupLeft time.Duration // remaining cold start
}

// AnnouncementHandler handles the heartbeats and removals of targets.
type AnnouncementHandler interface {
	// HandleAnnouncement records an announcement and reports whether it is accepted.
	HandleAnnouncement(a *Announcement) bool
	// HandleRemoval starts to drain a target that is being removed.
	HandleRemoval(id string)
	// AwaitDeparture waits until the departure of a target, which was announced or
	// requested before, is recorded so that it outlives the daemon. It returns false if
	// that takes too long; the departure must not be acknowledged then.
	AwaitDeparture(id string) bool
	// HandleUnreadable logs an announcement that cannot be decoded.
	HandleUnreadable(err error)
}

// Edge serves the HTTP interfaces that targets and the platform call.
type Edge interface {
	ServeAnnouncements(ctx context.Context, listener net.Listener, handler AnnouncementHandler) error
	ServeReadiness(ctx context.Context, listener net.Listener, ready func() bool) error
}

// Platform is the set of adapters between a daemon and the platform it runs on.
type Platform struct {
	Headers  proxy.HeaderNames
	Operator Operator
	Store    store.Store
	Edge     Edge
	// Eras holds the eras of the store. Those that peers report are added to it.
	Eras *store.Eras
	// ApplyBounds completes settings by the bounds that they contain. It may be nil.
	ApplyBounds func(*Settings) error
}
