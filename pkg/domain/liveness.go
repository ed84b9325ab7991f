package domain

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	livenessInterval = 250 * time.Millisecond
	// massLossShare is the share of a domain above which daemons that fall silent
	// together are treated as a loss of the feeds.
	massLossShare = 1.0 / 3
	// massLossMin is the minimum number of daemons for such a loss.
	massLossMin = 2
)

// memberState is a distributor's view of one daemon of its domain.
type memberState struct {
	address          string
	incarnation      uint64
	version          uint64
	session          *session
	endedAt          time.Time // when the last session ended
	lastReceived     time.Time
	hadStream        bool // the daemon has joined this distributor
	leased           bool // a membership lease was granted while the distributor held its lease
	left             bool // the daemon reported that it leaves
	silentSince      time.Time
	behindSince      time.Time // since when the daemon lacks the newest version
	lossDelayedUntil time.Time // set after a mass loss; until then lost only if the other distributor confirms it
	lost             bool
	refutedElsewhere bool // the daemon refuted its loss to another distributor
	departed         bool
}

// siblingState is the last known state of the domain's other distributor.
type siblingState struct {
	silent        map[string]bool
	unlinkedSince time.Time // zero while linked
}

func (d *Distributor) memberLocked(name string) *memberState {
	ms := d.members[name]
	if ms == nil {
		// Until the endpoint set is complete, the daemon may still join.
		ms = &memberState{lastReceived: laterOf(time.Now(), d.started.Add(settleGrace))}
		d.members[name] = ms
	}
	return ms
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// settled reports whether the endpoint set is complete: every known domain has
// sent its records, or settleGrace has passed.
func (d *Distributor) settled() bool {
	if time.Since(d.started) >= settleGrace {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.remoteDomains) == 0 || d.siblingLocked() == nil {
		return false
	}
	for _, remote := range d.remoteDomains {
		if !remote.complete {
			return false
		}
	}
	return true
}

// recordOwnersLocked adds the local daemons that own the applied endpoints to
// the members, even if they have not joined this distributor. A newer endpoint
// of a lost daemon that comes over a link proves that the daemon is alive.
func (d *Distributor) recordOwnersLocked(applied []*pb.Record, from *exchange) {
	for _, r := range applied {
		if r.GetKind() != pb.RecordKind_RECORD_ENDPOINT {
			continue
		}
		e, ok := newEntry(r, time.Time{})
		if !ok || e.endpoint.GetDomain() != d.options.Domain {
			continue
		}
		ms := d.memberLocked(r.GetOwner())
		if ms.address == "" {
			ms.address = e.endpoint.GetAddress() // for offerMembers
		}
		ms.incarnation = max(ms.incarnation, r.GetIncarnation())
		if from != nil && ms.lost {
			ms.lost, ms.refutedElsewhere, ms.departed = false, true, false
		}
	}
}

// recordHeartbeat records a report and returns whether it renews the daemon's
// membership lease. A distributor without a valid lease renews only membership
// leases that it granted before, and an acting distributor renews none.
func (d *Distributor) recordHeartbeat(s *session, r *pb.MemberReport) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ms := d.memberLocked(s.name)
	if ms.session != s {
		return false
	}
	ms.lastReceived, ms.version, ms.left = time.Now(), s.currentVersion(r.GetConfigVersion()), r.GetLeaving()
	ms.silentSince, ms.lossDelayedUntil = time.Time{}, time.Time{}
	ms.lost, ms.refutedElsewhere, ms.departed = false, false, false
	if d.Held() {
		ms.leased = true
	}
	return ms.leased && !ms.left && d.Fencing() > 0
}

// watchMembers evaluates the liveness of daemons and domains and runs the other
// periodic work of the distributor until ctx ends.
func (d *Distributor) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(livenessInterval)
	defer ticker.Stop()
	sweepAt, sumAt := time.Now().Add(sweepInterval), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		d.evaluateMembers(now)
		d.evaluateDomains(now)
		d.relay(now)
		if !now.Before(sumAt) {
			d.publishSums(now)
			sumAt = now.Add(heartbeatInterval)
		}
		if now.After(sweepAt) {
			d.table.Sweep(now)
			sweepAt = now.Add(sweepInterval)
		}
	}
}

// declaration is a decision to declare a daemon lost or departed.
type declaration struct {
	name     string
	departed bool
}

func (d *Distributor) evaluateMembers(now time.Time) {
	var records []*pb.Record
	for _, v := range d.declarations(now) {
		event := eventMemberLost
		if v.departed {
			event = eventMemberDeparted
		}
		event.Log(d.options.Logger, zap.String("daemon", v.name))
		for _, e := range d.table.ownedEndpoints(v.name) {
			records = append(records, newLiveness(e.record, e.endpoint, v.departed, now))
		}
	}
	d.distribute(records, nil)
}

