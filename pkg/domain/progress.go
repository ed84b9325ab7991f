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

func (d *Distributor) noteProgress(domain string, reports []*pb.DomainProgress) {
	if domain == d.o.Domain {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range reports {
		if p.GetDomain() == domain {
			od := d.domainLocked(domain)
			od.progress, od.progressAt = p, time.Now()
		}
	}
}

// Progress returns, for each known domain, the lowest version in force and the
// daemons that lack the newest one, with the age of what is known.
func (d *Distributor) Progress() []*pb.DomainProgress {
	own := d.ownProgress()
	d.mu.Lock()
	defer d.mu.Unlock()
	all := []*pb.DomainProgress{own}
	for name, od := range d.domains {
		p := &pb.DomainProgress{Domain: name, AgeMs: time.Since(d.started).Milliseconds()}
		if od.progress != nil {
			p = &pb.DomainProgress{
				Domain: name, Version: od.progress.GetVersion(), Members: od.progress.GetMembers(),
				Behind: od.progress.GetBehind(), BehindNames: od.progress.GetBehindNames(),
				AgeMs: time.Since(od.progressAt).Milliseconds(),
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
