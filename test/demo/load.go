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
	lookupWorkers = 12
	orderWorkers  = 8
	pause         = 40 * time.Millisecond
	callTimeout   = 4 * time.Second
	orderTries    = 4
	members       = 10
	outcomeHeader = "Nutmegstand-Outcome"
)

// reply is the part of an answer that the load looks at.
type reply struct {
	status  int
	outcome string
	Version string `json:"version"`
	Target  string `json:"target"`
	Echo    string `json:"echo"`
	Inner   int    `json:"inner"`
}

// order is one order with what became of it.
type order struct {
	id       string
	answered bool // a whole answer with success
	notRun   bool // the last word was "not run"
	target   string
}

// load sends lookups and orders to random daemons and checks every answer.
type load struct {
	http *client.Client
	vms  []*vm
	wg   sync.WaitGroup
	stop context.CancelFunc

	lookups, lookupsOK, newVersion atomic.Int64
	wrong, refused, innerOK        atomic.Int64
	lastNew                        atomic.Int64 // Unix ms of the last lookup that the new version answered

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
		time.Sleep(pause)
	}
}

// end stops the load and waits for the calls under way.
func (l *load) end() {
	l.stop()
	l.wg.Wait()
}

// any returns a daemon that is not known to be dead.
func (l *load) any() *vm {
	for {
		if v := l.vms[rand.IntN(len(l.vms))]; !v.dead {
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
		l.fail("lookup: no answer")
	case r.status == consts.StatusOK && strings.Contains(r.Echo, id):
		l.lookupsOK.Add(1)
	case r.status == consts.StatusOK:
		l.wrong.Add(1)
	default:
		l.fail(fmt.Sprintf("lookup: status %d %s %s", r.status, r.outcome, r.Version))
	}
	if err == nil && r.Version == "42" {
		l.newVersion.Add(1)
		l.lastNew.Store(time.Now().UnixMilli())
	}
}

// order sends an order and repeats it with the same key, at another daemon,
// until it has an answer.
func (l *load) order(worker int) {
	key, err := uuid.NewV7()
	if err != nil {
		return
	}
	o := order{id: uuid.NewString()}
	headers := map[string]string{"Idempotency-Key": key.String(), "Order-Id": o.id}
	for range orderTries {
		r, err := l.call(consts.MethodPost, "orders.inzuzi.example", "/orders", o.id, worker, headers)
		if err != nil {
			o.notRun = false
			l.fail("order: no answer")
			continue
		}
		if r.status == consts.StatusOK {
			o.answered, o.target = true, r.Target
			if !strings.Contains(r.Echo, o.id) {
				l.wrong.Add(1)
			}
			if r.Inner == consts.StatusOK {
				l.innerOK.Add(1)
			}
			break
		}
		o.notRun = r.outcome == "not-run"
		l.fail(fmt.Sprintf("order: status %d %s", r.status, r.outcome))
		time.Sleep(pause)
	}
	if o.notRun {
		l.refused.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

func (l *load) call(method, host, path, body string, worker int, headers map[string]string) (*reply, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + l.any().address(portCalls) + path)
	request.Header.SetHost(host)
	request.Header.Set("Nutmegstand-Member", fmt.Sprintf("shop-%d", worker%members))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	if body != "" {
		request.SetBodyString(body)
	}
	if err := l.http.DoTimeout(context.Background(), request, response, callTimeout); err != nil {
		return nil, err
	}
	r := &reply{status: response.StatusCode(), outcome: string(response.Header.Peek(outcomeHeader))}
	_ = json.Unmarshal(response.Body(), r) // refusals have plain text bodies
	return r, nil
}

func (l *load) fail(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures[kind]++
}

// runs adds up how often each order ran, over the targets that still live.
func (l *load) runs() (map[string]int, error) {
	total := map[string]int{}
	for _, v := range l.vms {
		if v.dead {
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
