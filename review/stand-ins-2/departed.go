package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	departMachines = 6
	drainPeriod    = 2 * time.Second  // drain_ms
	servesAfter    = 13 * time.Second // time for which the upstream that left goes on serving
	pingDelay      = 3 * time.Second  // of its last ping
	downTime       = 1200 * time.Millisecond
)

// arrival is a request that reached the upstream that had left.
type arrival struct {
	id string
	at time.Time
}

// lastPing returns the upstream's next heartbeat, to be sent later.
func (u *upstream) lastPing() func() int {
	m := u.machine
	body, _ := json.Marshal(map[string]any{
		"address": address(m.ip, m.world.ports.app), "born": u.born,
		"info":   map[string]any{"service": m.service, "version": u.version, "zone": m.zone, "slots": u.slots},
		"status": map[string]any{"state": "ready", "sequence": u.sequence.Add(1), "warmup_left_ms": 0},
	})
	return func() int {
		r, _ := http.NewRequest(http.MethodPut, u.url(), bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		return call(r)
	}
}

func (u *upstream) url() string {
	return "http://" + address(u.machine.ip, u.machine.world.ports.control) + "/v1/instances/" + u.id
}

// call makes a call to a daemon and returns the status, 0 without an answer in a second.
func call(r *http.Request) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// departed lets an upstream leave by a DELETE that is confirmed. Then all daemons are
// killed and start again, while the store turns away a third of the machines, among them
// that of the upstream. The last ping of the upstream arrives late.
func departed(t *trial, trouble bool) (bool, error) {
	t.config(1)
	var mu sync.Mutex
	var gone *upstream
	var arrivals []arrival
	t.onArrival = func(u *upstream, id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if gone == u {
			arrivals = append(arrivals, arrival{id, at})
		}
	}
	for i := range departMachines {
		m, err := t.add("vm-"+strconv.Itoa(i+1), fmt.Sprintf("z%d", i%3+1), "desk")
		if err != nil {
			return false, err
		}
		if err := m.start(true); err != nil {
			return false, err
		}
		if err := m.startUpstream("v1", slots, work, 0, t.addRun); err != nil {
			return false, err
		}
		go m.poll()
		go newClients(m, "fish.example", "/look/1", "GET", ratePerVM, &t.attempts).run()
	}
	time.Sleep(10 * time.Second)
	if err := t.awaitReady(5 * time.Second); err != nil {
		return false, err
	}
	machines := t.all()
	m := machines[0]
	u := m.currentUpstream()
	u.silence()
	late := u.lastPing()
	time.AfterFunc(pingDelay, func() { t.record.say("the late ping of %s is answered with %d", u.id, late()) })
	time.Sleep(200 * time.Millisecond)
	r, _ := http.NewRequest(http.MethodDelete, u.url(), http.NoBody)
	status := call(r)
	confirmed := time.Now()
	t.record.say("the DELETE of %s is answered with %d", u.id, status)
	if status/100 != 2 {
		return false, fmt.Errorf("the DELETE was not confirmed")
	}
	mu.Lock()
	gone = u
	mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		t.record.say("the store turns away %s and %s for %s, and all daemons are killed", m.name, machines[1].name, refusal)
		t.store.refuse(m.name, machines[1].name)
		time.AfterFunc(refusal, func() { t.record.say("the store serves all machines again"); t.store.refuse() })
		for _, other := range machines {
			other.signal(syscall.SIGKILL)
		}
		time.Sleep(downTime)
		for _, other := range machines {
			other.awaitExit(time.Second)
			if err := other.start(false); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(confirmed.Add(servesAfter)))
	u.end()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	count, counted := 0, 0
	for _, a := range arrivals {
		if a.at.Sub(confirmed) <= drainPeriod {
			continue
		}
		count++
		value, ok := t.attempts.Load(a.id)
		inTouch := ok && value.(*attempt).machine.inTouch(value.(*attempt).sent) && m.inTouch(a.at)
		if inTouch {
			counted++
		}
		t.record.log("request %s reached %s %.3f s after the confirmation, in touch: %v", a.id, u.id, a.at.Sub(confirmed).Seconds(), inTouch)
	}
	t.record.say("%d requests reached %s later than %s after its leaving was confirmed, %d of them by machines in touch", count, u.id, drainPeriod, counted)
	if counted > 0 {
		t.record.say("DRAIN is broken")
		return true, nil
	}
	t.record.say("DRAIN holds")
	return false, nil
}
