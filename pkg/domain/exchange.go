package domain

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// exchangeConfigDelay is how long another distributor may lack a version before
// the version is sent to it, since distributors read most versions from the store
// themselves.
const exchangeConfigDelay = time.Second

// relayDelay is how long another distributor may have no link to a domain before
// that domain's records are relayed to it. Links are set up one after another,
// so at the start some are missing for a short time.
const relayDelay = 3 * time.Second

// exchangeStream is the client or the server end of a stream between two
// distributors.
type exchangeStream interface {
	Send(*pb.DomainReport) error
	Recv() (*pb.DomainReport, error)
	Close() error
}

// exchange is the link to another distributor, its peer.
type exchange struct {
	distributor *Distributor
	stream      exchangeStream
	address     string
	domain      string
	wake        chan struct{}
	since       time.Time

	mu           sync.Mutex
	pending      map[recordKey]*pb.Record
	version      uint64 // of the peer
	behindSince  time.Time
	immediate    bool // send the newest version without exchangeConfigDelay
	sentVersion  uint64
	sentBase     uint64
	sentAt       time.Time
	wantFull     bool
	linked       []string             // domains to which the peer has links, nil before its first report
	missingSince map[string]time.Time // since when the peer has no link to a domain, zero once relayed
	sentLinked   []string
	sentProgress *pb.DomainProgress
	first        bool
}

