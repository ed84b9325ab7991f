package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"
)

const (
	lookupWorkers    = 12
	orderWorkers     = 8
	callInterval     = 40 * time.Millisecond
	callTimeout      = 4 * time.Second
	maxOrderAttempts = 4
	memberCount      = 10
	outcomeHeader    = "Nutmegstand-Outcome"
)

// callResult is the part of a response that the load checks.
type callResult struct {
	status  int
	outcome string
	Version string `json:"version"`
	Target  string `json:"target"`
	Echo    string `json:"echo"`
	Inner   int    `json:"inner"`
}

// order records one order and its outcome.
type order struct {
	id        string
	succeeded bool // a complete response with status 200 arrived
	notRun    bool // the last attempt was reported as not-run
	target    string
}

// load sends lookups and orders to random daemons and checks every response.
type load struct {
	http *client.Client
	vms  []*vm
	wg   sync.WaitGroup
	stop context.CancelFunc

	lookups, lookupsOK, newVersionLookups   atomic.Int64
	mismatches, ordersNotRun, nestedCallsOK atomic.Int64
	lastNewVersionMS                        atomic.Int64 // Unix milliseconds of the last lookup that the new version served

	mu       sync.Mutex
	orders   []order
	failures map[string]int
}

func newLoad(vms []*vm) (*load, error) {
	c, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithMaxConnsPerHost(64),
		client.WithDialTimeout(time.Second))
	if err != nil {
		return nil, err
	}
	return &load{http: c, vms: vms, failures: map[string]int{}}, nil
}

func (l *load) start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	for i := range lookupWorkers {
		l.wg.Go(func() { l.repeat(ctx, func() { l.lookup(i) }) })
	}
	for i := range orderWorkers {
		l.wg.Go(func() { l.repeat(ctx, func() { l.order(i) }) })
	}
}

func (l *load) repeat(ctx context.Context, call func()) {
	for ctx.Err() == nil {
		call()
		time.Sleep(callInterval)
	}
}

// finish stops the load and waits for the calls in flight.
func (l *load) finish() {
	l.stop()
	l.wg.Wait()
}

// randomVM returns a random VM that has not been stopped or killed.
func (l *load) randomVM() *vm {
	for {
		if v := l.vms[rand.IntN(len(l.vms))]; !v.down {
			return v
		}
	}
}

func (l *load) lookup(worker int) {
	id := uuid.NewString()
	path := "/fish?id=" + id
	r, err := l.call(consts.MethodGet, "catalogue.inzuzi.example", path, "", worker, nil)
	l.lookups.Add(1)
	switch {
	case err != nil:
		l.addFailure("lookup: no response")
	case r.status == consts.StatusOK && strings.Contains(r.Echo, id):
		l.lookupsOK.Add(1)
	case r.status == consts.StatusOK:
		l.mismatches.Add(1)
	default:
		l.addFailure(fmt.Sprintf("lookup: status %d %s %s", r.status, r.outcome, r.Version))
	}
	if err == nil && r.Version == "42" {
		l.newVersionLookups.Add(1)
		l.lastNewVersionMS.Store(time.Now().UnixMilli())
	}
}

// order sends an order and retries it with the same idempotency key through random
// daemons until it succeeds or the attempts are used up.
func (l *load) order(worker int) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	o := order{id: uuid.NewString()}
	headers := map[string]string{"Idempotency-Key": key.String(), "Order-Id": o.id}
	for range maxOrderAttempts {
		r, err := l.call(consts.MethodPost, "orders.inzuzi.example", "/orders", o.id, worker, headers)
		if err != nil {
			o.notRun = false
			l.addFailure("order: no response")
			continue
		}
		if r.status == consts.StatusOK {
			o.succeeded, o.target = true, r.Target
			if !strings.Contains(r.Echo, o.id) {
				l.mismatches.Add(1)
			}
			if r.Inner == consts.StatusOK {
				l.nestedCallsOK.Add(1)
			}
			break
		}
		o.notRun = r.outcome == "not-run"
		l.addFailure(fmt.Sprintf("order: status %d %s", r.status, r.outcome))
		time.Sleep(callInterval)
	}
	if o.notRun {
		l.ordersNotRun.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

func (l *load) call(method, host, path, body string, worker int, headers map[string]string) (*callResult, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + l.randomVM().address(portCalls) + path)
	request.Header.SetHost(host)
	request.Header.Set("Nutmegstand-Member", fmt.Sprintf("shop-%d", worker%memberCount))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	if body != "" {
		request.SetBodyString(body)
	}
	if err := l.http.DoTimeout(context.Background(), request, response, callTimeout); err != nil {
		return nil, err
	}
	r := &callResult{status: response.StatusCode(), outcome: string(response.Header.Peek(outcomeHeader))}
	_ = json.Unmarshal(response.Body(), r) // error responses have plain text bodies
	return r, nil
}

func (l *load) addFailure(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures[kind]++
}

// executions returns the number of executions of each order, summed over the targets
// that are still running.
func (l *load) executions() (map[string]int, error) {
	total := map[string]int{}
	for _, v := range l.vms {
		if v.down {
			continue
		}
		status, body, err := l.http.Get(context.Background(), nil, "http://"+v.address(portTarget)+"/-/orders")
		if err != nil || status != consts.StatusOK {
			return nil, fmt.Errorf("orders of %s: status %d: %w", v.name, status, err)
		}
		var orders map[string]int
		if err := json.Unmarshal(body, &orders); err != nil {
			return nil, err
		}
		for id, n := range orders {
			total[id] += n
		}
	}
	return total, nil
}