func (d *Distributor) declarations(now time.Time) []declaration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectSilentLocked(now)
	d.chooseSuccessorsLocked(now)
	held := d.Held()
	var declared []declaration
	for name, ms := range d.members {
		if ms.silentSince.IsZero() && !ms.left {
			continue
		}
		if !ms.lost && d.isLostLocked(name, ms, now) {
			ms.lost = true
			declared = append(declared, declaration{name: name})
		}
		if ms.lost && !ms.departed && held && d.isDepartedLocked(name, ms, now) {
			ms.departed = true
			declared = append(declared, declaration{name: name, departed: true})
		}
		if ms.departed && now.Sub(ms.lastReceived) > departedRetention {
			delete(d.members, name)
		}
	}
	slices.SortFunc(declared, func(a, b declaration) int {
		if a.name != b.name {
			return strings.Compare(a.name, b.name)
		}
		return boolOrder(a.departed) - boolOrder(b.departed)
	})
	return declared
}

// detectSilentLocked detects daemons that fell silent, and delays their loss if
// they are many.
func (d *Distributor) detectSilentLocked(now time.Time) {
	changed := false
	var newlySilent []*memberState
	for _, ms := range d.members {
		if now.Sub(ms.lastReceived) <= silenceTimeout || ms.left {
			continue
		}
		if ms.silentSince.IsZero() {
			ms.silentSince, changed = now, true
			if ms.session != nil {
				ms.session.close()
			}
		}
		if now.Sub(ms.silentSince) < silenceTimeout {
			newlySilent = append(newlySilent, ms)
		}
	}
	if float64(len(newlySilent)) > massLossShare*float64(len(d.members)) && len(newlySilent) >= massLossMin {
		newlyDelayed := false
		for _, ms := range newlySilent {
			if ms.lossDelayedUntil.IsZero() {
				ms.lossDelayedUntil, newlyDelayed = ms.silentSince.Add(massLossDelay), true
			}
		}
		if newlyDelayed {
			eventMassVanish.Log(d.options.Logger, zap.Int("daemons", len(newlySilent)), zap.Int("domain", len(d.members)))
		}
	}
	if x := d.siblingLocked(); changed && x != nil {
		notify(x.wake)
	}
}

// isLostLocked decides whether a silent daemon is lost: the domain's other
// distributor must agree or be unreachable.
func (d *Distributor) isLostLocked(name string, ms *memberState, now time.Time) bool {
	switch {
	case ms.left:
		return true
	case d.siblingLocked() != nil:
		return d.sibling.silent[name]
	case ms.refutedElsewhere || now.Before(ms.lossDelayedUntil):
		return false
	}
	return now.Sub(d.sibling.unlinkedSince) >= silenceTimeout
}

// isDepartedLocked decides whether a lost daemon's membership lease has expired
// for certain.
func (d *Distributor) isDepartedLocked(name string, ms *memberState, now time.Time) bool {
	if ms.left {
		return true
	}
	if !ms.hadStream || now.Sub(ms.lastReceived) < membershipLease+departureMargin {
		return false
	}
	if d.siblingLocked() != nil {
		return d.sibling.silent[name] && now.Sub(ms.silentSince) >= departureMargin
	}
	return now.Sub(d.sibling.unlinkedSince) >= soloDepartureDelay
}

// silentForSibling returns the daemons that are silent to this distributor, and
// those that the domain's other distributor reported and this one does not know.
func (d *Distributor) silentForSibling() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	now := time.Now()
	for name, ms := range d.members {
		if !ms.silentSince.IsZero() && !ms.left && now.Sub(ms.lastReceived) < departedRetention {
			names = append(names, name)
		}
	}
	for name := range d.sibling.silent {
		if d.members[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// offerMembers dials daemons without a stream for up to departedRetention and
// offers them this distributor. This lets a daemon that restarts while the store
// is down find the distributors.
func (d *Distributor) offerMembers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, heartbeatInterval+d.random.upTo(heartbeatInterval))
		for _, address := range d.offerAddresses(time.Now()) {
			if ctx.Err() != nil {
				return
			}
			d.offer(ctx, address)
		}
	}
}

func (d *Distributor) offerAddresses(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, ms := range d.members {
		ended := ms.session == nil && !ms.left && ms.address != "" && ms.address != d.options.Address
		if ended && now.Sub(ms.endedAt) > heartbeatInterval && now.Sub(ms.lastReceived) < departedRetention {
			addresses = append(addresses, ms.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (d *Distributor) offer(ctx context.Context, address string) {
	request := &pb.OfferRequest{
		Domain: d.options.Domain, Distributor: d.options.Name, Address: d.options.Address,
		Fencing: d.Fencing(), ConfigVersion: d.catalog.version(),
	}
	_ = d.options.submit(func() {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		conn, err := d.peers.Dial(ctx, address)
		if err != nil {
			return // the next round tries again
		}
		defer conn.Close()
		_, _ = pb.NewDRPCMeshClient(conn).Offer(ctx, request)
	})
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}
