package fleet

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

// bucketCount is the number of buckets into which the members of a table are
// divided. Peers compare one hash for each bucket, and exchange the digests of the
// buckets that differ.
const bucketCount = 16

// bucket holds the members whose names hash to it, ordered by name.
type bucket struct {
	members []*Member
	hash    uint64
	stale   bool // hash must be computed again
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

func compareNames(m *Member, name string) int { return strings.Compare(m.Name, name) }

func (b *bucket) insert(m *Member) {
	at, _ := slices.BinarySearchFunc(b.members, m.Name, compareNames)
	b.members = slices.Insert(b.members, at, m)
	b.stale = true
}

func (b *bucket) remove(name string) {
	if at, found := slices.BinarySearchFunc(b.members, name, compareNames); found {
		b.members = slices.Delete(b.members, at, at+1)
		b.stale = true
	}
}

// sum returns the hash of the names, incarnations and counters of the members.
func (b *bucket) sum() uint64 {
	if b.stale {
		h := xxhash.New()
		var version [16]byte
		for _, m := range b.members {
			_, _ = h.WriteString(m.Name) // a hash does not fail
			binary.LittleEndian.PutUint64(version[:8], m.Incarnation)
			binary.LittleEndian.PutUint64(version[8:], m.Counter)
			_, _ = h.Write(version[:])
		}
		b.hash, b.stale = h.Sum64(), false
	}
	return b.hash
}

// summary describes the table to a peer.
func (t *Table) summary() *pb.TableSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &pb.TableSummary{
		Hashes: make([]uint64, bucketCount), Sizes: make([]uint32, bucketCount), Facts: t.factsSum(),
		Heartbeats: make([]uint64, 0, len(t.members)),
	}
	var loads loadWriter
	for i := range t.buckets {
		b := &t.buckets[i]
		s.Hashes[i], s.Sizes[i] = b.sum(), uint32(len(b.members))
		for _, m := range b.members {
			s.Heartbeats = append(s.Heartbeats, m.Heartbeat)
			loads.add(m.load)
		}
	}
	s.Loads = loads.loads
	return s
}

// factsSum returns a hash of the keys and ranks of all facts. The caller holds mu.
func (t *Table) factsSum() uint64 {
	var sum uint64
	for key, fact := range t.facts {
		var rank [8]byte
		binary.LittleEndian.PutUint64(rank[:], fact.Rank)
		h := xxhash.New()
		_, _ = h.WriteString(key) // a hash does not fail
		_, _ = h.Write(rank[:])
		sum ^= h.Sum64()
	}
	return sum
}

// mergeSummary merges the heartbeats of the buckets that are equal in the table of a
// peer. It returns the buckets that differ, and whether the facts differ. In a
// malformed summary all buckets differ.
func (t *Table) mergeSummary(s *pb.TableSummary) (buckets []uint32, facts bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	valid := len(s.GetHashes()) == bucketCount && len(s.GetSizes()) == bucketCount
	heartbeats, loads := s.GetHeartbeats(), decodeLoads(s)
	for i := range t.buckets {
		b := &t.buckets[i]
		valid = valid && uint64(s.GetSizes()[i]) <= uint64(len(heartbeats))
		if !valid {
			buckets = append(buckets, uint32(i))
			continue
		}
		size := int(s.GetSizes()[i])
		if size == len(b.members) && s.GetHashes()[i] == b.sum() {
			for n, m := range b.members {
				t.advanceHeartbeat(m, heartbeats[n], loads[n])
			}
		} else {
			buckets = append(buckets, uint32(i))
		}
		heartbeats, loads = heartbeats[size:], loads[size:]
	}
	return buckets, s.GetFacts() != t.factsSum()
}

// digests returns the digests of the members of the given buckets.
func (t *Table) digests(buckets []uint32) []*pb.MemberDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var digests []*pb.MemberDigest
	for _, i := range buckets {
		for _, m := range t.buckets[i].members {
			digests = append(digests, m.digest())
		}
	}
	return digests
}

// compare compares the digests of a peer, which cover the given buckets, with the
// table. It returns the states that are newer than those of the peer, and the names
// of members whose state is newer at the peer. Heartbeats of the digests are merged
// into the table. Buckets that do not exist are ignored.
func (t *Table) compare(buckets []uint32, digests []*pb.MemberDigest) (newer []*pb.MemberState, wanted []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(digests))
	for _, d := range digests {
		listed[d.GetName()] = true
		m, ok := t.members[d.GetName()]
		if !ok || m.newer(d.GetIncarnation(), d.GetCounter()) {
			switch {
			case d.GetName() == t.self:
				t.refute(d)
			case !t.wasRemoved(d):
				wanted = append(wanted, d.GetName())
			}
			continue
		}
		if d.GetIncarnation() == m.Incarnation {
			t.advanceHeartbeat(m, d.GetBeat(), byte(d.GetLoad()))
		}
		if d.GetIncarnation() < m.Incarnation || d.GetCounter() < m.Counter {
			newer = append(newer, m.encode())
		}
	}
	now := t.clock.Now()
	for _, i := range buckets {
		if i >= bucketCount {
			continue
		}
		for _, m := range t.buckets[i].members {
			if !listed[m.Name] && (m.Self || now.Sub(m.LastHeartbeat) < SilentAfter) {
				newer = append(newer, m.encode())
			}
		}
	}
	return newer, wanted
}
