package domain

import (
	"slices"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// maxBehindNames limits the names in one progress message.
	maxBehindNames = 20
	// namingDelay is how long a daemon is behind before it is named. Without the
	// delay, every change would send the names of daemons that are about to report
	// the new version.
	namingDelay = time.Second
	// progressMaxAge is the age from which a domain's progress counts as unknown.
	progressMaxAge = 5 * time.Second
)

// localProgress returns how many daemons of this domain lack the newest version.
// Silent daemons that have not departed count with the last version that they
// reported.
func (d *Distributor) localProgress() *pb.DomainProgress {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, newest := time.Now(), d.fleetVersion.Load()
	p := &pb.DomainProgress{Domain: d.options.Domain, Version: newest}
	for name, ms := range d.members {
		if ms.departed || ms.left {
			continue
		}
		p.Members++
		if ms.version >= newest {
			ms.behindSince = time.Time{}
			continue
		}
		p.Behind++
		p.Version = min(p.Version, ms.version)
		if ms.behindSince.IsZero() {
			ms.behindSince = now
		}
		if now.Sub(ms.behindSince) >= namingDelay {
			p.BehindNames = append(p.BehindNames, name)
		}
	}
	slices.Sort(p.BehindNames)
	if len(p.BehindNames) > maxBehindNames {
		p.BehindNames = p.BehindNames[:maxBehindNames]
	}
	return p
}

// progressReport is the last progress received from one distributor of another
// domain.
type progressReport struct {
	progress   *pb.DomainProgress
	receivedAt time.Time
}

func (d *Distributor) recordProgress(x *exchange, reports []*pb.DomainProgress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x.domain == d.options.Domain {
		return
	}
	remote := d.remoteDomainLocked(x.domain)
	for _, p := range reports {
		remote.reports[x.address] = &progressReport{progress: p}
	}
	if r := remote.reports[x.address]; r != nil {
		r.receivedAt = time.Now() // a report without progress means that it has not changed
	}
}

// latest returns the progress of the domain: the recent report with the highest
// version, since a distributor that is cut off from its member daemons lags
// behind, or the last report if none is recent.
func (remote *remoteDomain) latest(now time.Time) *progressReport {
	var best *progressReport
	for _, r := range remote.reports {
		recent := now.Sub(r.receivedAt) <= progressMaxAge
		switch {
		case best == nil, recent && now.Sub(best.receivedAt) > progressMaxAge:
			best = r
		case recent && r.progress.GetVersion() > best.progress.GetVersion():
			best = r
		case !recent && r.receivedAt.After(best.receivedAt):
			best = r
		}
	}
	return best
}

// Progress returns, for each domain, the lowest version in force, the daemons that
// lack the newest one, and the age of this information.
func (d *Distributor) Progress() []*pb.DomainProgress {
	local := d.localProgress()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	all := []*pb.DomainProgress{local}
	for name, remote := range d.remoteDomains {
		p := &pb.DomainProgress{Domain: name, AgeMs: now.Sub(d.started).Milliseconds()}
		if r := remote.latest(now); r != nil {
			p = &pb.DomainProgress{
				Domain: name, Version: r.progress.GetVersion(), Members: r.progress.GetMembers(),
				Behind: r.progress.GetBehind(), BehindNames: r.progress.GetBehindNames(),
				AgeMs: now.Sub(r.receivedAt).Milliseconds(),
			}
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pb.DomainProgress) int { return strings.Compare(a.GetDomain(), b.GetDomain()) })
	return all
}

// InForce evaluates the progress of all domains. It returns whether a version, or
// a newer one, is in force everywhere, the named daemons that lack it, and the
// domains without recent progress.
func InForce(progress []*pb.DomainProgress, version uint64) (everywhere bool, lacking, unknown []string) {
	everywhere = true
	for _, p := range progress {
		if p.GetAgeMs() > progressMaxAge.Milliseconds() {
			unknown = append(unknown, p.GetDomain())
			everywhere = false
			continue
		}
		if p.GetVersion() < version {
			lacking = append(lacking, p.GetBehindNames()...)
			everywhere = false
		}
	}
	return everywhere, lacking, unknown
}
