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
	// leaseTime is the membership lease of section 9.
	leaseTime = 3 * time.Second
	// viewDelay bounds the age of the view of a daemon or a caller.
	viewDelay = 2 * time.Second
	// killPath is the path prefix of requests that crash every target.
	killPath = "/poison/"
)

// timedView is a state of the service's endpoints from a time on.
type timedView struct {
	at        time.Time
	endpoints []*pb.Endpoint
}

// world is a service of a few daemons with a scripted membership. Views reach
// daemons and callers late; leases end before a departure is declared.
type world struct {
	mu      sync.Mutex
	daemons []*faketarget.Daemon
	gone    []*faketarget.Daemon // daemons that were restarted
	views   []timedView
	paths   map[string]string // expected path of a call's answer
}

func newWorld(script faketarget.Script) *world {
	w := &world{paths: map[string]string{}}
	var endpoints []*pb.Endpoint
	for i := range historyDaemons {
		name := fmt.Sprint("vm-", i)
		w.daemons = append(w.daemons, w.start(i, script))
		endpoints = append(endpoints, &pb.Endpoint{Name: name, EligibleSinceMs: 1})
	}
	w.views = []timedView{{endpoints: endpoints}}
	return w
}

// start builds a daemon whose view lags by up to viewDelay.
func (w *world) start(i int, script faketarget.Script) *faketarget.Daemon {
	name := fmt.Sprint("vm-", i)
	d := faketarget.NewDaemon(faketarget.Config{Name: name, Script: script, Limits: target.Limits{Slots: 4, Connections: 8}})
	lag := viewDelay * time.Duration(i) / (historyDaemons + 1)
	view := func() []*pb.Endpoint { return w.viewAt(time.Now().Add(-lag)) }
	d.View.Store(&view)
	d.OnCrash = func(s *pb.Suspect) { w.spread(name, s) }
	return d
}

// spread sends a suspect record to the other daemons.
func (w *world) spread(from string, suspect *pb.Suspect) {
	w.mu.Lock()
	daemons := append([]*faketarget.Daemon(nil), w.daemons...)
	w.mu.Unlock()
	for _, d := range daemons {
		if d.Name != from {
			d.Gate.Suspects().Apply(from, faketarget.Service, suspect)
		}
	}
}

func (w *world) viewAt(at time.Time) []*pb.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.views) - 1; i > 0; i-- {
		if !w.views[i].at.After(at) {
			return w.views[i].endpoints
		}
	}
	return w.views[0].endpoints
}

// edit appends a changed view. Endpoints are copied, since views are shared.
func (w *world) edit(change func([]*pb.Endpoint) []*pb.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := w.views[len(w.views)-1].endpoints
	w.views = append(w.views, timedView{at: time.Now(), endpoints: change(append([]*pb.Endpoint(nil), last...))})
}

// loseLease takes a daemon through a lapse: its lease ends, it is declared
// departed, and it comes back as a new stay. With restart its keys are lost.
func (w *world) loseLease(i int, away time.Duration, restart bool, script faketarget.Script) {
	w.mu.Lock()
	d := w.daemons[i]
	w.mu.Unlock()
	d.LeaseEnd.Store(time.Now().Add(leaseTime).UnixNano())
	time.Sleep(leaseTime)
	w.edit(func(endpoints []*pb.Endpoint) []*pb.Endpoint {
		for j, e := range endpoints {
			if e.GetName() == d.Name && e.GetDepartedMs() == 0 {
				endpoints[j] = &pb.Endpoint{Name: e.GetName(), EligibleSinceMs: e.GetEligibleSinceMs(), DepartedMs: time.Now().UnixMilli()}
			}
		}
		return endpoints
	})
	time.Sleep(away)
	if restart {
		fresh := w.start(i, script)
		w.mu.Lock()
		w.daemons[i] = fresh
		w.gone = append(w.gone, d)
		w.mu.Unlock()
		d = fresh
	}
	d.LeaseEnd.Store(time.Now().Add(time.Hour).UnixNano())
	w.edit(func(endpoints []*pb.Endpoint) []*pb.Endpoint {
		return append(endpoints, &pb.Endpoint{Name: d.Name, EligibleSinceMs: time.Now().Add(5 * time.Second).UnixMilli()})
	})
}

// join adds a new daemon to the service.
func (w *world) join(script faketarget.Script) {
	w.mu.Lock()
	i := len(w.daemons)
	w.mu.Unlock()
	fresh := w.start(i, script)
	w.mu.Lock()
	w.daemons = append(w.daemons, fresh)
	w.mu.Unlock()
	w.edit(func(endpoints []*pb.Endpoint) []*pb.Endpoint {
		return append(endpoints, &pb.Endpoint{Name: fresh.Name, EligibleSinceMs: time.Now().Add(5 * time.Second).UnixMilli()})
	})
}

// send makes one attempt as a caller side does: it looks up the home in its own
// late view. It returns nil when the caller side answers without sending.
func (w *world) send(ctx context.Context, head *pb.CallHead, lag time.Duration) (*pb.AnswerHead, []byte) {
	view := w.viewAt(time.Now().Add(-lag))
	home := keyhome.Home(head.GetKey(), keyhome.CreatedMS(head.GetKey()), view, time.Now())
	if home.Status != keyhome.Found && home.Status != keyhome.LookupOnly {
		return nil, nil
	}
	w.mu.Lock()
	w.paths[head.GetCallId()] = head.GetPath()
	daemons := append([]*faketarget.Daemon(nil), w.daemons...)
	w.mu.Unlock()
	for _, d := range daemons {
		if d.Name == home.Endpoint.GetName() {
			return d.Gate.Do(ctx, head, nil)
		}
	}
	return nil, nil
}

// runs returns all runs on all targets.
func (w *world) runs() []faketarget.Run {
	var runs []faketarget.Run
	for _, d := range append(w.daemons, w.gone...) {
		runs = append(runs, d.Target.Runs()...)
	}
	return runs
}

// orderScript is a target that is slow at times, cuts some answers, and crashes
// on poisoned requests.
func orderScript(rng func(string) *rand.Rand) faketarget.Script {
	return faketarget.Script{
		Latency: func(r *target.Request) time.Duration {
			return time.Duration(1+rng(r.Head.GetCallId()).IntN(60)) * time.Millisecond
		},
		Cuts:    func(r *target.Request) bool { return rng(r.Head.GetCallId()).IntN(16) == 0 },
		Kills:   func(r *target.Request) bool { return strings.HasPrefix(r.Head.GetPath(), killPath) },
		Restart: 300 * time.Millisecond,
	}
}