// exchangeWith runs a link until its stream ends. The dialing distributor sends
// its first report before it receives the peer's.
func (d *Distributor) exchangeWith(ctx context.Context, stream exchangeStream, dialer bool) error {
	x := &exchange{
		distributor: d, stream: stream, wake: make(chan struct{}, 1), pending: map[recordKey]*pb.Record{}, missingSince: map[string]time.Time{},
		since: time.Now(), first: true,
	}
	if dialer {
		if err := stream.Send(x.nextReport()); err != nil {
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
	if err := d.options.submit(func() { defer close(sending); x.sendReports(ctx) }); err != nil {
		cancel()
		return err
	}
	defer func() { <-sending }()
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, x.close)
	defer silence.Stop()
	for report := first; ; {
		x.handleReport(report)
		if report, err = stream.Recv(); err != nil {
			return err
		}
		silence.Reset(silenceTimeout)
	}
}

func (x *exchange) close() { _ = x.distributor.options.submit(func() { _ = x.stream.Close() }) }

// link registers x in place of an older link to the same distributor and queues
// the records that recordsForLink returns for the domains of both distributors.
func (d *Distributor) link(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.links[x.address]; old != nil {
		old.close()
	}
	d.links[x.address] = x
	if d.remoteDistributors[x.address] == nil {
		d.remoteDistributors[x.address] = &remoteDistributor{domain: x.domain, addedAt: time.Now()}
	}
	if x.domain == d.options.Domain {
		d.sibling = siblingState{}
	} else {
		d.remoteDomainLocked(x.domain)
	}
	x.queue(d.recordsForLink(d.options.Domain, x.domain))
}

// recordsForLink returns the endpoint and liveness records of the given domains,
// all grants and suspects, and the totals that this distributor owns.
func (d *Distributor) recordsForLink(domains ...string) []*pb.Record {
	name := d.options.Name
	return d.table.selectRecords(func(e *entry) bool {
		switch e.record.GetKind() {
		case pb.RecordKind_RECORD_ENDPOINT, pb.RecordKind_RECORD_LIVENESS:
			return slices.Contains(domains, e.endpoint.GetDomain())
		case pb.RecordKind_RECORD_GRANT, pb.RecordKind_RECORD_SUSPECT:
			return true
		}
		return e.record.GetOwner() == name
	})
}

func (d *Distributor) unlink(x *exchange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links[x.address] != x {
		return
	}
	delete(d.links, x.address)
	if x.domain == d.options.Domain {
		d.sibling = siblingState{unlinkedSince: time.Now()}
	}
}

// siblingLocked returns the link to the domain's other distributor, or nil.
func (d *Distributor) siblingLocked() *exchange {
	for _, x := range d.links {
		if x.domain == d.options.Domain {
			return x
		}
	}
	return nil
}

// linkedDomainsLocked returns the domains to which this distributor has links.
// The local domain is among them if its other distributor is linked.
func (d *Distributor) linkedDomainsLocked() []string {
	var domains []string
	for _, x := range d.links {
		domains = append(domains, x.domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// reaches reports whether the peer itself has a link to a domain. Before its
// first report this is assumed, so that nothing is relayed to it.
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

// notifyVersion reports the new local version to the peer, so that the peer
// sends later versions as deltas from the right base. If immediate is set, the
// version itself is sent without exchangeConfigDelay.
func (x *exchange) notifyVersion(immediate bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.immediate = x.immediate || immediate
	notify(x.wake)
}

func (x *exchange) sendReports(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if err := x.stream.Send(x.nextReport()); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-x.wake:
			if x.canCoalesce() {
				sleep(ctx, coalesceDelay)
			}
		}
	}
}

func (x *exchange) canCoalesce() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range x.pending {
		if urgent(r) {
			return false
		}
	}
	return len(x.pending) > 0 && !x.immediate
}

// nextReport builds the next report to the peer.
func (x *exchange) nextReport() *pb.DomainReport {
	d := x.distributor
	role := d.lease.Load()
	version := d.catalog.version()
	report := &pb.DomainReport{ConfigVersion: version, Complete: d.settled()}
	if len(d.catalog.missing(nil)) > 0 {
		report.ConfigVersion = 0 // requests the full configuration
	}
	if x.domain == d.options.Domain {
		report.Silent = d.silentForSibling()
	}
	progress := d.localProgress()
	d.mu.Lock()
	linked := d.linkedDomainsLocked()
	d.mu.Unlock()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.first {
		x.first = false
		report.Domain, report.Distributor, report.Address = d.options.Domain, d.options.Name, d.options.Address
		report.Fencing, report.Slot = role.fencing, int32(role.slot)
		report.LinkedChanged = true
	}
	if x.sentProgress == nil || !proto.Equal(progress, x.sentProgress) {
		report.Progress, x.sentProgress = []*pb.DomainProgress{progress}, progress
	}
	if report.GetLinkedChanged() || !slices.Equal(linked, x.sentLinked) {
		report.Linked, report.LinkedChanged, x.sentLinked = linked, true, linked
	}
	if x.wantFull {
		report.ConfigVersion, x.wantFull = 0, false
	}
	for key, record := range x.pending {
		report.Records = append(report.Records, record)
		delete(x.pending, key)
	}
	report.Config = x.configLocked(version)
	return report
}

// configLocked returns the delta that is due to the peer, or nil.
func (x *exchange) configLocked(version uint64) *pb.ConfigDelta {
	now := time.Now()
	if version <= x.version || x.address == "" {
		return nil
	}
	late := !x.behindSince.IsZero() && now.Sub(x.behindSince) >= exchangeConfigDelay
	if !late && !x.immediate {
		return nil
	}
	x.immediate = false
	if x.sentVersion == version && now.Sub(x.sentAt) < resendDelay {
		return nil
	}
	delta, err := x.distributor.catalog.withChanged(x.version)
	if err != nil {
		return nil // incomplete on this distributor, too
	}
	x.sentVersion, x.sentBase, x.sentAt = version, delta.GetBaseVersion(), now
	return delta
}

// handleReport processes one report of the peer.
func (x *exchange) handleReport(report *pb.DomainReport) {
	d := x.distributor
	if report.GetConfig() != nil {
		advanced, err := d.catalog.apply(report.GetConfig())
		if advanced {
			d.announceVersion(false)
		}
		x.mu.Lock()
		if x.wantFull = err != nil && report.GetConfig().GetVersion() > d.catalog.version(); x.wantFull {
			notify(x.wake)
		}
		x.mu.Unlock()
	}
	d.raiseFleetVersion(report.GetConfigVersion())
	d.distribute(report.GetRecords(), x)
	d.recordProgress(x, report.GetProgress())
	if x.domain == d.options.Domain {
		d.recordSiblingSilent(report.GetSilent())
	} else if report.GetComplete() {
		d.recordComplete(x.domain)
	}
	x.recordReport(report)
}

func (x *exchange) recordReport(report *pb.DomainReport) {
	d := x.distributor
	version := d.catalog.version()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.version = report.GetConfigVersion()
	if x.version == 0 && x.sentVersion == version && x.sentBase != 0 {
		// The delta did not match the peer's version, so it requests the full one.
		x.sentVersion, x.immediate = 0, true
		notify(x.wake)
	}
	switch {
	case x.version >= version:
		x.behindSince = time.Time{}
	case x.behindSince.IsZero():
		x.behindSince = time.Now()
	}
	if report.GetLinkedChanged() {
		x.linked = append([]string{}, report.GetLinked()...)
	}
}

// relay queues for each peer the records of the domains that this distributor
// reaches and the peer has not reached for relayDelay. Records that arrive later
// are relayed one by one; see distribute.
func (d *Distributor) relay(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reached := d.linkedDomainsLocked()
	for _, x := range d.links {
		if missing := x.missingDomains(reached, now); len(missing) > 0 {
			x.queue(d.recordsForLink(missing...))
		}
	}
}

// missingDomains returns the domains in reached to which the peer has had no
// link for relayDelay, each only once while it remains unreachable to the peer.
func (x *exchange) missingDomains(reached []string, now time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.linked == nil {
		return nil
	}
	var due []string
	for _, domain := range reached {
		since, found := x.missingSince[domain]
		switch {
		case domain == x.domain || slices.Contains(x.linked, domain):
			delete(x.missingSince, domain)
		case !found:
			x.missingSince[domain] = now
		case !since.IsZero() && now.Sub(since) >= relayDelay:
			x.missingSince[domain] = time.Time{} // relayed
			due = append(due, domain)
		}
	}
	return due
}

// recordSiblingSilent records which daemons are silent to the domain's other
// distributor.
func (d *Distributor) recordSiblingSilent(names []string) {
	silent := make(map[string]bool, len(names))
	for _, name := range names {
		silent[name] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sibling.silent = silent
}
