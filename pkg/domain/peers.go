package domain

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	linkInterval = 250 * time.Millisecond
	// secondDialDelay is how long the distributor with the larger address waits
	// for the other one to dial, so that they rarely set up two links.
	secondDialDelay = 1500 * time.Millisecond
)

// remoteDistributor is the dial state of another distributor.
type remoteDistributor struct {
	domain     string
	addedAt    time.Time
	dialing    bool
	nextDialAt time.Time
}

// remoteDomain is the state of another failure domain.
type remoteDomain struct {
	unlinkedSince time.Time
	lost          bool
	complete      bool
	reports       map[string]*progressReport // by distributor
	announcedAt   time.Time
}

// updateRemoteDistributors adds distributors, given as domains by address. A
// complete list also removes those that are missing from it.
func (d *Distributor) updateRemoteDistributors(addresses map[string]string, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if complete {
		for address, remote := range d.remoteDistributors {
			if _, ok := addresses[address]; !ok && d.links[address] == nil && !remote.dialing {
				delete(d.remoteDistributors, address)
			}
		}
	}
	for address, domain := range addresses {
		if d.remoteDistributors[address] == nil && address != d.options.Address {
			d.remoteDistributors[address] = &remoteDistributor{domain: domain, addedAt: time.Now()}
		}
	}
}

// hasUnlinkedDomain reports whether at least one remote domain, or the other
// distributor of this domain, has no link to this distributor.
func (d *Distributor) hasUnlinkedDomain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	linked := d.linkedDomainsLocked()
	for name := range d.remoteDomains {
		if !slices.Contains(linked, name) {
			return true
		}
	}
	return d.siblingLocked() == nil
}

// maintainLinks dials remote distributors without a link until ctx ends.
func (d *Distributor) maintainLinks(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range d.dialAddresses(time.Now()) {
			if d.options.submit(func() { d.dialLink(ctx, address) }) != nil {
				d.recordDialEnd(address)
			}
		}
		sleep(ctx, linkInterval)
	}
}

func (d *Distributor) dialAddresses(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for address, remote := range d.remoteDistributors {
		if remote.dialing || d.links[address] != nil || now.Before(remote.nextDialAt) {
			continue
		}
		if d.options.Address > address && now.Sub(remote.addedAt) < secondDialDelay {
			continue
		}
		remote.dialing = true
		addresses = append(addresses, address)
	}
	return addresses
}

func (d *Distributor) dialLink(ctx context.Context, address string) {
	defer d.recordDialEnd(address)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := d.peers.Dial(ctx, address)
	if err != nil {
		return
	}
	defer conn.Close()
	stream, err := pb.NewDRPCMeshClient(conn).Exchange(ctx)
	if err != nil {
		return
	}
	_ = d.exchangeWith(ctx, stream, true)
}

func (d *Distributor) recordDialEnd(address string) {
	pause := dialJitter/4 + d.random.upTo(dialJitter)
	d.mu.Lock()
	defer d.mu.Unlock()
	if remote := d.remoteDistributors[address]; remote != nil {
		remote.dialing, remote.nextDialAt = false, time.Now().Add(pause)
	}
}

func (d *Distributor) remoteDomainLocked(name string) *remoteDomain {
	remote := d.remoteDomains[name]
	if remote == nil {
		remote = &remoteDomain{reports: map[string]*progressReport{}}
		d.remoteDomains[name] = remote
	}
	return remote
}

func (d *Distributor) recordComplete(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remoteDomainLocked(name).complete = true
}

// evaluateDomains announces to the local member daemons the domains that are newly
// lost, to which there has been no link for domainLossTimeout, and those that are
// newly reached.
func (d *Distributor) evaluateDomains(now time.Time) {
	var records []*pb.Record
	d.mu.Lock()
	reached := d.linkedDomainsLocked()
	for name, remote := range d.remoteDomains {
		linked := slices.Contains(reached, name)
		if linked {
			remote.unlinkedSince = time.Time{}
		} else if remote.unlinkedSince.IsZero() {
			remote.unlinkedSince = now
		}
		timedOut := !linked && now.Sub(remote.unlinkedSince) >= domainLossTimeout
		switch {
		case timedOut && !remote.lost:
			remote.lost = true
			eventDomainLost.Log(d.options.Logger, zap.String("domain", name))
			records = append(records, d.domainRecordLocked(name, pb.EndpointState_ENDPOINT_DOWN))
		case linked && (remote.lost || !remote.announced()):
			remote.lost, remote.announcedAt = false, now
			eventDomainFound.Log(d.options.Logger, zap.String("domain", name))
			records = append(records, d.domainRecordLocked(name, pb.EndpointState_ENDPOINT_READY))
		}
	}
	d.mu.Unlock()
	d.distributeToMembers(records)
}

func (remote *remoteDomain) announced() bool { return !remote.announcedAt.IsZero() }

// domainRecordLocked returns a liveness record that reports whether this
// distributor reaches a remote domain. Its key contains the slot, so that the next
// holder of the slot replaces the record.
func (d *Distributor) domainRecordLocked(name string, state pb.EndpointState) *pb.Record {
	role := d.lease.Load()
	d.counter++
	incarnation := role.fencing
	if role.slot == noSlot {
		incarnation = uint64(d.started.UnixMilli())
	}
	return &pb.Record{
		Kind: pb.RecordKind_RECORD_LIVENESS, Key: name + "/" + slotName(role.slot), Owner: d.options.Name,
		Incarnation: incarnation, Counter: d.counter,
		Payload: mustMarshal(&pb.Endpoint{Domain: name, State: state}),
	}
}
