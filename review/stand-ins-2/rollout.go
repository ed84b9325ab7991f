package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	oldCount  = 8 // machines of the service before the rollout
	newCount  = 8 // machines of each new version, started alongside
	duration  = 16 * time.Second
	refusal   = 9 * time.Second // largest dose of platform_down with "nodes" on the page
	slots     = 9
	work      = 220 * time.Millisecond
	failing   = 0.5 // share of a bad version's requests that fail
	ratePerVM = 14.0
)

// run is a request that a version of the service ran.
type run struct {
	id, version string
	arrived     time.Time
	ended       time.Time
	status      int
	inTouch     bool // of the machine where the request began
	sent        time.Time
}

// trial is a deployment with a service whose versions are replaced.
type trial struct {
	*world
	attempts sync.Map

	runsMu sync.Mutex
	runs   []run
	states map[string]string // reported state by service and target version
	stMu   sync.Mutex
	leader string
	prefix string // of the names of machines, by which the daemons rank themselves
}

func newTrial(r *record) (*trial, error) {
	w, err := newWorld(r)
	if err != nil {
		return nil, err
	}
	t := &trial{world: w, states: make(map[string]string), prefix: "vm88"}
	w.store.onStatus = func(kind, name, machine string, status json.RawMessage) {
		var s struct {
			State  string `json:"state"`
			Target string `json:"target_version"`
		}
		_ = json.Unmarshal(status, &s)
		t.stMu.Lock()
		defer t.stMu.Unlock()
		if kind == "rollouts" {
			t.states[name+"/"+s.Target] = s.State
			t.leader = machine
			r.say("operator sees rollouts/%s: %s %s, written by %s", name, s.Target, s.State, machine)
		}
	}
	return t, nil
}

func (t *trial) state(key string) string {
	t.stMu.Lock()
	defer t.stMu.Unlock()
	return t.states[key]
}

func (t *trial) lastLeader() string {
	t.stMu.Lock()
	defer t.stMu.Unlock()
	return t.leader
}

// addRun adds a run of an upstream that has ended.
func (t *trial) addRun(u *upstream, id string, arrived time.Time, status int) {
	a, ok := t.attempts.Load(id)
	if !ok {
		t.record.say("upstream %s ran %s, which no client sent", u.id, id)
		return
	}
	sent := a.(*attempt)
	t.record.log("upstream %s of %s %s ran %s: %d", u.id, u.machine.service, u.version, id, status)
	if u.machine.service != "desk" {
		return
	}
	t.runsMu.Lock()
	defer t.runsMu.Unlock()
	t.runs = append(t.runs, run{id, u.version, arrived, time.Now(), status, sent.machine.inTouch(arrived) && u.machine.inTouch(arrived), sent.sent})
}

func (t *trial) config(version int) {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"resource_type": "routes", "metadata": map[string]string{"name": name}, "spec": map[string]any{
			"host": "fish.example", "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 1500, "target_latency_ms": 600,
			"priority": 1, "service": service, "max_attempts": 2,
		}}
	}
	service := func(name string) map[string]any {
		return map[string]any{"resource_type": "services", "metadata": map[string]string{"name": name}, "spec": map[string]any{"health_path": "/health", "max_conns": 130}}
	}
	t.store.put("config", "main", map[string]any{"version": version, "resources": []any{
		route("look", "/look/", "desk"), service("desk"),
		map[string]any{"resource_type": "limits", "metadata": map[string]string{"name": "limits"}, "spec": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 10000,
		}},
	}})
}

// addMachines adds machines with a version of a service, and clients on each of them.
func (t *trial) addMachines(service, version string, count int, failing float64, bootstrap bool) error {
	for i := range count {
		m, err := t.add(fmt.Sprintf("%s-%s-%s-%d", t.prefix, service, version, i+1), fmt.Sprintf("z%d", i%3+1), service)
		if err != nil {
			return err
		}
		if err := m.start(bootstrap); err != nil {
			return err
		}
		if err := m.startUpstream(version, slots, work, failing, t.addRun); err != nil {
			return err
		}
		go m.poll()
		go newClients(m, "fish.example", "/look/1", "GET", ratePerVM, &t.attempts).run()
	}
	return nil
}

func (t *trial) order(service, target string, d time.Duration) {
	t.record.say("operator orders %s to move to %s within %s", service, target, d)
	t.store.put("rollouts", service, map[string]any{"service": service, "target_version": target, "duration_s": d.Seconds()})
}

