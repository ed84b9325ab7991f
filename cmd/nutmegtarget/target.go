package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

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

	mu     sync.Mutex
	orders map[string]int
}

func newTarget(o *options) *target {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()))
	if err != nil {
		panic("nutmegtarget: HTTP client: " + err.Error()) // only options can fail
	}
	return &target{options: o, instance: time.Now().Format(time.RFC3339Nano), http: c, orders: map[string]int{}}
}

// answer is the body of every answer. Echo repeats the caller's request, so
// that a caller can tell its own answer from another's.
type answer struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Target  string `json:"target"`
	Echo    string `json:"echo"`
	Inner   int    `json:"inner,omitempty"` // status of the inner call
}

func (t *target) serve(ctx context.Context, rc *app.RequestContext) {
	t.first.CompareAndSwap(0, time.Now().UnixNano())
	time.Sleep(t.options.latency)
	result := answer{
		Service: t.options.service, Version: t.options.version, Target: t.options.listen,
		Echo: string(rc.Request.URI().RequestURI()) + " " + string(rc.Request.Body()),
	}
	if id := string(rc.Request.Header.Peek(orderIDHeader)); id != "" {
		t.count(id)
	}
	if t.fails(string(rc.Request.URI().Path())) {
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
	if o.errorRate == 0 || !strings.HasPrefix(path, o.errorPath) {
		return false
	}
	if time.Since(time.Unix(0, t.first.Load())) < o.errorAfter {
		return false
	}
	return rand.Float64() < o.errorRate
}

func (t *target) count(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders[id]++
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
