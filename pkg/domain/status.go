package domain

import (
	"context"
	"slices"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// Status says how a daemon stands in its failure domain.
type Status struct {
	Name         string
	Domain       string
	Incarnation  uint64
	Version      uint64 // configuration version in force
	FloorKnown   bool
	Floor        uint64
	FloorByStore bool // learned from the store, not from distributors
	Ready        bool
	Distributors []DistributorStatus
	// AloneSince is when the last distributor was heard, zero while one is
	// connected. What the daemon knows is as old as that.
	AloneSince time.Time
	// StoreDownSince is when the store failed this daemon, zero if it answered
	// last. Daemons that are not distributors rarely ask the store.
	StoreDownSince time.Time
	Subscriptions  []string
	LeaseUntil     time.Time
}

// DistributorStatus is one distributor as a member daemon sees it.
type DistributorStatus struct {
	Address string
	Slot    int32 // -1 for an acting distributor
	Fencing uint64
	Primary bool
	Version uint64
	HeardAt time.Time
}

// Status returns the present state.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{
		Name: m.o.Name, Domain: m.o.Domain, Incarnation: m.incarnation, Version: m.Snapshot().Version(),
		FloorKnown: m.floor.known, Floor: m.floor.version, FloorByStore: m.floor.fromRead,
		StoreDownSince: m.storeDown, Subscriptions: m.wanted, LeaseUntil: m.Lease(),
	}
	s.Ready = s.FloorKnown && s.Version >= s.Floor
	for _, f := range m.feeds {
		if f.live {
			s.Distributors = append(s.Distributors, DistributorStatus{
				Address: f.address, Slot: f.slot, Fencing: f.fencing, Primary: m.primary == f.address,
				Version: f.version, HeardAt: f.heardAt,
			})
		}
	}
	if len(s.Distributors) == 0 {
		s.AloneSince = m.alone
	}
	slices.SortFunc(s.Distributors, func(a, b DistributorStatus) int { return strings.Compare(a.Address, b.Address) })
	return s
}

// Progress asks a distributor how far each domain is with the newest version.
func (m *Member) Progress(ctx context.Context) ([]*pb.DomainProgress, error) {
	m.mu.Lock()
	f := m.feeds[m.primary]
	if f == nil || !f.live {
		m.mu.Unlock()
		return nil, &NoDistributorError{Domain: m.o.Domain}
	}
	f.asked, f.progress = true, nil
	m.mu.Unlock()
	notify(f.wake)
	err := m.await(ctx, func() (bool, error) {
		if m.feeds[f.address] != f {
			return true, &NoDistributorError{Domain: m.o.Domain}
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
