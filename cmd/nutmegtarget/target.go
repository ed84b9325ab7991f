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
	// ordersPath is the path that returns the number of runs of each order in this
	// process.
	ordersPath = "/-/orders"
	// orderIDHeader is the request header with the ID under which runs are counted.
	// The idempotency key cannot be used because it is what is being tested.
	orderIDHeader    = "Order-Id"
	announceInterval = 200 * time.Millisecond
	innerTimeout     = 2 * time.Second
)

// target is the state of the target process.
type target struct {
	options      *options
	instance     string
	httpClient   *client.Client
	firstRequest atomic.Int64 // time in Unix nanoseconds
	faultEnabled atomic.Bool  // the configured fault is enabled
	journal      *os.File     // nil without a journal

	mu     sync.Mutex
	orders map[string]int
}

func newTarget(opts *options) (*target, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()))
	if err != nil {
		return nil, err
	}
	t := &target{options: opts, instance: time.Now().Format(time.RFC3339Nano), httpClient: c, orders: map[string]int{}}
	t.faultEnabled.Store(!opts.errorOnSignal)
	if opts.journal != "" {
		t.journal, err = os.OpenFile(opts.journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	}
	return t, err
}

// enableFaultOnSignal enables the configured fault at the first SIGUSR1.
func (t *target) enableFaultOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	<-signals
	t.faultEnabled.Store(true)
}

// responseBody is the body of every response. Echo contains the request, so that a
// caller can detect a response to a different request.
type responseBody struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Target  string `json:"target"`
	Echo    string `json:"echo"`
	Run     string `json:"run,omitempty"`   // ID of this run of an order
	Inner   int    `json:"inner,omitempty"` // status of the inner call
}

func (t *target) serve(ctx context.Context, rc *app.RequestContext) {
	t.firstRequest.CompareAndSwap(0, time.Now().UnixNano())
	if crash := t.options.crashPath; crash != "" && strings.HasPrefix(string(rc.Request.URI().Path()), crash) {
		os.Exit(exitCrashed)
	}
	result := responseBody{
		Service: t.options.service, Version: t.options.version, Target: t.options.listen,
		Echo: string(rc.Request.URI().RequestURI()) + " " + string(rc.Request.Body()),
	}
	if id := string(rc.Request.Header.Peek(orderIDHeader)); id != "" {
		result.Run = uuid.NewString()
		if err := t.recordOrder(id, result.Run); err != nil {
			rc.String(consts.StatusInternalServerError, err.Error())
			return
		}
	}
	time.Sleep(t.options.latency)
	failed := t.shouldFail(string(rc.Request.URI().Path()))
	if err := t.appendJournal("call", time.Now().UnixMilli(), failed, string(rc.Request.URI().Path())); err != nil || failed {
		rc.JSON(consts.StatusInternalServerError, result)
		return
	}
	if t.options.innerHost != "" {
		result.Inner = t.callInner(ctx, rc)
	}
	rc.JSON(consts.StatusOK, result)
}

// shouldFail reports whether the configured fault applies to a request.
func (t *target) shouldFail(path string) bool {
	opts := t.options
	if !t.faultEnabled.Load() || opts.errorRate == 0 || !strings.HasPrefix(path, opts.errorPath) {
		return false
	}
	if time.Since(time.Unix(0, t.firstRequest.Load())) < opts.errorAfter {
		return false
	}
	return rand.Float64() < opts.errorRate
}

// recordOrder records a run before the request is processed. It also writes the
// run to the journal, so that the record survives if the process is killed.
func (t *target) recordOrder(id, run string) error {
	t.mu.Lock()
	t.orders[id]++
	t.mu.Unlock()
	return t.appendJournal("order", id, run)
}

// appendJournal appends a line to the journal, if there is one.
func (t *target) appendJournal(fields ...any) error {
	if t.journal == nil {
		return nil
	}
	_, err := fmt.Fprintln(t.journal, fields...) // a single write, so that lines are not interleaved
	return err
}

func (t *target) handleOrders(_ context.Context, rc *app.RequestContext) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rc.JSON(consts.StatusOK, t.orders)
}

// callInner calls another service through the local daemon. It copies the headers
// of the call chain, as every target must. It returns 0 if the call fails.
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
	if err := t.httpClient.DoTimeout(ctx, request, response, innerTimeout); err != nil {
		return 0
	}
	return response.StatusCode()
}

// announceUntilAccepted announces the target and retries until the daemon, which
// may still be starting, accepts the announcement.
func (t *target) announceUntilAccepted(ctx context.Context) error {
	opts := t.options
	body, err := json.Marshal(daemontarget.Announcement{
		Service: opts.service, Version: opts.version, Address: opts.listen, Instance: t.instance,
		Slots: opts.slots, Connections: opts.connections,
	})
	if err != nil {
		return err
	}
	deadline := time.Now().Add(opts.announceTimeout)
	for {
		status, reason, err := t.callDaemon(consts.MethodPut, "", body, innerTimeout)
		if err == nil && status == consts.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("announce to %s: status %d %s: %w", opts.announce, status, reason, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(announceInterval):
		}
	}
}

// withdraw withdraws the target and returns when the daemon has drained it.
func (t *target) withdraw() error {
	query := "?drain=" + t.options.drainTimeout.String()
	status, reason, err := t.callDaemon(consts.MethodDelete, query, nil, t.options.drainTimeout+innerTimeout)
	if err == nil && status != consts.StatusOK {
		err = fmt.Errorf("withdraw: status %d %s", status, reason)
	}
	return err
}

func (t *target) callDaemon(method, query string, body []byte, timeout time.Duration) (int, string, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + t.options.announce + daemontarget.AnnouncePath + query)
	request.SetBody(body)
	if err := t.httpClient.DoTimeout(context.Background(), request, response, timeout); err != nil {
		return 0, "", err
	}
	return response.StatusCode(), string(response.Body()), nil
}
