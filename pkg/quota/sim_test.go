package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/fleet"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

// simulation is a fleet in virtual time, without a network.
type simulation struct {
	random   *rand.Rand
	now      clock.Instant
	events   eventHeap
	nodes    []*simNode
	limits   map[string]Limit
	loss     float64       // share of the datagrams and heartbeats that are lost
	trip     time.Duration // of a datagram
	spread   float64       // chance of a heartbeat to reach a daemon within 500 ms
	runs     map[string][]clock.Instant
	refusals map[string]int // over the limit
	unknown  map[string]int // without an accountant
	messages int            // datagrams of requests and of grants
	waited   int            // requests that waited for an answer
}

type simEvent struct {
	at   clock.Instant
	node *simNode // on which it happens, nil for an event of the simulation
	do   func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simNode is a daemon. It is its own source of members.
type simNode struct {
	startedAt   clock.Instant
	sim         *simulation
	name        string
	group       int // nodes in different groups cannot reach each other
	process     int // incremented with each restart
	pausedUntil clock.Instant
	retired     bool                 // announced at once to all
	heard       map[string]heartbeat // newest known heartbeat by daemon
	members     *Members
	accountant  *Accountant
	stock       *Stock
}

// heartbeat is a heartbeat of a daemon as another one knows it.
type heartbeat struct {
	count int
	at    clock.Instant // when it was received
}

func newSimulation(seed uint64, nodes int, limits map[string]Limit) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), limits: limits, trip: 2 * time.Millisecond, spread: 0.95,
		runs: make(map[string][]clock.Instant), refusals: make(map[string]int), unknown: make(map[string]int),
	}
	for i := range nodes {
		s.nodes = append(s.nodes, &simNode{sim: s, name: fmt.Sprintf("vm-%d", i)})
	}
	for _, n := range s.nodes {
		n.restart()
	}
	s.heartbeats()
	return s
}

var testBounds = Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

func (n *simNode) restart() {
	n.process++
	n.startedAt = n.sim.now
	n.heard = make(map[string]heartbeat)
	n.members = NewMembers(n.name, n, n.sim.now)
	n.accountant = NewAccountant(testBounds, n.members)
	n.stock = NewStock(n.members.Accountants, uint64(n.process)<<32)
}

// Version implements Source.
func (n *simNode) Version() uint64 { return 0 }

// Expected implements Source.
func (n *simNode) Expected() (int, bool) { return len(n.sim.nodes), true }

// Members implements Source.
func (n *simNode) Members() []Member {
	var members []Member
	for _, other := range n.sim.nodes {
		last, known := n.heard[other.name]
		age := n.sim.now.Sub(last.at)
		if other == n {
			known, age = true, 0
		}
		if known {
			members = append(members, Member{Candidate: fleet.Candidate{Name: other.name}, Live: age <= 3*time.Second, Retired: other.retired, HeartbeatAge: age, Older: n.startedAt.Sub(other.startedAt) > 3*time.Second})
		}
	}
	return members
}

// exchanges is the largest number of daemons with which one exchanges its table in a round.
const exchanges = 8

// heartbeats advances the heartbeats and exchanges them between connected daemons every
// 500 ms.
func (s *simulation) heartbeats() {
	for _, n := range s.nodes {
		if n.pausedUntil > s.now {
			continue
		}
		n.heard[n.name] = heartbeat{n.heard[n.name].count + 1, s.now}
		if n.heard[n.name].count == 1 {
			n.heard[n.name] = heartbeat{int(s.now.Sub(0) / time.Millisecond), s.now} // above those of earlier processes
		}
		for i := range min(len(s.nodes), exchanges) {
			other := s.nodes[(s.random.IntN(len(s.nodes)/exchanges+1)*exchanges+i)%len(s.nodes)]
			if other != n && other.pausedUntil <= s.now && other.group == n.group && s.random.Float64() < s.spread*(1-s.loss) {
				n.merge(other)
			}
		}
		n.members.Observe(s.now)
	}
	s.after(500*time.Millisecond, nil, s.heartbeats)
}

