package target

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/keyhome"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
)

const (
	historyDaemons = 3
	// leaseTime is the duration of the membership lease in section 9 of the design.
	leaseTime = 3 * time.Second
	// viewDelay bounds the age of the view of a daemon or a caller.
	viewDelay = 2 * time.Second
	// crashPath is the path prefix of requests that crash every target.
	crashPath = "/poison/"
)

// timedView is the list of a service's endpoints from a point in time on.
type timedView struct {
	at        time.Time
	endpoints []*pb.Endpoint
}

// simulation is a service of a few daemons with a scripted membership. Daemons and
// callers receive views with a delay, and a lease expires before the daemon is
// declared departed.
type simulation struct {
	mu       sync.Mutex
	daemons  []*faketarget.Daemon
	replaced []*faketarget.Daemon // previous instances of restarted daemons
	views    []timedView
	paths    map[string]string // expected path of the answer, by call ID
}

func newSimulation(script faketarget.Script) *simulation {
	sim := &simulation{paths: map[string]string{}}
	var endpoints []*pb.Endpoint
	for i := range historyDaemons {
		name := fmt.Sprint("vm-", i)
		sim.daemons = append(sim.daemons, sim.start(i, script))
		endpoints = append(endpoints, &pb.Endpoint{Name: name, EligibleSinceMs: 1})
	}
	sim.views = []timedView{{endpoints: endpoints}}
	return sim
}

// start creates a daemon whose view is outdated by up to viewDelay.
func (sim *simulation) start(i int, script faketarget.Script) *faketarget.Daemon {
	name := fmt.Sprint("vm-", i)
	d := faketarget.NewDaemon(faketarget.Config{Name: name, Script: script, Limits: target.Limits{Slots: 4, Connections: 8}})
	lag := viewDelay * time.Duration(i) / (historyDaemons + 1)
	view := func() []*pb.Endpoint { return sim.viewAt(time.Now().Add(-lag)) }
	d.Endpoints.Store(&view)
	d.OnSuspect = func(s *pb.Suspect) { sim.broadcastSuspect(name, s) }
	return d
}

// broadcastSuspect sends a suspect record to all daemons except the sender.
func (sim *simulation) broadcastSuspect(from string, suspect *pb.Suspect) {
	sim.mu.Lock()
	daemons := append([]*faketarget.Daemon(nil), sim.daemons...)
	sim.mu.Unlock()
	for _, d := range daemons {
		if d.Name != from {
			d.Gate.Suspects().Apply(from, faketarget.Service, suspect)
		}
	}
}

func (sim *simulation) viewAt(at time.Time) []*pb.Endpoint {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i := len(sim.views) - 1; i > 0; i-- {
		if !sim.views[i].at.After(at) {
			return sim.views[i].endpoints
		}
	}
	return sim.views[0].endpoints
}

// updateView appends a changed view. The endpoints are copied, since readers share
// the views.
func (sim *simulation) updateView(change func([]*pb.Endpoint) []*pb.Endpoint) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	last := sim.views[len(sim.views)-1].endpoints
	sim.views = append(sim.views, timedView{at: time.Now(), endpoints: change(append([]*pb.Endpoint(nil), last...))})
}

// loseLease lets the lease of a daemon expire. The daemon is declared departed and
// rejoins after an absence with a new eligibility time. If restart is set, its
// keys are lost.
func (sim *simulation) loseLease(i int, absence time.Duration, restart bool, script faketarget.Script) {
	sim.mu.Lock()
	d := sim.daemons[i]
	sim.mu.Unlock()
	d.LeaseEnd.Store(time.Now().Add(leaseTime).UnixNano())
	time.Sleep(leaseTime)
	sim.updateView(func(endpoints []*pb.Endpoint) []*pb.Endpoint {
		for j, e := range endpoints {
			if e.GetName() == d.Name && e.GetDepartedMs() == 0 {
				endpoints[j] = &pb.Endpoint{Name: e.GetName(), EligibleSinceMs: e.GetEligibleSinceMs(), DepartedMs: time.Now().UnixMilli()}
			}
		}
		return endpoints
	})
	time.Sleep(absence)
	if restart {
		started := sim.start(i, script)
		sim.mu.Lock()
		sim.daemons[i] = started
		sim.replaced = append(sim.replaced, d)
		sim.mu.Unlock()
		d = started
	}
	d.LeaseEnd.Store(time.Now().Add(time.Hour).UnixNano())
	sim.updateView(func(endpoints []*pb.Endpoint) []*pb.Endpoint {
		return append(endpoints, &pb.Endpoint{Name: d.Name, EligibleSinceMs: time.Now().Add(5 * time.Second).UnixMilli()})
	})
}

// join adds a new daemon to the service.
func (sim *simulation) join(script faketarget.Script) {
	sim.mu.Lock()
	i := len(sim.daemons)
	sim.mu.Unlock()
	started := sim.start(i, script)
	sim.mu.Lock()
	sim.daemons = append(sim.daemons, started)
	sim.mu.Unlock()
	sim.updateView(func(endpoints []*pb.Endpoint) []*pb.Endpoint {
		return append(endpoints, &pb.Endpoint{Name: started.Name, EligibleSinceMs: time.Now().Add(5 * time.Second).UnixMilli()})
	})
}

// send makes one attempt as a caller side does, which looks up the home of the key in
// its outdated view. It returns nil if the caller side answers without sending.
func (sim *simulation) send(ctx context.Context, head *pb.CallHead, lag time.Duration) (*pb.AnswerHead, []byte) {
	view := sim.viewAt(time.Now().Add(-lag))
	home := keyhome.Home(head.GetKey(), keyhome.CreatedMS(head.GetKey()), view, time.Now())
	if home.Status != keyhome.Found && home.Status != keyhome.LookupOnly {
		return nil, nil
	}
	sim.mu.Lock()
	sim.paths[head.GetCallId()] = head.GetPath()
	daemons := append([]*faketarget.Daemon(nil), sim.daemons...)
	sim.mu.Unlock()
	for _, d := range daemons {
		if d.Name == home.Endpoint.GetName() {
			return d.Gate.Do(ctx, head, nil)
		}
	}
	return nil, nil
}

// runs returns the runs on all targets.
func (sim *simulation) runs() []faketarget.Run {
	var runs []faketarget.Run
	for _, d := range append(sim.daemons, sim.replaced...) {
		runs = append(runs, d.Target.Runs()...)
	}
	return runs
}

// orderScript returns the script of a target that has random latencies, truncates
// some responses and crashes on requests under crashPath.
func orderScript(rng func(string) *rand.Rand) faketarget.Script {
	return faketarget.Script{
		Latency: func(r *target.Request) time.Duration {
			return time.Duration(1+rng(r.Head.GetCallId()).IntN(60)) * time.Millisecond
		},
		TruncateOn: func(r *target.Request) bool { return rng(r.Head.GetCallId()).IntN(16) == 0 },
		CrashOn:    func(r *target.Request) bool { return strings.HasPrefix(r.Head.GetPath(), crashPath) },
		Restart:    300 * time.Millisecond,
	}
}
