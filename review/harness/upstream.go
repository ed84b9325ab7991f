//go:build review

package harness

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform.
const (
	HeaderID        = "Attempt-Id"
	HeaderTime      = "Time-Remaining"
	HeaderSignature = "Response-Signature"
	HeaderExpected  = "Expected-Instance"
	HeaderNotRun    = "Not-Executed"
	HeaderCaller    = "Calling-Service"
)

// Run is one request that an upstream has begun to run.
type Run struct {
	ID, Instance, Method, Path, Caller string
	Length                             int
	Sum                                string // SHA-256 of the body
	At                                 time.Time
}

// Upstream is a stand-in of an application upstream.
type Upstream struct {
	ID   string
	Born int64

	machine  *Machine
	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	acked    atomic.Bool
	sequence atomic.Int64
	slots    chan struct{}
	waiting  atomic.Int64

	mu   sync.Mutex
	work func(r *http.Request) time.Duration
	// begin is called when a request begins to run. It returns false if the upstream
	// has crashed.
	begin func(u *Upstream, run Run) bool
	early func(r *http.Request) bool
}

var upstreamCount atomic.Int64

// StartUpstream starts a new boot of the machine's upstream, which behaves like the one
// before.
func (m *Machine) StartUpstream() error {
	listener, err := net.Listen("tcp", m.UpstreamAddress())
	if err != nil {
		return err
	}
	u := &Upstream{
		ID: fmt.Sprintf("i-%s-%d", m.Name, upstreamCount.Add(1)), Born: time.Now().UnixMilli(), machine: m, listener: listener,
		slots: make(chan struct{}, Slots),
	}
	if old := m.Upstream; old != nil {
		old.mu.Lock()
		u.work, u.begin, u.early = old.work, old.begin, old.early
		old.mu.Unlock()
	}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }()
	var ctx context.Context
	ctx, u.stop = context.WithCancel(context.Background())
	m.Upstream = u
	m.cluster.Record.Add("upstream %s started", u.ID)
	go u.ping(ctx)
	return nil
}

// SetWork sets the time that requests take.
func (u *Upstream) SetWork(work func(r *http.Request) time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = work
}

// SetBegin sets the function that is called when a request begins to run.
func (u *Upstream) SetBegin(begin func(u *Upstream, run Run) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.begin = begin
}

// SetEarly sets the function that decides whether a request is rejected before its body
// has been read.
func (u *Upstream) SetEarly(early func(r *http.Request) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.early = early
}

// Acknowledged reports whether a ping has been confirmed.
func (u *Upstream) Acknowledged() bool { return u.acked.Load() }

// Machine returns the machine of the upstream.
func (u *Upstream) Machine() *Machine { return u.machine }

// Crash closes the upstream's port and connections.
func (u *Upstream) Crash() {
	u.stop()
	_ = u.listener.Close()
	_ = u.server.Close()
}

// StopPings ends the regular pings.
func (u *Upstream) StopPings() { u.stop() }

// Ping sends one ping with a state, and reports whether it was confirmed.
func (u *Upstream) Ping(state string) bool {
	confirmed := u.sendPing(context.Background(), state)
	u.machine.cluster.Record.Add("%s says %s, confirmed: %v", u.ID, state, confirmed)
	return confirmed
}

// Leave sends the removal of the upstream, and reports whether it was confirmed.
func (u *Upstream) Leave() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, u.url(), http.NoBody)
	if err != nil {
		return false
	}
	confirmed := call(r)
	u.machine.cluster.Record.Add("%s sends DELETE, confirmed: %v", u.ID, confirmed)
	return confirmed
}

func (u *Upstream) url() string { return "http://" + u.machine.Control() + "/v1/instances/" + u.ID }

// call makes a call to the daemon and reports whether it was confirmed.
func call(r *http.Request) bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

func (u *Upstream) ping(ctx context.Context) {
	for ctx.Err() == nil {
		wait := HeartbeatInterval
		if u.sendPing(ctx, "ready") {
			u.acked.Store(true)
		} else {
			wait = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (u *Upstream) sendPing(ctx context.Context, state string) bool {
	body, err := json.Marshal(map[string]any{
		"address": u.machine.UpstreamAddress(), "born": u.Born,
		"info":   map[string]any{"service": u.machine.Service, "version": "v1", "zone": u.machine.Zone, "slots": Slots},
		"status": map[string]any{"state": state, "sequence": u.sequence.Add(1), "warmup_left_ms": 0},
	})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, u.url(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	return call(r)
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderID)
	w.Header().Set(HeaderID, id)
	if expected := r.Header.Get(HeaderExpected); expected != "" && expected != u.ID {
		u.reject(w, id, http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	early := u.early
	u.mu.Unlock()
	if early != nil && early(r) {
		controller := http.NewResponseController(w)
		_ = controller.EnableFullDuplex() // lets the response leave before the body is in
		u.reject(w, id, http.StatusServiceUnavailable)
		_ = controller.Flush()
		return
	}
	if u.waiting.Add(1) > Slots+QueueLength {
		u.waiting.Add(-1)
		u.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	defer u.waiting.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.machine.cluster.Record.Add("%s does not run %s: its body ends early after %d bytes", u.ID, id, len(body))
		panic(http.ErrAbortHandler)
	}
	left, err := strconv.Atoi(r.Header.Get(HeaderTime))
	if err != nil {
		left = 60_000
	}
	budget := time.After(time.Duration(left) * time.Millisecond)
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-budget:
		u.reject(w, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	sum := sha256.Sum256(body)
	run := Run{
		ID: id, Instance: u.ID, Method: r.Method, Path: r.URL.RequestURI(), Caller: r.Header.Get(HeaderCaller),
		Length: len(body), Sum: hex.EncodeToString(sum[:]), At: time.Now(),
	}
	u.machine.cluster.Record.Add("%s runs %s: %s %s, body of %d bytes, SHA-256 %s", u.ID, id, run.Method, run.Path, run.Length, run.Sum[:16])
	u.mu.Lock()
	work, begin := u.work, u.begin
	u.mu.Unlock()
	if begin != nil && !begin(u, run) {
		panic(http.ErrAbortHandler)
	}
	if work != nil {
		select {
		case <-time.After(work(r)):
		case <-r.Context().Done():
			return
		case <-budget:
			w.Header().Set(HeaderSignature, "signed "+id)
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
	}
	w.Header().Set(HeaderSignature, "signed "+id)
	_, _ = fmt.Fprintf(w, "answer to %s from %s", id, u.ID)
}

func (u *Upstream) reject(w http.ResponseWriter, id string, status int) {
	u.machine.cluster.Record.Add("%s rejects %s with %d", u.ID, id, status)
	w.Header().Set(HeaderNotRun, "1")
	w.WriteHeader(status)
}