// merge takes over the heartbeats that another daemon knows.
func (n *simNode) merge(other *simNode) {
	for name, beat := range other.heard {
		if name != n.name && beat.count > n.heard[name].count {
			n.heard[name] = heartbeat{beat.count, n.sim.now}
		}
	}
}

func (s *simulation) after(d time.Duration, node *simNode, do func()) {
	if node != nil {
		process, inner := node.process, do
		do = func() {
			if node.process == process {
				inner()
			}
		}
	}
	heap.Push(&s.events, simEvent{s.now.Add(d), node, do})
}

// run advances the time.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = max(s.now, e.at)
		if e.node != nil && e.node.pausedUntil > s.now {
			heap.Push(&s.events, simEvent{e.node.pausedUntil, e.node, e.do})
			continue
		}
		e.do()
	}
	s.now = end
}

// deliver sends a datagram.
func (s *simulation) deliver(from *simNode, to string, handle func(n *simNode)) {
	n := s.nodes[slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == to })]
	if n != from {
		s.messages++
		if s.random.Float64() < s.loss || n.group != from.group {
			return
		}
	}
	// A datagram that arrives after a restart reaches the new process.
	heap.Push(&s.events, simEvent{s.now.Add(s.delay(n, from)), n, func() { handle(n) }})
}

func (s *simulation) delay(a, b *simNode) time.Duration {
	if a == b {
		return 0
	}
	return s.trip
}

func (n *simNode) send(asks []Ask) {
	for _, a := range asks {
		n.sim.deliver(n, a.To, func(to *simNode) {
			grant := to.accountant.Grant(n.sim.now, n.name, a.Request, n.sim.limits[a.Request.GetWorkspace()])
			if grant != nil {
				to.reply(n, grant)
			}
		})
		n.sim.after(resendAfter, n, func() {
			n.send(n.stock.Resend(n.sim.now, a.Request.GetWorkspace(), a.Request.GetSequence(), a.To))
		})
	}
}

func (n *simNode) reply(to *simNode, grant *pb.PermitGrant) {
	n.sim.deliver(n, to.name, func(to *simNode) { to.send(to.stock.Receive(to.sim.now, n.name, grant)) })
}

// request makes a request of a workspace at a daemon.
func (n *simNode) request(workspace string) {
	result, waiter, asks := n.stock.Acquire(n.sim.now, workspace)
	n.send(asks)
	if waiter == nil {
		n.record(workspace, result)
		return
	}
	n.sim.waited++
	n.await(workspace, waiter)
}

// awaitStep is the interval at which a waiting request looks for its result.
const awaitStep = 4 * time.Millisecond

func (n *simNode) await(workspace string, w *Waiter) {
	select {
	case result := <-w.done:
		n.record(workspace, result)
	default:
		n.sim.after(awaitStep, n, func() { n.await(workspace, w) })
	}
}

func (n *simNode) record(workspace string, r Result) {
	switch {
	case r.Granted && r.Permit.Lapse <= n.sim.now:
		n.sim.unknown[workspace]++ // it lapsed while the daemon was paused
	case r.Granted:
		n.sim.runs[workspace] = append(n.sim.runs[workspace], n.sim.now)
	case r.RetryAfter > 0:
		n.sim.refusals[workspace]++
	default:
		n.sim.unknown[workspace]++
	}
}

// load makes requests of a workspace at random daemons until the end.
func (s *simulation) load(workspace string, rate float64, end clock.Instant, nodes []*simNode) {
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if s.now.Add(wait) >= end {
		return
	}
	s.after(wait, nil, func() {
		n := nodes[s.random.IntN(len(nodes))]
		s.after(0, n, func() { n.request(workspace) })
		s.load(workspace, rate, end, nodes)
	})
}

// worst returns the largest number of runs of a workspace within any window.
func (s *simulation) worst(workspace string) int {
	runs, most, first := s.runs[workspace], 0, 0
	slices.Sort(runs)
	for i, at := range runs {
		for at.Sub(runs[first]) > testBounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
