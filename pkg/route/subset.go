package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// maxSubset limits the endpoints of one service to which a daemon keeps
	// connections.
	maxSubset = 20
	// remoteReserve is the number of places in a full subset reserved for remote
	// domains if the local domain could fill it, so that calls can spill over.
	remoteReserve = 5
	// minPerVersion is the minimum number of targets in the subset for each
	// version: enough to choose between two targets, with others to replace them.
	minPerVersion = 4
)

// subset returns the ready endpoints that the named daemon uses: at most maxSubset
// over all versions, selected by rendezvous hash of the daemon's name, with the
// local domain first.
func subset(name, domain string, endpoints []*pb.Endpoint) []*pb.Endpoint {
	byVersion := map[string][]*pb.Endpoint{}
	for _, e := range endpoints {
		if usable(e) {
			byVersion[e.GetVersion()] = append(byVersion[e.GetVersion()], e)
		}
	}
	var chosen []*pb.Endpoint
	for _, group := range allocateQuotas(byVersion) {
		chosen = append(chosen, localFirst(name, domain, group.endpoints, group.quota)...)
	}
	return chosen
}

// usable reports whether an endpoint accepts new calls.
func usable(e *pb.Endpoint) bool {
	return e.GetState() == pb.EndpointState_ENDPOINT_READY && e.GetDepartedMs() == 0
}

type versionGroup struct {
	version   string
	endpoints []*pb.Endpoint
	quota     int
}

// allocateQuotas divides the subset among the versions in proportion to their
// number of targets. Each version gets at least minPerVersion places, or one for
// each of its targets if it has fewer. If that exceeds maxSubset, the largest quotas
// are reduced.
func allocateQuotas(byVersion map[string][]*pb.Endpoint) []versionGroup {
	var groups []versionGroup
	total := 0
	for version, endpoints := range byVersion {
		groups = append(groups, versionGroup{version: version, endpoints: endpoints})
		total += len(endpoints)
	}
	slices.SortFunc(groups, func(a, b versionGroup) int { return cmp.Compare(a.version, b.version) })
	allocated := 0
	for i := range groups {
		g := &groups[i]
		g.quota = min(len(g.endpoints), max(minPerVersion, maxSubset*len(g.endpoints)/total))
		allocated += g.quota
	}
	for allocated > maxSubset {
		largest := slices.MaxFunc(groups, func(a, b versionGroup) int { return cmp.Compare(a.quota, b.quota) }).quota
		index := slices.IndexFunc(groups, func(g versionGroup) bool { return g.quota == largest })
		groups[index].quota--
		allocated--
	}
	return groups
}

// localFirst returns up to quota endpoints: local endpoints first, then remote ones,
// each group in rendezvous order of the key. A part of the quota is reserved for
// remote endpoints; see remoteReserve.
func localFirst(key, domain string, endpoints []*pb.Endpoint, quota int) []*pb.Endpoint {
	var local, remote []*pb.Endpoint
	for _, e := range endpoints {
		if e.GetDomain() == domain {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	reserve := min(len(remote), quota*remoteReserve/maxSubset)
	chosen := topByHash(key, local, quota-reserve)
	return append(chosen, topByHash(key, remote, quota-len(chosen))...)
}

// topByHash returns the first n endpoints in rendezvous order of the key. The
// library returns only the first name, so the lookup is repeated without the names
// already found. topByHash runs when the endpoints change, not for each call.
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
		names = slices.DeleteFunc(names, func(candidate string) bool { return candidate == name })
	}
	return top
}
