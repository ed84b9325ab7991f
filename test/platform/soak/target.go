package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"nutmegstand.example/nutmegstand/platform"
)

const (
	service              = "desk"
	slots                = 6
	heartbeatInterval    = 300 * time.Millisecond
	drainPeriod          = time.Second
	drainTolerance       = 200 * time.Millisecond // for clock differences and the delay between daemon and target
	maxServiceTime       = 30 * time.Millisecond
	slowFactor           = 20
	droppedResponseShare = 0.1
	errorShare           = 0.3
	earlyRejectionShare  = 0.3 // of the requests with a body
	ackTimeout           = time.Second
	drainAttempts        = 5
	lateHeartbeats       = 4 // that arrive after the removal of the target
)

// failureStatuses are the statuses of requests that a target has run and failed. Some of
// them promise callers that a request has not run.
var failureStatuses = []int{
	http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
}

// misbehavior is the set of faults that a target injects into its responses.
type misbehavior struct{ slow, dropResponses, fail, rejectEarly bool }

// target is one instance of the target of a machine.
type target struct {
	id, address string
	version     string
	control     string // address of the daemon that receives the heartbeats
	startedMS   int64  // Unix milliseconds
	history     *history
	undisturbed func() bool // whether the machine has had no recent fault
	listener    net.Listener
	server      *http.Server

	inFlight     atomic.Int32
	misbehavior  atomic.Pointer[misbehavior]
	drainAckedAt atomic.Int64 // Unix nanoseconds at which draining was acknowledged, or 0
	draining     atomic.Bool
	sequence     atomic.Int64
	heartbeatMu  sync.Mutex // one heartbeat at a time
	stop         context.CancelFunc
	domain       string
	limitsCold   bool // reports a cold phase and checks the rate in it
	cold         coldPhase

	limited      atomic.Bool // names a limit in its responses
	limitMu      sync.Mutex
	limitNamedAt time.Time   // when a response first named it
	arrivals     []time.Time // of requests since then, within limitWindow
}

// startTarget listens on the address of a machine's target and starts to send heartbeats.
func startTarget(id string, m *machine) (*target, error) {
	address := m.settings.TargetAddress
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, version: m.version, address: address, control: m.settings.Listen.Announcements, startedMS: time.Now().UnixMilli(), history: m.history,
		listener: listener, undisturbed: m.undisturbed, domain: m.settings.Domain, limitsCold: m.settings.Evacuation > 0,
	}
	t.misbehavior.Store(&misbehavior{})
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(listener) }()
	var ctx context.Context
	ctx, t.stop = context.WithCancel(context.Background())
	go t.sendHeartbeats(ctx)
	return t, nil
}

// crash stops the target and closes all its connections.
func (t *target) crash() {
	t.stop()
	_ = t.listener.Close() // Serve may not have registered the listener yet
	_ = t.server.Close()
}

// remove stops the target like drain, except that it does not announce that it is
// draining: it only requests its removal. It calls whenAcknowledged after the
// acknowledgement. Heartbeats that it sent before arrive later.
func (t *target) remove(whenAcknowledged func() error) error {
	t.stop()
	r, err := http.NewRequest(http.MethodDelete, t.url(), http.NoBody)
	if err != nil {
		return err
	}
	t.heartbeatMu.Lock() // waits for a heartbeat in progress
	for range drainAttempts {
		if acknowledged, _ := callControl(r); acknowledged {
			t.drainAckedAt.Store(time.Now().UnixNano())
			break
		}
		time.Sleep(heartbeatInterval)
	}
	t.heartbeatMu.Unlock()
	err = whenAcknowledged()
	for range lateHeartbeats {
		t.sendHeartbeat()
		time.Sleep(heartbeatInterval)
	}
	time.Sleep(drainPeriod)
	t.crash()
	return err
}