// drainVersion drains the upstreams of a version and then stops their daemons, as the
// platform does after a roll-back.
func (t *trial) drainVersion(service, version string) {
	var group sync.WaitGroup
	for _, m := range t.all() {
		u := m.currentUpstream()
		if m.service != service || u == nil || u.version != version {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			u.drain()
			m.leave()
			m.signal(syscall.SIGTERM)
			if !m.awaitExit(6 * time.Second) {
				m.signal(syscall.SIGKILL)
				m.awaitExit(time.Second)
			}
		}()
	}
	group.Wait()
}

// await waits until a rollout has a state, and reports whether it has.
func (t *trial) await(key string, limit time.Duration, wanted ...string) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, state := range wanted {
			if t.state(key) == state {
				return true
			}
		}
	}
	return false
}

// judge applies EXPOSURE to a bad version that was ordered at a time.
func (t *trial) judge(bad string, ordered time.Time) bool {
	t.runsMu.Lock()
	defer t.runsMu.Unlock()
	all, exposed, badAnswers, late := 0, 0, 0, 0
	var fiftieth time.Time
	byMachine := make(map[string]int)
	for _, r := range t.runs {
		inTime := r.arrived.After(ordered) && r.arrived.Before(ordered.Add(duration))
		if inTime {
			all++
		}
		if r.version != bad {
			continue
		}
		if inTime && r.inTouch {
			exposed++
			a, _ := t.attempts.Load(r.id)
			byMachine[a.(*attempt).machine.name]++
		}
		if r.status >= 500 {
			if badAnswers++; badAnswers == 50 {
				fiftieth = r.ended
			}
		}
	}
	for _, r := range t.runs {
		if r.version == bad && r.inTouch && !fiftieth.IsZero() && r.sent.After(fiftieth.Add(5*time.Second)) {
			late++
		}
	}
	allowed := 0.1*float64(all) + 50
	t.record.say("%d requests reached the service within %s of the order; the bad version %s got %d from machines in touch, allowed %.0f", all, duration, bad, exposed, allowed)
	t.record.say("requests to the bad version by the machine where they began: %v", byMachine)
	t.record.say("bad answers: %d; requests from machines in touch sent later than 5 s after the 50th: %d", badAnswers, late)
	if float64(exposed) > allowed || late > 0 {
		t.record.say("EXPOSURE is broken")
		return true
	}
	t.record.say("EXPOSURE holds")
	return false
}

// pick returns the machines that the store turns away, a third with the leader first.
// Machines that watch the store are spared, so that the order reaches all daemons at once.
func (t *trial) pick(leader string) []string {
	refused := []string{leader}
	present := 0
	for _, m := range t.all() {
		if !m.hasLeft() {
			present++
		}
	}
	most := present / 3
	for _, m := range t.all() {
		if m.name != leader && !m.hasLeft() && !t.store.watching(m.name) && len(refused) < most {
			refused = append(refused, m.name)
		}
	}
	return refused
}

// stuck orders a bad version, and after it was rolled back another bad one. While the
// second is ordered, the store turns away a third of the machines, among them the one that
// led the first rollout.
func stuck(t *trial, trouble bool) (bool, error) {
	t.config(1)
	if err := t.addMachines("desk", "v1", oldCount, 0, true); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if err := t.awaitReady(5 * time.Second); err != nil {
		return false, err
	}
	t.order("desk", "v2", duration)
	if err := t.addMachines("desk", "v2", newCount, failing, false); err != nil {
		return false, err
	}
	if !t.await("desk/v2", duration, "rolled_back") {
		return false, fmt.Errorf("the first version was not rolled back")
	}
	leader := t.lastLeader()
	t.record.say("%s led the first rollout", leader)
	time.Sleep(2 * time.Second)
	t.drainVersion("desk", "v2")
	time.Sleep(3 * time.Second)
	if trouble {
		refused := t.pick(leader)
		t.record.say("the store turns away %v for %s", refused, refusal)
		t.store.refuse(refused...)
		time.AfterFunc(refusal, func() { t.record.say("the store serves all machines again"); t.store.refuse() })
	}
	time.Sleep(100 * time.Millisecond)
	ordered := time.Now()
	t.order("desk", "v3", duration)
	if err := t.addMachines("desk", "v3", newCount, failing, false); err != nil {
		return false, err
	}
	t.await("desk/v3", duration+4*time.Second, "rolled_back", "completed")
	time.Sleep(time.Until(ordered.Add(duration + 2*time.Second)))
	return t.judge("v3", ordered), nil
}
