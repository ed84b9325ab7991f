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
	// secondDialer is how long the distributor with the larger address waits
	// for the other to dial, so that two links are rare.
	secondDialer = 1500 * time.Millisecond
)

// other is a known distributor.
type other struct {
	domain  string
	since   time.Time
	dialing bool
	nextAt  time.Time
}

// otherDomain is another failure domain.
type otherDomain struct {
	goneAt   time.Time
	lost     bool
	complete bool
	reports  map[string]*progressReport // by distributor
	toldAt   time.Time
}

// knowOthers takes the addresses of distributors. A complete list also removes
// those that are no longer in it.
func (d *Distributor) knowOthers(addresses map[string]string, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if complete {
		for address, o := range d.others {
			if _, ok := addresses[address]; !ok && d.links[address] == nil && !o.dialing {
				delete(d.others, address)
			}
		}
	}
	for address, domain := range addresses {
		if d.others[address] == nil && address != d.o.Address {
			d.others[address] = &other{domain: domain, since: time.Now()}
		}
	}
}

// missesDomain reports whether a known domain has no link, or the other
// distributor of this domain is missing.
func (d *Distributor) missesDomain() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	linked := d.linkedLocked()
	for name := range d.domains {
		if !slices.Contains(linked, name) {
			return true
		}
	}
	return d.siblingLocked() == nil
}

// keepLinks dials the distributors without a link until ctx ends.
func (d *Distributor) keepLinks(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range d.toDial(time.Now()) {
			if d.o.submit(func() { d.dialLink(ctx, address) }) != nil {
				d.dialed(address)
			}
		}
		sleep(ctx, linkInterval)
	}
}

func (d *Distributor) toDial(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for address, o := range d.others {
		if o.dialing || d.links[address] != nil || now.Before(o.nextAt) {
			continue
		}
		if d.o.Address > address && now.Sub(o.since) < secondDialer {
			continue
		}
		o.dialing = true
		addresses = append(addresses, address)
	}
	return addresses
}

func (d *Distributor) dialLink(ctx context.Context, address string) {
	defer d.dialed(address)
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

func (d *Distributor) dialed(address string) {
	pause := dialJitter/4 + d.random.upTo(dialJitter)
	d.mu.Lock()
	defer d.mu.Unlock()
	if o := d.others[address]; o != nil {
		o.dialing, o.nextAt = false, time.Now().Add(pause)
	}
}

func (d *Distributor) domainLocked(name string) *otherDomain {
	od := d.domains[name]
	if od == nil {
		od = &otherDomain{reports: map[string]*progressReport{}}
		d.domains[name] = od
	}
	return od
}

func (d *Distributor) noteComplete(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.domainLocked(name).complete = true
}

// judgeDomains tells the own member daemons which domains are lost: those
// whose distributors have all been gone for domainGone.
func (d *Distributor) judgeDomains(now time.Time) {
	var records []*pb.Record
	d.mu.Lock()
	reached := d.linkedLocked()
	for name, od := range d.domains {
		linked := slices.Contains(reached, name)
		if linked {
			od.goneAt = time.Time{}
		} else if od.goneAt.IsZero() {
			od.goneAt = now
		}
		gone := !linked && now.Sub(od.goneAt) >= domainGone
		switch {
		case gone && !od.lost:
			od.lost = true
			eventDomainLost.Log(d.o.Logger, zap.String("domain", name))
			records = append(records, d.domainRecordLocked(name, pb.EndpointState_ENDPOINT_DOWN))
		case linked && (od.lost || !od.told()):
			od.lost, od.toldAt = false, now
			eventDomainFound.Log(d.o.Logger, zap.String("domain", name))
			records = append(records, d.domainRecordLocked(name, pb.EndpointState_ENDPOINT_READY))
		}
	}
	d.mu.Unlock()
	d.spreadToMembers(records)
}

func (od *otherDomain) told() bool { return !od.toldAt.IsZero() }

// domainRecordLocked says how this distributor sees another domain. Its key
// has the slot, so that a later holder of the slot replaces it.
func (d *Distributor) domainRecordLocked(name string, state pb.EndpointState) *pb.Record {
	o := d.lease.Load()
	d.counter++
	incarnation := o.fencing
	if o.slot == noSlot {
		incarnation = uint64(d.started.UnixMilli())
	}
	return &pb.Record{
		Kind: pb.RecordKind_RECORD_LIVENESS, Key: name + "/" + slotName(o.slot), Owner: d.o.Name,
		Incarnation: incarnation, Counter: d.counter,
		Payload: mustMarshal(&pb.Endpoint{Domain: name, State: state}),
	}
}
