package domain

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/lease"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	superviseInterval = 500 * time.Millisecond
	// successorTimeout is how long a daemon tries one successor before it also
	// tries the next.
	successorTimeout = 3 * time.Second
	// leaveTimeout limits the time for the last reports of a leaving daemon, and
	// then the time until its feeds have ended.
	leaveTimeout = 500 * time.Millisecond
	// relistMin and relistMax limit the delay between reads of the store while
	// no distributor is connected. 3,200 daemons without a distributor make on
	// average at most 1,280 reads/s; the platform allows 2,000.
	relistMin = 2 * time.Second
	relistMax = 10 * time.Second
	// slowStoreDelay is the time after which a daemon that waits for the floor from
	// the store also accepts it from the distributors.
	slowStoreDelay = 2 * time.Second
	// sweepInterval is the interval between removals of expired records.
	sweepInterval = 30 * time.Second
)

// floorState is the state of the floor, the lowest version that may be served.
type floorState struct {
	known         bool
	version       uint64
	fromStore     bool      // read from the store
	firstReportAt time.Time // when the first distributor was live while the store was down
}

// Run keeps the member daemon connected to the distributors of its domain until
// ctx ends. Before it returns it reports to them that the daemon leaves.
func (m *Member) Run(ctx context.Context) error {
	if err := m.options.submit(func() { m.readEntries(ctx) }); err != nil {
		return err
	}
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	feedsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	sweepAt := time.Now().Add(sweepInterval)
	for {
		m.supervise(feedsCtx)
		if now := time.Now(); now.After(sweepAt) {
			m.table.Sweep(now)
			sweepAt = now.Add(sweepInterval)
		}
		select {
		case <-ctx.Done():
			m.leave(cancel)
			return ctx.Err()
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// leave reports to the distributors that this daemon leaves, and waits until the
// feeds have ended.
func (m *Member) leave(cancel context.CancelFunc) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.wakeFeeds()
	m.awaitFor(leaveTimeout, func() bool {
		for _, f := range m.feeds {
			if f.live && !f.leaveReported {
				return false
			}
		}
		return true
	})
	cancel()
	m.awaitFor(leaveTimeout, func() bool { return len(m.feeds) == 0 })
	_ = m.peers.Close()
}

func (m *Member) awaitFor(limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_ = m.await(ctx, func() (bool, error) { return done(), nil })
}

// supervise starts the feeds that are missing.
func (m *Member) supervise(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.liveFeedsLocked() > 0 {
		m.disconnectedSince = now
	}
	m.choosePrimaryLocked()
	m.learnFloorLocked()
	for _, address := range m.desiredDistributorsLocked(now) {
		if m.feeds[address] != nil {
			continue
		}
		f := &feed{
			member: m, address: address, wake: make(chan struct{}, 1), sentAt: map[uint64]time.Time{},
			revisionBySequence: map[uint64]uint64{}, sent: map[recordKey]*pb.Record{},
		}
		if m.options.submit(func() { m.maintainFeed(ctx, f) }) == nil {
			m.feeds[address] = f
		}
	}
}

// desiredDistributorsLocked returns the addresses of the distributors to connect
// to. While none is connected, the successors are added one after another.
func (m *Member) desiredDistributorsLocked(now time.Time) []string {
	if late := now.Sub(m.disconnectedSince) - actingDelay; m.liveFeedsLocked() == 0 && late > 0 {
		count := min(len(m.successorAddresses), 1+int(late/successorTimeout))
		return append(slices.Clone(m.distributors), m.successorAddresses[:count]...)
	}
	return m.distributors
}

func (m *Member) liveFeedsLocked() int {
	live := 0
	for _, f := range m.feeds {
		if f.live {
			live++
		}
	}
	return live
}

// maintainFeed runs one feed and removes it a random time after it ended, so that
// daemons that lost the same distributor do not dial it at the same time.
func (m *Member) maintainFeed(ctx context.Context, f *feed) {
	started := time.Now()
	err := f.run(ctx)
	m.mu.Lock()
	wasLive := f.live
	f.live = false
	m.choosePrimaryLocked()
	m.mu.Unlock()
	if wasLive && ctx.Err() == nil {
		eventFeedLost.Log(m.options.Logger, zap.String("distributor", f.address), zap.Error(err))
	}
	pause := m.random.upTo(dialJitter)
	if !wasLive && time.Since(started)+pause < dialJitter/2 {
		pause += dialJitter / 2
	}
	sleep(ctx, pause)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.feeds, f.address)
	m.notifyWaitersLocked()
	notify(m.wake)
}

// addDistributor adds the address of a distributor that offered itself or was
// found in the store.
func (m *Member) addDistributor(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains(m.distributors, address) {
		m.distributors = append(slices.Clone(m.distributors), address)
	}
	notify(m.wake)
}

// readEntries reads the head and the entry points from the store: once when
// the daemon joins, and again whenever no distributor is connected.
func (m *Member) readEntries(ctx context.Context) {
	sleep(ctx, m.random.upTo(joinJitter))
	wait := relistMin
	for ctx.Err() == nil {
		if m.needsEntries() {
			if m.readEntriesOnce(ctx) {
				wait = relistMin
			}
			sleep(ctx, wait+m.random.upTo(wait/2))
			wait = min(2*wait, relistMax)
			continue
		}
		wait = relistMin
		sleep(ctx, superviseInterval)
	}
}

// needsEntries reports whether the entries have to be read from the store: the
// floor is unknown, no distributor has been connected for silenceTimeout, or this
// daemon is a successor and the store is down.
func (m *Member) needsEntries() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.floor.known || m.liveFeedsLocked() == 0 && time.Since(m.disconnectedSince) > silenceTimeout {
		return true
	}
	// A successor has to notice when the store is available again.
	return !m.storeDownSince.IsZero() && slices.Contains(m.successorNames, m.options.Name)
}

