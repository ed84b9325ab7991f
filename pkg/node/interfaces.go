package node

import (
	"context"
	"net"
	"time"

	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/rollout"
	"nutmegstand.example/nutmegstand/pkg/routing"
	"nutmegstand.example/nutmegstand/pkg/store"
)

// Operator is where the operator keeps the accepted configuration and orders
// moves. Errors are those of package store, or say that an entry cannot be read.
type Operator interface {
	// Config returns the accepted configuration and the store's revision.
	Config(ctx context.Context) (*routing.Config, int64, error)
	// WatchConfig waits for a newer configuration until ctx ends. It returns nil
	// without one, and the revision to go on from.
	WatchConfig(ctx context.Context, from int64) (*routing.Config, int64, error)
	// Orders returns all orders and the store's revision.
	Orders(ctx context.Context) ([]rollout.Order, int64, error)
	// WatchOrders waits for changed orders until ctx ends.
	WatchOrders(ctx context.Context, from int64) ([]rollout.Order, int64, error)
	// ReportState tells the operator the state of an order.
	ReportState(ctx context.Context, order *rollout.Order, state rollout.State) error
}

// Announcement is what a target says of itself.
type Announcement struct {
	ID       string
	Address  string
	Service  string
	Version  string
	Slots    int
	Leaving  bool
	Sequence int64         // grows with each announcement of one start
	Born     int64         // Unix milliseconds of the target's start, 0 if not stated
	WarmLeft time.Duration // rest of its cold start
}

// Announcer takes what targets say of themselves.
type Announcer interface {
	// Announce reports whether the announcement is accepted.
	Announce(a *Announcement) bool
	// Remove ends a target that leaves.
	Remove(id string)
	// Unreadable notes an announcement that names no target.
	Unreadable(err error)
}

// Edge serves the interfaces that the deployment calls.
type Edge interface {
	ServeAnnouncements(ctx context.Context, listener net.Listener, targets Announcer) error
	ServeReadiness(ctx context.Context, listener net.Listener, ready func() bool) error
}

// Platform is what an adapter provides.
type Platform struct {
	Headers  proxy.HeaderNames
	Operator Operator
	Store    store.Store
	Edge     Edge
}
