package main

import (
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	stopWork     = 700 * time.Millisecond
	stopBudget   = 3 * time.Second
	stopRate     = 6.0
	routeTimeout = 2500 * time.Millisecond
)

// fraction stops the daemons in turn, in a deployment whose grace_s has a fraction.
func fraction(t *trial, trouble bool) (bool, error) {
	grace := 6.5
	if text := os.Getenv("GRACE_S"); text != "" {
		grace, _ = strconv.ParseFloat(text, 64)
	}
	t.bounds["grace_s"] = grace
	t.store.put("config", "main", map[string]any{"version": 1, "resources": []any{
		map[string]any{"resource_type": "routes", "metadata": map[string]string{"name": "order"}, "spec": map[string]any{
			"host": "fish.example", "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": routeTimeout.Milliseconds(), "target_latency_ms": 1500,
			"priority": 1, "service": "desk", "max_attempts": 2,
		}},
		map[string]any{"resource_type": "services", "metadata": map[string]string{"name": "desk"}, "spec": map[string]any{"health_path": "/health", "max_conns": 130}},
		map[string]any{"resource_type": "limits", "metadata": map[string]string{"name": "limits"}, "spec": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 10000,
		}},
	}})
	var reached sync.Map // requests that reached an upstream
	onRun := func(u *upstream, id string, _ time.Time, status int) {
		reached.Store(id, status)
		t.record.log("upstream %s ran %s: %d (0: its connection was closed)", u.id, id, status)
	}
	var lost sync.Map // requests without an answer, and when their connection ended
	for i := range 4 {
		m, err := t.add("vm-"+strconv.Itoa(i+1), "z"+strconv.Itoa(i%2+1), "desk")
		if err != nil {
			return false, err
		}
		if err := m.start(true); err != nil {
			return false, err
		}
		if err := m.startUpstream("v1", slots, stopWork, 0, onRun); err != nil {
			return false, err
		}
		go m.poll()
		c := newClients(m, "fish.example", "/order/1", "POST", stopRate, &t.attempts)
		c.budget, c.retries = stopBudget, 0
		c.onLost = func(a *attempt) { lost.Store(a.id, a) }
		go c.run()
	}
	time.Sleep(12 * time.Second)
	if err := t.awaitReady(5 * time.Second); err != nil {
		return false, err
	}
	stopped := make(map[*machine]time.Time)
	for _, m := range t.all() {
		if !trouble {
			time.Sleep(4 * time.Second)
			continue
		}
		stopped[m] = time.Now()
		m.signal(syscall.SIGTERM)
		if !m.awaitExit(time.Duration(grace * float64(time.Second))) {
			m.signal(syscall.SIGKILL)
			m.awaitExit(time.Second)
		}
		t.record.say("the daemon of %s has ended", m.name)
		time.Sleep(500 * time.Millisecond)
		if err := m.start(false); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	time.Sleep(3 * time.Second)
	count, early := 0, 0
	lost.Range(func(_, value any) bool {
		a := value.(*attempt)
		// The rule counts requests that the stopped machine took until 1 s after grace_s, and
		// not those that ended at the timeout of the route or the time budget, or in the last
		// sixth of grace_s.
		term, isStopped := stopped[a.machine]
		graceTime := time.Duration(grace * float64(time.Second))
		planned := isStopped && a.ended.After(term) && a.sent.Before(term.Add(graceTime+time.Second))
		excused := a.ended.Sub(a.sent) >= min(stopBudget, routeTimeout) || a.ended.After(term.Add(graceTime*5/6))
		if _, ok := reached.Load(a.id); ok && planned && !excused {
			count++
			t.record.log("attempt %s of %s had reached an upstream, and its connection ended without an answer after %s", a.id, a.machine.name, a.ended.Sub(a.sent))
		} else {
			early++
		}
		return true
	})
	t.record.say("grace_s %g: %d requests had reached an upstream and got no answer, %d other connections ended without an answer", grace, count, early)
	if count > 0 {
		t.record.say("LOST is broken")
		return true, nil
	}
	t.record.say("LOST holds")
	return false, nil
}
