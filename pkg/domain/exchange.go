package domain

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// exchangeConfigDelay is how long another distributor may lack a version
// before it is sent, since both learn of most versions from the store.
const exchangeConfigDelay = time.Second

// relayDelay is how long another distributor may lack a link to a domain
// before it is sent that domain's records; links come up one after another.
const relayDelay = 3 * time.Second

// exchangeStream is either end of the stream between two distributors.
type exchangeStream interface {
	Send(*pb.DomainReport) error
	Recv() (*pb.DomainReport, error)
	Close() error
}

// exchange is the link to another distributor.
type exchange struct {
	d       *Distributor
	stream  exchangeStream
	address string
	domain  string
	wake    chan struct{}
	since   time.Time

	mu           sync.Mutex
	pending      map[recordKey]*pb.Record
	version      uint64 // of the other distributor
	behindSince  time.Time
	atOnce       bool // send the newest version without delay
	sentVersion  uint64
	sentBase     uint64
	sentAt       time.Time
	wantFull     bool
	linked       []string             // domains that the other distributor reaches
	lacks        map[string]time.Time // since when it lacks a domain, zero once relayed
	toldLinked   []string
	toldProgress *pb.DomainProgress
	first        bool
}

// exchangeWith serves a link until it ends.
func (d *Distributor) exchangeWith(ctx context.Context, stream exchangeStream, greet bool) error {
	x := &exchange{
		d: d, stream: stream, wake: make(chan struct{}, 1), pending: map[recordKey]*pb.Record{}, lacks: map[string]time.Time{},
		since: time.Now(), first: true,
	}
	if greet { // the dialling side introduces itself first
		if err := stream.Send(x.report()); err != nil {
			return err
		}
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetDistributor() == "" {
		return &FirstReportError{Peer: first.GetAddress()}
	}
	x.address, x.domain = first.GetAddress(), first.GetDomain()
	d.link(x)
	defer d.unlink(x)
	ctx, cancel := context.WithCancel(ctx)
	sending := make(chan struct{})
	if err := d.o.submit(func() { defer close(sending); x.send(ctx) }); err != nil {
		cancel()
		return err
	}
	defer func() { <-sending }()
	defer cancel()
	silence := time.AfterFunc(silenceLimit, x.close)
	defer silence.Stop()
	for report := first; ; {
		x.take(report)
		if report, err = stream.Recv(); err != nil {
			return err
		}
		silence.Reset(silenceLimit)
	}
}

func (x *exchange) close() { _ = x.d.o.submit(func() { _ = x.stream.Close() }) }

// link registers x in place of an older link to the same distributor, and
// queues what the other side should have: the records of this domain and of
// its own, and every grant and suspect.
func (d *Distributor) link(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.links[x.address]; old != nil {
		old.close()
	}
	d.links[x.address] = x
	if d.others[x.address] == nil {
		d.others[x.address] = &other{domain: x.domain, since: time.Now()}
	}
	if x.domain == d.o.Domain {
		d.siblings = siblingState{}
	} else {
		d.domainLocked(x.domain)
	}
	x.queue(d.recordsForLink(d.o.Domain, x.domain))
}

// recordsForLink selects the distributed records of two domains, and those of
// no domain.
func (d *Distributor) recordsForLink(domains ...string) []*pb.Record {
	own := d.o.Name
	return d.table.selectRecords(func(e *entry) bool {
		switch e.record.GetKind() {
		case pb.RecordKind_RECORD_ENDPOINT, pb.RecordKind_RECORD_LIVENESS:
			return slices.Contains(domains, e.endpoint.GetDomain())
		case pb.RecordKind_RECORD_GRANT, pb.RecordKind_RECORD_SUSPECT:
			return true
		}
		return e.record.GetOwner() == own
	})
}

func (d *Distributor) unlink(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links[x.address] != x {
		return
	}
	delete(d.links, x.address)
	if x.domain == d.o.Domain {
		d.siblings = siblingState{goneAt: time.Now()}
	}
}

// siblingLocked returns the link to the other distributor of this domain.
func (d *Distributor) siblingLocked() *exchange {
	for _, x := range d.links {
		if x.domain == d.o.Domain {
			return x
		}
	}
	return nil
}

// linkedLocked lists the domains that this distributor reaches; the own one if
// the other distributor of it is linked.
func (d *Distributor) linkedLocked() []string {
	var domains []string
	for _, x := range d.links {
		domains = append(domains, x.domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// reaches reports whether the other distributor has a link of its own to a
// domain. One that has not said so yet is not relayed to.
func (x *exchange) reaches(domain string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.linked == nil || slices.Contains(x.linked, domain)
}

func (x *exchange) queue(records []*pb.Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range records {
		x.pending[keyOf(r)] = r
	}
	if len(x.pending) > 0 {
		notify(x.wake)
	}
}

// noteVersion tells the other distributor of a newer version here, so that it
// sends later versions from the right base.
func (x *exchange) noteVersion(atOnce bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.atOnce = x.atOnce || atOnce
	notify(x.wake)
}

func (x *exchange) send(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if err := x.stream.Send(x.report()); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-x.wake:
			if x.mayWait() {
				sleep(ctx, coalesceDelay)
			}
		}
	}
}

func (x *exchange) mayWait() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range x.pending {
		if urgent(r) {
			return false
		}
	}
	return len(x.pending) > 0 && !x.atOnce
}

// report builds the next report.
func (x *exchange) report() *pb.DomainReport {
	d := x.d
	o := d.lease.Load()
	version := d.catalog.version()
	r := &pb.DomainReport{ConfigVersion: version, Complete: d.settled()}
	if len(d.catalog.missing(nil)) > 0 {
		r.ConfigVersion = 0 // asks for everything
	}
	if x.domain == d.o.Domain {
		r.Silent = d.silentForSibling()
	}
	progress := d.ownProgress()
	d.mu.Lock()
	linked := d.linkedLocked()
	d.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.first {
		x.first = false
		r.Domain, r.Distributor, r.Address = d.o.Domain, d.o.Name, d.o.Address
		r.Fencing, r.Slot = o.fencing, int32(o.slot)
		r.LinkedChanged = true
	}
	if x.toldProgress == nil || !proto.Equal(progress, x.toldProgress) {
		r.Progress, x.toldProgress = []*pb.DomainProgress{progress}, progress
	}
	if r.GetLinkedChanged() || !slices.Equal(linked, x.toldLinked) {
		r.Linked, r.LinkedChanged, x.toldLinked = linked, true, linked
	}
	if x.wantFull {
		r.ConfigVersion, x.wantFull = 0, false
	}
	for key, record := range x.pending {
		r.Records = append(r.Records, record)
		delete(x.pending, key)
	}
	r.Config = x.configLocked(version)
	return r
}

// configLocked returns the delta that the other distributor needs, or nil.
func (x *exchange) configLocked(version uint64) *pb.ConfigDelta {
	now := time.Now()
	if version <= x.version || x.address == "" {
		return nil
	}
	late := !x.behindSince.IsZero() && now.Sub(x.behindSince) >= exchangeConfigDelay
	if !late && !x.atOnce {
		return nil
	}
	x.atOnce = false
	if x.sentVersion == version && now.Sub(x.sentAt) < resendDelay {
		return nil
	}
	delta, err := x.d.catalog.withChanged(x.version)
	if err != nil {
		return nil // incomplete here too
	}
	x.sentVersion, x.sentBase, x.sentAt = version, delta.GetBaseVersion(), now
	return delta
}

// take takes one report of the other distributor.
func (x *exchange) take(r *pb.DomainReport) {
	d := x.d
	if r.GetConfig() != nil {
		grew, err := d.catalog.apply(r.GetConfig())
		if grew {
			d.versionGrew(false)
		}
		x.mu.Lock()
		if x.wantFull = err != nil && r.GetConfig().GetVersion() > d.catalog.version(); x.wantFull {
			notify(x.wake)
		}
		x.mu.Unlock()
	}
	d.raiseFleet(r.GetConfigVersion())
	d.spread(r.GetRecords(), x)
	d.noteProgress(x, r.GetProgress())
	if x.domain == d.o.Domain {
		d.noteSilent(r.GetSilent())
	} else if r.GetComplete() {
		d.noteComplete(x.domain)
	}
	x.note(r)
}

func (x *exchange) note(r *pb.DomainReport) {
	d := x.d
	version := d.catalog.version()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.version = r.GetConfigVersion()
	if x.version == 0 && x.sentVersion == version && x.sentBase != 0 {
		// The delta did not fit; the whole version is asked for.
		x.sentVersion, x.atOnce = 0, true
		notify(x.wake)
	}
	switch {
	case x.version >= version:
		x.behindSince = time.Time{}
	case x.behindSince.IsZero():
		x.behindSince = time.Now()
	}
	if r.GetLinkedChanged() {
		x.linked = append([]string{}, r.GetLinked()...)
	}
}

// relay queues the records of domains that this distributor reaches and the
// other one has not reached for a while. Later records are relayed one by one.
func (d *Distributor) relay(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reached := d.linkedLocked()
	for _, x := range d.links {
		if missing := x.missing(reached, now); len(missing) > 0 {
			x.queue(d.recordsForLink(missing...))
		}
	}
}

// missing returns the domains that the other distributor has lacked for
// relayDelay, each once for as long as it lacks it.
func (x *exchange) missing(reached []string, now time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.linked == nil {
		return nil
	}
	var due []string
	for _, domain := range reached {
		since, noticed := x.lacks[domain]
		switch {
		case domain == x.domain || slices.Contains(x.linked, domain):
			delete(x.lacks, domain)
		case !noticed:
			x.lacks[domain] = now
		case !since.IsZero() && now.Sub(since) >= relayDelay:
			x.lacks[domain] = time.Time{} // relayed
			due = append(due, domain)
		}
	}
	return due
}

// noteSilent takes the daemons that the other distributor does not hear.
func (d *Distributor) noteSilent(names []string) {
	silent := make(map[string]bool, len(names))
	for _, name := range names {
		silent[name] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.siblings.silent = silent
}