func (m *Member) readEntriesOnce(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// A slow store must not delay a daemon whose distributors already know the
	// version.
	slow := time.AfterFunc(slowStoreDelay, m.recordSlowStore)
	defer slow.Stop()
	objects, _, err := m.options.Store.List(callCtx, config.EntryPrefix)
	if err == nil {
		var found entries
		if found, err = decodeEntries(objects); err == nil {
			m.applyEntries(found)
			return true
		}
	}
	if ctx.Err() == nil {
		eventStoreUnavailable.Log(m.options.Logger, zap.String("op", "list entries"), zap.Error(err))
		m.recordStoreResult(err)
	}
	return false
}

// recordStoreResult records the result of a store call.
func (m *Member) recordStoreResult(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.storeDownSince = time.Time{}
	case m.storeDownSince.IsZero():
		m.storeDownSince = time.Now()
	}
}

// recordSlowStore treats a store that has not responded yet as down.
func (m *Member) recordSlowStore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.storeDownSince.IsZero() {
		m.storeDownSince = time.Now()
	}
	m.learnFloorLocked()
}

func (m *Member) applyEntries(found entries) {
	m.recordStoreResult(nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	first := !m.floor.known
	if first {
		m.setFloorLocked(found.head.Version, true)
	}
	m.domainAddresses = map[string][]string{}
	var distributors []string
	m.listed = false
	for _, e := range found.leases {
		m.domainAddresses[e.domain] = append(m.domainAddresses[e.domain], e.record.Address)
		if e.domain == m.options.Domain {
			distributors = append(distributors, e.record.Address)
			m.listed = m.listed || e.record.Address == m.options.Address
			if first && e.record.Address == m.options.Address && lease.HolderDaemon(e.record.Holder) == m.options.Name {
				m.previousSlot = e.slot
			}
		}
	}
	if m.liveFeedsLocked() == 0 {
		m.distributors = distributors
	}
	notify(m.wake)
}

// consumePreviousSlot returns, once, the slot whose lease a previous process of
// this daemon held when it ended, or noSlot. No other daemon can become the
// distributor of that slot until the lease has expired.
func (m *Member) consumePreviousSlot() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	slot := m.previousSlot
	m.previousSlot = noSlot
	return slot
}

// learnFloorLocked sets the floor from the distributors while the store is down:
// the larger version of both, or the version of the first after
// secondReportTimeout.
func (m *Member) learnFloorLocked() {
	if m.floor.known || m.storeDownSince.IsZero() {
		return
	}
	live, version := 0, uint64(0)
	for _, f := range m.feeds {
		if f.live {
			live++
			version = max(version, f.version)
		}
	}
	if live == 0 {
		return
	}
	if m.floor.firstReportAt.IsZero() {
		m.floor.firstReportAt = time.Now()
	}
	if live >= slots || time.Since(m.floor.firstReportAt) >= secondReportTimeout {
		m.setFloorLocked(version, false)
	}
}

func (m *Member) setFloorLocked(version uint64, fromStore bool) {
	m.floor.known, m.floor.version, m.floor.fromStore = true, version, fromStore
	eventFloorLearned.Log(m.options.Logger, zap.Uint64("version", version), zap.Bool("fromStore", fromStore))
	m.notifyWaitersLocked()
}