// drain stops the target gracefully: it sends draining heartbeats until one is
// acknowledged, for at most drainAttempts, keeps serving for the drain period, removes
// the target from the daemon, and stops it.
func (t *target) drain() {
	t.draining.Store(true)
	for range drainAttempts {
		if t.sendHeartbeat() {
			break
		}
		time.Sleep(heartbeatInterval)
	}
	time.Sleep(drainPeriod + 2*drainTolerance)
	r, err := http.NewRequest(http.MethodDelete, t.url(), http.NoBody)
	if err == nil {
		_, _ = callControl(r) // stop the target even without a response
	}
	t.crash()
}

func (t *target) url() string { return "http://" + t.control + "/v1/instances/" + t.id }

func (t *target) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		t.sendHeartbeat()
		time.Sleep(heartbeatInterval)
	}
}

// sendHeartbeat sends one heartbeat and reports whether it was acknowledged.
func (t *target) sendHeartbeat() bool {
	t.heartbeatMu.Lock()
	defer t.heartbeatMu.Unlock()
	draining, state := t.draining.Load(), "ready"
	if draining {
		state = "draining"
	}
	warmupLeft := int64(0)
	if t.limitsCold {
		warmupLeft = t.coldLeft().Milliseconds()
	}
	body, err := json.Marshal(map[string]any{
		"address": t.address, "born": t.startedMS,
		"info":   map[string]any{"service": service, "version": t.version, "zone": "z", "slots": slots},
		"status": map[string]any{"state": state, "sequence": t.sequence.Add(1), "warmup_left_ms": warmupLeft},
	})
	if err != nil {
		panic(err)
	}
	r, err := http.NewRequest(http.MethodPut, t.url(), strings.NewReader(string(body)))
	if err != nil {
		return false
	}
	acknowledged, _ := callControl(r)
	if acknowledged && draining {
		t.drainAckedAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	return acknowledged
}

func callControl(r *http.Request) (bool, error) {
	client := http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return false, err
	}
	return response.StatusCode < http.StatusMultipleChoices, response.Body.Close()
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := platform.Headers()
	id := r.Header.Get(names.RequestID)
	notRun := func(status int) {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get(names.ExpectedTarget); expected != "" && expected != t.id {
		notRun(http.StatusMisdirectedRequest)
		return
	}
	if ackedAt := t.drainAckedAt.Load(); ackedAt != 0 && time.Since(time.Unix(0, ackedAt)) > drainPeriod+drainTolerance {
		t.history.addViolation("drain: request %s reached %s %s after the target's draining was acknowledged", id, t.id, time.Since(time.Unix(0, ackedAt)))
	}
	t.checkLimit(id)
	t.checkCold(id)
	t.checkEvacuation(id)
	if t.undisturbed() {
		t.history.checkVersion(id, t.version)
	}
	if t.inFlight.Add(1) > slots {
		t.inFlight.Add(-1)
		notRun(http.StatusServiceUnavailable)
		return
	}
	defer t.inFlight.Add(-1)
	injected := t.misbehavior.Load()
	if injected.rejectEarly && r.ContentLength != 0 && rand.Float64() < earlyRejectionShare {
		controller := http.NewResponseController(w)
		_ = controller.EnableFullDuplex() // the response leaves before the body is in
		w.Header().Set("Connection", "close")
		notRun(http.StatusServiceUnavailable)
		_ = controller.Flush()
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // an incomplete request is not executed
	}
	t.history.addExecution(id, t.id, body)
	if caller := r.Header.Get(names.CallerService); caller != service {
		t.history.addViolation("wrong caller: request %s reached %s with the caller service %q", id, t.id, caller)
	}
	work := time.Duration(rand.Int64N(int64(maxServiceTime)))
	if injected.slow {
		work *= slowFactor
	}
	time.Sleep(work)
	if injected.dropResponses && rand.Float64() < droppedResponseShare {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.RequestID, id)
	t.nameLimit(names.RateLimit, w.Header())
	w.Header().Set(names.Signature, signature(id))
	if (injected.fail || t.history.isFaulty(t.version)) && rand.Float64() < errorShare {
		w.WriteHeader(failureStatuses[rand.IntN(len(failureStatuses))])
		return
	}
	_, _ = fmt.Fprint(w, content(id)) // the caller may have disconnected
}

func signature(id string) string { return "signed " + id }

func content(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }
