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
	judgeInterval = 250 * time.Millisecond
	// massShare is the share of a domain that, vanishing together, is held to
	// be a loss of the feed.
	massShare = 1.0 / 3
	// massLeast is the least number of daemons that count as a mass.
	massLeast = 2
)

// memberState is what a distributor knows of one daemon of its domain.
type memberState struct {
	address     string
	incarnation uint64
	version     uint64
	session     *session
	endedAt     time.Time // when the last session ended
	heard       time.Time
	hadStream   bool // this distributor has heard the daemon itself
	leased      bool // a membership lease was granted under a held lease
	left        bool // the daemon said that it leaves
	silentSince time.Time
	behindSince time.Time // since when it lacks the newest version
	heldBack    time.Time // a mass vanished; lost only then, or when confirmed
	lost        bool
	vouched     bool // the daemon refuted its loss on another path
	departed    bool
}

// siblingState is what the other distributor of the domain said.
type siblingState struct {
	silent map[string]bool
	goneAt time.Time // when its link ended, zero while linked
}

func (d *Distributor) memberLocked(name string) *memberState {
	ms := d.members[name]
	if ms == nil {
		// Its own stream may still come, for as long as the endpoint set is unknown.
		ms = &memberState{heard: laterOf(time.Now(), d.started.Add(settleGrace))}
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

// settled reports whether the endpoint set is known: every known domain has
// sent its records, or the grace period has passed.
func (d *Distributor) settled() bool {
	if time.Since(d.started) >= settleGrace {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.domains) == 0 || d.siblingLocked() == nil {
		return false
	}
	for _, od := range d.domains {
		if !od.complete {
			return false
		}
	}
	return true
}

// noteOwnersLocked watches the daemons of this domain whose endpoints came
// from elsewhere, and takes a newer endpoint on another path as a sign of life.
func (d *Distributor) noteOwnersLocked(applied []*pb.Record, from *exchange) {
	for _, r := range applied {
		if r.GetKind() != pb.RecordKind_RECORD_ENDPOINT {
			continue
		}
		e, ok := newEntry(r, time.Time{})
		if !ok || e.endpoint.GetDomain() != d.o.Domain {
			continue
		}
		ms := d.memberLocked(r.GetOwner())
		if ms.address == "" {
			ms.address = e.endpoint.GetAddress() // to offer it this distributor
		}
		ms.incarnation = max(ms.incarnation, r.GetIncarnation())
		if from != nil && ms.lost {
			ms.lost, ms.vouched, ms.departed = false, true, false
		}
	}
}

// heard notes a report and tells whether it earns a membership lease. Without
// a held lease a distributor renews only those that it granted before.
func (d *Distributor) heard(s *session, r *pb.MemberReport) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	ms := d.memberLocked(s.name)
	if ms.session != s {
		return false
	}
	ms.heard, ms.version, ms.left = time.Now(), s.told(r.GetConfigVersion()), r.GetLeaving()
	ms.silentSince, ms.heldBack = time.Time{}, time.Time{}
	ms.lost, ms.vouched, ms.departed = false, false, false
	if d.Held() {
		ms.leased = true
	}
	return ms.leased && !ms.left && d.Fencing() > 0
}

// watchMembers judges the daemons of the domain until ctx ends.
func (d *Distributor) watchMembers(ctx context.Context) {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	sweepAt, sumAt := time.Now().Add(sweepInterval), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		d.judge(now)
		d.judgeDomains(now)
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

// verdict is a daemon to be declared lost or departed.
type verdict struct {
	name     string
	departed bool
}

func (d *Distributor) judge(now time.Time) {
	var records []*pb.Record
	for _, v := range d.verdicts(now) {
		event := eventMemberLost
		if v.departed {
			event = eventMemberDeparted
		}
		event.Log(d.o.Logger, zap.String("daemon", v.name))
		for _, e := range d.table.ownedEndpoints(v.name) {
			records = append(records, newLiveness(e.record, e.endpoint, v.departed, now))
		}
	}
	d.spread(records, nil)
}

func (d *Distributor) verdicts(now time.Time) []verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noteSilentLocked(now)
	d.chooseSuccessorsLocked(now)
	held := d.Held()
	var found []verdict
	for name, ms := range d.members {
		if ms.silentSince.IsZero() && !ms.left {
			continue
		}
		if !ms.lost && d.isLostLocked(name, ms, now) {
			ms.lost = true
			found = append(found, verdict{name: name})
		}
		if ms.lost && !ms.departed && held && d.isDepartedLocked(name, ms, now) {
			ms.departed = true
			found = append(found, verdict{name: name, departed: true})
		}
		if ms.departed && now.Sub(ms.heard) > departKeep {
			delete(d.members, name)
		}
	}
	slices.SortFunc(found, func(a, b verdict) int {
		if a.name != b.name {
			return strings.Compare(a.name, b.name)
		}
		return boolOrder(a.departed) - boolOrder(b.departed)
	})
	return found
}

// noteSilentLocked finds the daemons that fell silent, and holds them back if
// they are many.
func (d *Distributor) noteSilentLocked(now time.Time) {
	changed := false
	var recent []*memberState
	for _, ms := range d.members {
		if now.Sub(ms.heard) <= silenceLimit || ms.left {
			continue
		}
		if ms.silentSince.IsZero() {
			ms.silentSince, changed = now, true
			if ms.session != nil {
				ms.session.close()
			}
		}
		if now.Sub(ms.silentSince) < silenceLimit {
			recent = append(recent, ms)
		}
	}
	if float64(len(recent)) > massShare*float64(len(d.members)) && len(recent) >= massLeast {
		fresh := false
		for _, ms := range recent {
			if ms.heldBack.IsZero() {
				ms.heldBack, fresh = ms.silentSince.Add(massHold), true
			}
		}
		if fresh {
			eventMassVanish.Log(d.o.Logger, zap.Int("daemons", len(recent)), zap.Int("domain", len(d.members)))
		}
	}
	if x := d.siblingLocked(); changed && x != nil {
		notify(x.wake)
	}
}

// isLostLocked decides whether a silent daemon is lost: the other distributor
// must agree, or be gone itself.
func (d *Distributor) isLostLocked(name string, ms *memberState, now time.Time) bool {
	switch {
	case ms.left:
		return true
	case d.siblingLocked() != nil:
		return d.siblings.silent[name]
	case ms.vouched || now.Before(ms.heldBack):
		return false
	}
	return now.Sub(d.siblings.goneAt) >= silenceLimit
}

// isDepartedLocked decides whether a lost daemon's membership lease has ended
// for certain.
func (d *Distributor) isDepartedLocked(name string, ms *memberState, now time.Time) bool {
	if ms.left {
		return true
	}
	if !ms.hadStream || now.Sub(ms.heard) < membershipLease+departMargin {
		return false
	}
	if d.siblingLocked() != nil {
		return d.siblings.silent[name] && now.Sub(ms.silentSince) >= departMargin
	}
	return now.Sub(d.siblings.goneAt) >= aloneLimit
}

// silentForSibling lists the daemons that this distributor does not hear: its
// own, and those that the other one asked about.
func (d *Distributor) silentForSibling() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	now := time.Now()
	for name, ms := range d.members {
		if !ms.silentSince.IsZero() && !ms.left && now.Sub(ms.heard) < departKeep {
			names = append(names, name)
		}
	}
	for name := range d.siblings.silent {
		if d.members[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// offerMembers dials daemons without a stream, for as long as they may come
// back, and offers them this distributor. It is how a daemon that restarts
// while the store is down finds the distributors.
func (d *Distributor) offerMembers(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, heartbeatInterval+d.random.upTo(heartbeatInterval))
		for _, address := range d.toOffer(time.Now()) {
			if ctx.Err() != nil {
				return
			}
			d.offer(ctx, address)
		}
	}
}

func (d *Distributor) toOffer(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, ms := range d.members {
		ended := ms.session == nil && !ms.left && ms.address != "" && ms.address != d.o.Address
		if ended && now.Sub(ms.endedAt) > heartbeatInterval && now.Sub(ms.heard) < departKeep {
			addresses = append(addresses, ms.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (d *Distributor) offer(ctx context.Context, address string) {
	request := &pb.OfferRequest{
		Domain: d.o.Domain, Distributor: d.o.Name, Address: d.o.Address,
		Fencing: d.Fencing(), ConfigVersion: d.catalog.version(),
	}
	_ = d.o.submit(func() {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		conn, err := d.peers.Dial(ctx, address)
		if err != nil {
			return // it may come back later
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
