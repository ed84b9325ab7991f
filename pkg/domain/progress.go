package domain

import (
	"slices"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// maxBehindNames bounds the names in one progress message.
	maxBehindNames = 20
	// progressKeep is the age after which a domain's progress is unknown.
	progressKeep = 5 * time.Second
)

// ownProgress tells how many daemons of this domain lack the newest version.
// Daemons that are silent but not departed count as behind unless they were
// heard with the version.
func (d *Distributor) ownProgress() *pb.DomainProgress {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := d.fleet.Load()
	p := &pb.DomainProgress{Domain: d.o.Domain, Version: newest}
	for name, ms := range d.members {
		if ms.departed || ms.left {
			continue
		}
		p.Members++
		if ms.version < newest {
			p.Behind++
			p.Version = min(p.Version, ms.version)
			p.BehindNames = append(p.BehindNames, name)
		}
	}
	slices.Sort(p.BehindNames)
	if len(p.BehindNames) > maxBehindNames {
		p.BehindNames = p.BehindNames[:maxBehindNames]
	}
	return p
}

// progressReport is what one distributor of another domain said last.
type progressReport struct {
	progress *pb.DomainProgress
	at       time.Time
}

func (d *Distributor) noteProgress(x *exchange, reports []*pb.DomainProgress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x.domain == d.o.Domain {
		return
	}
	od := d.domainLocked(x.domain)
	for _, p := range reports {
		od.reports[x.address] = &progressReport{progress: p}
	}
	if r := od.reports[x.address]; r != nil {
		r.at = time.Now() // a report without progress confirms the last one
	}
}

// latest returns the progress of the domain: of the recent reports the one
// that is furthest, since a distributor cut off from its member daemons knows
// less; without recent ones the last.
func (od *otherDomain) latest(now time.Time) *progressReport {
	var best *progressReport
	for _, r := range od.reports {
		recent := now.Sub(r.at) <= progressKeep
		switch {
		case best == nil, recent && now.Sub(best.at) > progressKeep:
			best = r
		case recent && r.progress.GetVersion() > best.progress.GetVersion():
			best = r
		case !recent && r.at.After(best.at):
			best = r
		}
	}
	return best
}

// Progress returns, for each known domain, the lowest version in force and the
// daemons that lack the newest one, with the age of what is known.
func (d *Distributor) Progress() []*pb.DomainProgress {
	own := d.ownProgress()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	all := []*pb.DomainProgress{own}
	for name, od := range d.domains {
		p := &pb.DomainProgress{Domain: name, AgeMs: now.Sub(d.started).Milliseconds()}
		if r := od.latest(now); r != nil {
			p = &pb.DomainProgress{
				Domain: name, Version: r.progress.GetVersion(), Members: r.progress.GetMembers(),
				Behind: r.progress.GetBehind(), BehindNames: r.progress.GetBehindNames(),
				AgeMs: now.Sub(r.at).Milliseconds(),
			}
		}
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *pb.DomainProgress) int { return strings.Compare(a.GetDomain(), b.GetDomain()) })
	return all
}

// InForce evaluates the progress of all domains: whether a version, or a newer
// one, is in force everywhere; the daemons that are known to lack it; and the
// domains of which nothing recent is known.
func InForce(progress []*pb.DomainProgress, version uint64) (everywhere bool, lacking, unknown []string) {
	everywhere = true
	for _, p := range progress {
		if p.GetAgeMs() > progressKeep.Milliseconds() {
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
