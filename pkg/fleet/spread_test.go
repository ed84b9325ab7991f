package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// spread is a fleet whose exchanges are calls in memory, in virtual time.
type spread struct {
	t      testing.TB
	clock  *clock.Manual
	fleets map[string]*Fleet
	loss   float64 // share of the exchanges that fail
	bytes  int     // sent and received by all daemons in exchanges
	remote int     // bytes between failure domains
}

func newSpread(t testing.TB, members, zones int) *spread {
	s := &spread{t: t, clock: &clock.Manual{}, fleets: make(map[string]*Fleet)}
	var states []*pb.MemberState
	for i := range members {
		name := fmt.Sprintf("sidecar-zone-%d-%d", i%zones, i)
		table := NewTable(name, 1700000000000, State{
			Zone: fmt.Sprint("zone-", i%zones), CallAddress: "10.1.0.35:8145", SyncAddress: "10.1.0.35:7660", LinkMbps: 20, Cores: 0.16,
			Target: &Target{ID: fmt.Sprintf("i-%08x", i), Service: "huvo11a", Version: "v1", StartMS: 1700000000000, Slots: 8},
		}, s.clock)
		s.fleets[name] = New(Options{Table: table, Config: &routing.Current{}, Logger: zap.NewNop()})
		states = append(states, table.localState())
	}
	for _, f := range s.fleets {
		f.merge(states, nil)
	}
	return s
}

// round advances the time by one exchange interval, in which each daemon starts its
// exchanges at another moment.
func (s *spread) round() {
	step := exchangeInterval / time.Duration(len(s.fleets))
	for _, f := range s.fleets {
		s.clock.Advance(step)
		f.Table.AdvanceHeartbeat()
		for _, m := range f.Table.exchangePeers() {
			if to := s.fleets[m.Name]; to != nil && rand.Float64() >= s.loss {
				s.exchange(f, to)
			}
		}
	}
}

func (s *spread) exchange(from, to *Fleet) {
	count := func(m proto.Message) {
		s.bytes += 2 * proto.Size(m) // one daemon sends it, the other one receives it
		if from.Table.Local().State.Zone != to.Table.Local().State.Zone {
			s.remote += proto.Size(m)
		}
	}
	call := func(request *pb.SyncRequest) *pb.SyncReply {
		reply, err := to.Sync(s.t.Context(), request)
		assert.NilError(s.t, err)
		from.merge(reply.GetStates(), reply.GetFacts())
		count(request)
		count(reply)
		return reply
	}
	if second := from.secondRequest(call(from.firstRequest(to.Table.self))); second != nil {
		call(second)
	}
}

// oldest returns the greatest age of a heartbeat in any table.
func (s *spread) oldest() time.Duration {
	var age time.Duration
	for _, f := range s.fleets {
		f.Table.Each(func(m *Member) {
			if s.fleets[m.Name] != nil && !m.Self {
				age = max(age, s.clock.Now().Sub(m.LastHeartbeat))
			}
		})
	}
	return age
}

// TestHeartbeatsSpread guards against live members that count as silent because their
// heartbeats spread too slowly, in fleets of all sizes and with failed exchanges.
func TestHeartbeatsSpread(t *testing.T) {
	for _, c := range []struct{ members, zones int }{{13, 3}, {84, 3}, {195, 5}, {300, 5}, {300, 1}} {
		t.Run(fmt.Sprintf("%d in %d", c.members, c.zones), func(t *testing.T) {
			s := newSpread(t, c.members, c.zones)
			s.loss = 0.05
			for i := range 24 {
				s.round()
				if i >= 6 {
					assert.Assert(t, s.oldest() <= SilentAfter, "round %d: a heartbeat is %v old", i, s.oldest())
				}
			}
		})
	}
}

