package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func lockThread() { runtime.LockOSThread() }

// upstream is the application beside a daemon.
type upstream struct {
	machine  *machine
	id       string
	version  string
	slots    int
	work     time.Duration
	failing  float64 // share of the requests that end with 500
	born     int64
	server   *http.Server
	slot     chan struct{}
	queued   atomic.Int64
	sequence atomic.Int64
	draining atomic.Bool
	silent   atomic.Bool // sends no further pings of its own
	stopped  chan struct{}
	once     sync.Once
	onRun    func(u *upstream, id string, arrived time.Time, status int)
}

func (m *machine) startUpstream(version string, slots int, work time.Duration, failing float64, onRun func(*upstream, string, time.Time, int)) error {
	u := &upstream{
		machine: m, id: fmt.Sprintf("i-%s-%d", m.name, rand.Intn(1<<20)), version: version, slots: slots, work: work, failing: failing,
		born: time.Now().UnixMilli(), slot: make(chan struct{}, slots), stopped: make(chan struct{}), onRun: onRun,
	}
	listener, err := net.Listen("tcp", address(m.ip, m.world.ports.app))
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	go u.beat()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstream = u
	m.world.record.log("upstream %s of %s %s starts on %s", u.id, m.service, version, m.name)
	return nil
}

// silence ends the pings.
func (u *upstream) silence() { u.silent.Store(true) }

// end stops the upstream at once.
func (u *upstream) end() {
	u.once.Do(func() {
		close(u.stopped)
		_ = u.server.Close()
	})
}

func (u *upstream) beat() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if !u.silent.Load() {
			u.ping(&client)
		}
		select {
		case <-u.stopped:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

func (u *upstream) ping(client *http.Client) bool {
	m, state := u.machine, "ready"
	if u.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"address": address(m.ip, m.world.ports.app), "born": u.born,
		"info":   map[string]any{"service": m.service, "version": u.version, "zone": m.zone, "slots": u.slots},
		"status": map[string]any{"state": state, "sequence": u.sequence.Add(1), "warmup_left_ms": 0},
	})
	r, _ := http.NewRequest(http.MethodPut, "http://"+address(m.ip, m.world.ports.control)+"/v1/instances/"+u.id, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// drain reports that the upstream leaves, serves for the drain period, and ends.
func (u *upstream) drain() {
	u.draining.Store(true)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 4 {
		if u.ping(&client) {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	r, _ := http.NewRequest(http.MethodDelete, "http://"+address(u.machine.ip, u.machine.world.ports.control)+"/v1/instances/"+u.id, http.NoBody)
	if response, err := client.Do(r); err == nil {
		_ = response.Body.Close()
	}
	u.end()
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived, id := time.Now(), r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		return
	}
	u.machine.world.onArrival(u, id, arrived)
	if u.queued.Add(1) > int64(u.slots)+24 {
		u.queued.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.queued.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left, _ := strconv.ParseFloat(r.Header.Get("Time-Remaining"), 64)
	deadline := time.After(time.Duration(left) * time.Millisecond)
	select {
	case u.slot <- struct{}{}:
	case <-deadline:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slot }()
	status := http.StatusOK
	if rand.Float64() < u.failing {
		status = http.StatusInternalServerError
	}
	select {
	case <-time.After(time.Duration(float64(u.work) * (0.5 + rand.Float64()))):
	case <-r.Context().Done():
		status = 0
	}
	u.onRun(u, id, arrived, status)
	if status == 0 {
		return
	}
	w.Header().Set("Response-Signature", "sig-"+id)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "answer to %s with %d bytes", id, len(body))
}
