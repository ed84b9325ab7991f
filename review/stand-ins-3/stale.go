package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// staleController: a new version fails a part of its requests under load. At the end of its
// roll-out, when the old upstreams get no new requests any more and some still work on
// orders, the machine of the daemon that controls the roll-out is suspended for four seconds.
// One of the new upstreams is beside that daemon; the others get its load, and another daemon
// rolls the version back. At the end all processes are killed and started again.
func staleController(d *deployment, r *recorder, trouble bool) (bool, error) {
	const (
		service  = "orderdesk"
		duration = 16 * time.Second
		freeze   = 4 * time.Second
		recovery = 15 * time.Second
		capacity = 42 // lookups a second of an upstream of the new version; each of three gets some 33
	)
	decide := func(isNew bool) func(*http.Request, int) work {
		var lookups []time.Time // within the last second
		return func(req *http.Request, n int) work {
			w := work{takes: 40 * time.Millisecond, bytes: 400}
			if strings.HasPrefix(req.URL.Path, "/slow/") {
				w.takes = 2900 * time.Millisecond
				return w
			}
			now := time.Now()
			lookups = append(lookups, now)
			for now.Sub(lookups[0]) > time.Second {
				lookups = lookups[1:]
			}
			if isNew && len(lookups) > capacity && n%2 == 0 {
				w.status = http.StatusInternalServerError
			}
			return w
		}
	}
	var olds, news []*machine
	for i := range 6 {
		m, err := d.add(service, fmt.Sprintf("kgl-%c", 'a'+i%3), 16, decide(i >= 3))
		if err != nil {
			return false, err
		}
		if m.link, err = startForwarder(m.ip, m.at("fleet")); err != nil {
			return false, err
		}
		if i < 3 {
			olds = append(olds, m)
		} else {
			m.upstream.version = "v2"
			news = append(news, m)
		}
	}
	d.configure(
		route{"orders", "/order/", "non_idempotent", service, 2000, 800, 2},
		route{"slow", "/slow/", "non_idempotent", service, 3000, 3000, 1},
		route{"looks", "/look/", "idempotent", service, 1500, 600, 2},
	)
	for _, m := range olds {
		if err := m.startDaemon(); err != nil {
			return false, err
		}
		if err := m.upstream.start(); err != nil {
			return false, err
		}
	}
	for _, m := range olds {
		if err := awaitService(m, "/look/warm"); err != nil {
			return false, err
		}
	}
	r.printf("three machines with version v1 serve")

	// A steady load on the old machines.
	var mu sync.Mutex
	type result struct {
		at     time.Time
		status int
	}
	var results []result
	stop := make(chan struct{})
	defer close(stop)
	slowAnswers := make(map[int]int)
	ask1 := func(m *machine) {
		at := time.Now()
		a := ask(m, http.MethodGet, "/look/1", newID(), 1500*time.Millisecond, "")
		mu.Lock()
		results = append(results, result{at, a.status})
		mu.Unlock()
	}
	served := func(from, to time.Time) (ok, all int) {
		mu.Lock()
		defer mu.Unlock()
		for _, x := range results {
			if x.at.After(from) && x.at.Before(to) {
				all++
				if x.status == http.StatusOK {
					ok++
				}
			}
		}
		return ok, all
	}
	for _, m := range olds {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
					go ask1(m)
				}
			}
		}()
	}
	time.Sleep(4 * time.Second)
	for _, m := range news {
		if err := m.startDaemon(); err != nil {
			return false, err
		}
		if err := m.upstream.start(); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	d.store.put("rollouts", service, map[string]any{"service": service, "target_version": "v2", "duration_s": duration.Seconds()})
	r.printf("order to move %s to v2", service)
	plan := func() (share float64, closing bool, writer string) {
		spec, writer := d.store.spec("nutmegstand-moves", service)
		var p struct {
			Share   float64 `json:"share"`
			Closing bool    `json:"closing"`
		}
		_ = json.Unmarshal(spec, &p)
		return p.Share, p.Closing, writer
	}
	await := func(what string, timeout time.Duration, check func() bool) error {
		for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if check() {
				return nil
			}
		}
		return fmt.Errorf("%s: not in %v", what, timeout)
	}
	if err := await("plan", 5*time.Second, func() bool { _, _, w := plan(); return w != "" }); err != nil {
		return false, err
	}
	_, _, controller := plan()
	var leader *machine
	for _, m := range d.machines {
		if m.name == controller {
			leader = m
		}
	}
	r.printf("the controller is %s", leader.name)
	// Slow orders on the old machines other than the controller's.
	slowDone := make(chan struct{})
	go func() {
		for {
			select {
			case <-slowDone:
				return
			case <-time.After(250 * time.Millisecond):
				for _, m := range olds {
					if m != leader {
						go func() {
							a := ask(m, http.MethodPost, "/slow/1", newID(), 4*time.Second, "x")
							mu.Lock()
							slowAnswers[a.status]++
							mu.Unlock()
						}()
					}
				}
			}
		}
	}()
	if err := await("closing", 2*duration, func() bool { _, c, _ := plan(); return c }); err != nil {
		return false, err
	}
	close(slowDone)
	r.printf("the old version gets no new requests (plan is closing); status %s", d.store.status("rollouts", service))
	time.Sleep(400 * time.Millisecond)
	if trouble {
		goOn := leader.upstream.suspend()
		leader.link.set(true)
		leader.signal(syscall.SIGSTOP)
		r.printf("%s is suspended", leader.name)
		time.Sleep(freeze)
		r.printf("status before it goes on: %s", d.store.status("rollouts", service))
		goOn()
		leader.link.set(false)
		leader.signal(syscall.SIGCONT)
		r.printf("%s goes on", leader.name)
	}
	if err := await("the end of the roll-out", 2*duration, func() bool {
		s := d.store.status("rollouts", service)
		return strings.Contains(s, "completed") || strings.Contains(s, "rolled_back")
	}); err != nil {
		return false, err
	}
	status := d.store.status("rollouts", service)
	r.printf("status of the roll-out: %s", status)
	spec, writer := d.store.spec("nutmegstand-moves", service)
	r.printf("record: %s by %s", spec, writer)
	time.Sleep(3 * time.Second)
	if strings.Contains(status, "completed") {
		for _, m := range olds {
			m.upstream.stop()
		}
	} else {
		for _, m := range news {
			r.printf("%s says that it is draining: status %d", m.upstream.id, m.upstream.leave())
		}
		time.Sleep(3 * time.Second)
		for _, m := range news {
			m.upstream.stop()
		}
	}
	r.printf("upstreams of the other version have ended")
	spec, writer = d.store.spec("nutmegstand-moves", service)
	r.printf("record: %s by %s; status %s", spec, writer, d.store.status("rollouts", service))
	mu.Lock()
	r.printf("slow orders, answers by status: %v", slowAnswers)
	mu.Unlock()
	before := time.Now()
	time.Sleep(3 * time.Second)
	fault := time.Now()
	okBefore, allBefore := served(before, fault)
	r.printf("before the final fault %d of %d requests are served", okBefore, allBefore)
	for _, m := range d.machines {
		m.kill()
	}
	r.printf("all processes are killed")
	time.Sleep(1400 * time.Millisecond)
	for _, m := range d.machines {
		if err := m.startDaemon(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recovery + 5*time.Second)
	okAfter, allAfter := served(back.Add(recovery), time.Now().Add(-2*time.Second))
	mu.Lock()
	sort.Slice(results, func(i, j int) bool { return results[i].at.Before(results[j].at) })
	for i := 0; i < len(results); {
		second, counts := int(results[i].at.Sub(r.started).Seconds()), make(map[int]int)
		for ; i < len(results) && int(results[i].at.Sub(r.started).Seconds()) == second; i++ {
			counts[results[i].status]++
		}
		r.printf("lookups sent in second %d, by status (0: none): %v", second, counts)
	}
	for _, m := range d.machines {
		m.upstream.mu.Lock()
		r.printf("%s (%s) ran %d requests, the last %.3f s after the start", m.upstream.id, m.upstream.version, len(m.upstream.runs), m.upstream.lastRun().Sub(r.started).Seconds())
		m.upstream.mu.Unlock()
	}
	mu.Unlock()
	r.printf("%v after the machines are back, %d of %d requests are served", recovery, okAfter, allAfter)
	return 4*okAfter < allAfter && 4*okBefore >= allBefore, nil
}
