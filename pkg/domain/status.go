package domain

import (
	"context"
	"slices"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Status is the state of a daemon in its failure domain.
type Status struct {
	Name           string
	Domain         string
	Incarnation    uint64
	Version        uint64 // configuration version in force
	FloorKnown     bool
	Floor          uint64
	FloorFromStore bool // read from the store, not received from distributors
	Ready          bool
	Distributors   []DistributorStatus
	// DisconnectedSince is when the last distributor was connected, zero while
	// one is. The daemon has received no updates since then.
	DisconnectedSince time.Time
	// StoreDownSince is when this daemon's store calls began to fail, zero if the
	// last one succeeded. Only distributors call the store regularly.
	StoreDownSince time.Time
	Subscriptions  []string
	LeaseUntil     time.Time
}

// DistributorStatus is the state of a connected distributor.
type DistributorStatus struct {
	Address    string
	Slot       int32 // -1 for an acting distributor
	Fencing    uint64
	Primary    bool
	Version    uint64
	ReceivedAt time.Time
}

// Status returns the current state.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{
		Name: m.options.Name, Domain: m.options.Domain, Incarnation: m.incarnation, Version: m.Snapshot().Version(),
		FloorKnown: m.floor.known, Floor: m.floor.version, FloorFromStore: m.floor.fromStore,
		StoreDownSince: m.storeDownSince, Subscriptions: m.subscriptions, LeaseUntil: m.Lease(),
	}
	s.Ready = s.FloorKnown && s.Version >= s.Floor
	for _, f := range m.feeds {
		if f.live {
			s.Distributors = append(s.Distributors, DistributorStatus{
				Address: f.address, Slot: f.slot, Fencing: f.fencing, Primary: m.primary == f.address,
				Version: f.version, ReceivedAt: f.receivedAt,
			})
		}
	}
	if len(s.Distributors) == 0 {
		s.DisconnectedSince = m.disconnectedSince
	}
	slices.SortFunc(s.Distributors, func(a, b DistributorStatus) int { return strings.Compare(a.Address, b.Address) })
	return s
}

// Progress requests from the primary distributor the progress of each domain
// towards the newest version.
func (m *Member) Progress(ctx context.Context) ([]*pb.DomainProgress, error) {
	m.mu.Lock()
	f := m.feeds[m.primary]
	if f == nil || !f.live {
		m.mu.Unlock()
		return nil, &NoDistributorError{Domain: m.options.Domain}
	}
	f.progressRequested, f.progress = true, nil
	m.mu.Unlock()
	notify(f.wake)
	err := m.await(ctx, func() (bool, error) {
		if m.feeds[f.address] != f {
			return true, &NoDistributorError{Domain: m.options.Domain}
		}
		return f.progress != nil, nil
	})
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return f.progress, nil
}
