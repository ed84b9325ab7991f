package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// maxSubset bounds the target sides of one service that a daemon keeps
	// connections to.
	maxSubset = 20
	// remoteReserve is the part of the subset kept for other domains when the
	// daemon's own domain could fill it, so that there is somewhere to spill to.
	remoteReserve = 5
	// minPerVersion keeps enough targets of a small version in the subset to
	// have a choice of two and a replacement.
	minPerVersion = 4
)

// subset returns the ready endpoints that the named daemon uses: at most
// maxSubset over all versions, by rendezvous hash of the daemon's name, its own
// domain first.
func subset(name, domain string, endpoints []*pb.Endpoint) []*pb.Endpoint {
	byVersion := map[string][]*pb.Endpoint{}
	for _, e := range endpoints {
		if usable(e) {
			byVersion[e.GetVersion()] = append(byVersion[e.GetVersion()], e)
		}
	}
	var chosen []*pb.Endpoint
	for _, group := range allot(byVersion) {
		chosen = append(chosen, nearFirst(name, domain, group.endpoints, group.quota)...)
	}
	return chosen
}

// usable reports whether an endpoint may get new work.
func usable(e *pb.Endpoint) bool {
	return e.GetState() == pb.EndpointState_ENDPOINT_READY && e.GetDepartedMs() == 0
}

type versionGroup struct {
	version   string
	endpoints []*pb.Endpoint
	quota     int
}

// allot divides the subset between versions in proportion to their targets,
// with at least minPerVersion each where they have so many.
func allot(byVersion map[string][]*pb.Endpoint) []versionGroup {
	var groups []versionGroup
	total := 0
	for version, endpoints := range byVersion {
		groups = append(groups, versionGroup{version: version, endpoints: endpoints})
		total += len(endpoints)
	}
	slices.SortFunc(groups, func(a, b versionGroup) int { return cmp.Compare(a.version, b.version) })
	sum := 0
	for i := range groups {
		g := &groups[i]
		g.quota = min(len(g.endpoints), max(minPerVersion, maxSubset*len(g.endpoints)/total))
		sum += g.quota
	}
	for sum > maxSubset {
		largest := slices.MaxFunc(groups, func(a, b versionGroup) int { return cmp.Compare(a.quota, b.quota) }).quota
		at := slices.IndexFunc(groups, func(g versionGroup) bool { return g.quota == largest })
		groups[at].quota--
		sum--
	}
	return groups
}

// nearFirst returns up to quota endpoints: those of the domain, then others,
// each in rendezvous order of the key.
func nearFirst(key, domain string, endpoints []*pb.Endpoint, quota int) []*pb.Endpoint {
	var near, far []*pb.Endpoint
	for _, e := range endpoints {
		if e.GetDomain() == domain {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	reserve := min(len(far), quota*remoteReserve/maxSubset)
	chosen := topByHash(key, near, quota-reserve)
	return append(chosen, topByHash(key, far, quota-len(chosen))...)
}

// topByHash returns the n first endpoints in rendezvous order of the key. The
// library finds the first only, so it is asked again without those found; this
// is done when the endpoints change, not for each call.
func topByHash(key string, endpoints []*pb.Endpoint, n int) []*pb.Endpoint {
	byName := make(map[string]*pb.Endpoint, len(endpoints))
	names := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		if _, ok := byName[e.GetName()]; !ok {
			names = append(names, e.GetName())
		}
		byName[e.GetName()] = e
	}
	slices.Sort(names)
	var top []*pb.Endpoint
	for len(top) < n && len(names) > 0 {
		name := rendezvous.New(names, xxhash.Sum64String).Lookup(key)
		top = append(top, byName[name])
		names = slices.DeleteFunc(names, func(other string) bool { return other == name })
	}
	return top
}
