package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"

	"nutmegstand.example/nutmegstand/pkg/route/chain"
	daemontarget "nutmegstand.example/nutmegstand/pkg/target"
)

const (
	// ordersPath tells which orders this process ran, and how often.
	ordersPath = "/-/orders"
	// orderIDHeader names the order for the count of runs. The idempotency key
	// cannot serve for it, since it is what is being tested.
	orderIDHeader    = "Order-Id"
	announceInterval = 200 * time.Millisecond
	innerTimeout     = 2 * time.Second
)

// target is the state of one process.
type target struct {
	options  *options
	instance string
	http     *client.Client
	first    atomic.Int64 // Unix ns of the first request
	faulty   atomic.Bool  // the scripted fault is switched on
	journal  *os.File     // nil without a journal

	mu     sync.Mutex
	orders map[string]int
}

func newTarget(o *options) (*target, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()))
	if err != nil {
		return nil, err
	}
	t := &target{options: o, instance: time.Now().Format(time.RFC3339Nano), http: c, orders: map[string]int{}}
	t.faulty.Store(!o.errorOnSignal)
	if o.journal != "" {
		t.journal, err = os.OpenFile(o.journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	}
	return t, err
}

// awaitFault switches the scripted fault on at the first SIGUSR1.
func (t *target) awaitFault() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	<-signals
	t.faulty.Store(true)
}

// answer is the body of every answer. Echo repeats the caller's request, so
// that a caller can tell its own answer from another's.
type answer struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Target  string `json:"target"`
	Echo    string `json:"echo"`
	Run     string `json:"run,omitempty"`   // names one run of an order
	Inner   int    `json:"inner,omitempty"` // status of the inner call
}

func (t *target) serve(ctx context.Context, rc *app.RequestContext) {
	t.first.CompareAndSwap(0, time.Now().UnixNano())
	if crash := t.options.crashPath; crash != "" && strings.HasPrefix(string(rc.Request.URI().Path()), crash) {
		os.Exit(exitCrashed)
	}
	result := answer{
		Service: t.options.service, Version: t.options.version, Target: t.options.listen,
		Echo: string(rc.Request.URI().RequestURI()) + " " + string(rc.Request.Body()),
	}
	if id := string(rc.Request.Header.Peek(orderIDHeader)); id != "" {
		result.Run = uuid.NewString()
		if err := t.count(id, result.Run); err != nil {
			rc.String(consts.StatusInternalServerError, err.Error())
			return
		}
	}
	time.Sleep(t.options.latency)
	failed := t.fails(string(rc.Request.URI().Path()))
	if err := t.note("call", time.Now().UnixMilli(), failed, string(rc.Request.URI().Path())); err != nil || failed {
		rc.JSON(consts.StatusInternalServerError, result)
		return
	}
	if t.options.innerHost != "" {
		result.Inner = t.callInner(ctx, rc)
	}
	rc.JSON(consts.StatusOK, result)
}

// fails decides whether a request meets the scripted fault.
func (t *target) fails(path string) bool {
	o := t.options
	if !t.faulty.Load() || o.errorRate == 0 || !strings.HasPrefix(path, o.errorPath) {
		return false
	}
	if time.Since(time.Unix(0, t.first.Load())) < o.errorAfter {
		return false
	}
	return rand.Float64() < o.errorRate
}

// count notes a run before its work, in the journal too, so that the run of a
// target that is killed meanwhile is not forgotten.
func (t *target) count(id, run string) error {
	t.mu.Lock()
	t.orders[id]++
	t.mu.Unlock()
	return t.note("order", id, run)
}

// note appends a line to the journal, if there is one.
func (t *target) note(fields ...any) error {
	if t.journal == nil {
		return nil
	}
	_, err := fmt.Fprintln(t.journal, fields...) // one write, so lines stay whole
	return err
}

func (t *target) showOrders(_ context.Context, rc *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rc.JSON(consts.StatusOK, t.orders)
}

// callInner calls another service through the own daemon. It copies the headers
// of the call chain, as every target is expected to.
func (t *target) callInner(ctx context.Context, rc *app.RequestContext) int {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetRequestURI("http://" + t.options.local + t.options.innerPath)
	request.Header.SetHost(t.options.innerHost)
	rc.Request.Header.VisitAll(func(name, value []byte) {
		if bytes.HasPrefix(name, []byte(chain.Prefix)) {
			request.Header.SetBytesKV(name, value)
		}
	})
	if err := t.http.DoTimeout(ctx, request, response, innerTimeout); err != nil {
		return 0
	}
	return response.StatusCode()
}

// announceUntilAccepted announces the target, while its daemon may still start.
func (t *target) announceUntilAccepted(ctx context.Context) error {
	o := t.options
	body, err := json.Marshal(daemontarget.Announcement{
		Service: o.service, Version: o.version, Address: o.listen, Instance: t.instance,
		Slots: o.slots, Connections: o.connections,
	})
	if err != nil {
		return err
	}
	deadline := time.Now().Add(o.announceTimeout)
	for {
		status, reason, err := t.call(consts.MethodPut, "", body, innerTimeout)
		if err == nil && status == consts.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("announce to %s: status %d %s: %w", o.announce, status, reason, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(announceInterval):
		}
	}
}

// withdraw returns when the daemon has drained the target.
func (t *target) withdraw() error {
	query := "?drain=" + t.options.drainFor.String()
	status, reason, err := t.call(consts.MethodDelete, query, nil, t.options.drainFor+innerTimeout)
	if err == nil && status != consts.StatusOK {
		err = fmt.Errorf("withdraw: status %d %s", status, reason)
	}
	return err
}

func (t *target) call(method, query string, body []byte, timeout time.Duration) (int, string, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + t.options.announce + daemontarget.AnnouncePath + query)
	request.SetBody(body)
	if err := t.http.DoTimeout(context.Background(), request, response, timeout); err != nil {
		return 0, "", err
	}
	return response.StatusCode(), string(response.Body()), nil
}