// TestExchangeBytes guards against exchanges whose size leaves no room for anything
// else within the bytes that a daemon may use for control work.
func TestExchangeBytes(t *testing.T) {
	const bytesPerSecond = 9000 // of each daemon, sent and received
	s := newSpread(t, 195, 5)
	const rounds = 10
	for range rounds {
		s.round()
	}
	perSecond := float64(s.bytes) / float64(len(s.fleets)) / (rounds * exchangeInterval.Seconds())
	assert.Assert(t, perSecond < bytesPerSecond, "%.0f B/s", perSecond)
	t.Logf("%.0f B/s, %.0f B/s between domains", perSecond, float64(s.remote)/float64(len(s.fleets))/(rounds*exchangeInterval.Seconds()))
}

// TestDifferencesAreExchanged guards against tables with equal summaries that differ,
// and against differences that an exchange does not settle.
func TestDifferencesAreExchanged(t *testing.T) {
	s := newSpread(t, 40, 2)
	a, b := s.fleets["sidecar-zone-0-0"], s.fleets["sidecar-zone-1-1"]
	changed := s.fleets["sidecar-zone-0-2"].Table
	changed.Update(func(state *State) { state.Stopping = true })
	a.merge([]*pb.MemberState{changed.localState()}, nil)
	b.Table.SetFact("plan", 3, []byte("new"))
	joined := NewTable("joined", 1, State{Zone: "zone-1"}, s.clock)
	b.merge([]*pb.MemberState{joined.localState()}, nil)
	s.exchange(a, b)
	m, _ := b.Table.Member(changed.self)
	assert.Assert(t, m.State.Stopping, "the state that only one side has")
	_, ok := a.Table.Member("joined")
	assert.Assert(t, ok, "the member that only the other side has")
	fact, _ := a.Table.Fact("plan")
	assert.Equal(t, string(fact.Payload), "new")
	assert.Equal(t, fmt.Sprint(a.Table.summary().GetHashes()), fmt.Sprint(b.Table.summary().GetHashes()))
}

// TestMalformedSummary guards against a message of a peer that ends the process.
func TestMalformedSummary(t *testing.T) {
	s := newSpread(t, 20, 2)
	f := s.fleets["sidecar-zone-0-0"]
	good := f.Table.summary()
	for name, damage := range map[string]func(*pb.TableSummary){
		"no hashes":     func(m *pb.TableSummary) { m.Hashes = nil },
		"no sizes":      func(m *pb.TableSummary) { m.Sizes = nil },
		"no heartbeats": func(m *pb.TableSummary) { m.Heartbeats = nil },
		"a huge size":   func(m *pb.TableSummary) { m.Sizes[3] = 1 << 31 },
		"a bucket less": func(m *pb.TableSummary) { m.Hashes = m.Hashes[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			summary := proto.CloneOf(good)
			damage(summary)
			reply, err := f.Sync(t.Context(), &pb.SyncRequest{From: "x", Summary: summary})
			assert.NilError(t, err)
			assert.Assert(t, len(reply.GetBuckets()) > 0)
			f.secondRequest(&pb.SyncReply{Summary: summary, Buckets: []uint32{3, 99}})
		})
	}
}

// TestRemovedMemberStaysRemoved guards against a member that was lost long ago and
// counts as live again, because a peer that removes it later still lists it.
func TestRemovedMemberStaysRemoved(t *testing.T) {
	s := newSpread(t, 3, 1)
	lost := s.fleets["sidecar-zone-0-2"].Table.localState()
	delete(s.fleets, "sidecar-zone-0-2")
	a, b := s.fleets["sidecar-zone-0-0"], s.fleets["sidecar-zone-0-1"]
	s.clock.Advance(removeAfter + time.Second)
	a.Table.removeSilent()
	s.exchange(a, b)
	s.exchange(b, a)
	a.merge([]*pb.MemberState{lost}, nil)
	_, ok := a.Table.Member("sidecar-zone-0-2")
	assert.Assert(t, !ok, "a peer brought the removed member back")
	lost.Digest.Beat += 5
	a.merge([]*pb.MemberState{lost}, nil)
	_, ok = a.Table.Member("sidecar-zone-0-2")
	assert.Assert(t, ok, "a member with a new heartbeat is alive")
}
