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
	// nextSuccessorAfter is how long one successor is tried before the next.
	nextSuccessorAfter = 3 * time.Second
	// farewellWait bounds the time for the last reports of a leaving daemon.
	farewellWait = 500 * time.Millisecond
	// relistMin and relistMax bound the wait between reads of the store while
	// no distributor is connected. 3,200 daemons that all wait for one make at
	// most 1,280 reads/s; the platform allows 2,000.
	relistMin = 2 * time.Second
	relistMax = 10 * time.Second
	// slowStore is the wait after which a store call counts as failed for the
	// floor, which the distributors then give.
	slowStore = 2 * time.Second
	// sweepInterval is how often expired records are removed.
	sweepInterval = 30 * time.Second
)

// floorState is what is known of the lowest version that may be served.
type floorState struct {
	known    bool
	version  uint64
	fromRead bool      // from the store
	firstAt  time.Time // when the first distributor reported, without the store
}

// Run keeps the member daemon connected to the distributors of its domain
// until ctx ends. On the way out it tells them that it leaves.
func (m *Member) Run(ctx context.Context) error {
	if err := m.o.submit(func() { m.readEntries(ctx) }); err != nil {
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

// leave reports the departure and waits until the feeds have ended.
func (m *Member) leave(cancel context.CancelFunc) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.wakeFeeds()
	m.awaitFor(farewellWait, func() bool {
		for _, f := range m.feeds {
			if f.live && !f.toldLeaving {
				return false
			}
		}
		return true
	})
	cancel()
	m.awaitFor(farewellWait, func() bool { return len(m.feeds) == 0 })
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
	if m.liveLocked() > 0 {
		m.alone = now
	}
	m.choosePrimaryLocked()
	m.learnFloorLocked()
	for _, address := range m.desiredLocked(now) {
		if m.feeds[address] != nil {
			continue
		}
		f := &feed{
			m: m, address: address, wake: make(chan struct{}, 1), sentAt: map[uint64]time.Time{},
			covers: map[uint64]uint64{}, sent: map[recordKey]*pb.Record{},
		}
		if m.o.submit(func() { m.keepFeed(ctx, f) }) == nil {
			m.feeds[address] = f
		}
	}
}

// desiredLocked returns the distributors to be connected to. Without any, the
// successors are tried in order.
func (m *Member) desiredLocked(now time.Time) []string {
	if late := now.Sub(m.alone) - actingAfter; m.liveLocked() == 0 && late > 0 {
		count := min(len(m.successors), 1+int(late/nextSuccessorAfter))
		return append(slices.Clone(m.distributors), m.successors[:count]...)
	}
	return m.distributors
}

func (m *Member) liveLocked() int {
	live := 0
	for _, f := range m.feeds {
		if f.live {
			live++
		}
	}
	return live
}

// keepFeed runs one feed and holds its place for a random time after it ended,
// so that daemons that lost the same distributor do not dial it together.
func (m *Member) keepFeed(ctx context.Context, f *feed) {
	started := time.Now()
	err := f.run(ctx)
	m.mu.Lock()
	wasLive := f.live
	f.live = false
	m.choosePrimaryLocked()
	m.mu.Unlock()
	if wasLive && ctx.Err() == nil {
		eventFeedLost.Log(m.o.Logger, zap.String("distributor", f.address), zap.Error(err))
	}
	pause := m.random.upTo(dialJitter)
	if !wasLive && time.Since(started)+pause < dialJitter/2 {
		pause += dialJitter / 2
	}
	sleep(ctx, pause)
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.feeds, f.address)
	m.announceLocked()
	notify(m.wake)
}

// addDistributor takes the address of a distributor that offered itself or was
// seen in the store.
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
			if m.readOnce(ctx) {
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

// needsEntries reports whether the floor is unknown, or no distributor has
// been connected for longer than a silence may last.
func (m *Member) needsEntries() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.floor.known || m.liveLocked() == 0 && time.Since(m.alone) > silenceLimit {
		return true
	}
	// A successor has to know when the store is back.
	return !m.storeDown.IsZero() && slices.Contains(m.successorName, m.o.Name)
}

func (m *Member) readOnce(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// A store that answers late must not hold up a daemon whose distributors
	// already know the version.
	slow := time.AfterFunc(slowStore, m.noteSlowStore)
	defer slow.Stop()
	objects, _, err := m.o.Store.List(callCtx, config.EntryPrefix)
	if err == nil {
		var found entries
		if found, err = decodeEntries(objects); err == nil {
			m.takeEntries(found)
			return true
		}
	}
	if ctx.Err() == nil {
		eventStoreUnavailable.Log(m.o.Logger, zap.String("op", "list entries"), zap.Error(err))
		m.noteStore(err)
	}
	return false
}

// noteStore records whether the store answered.
func (m *Member) noteStore(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.storeDown = time.Time{}
	case m.storeDown.IsZero():
		m.storeDown = time.Now()
	}
}

// noteSlowStore treats a store that has not answered yet as down.
func (m *Member) noteSlowStore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.storeDown.IsZero() {
		m.storeDown = time.Now()
	}
	m.learnFloorLocked()
}

func (m *Member) takeEntries(found entries) {
	m.noteStore(nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	first := !m.floor.known
	if first {
		m.setFloorLocked(found.head.Version, true)
	}
	m.entries = map[string][]string{}
	var own []string
	m.listed = false
	for _, e := range found.leases {
		m.entries[e.domain] = append(m.entries[e.domain], e.record.Address)
		if e.domain == m.o.Domain {
			own = append(own, e.record.Address)
			m.listed = m.listed || e.record.Address == m.o.Address
			if first && e.record.Address == m.o.Address && lease.Owner(e.record.Holder) == m.o.Name {
				m.formerSlot = e.slot
			}
		}
	}
	if m.liveLocked() == 0 {
		m.distributors = own
	}
	notify(m.wake)
}

// takeFormerSlot returns, once, the slot whose lease an earlier process of this
// daemon held when it ended. Nobody else feeds the domain from that slot until
// the lease has run out.
func (m *Member) takeFormerSlot() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	slot := m.formerSlot
	m.formerSlot = noSlot
	return slot
}

// learnFloorLocked takes the floor from the distributors when the store has
// not given it: the larger of both, or the first after a wait.
func (m *Member) learnFloorLocked() {
	if m.floor.known || m.storeDown.IsZero() {
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
	if m.floor.firstAt.IsZero() {
		m.floor.firstAt = time.Now()
	}
	if live >= slots || time.Since(m.floor.firstAt) >= secondReportWait {
		m.setFloorLocked(version, false)
	}
}

func (m *Member) setFloorLocked(version uint64, fromRead bool) {
	m.floor.known, m.floor.version, m.floor.fromRead = true, version, fromRead
	eventFloorLearned.Log(m.o.Logger, zap.Uint64("version", version), zap.Bool("fromStore", fromRead))
	m.announceLocked()
}
