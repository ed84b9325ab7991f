package scenario

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"
)

const (
	catalogueHost = "catalogue.inzuzi.example"
	ordersHost    = "orders.inzuzi.example"
	memberHeader  = "Nutmegstand-Member"

	lookupWorkers    = 6
	orderWorkers     = 6
	loadInterval     = 50 * time.Millisecond
	callTimeout      = 4 * time.Second
	maxOrderAttempts = 5
	memberCount      = 10
	// orderDeadline is the deadline of the order route in testdata/config; no call
	// runs for longer.
	orderDeadline = 2 * time.Second
)

// load sends look-ups and orders to random daemons and checks every response.
type load struct {
	m      *mesh
	wg     sync.WaitGroup
	cancel context.CancelFunc

	mu          sync.Mutex
	startedAt   time.Time
	stoppedAt   time.Time
	orders      []*order
	lookups     int // answered look-ups
	mismatches  []string
	failures    map[string]int // calls without an answer, by description
	interrupted []string       // failures that a planned stop must not cause
	refused     int            // attempts of orders refused as "not run"
}

func newLoad(m *mesh) *load {
	return &load{m: m, startedAt: time.Now(), failures: map[string]int{}}
}

func (l *load) startWorkers() {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for i := range lookupWorkers {
		l.wg.Go(func() { repeat(ctx, func() { l.lookup(i) }) })
	}
	for i := range orderWorkers {
		l.wg.Go(func() { repeat(ctx, func() { l.order(i) }) })
	}
}

func repeat(ctx context.Context, call func()) {
	for ctx.Err() == nil {
		call()
		time.Sleep(loadInterval)
	}
}

// stopWorkers stops the load and waits for the calls in flight.
func (l *load) stopWorkers() {
	if l.cancel != nil {
		l.cancel()
		l.wg.Wait()
		l.cancel, l.stoppedAt = nil, time.Now()
	}
}

// call sends a call to a random daemon and excludes the daemon from then on if
// its response closes the connection. If an excluded daemon refuses the
// connection, call chooses another one.
func (l *load) call(e httpRequest) (*httpResponse, error) {
	for {
		vms := l.m.available()
		if len(vms) == 0 {
			return nil, errors.New("no daemon is available")
		}
		v := vms[rand.IntN(len(vms))]
		e.url = "http://" + v.address(portCalls) + e.url
		r, err := l.m.do(e)
		if err == nil && r.connectionClose {
			v.excluded.Store(true)
		}
		if err != nil && errors.Is(err, syscall.ECONNREFUSED) && v.excluded.Load() {
			e.url = strings.TrimPrefix(e.url, "http://"+v.address(portCalls))
			continue // the call was not sent
		}
		return r, err
	}
}

func member(worker int) map[string]string {
	return map[string]string{memberHeader: fmt.Sprintf("shop-%d", worker%memberCount)}
}

// lookup sends an idempotent call whose response must echo its ID.
func (m *mesh) lookup(v *vm, id string) (*httpResponse, error) {
	return m.do(httpRequest{
		method: consts.MethodGet, url: "http://" + v.address(portCalls) + "/fish?id=" + id, host: catalogueHost,
		headers: member(0), timeout: callTimeout,
	})
}

// order sends an order without an idempotency key.
func (m *mesh) order(v *vm, id string) (*httpResponse, error) {
	headers := member(0)
	headers["Order-Id"] = id
	return m.do(httpRequest{
		method: consts.MethodPost, url: "http://" + v.address(portCalls) + "/orders", host: ordersHost, body: id,
		headers: headers, timeout: callTimeout,
	})
}

func (l *load) lookup(worker int) {
	id := uuid.NewString()
	r, err := l.call(httpRequest{method: consts.MethodGet, url: "/fish?id=" + id, host: catalogueHost, headers: member(worker), timeout: callTimeout})
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil || r.status != consts.StatusOK:
		l.recordFailure("look-up", r, err)
	case !strings.Contains(r.Echo, id):
		l.mismatches = append(l.mismatches, fmt.Sprintf("look-up %s: response without its ID: %q", id, r.body))
	default:
		l.lookups++
	}
}

// order sends an order and retries it with the same key, mostly at a different
// daemon, until it is answered. Some orders are sent twice concurrently, and some
// again after the answer.
func (l *load) order(worker int) {
	key, err := uuid.NewV7()
	if err != nil {
		panic("scenario: random source: " + err.Error())
	}
	o := &order{id: uuid.NewString(), key: key.String(), worker: worker}
	l.mu.Lock()
	l.orders = append(l.orders, o)
	l.mu.Unlock()
	var duplicate sync.WaitGroup
	if rand.IntN(4) == 0 {
		duplicate.Go(func() { l.attempt(o) })
	}
	for range maxOrderAttempts {
		if l.attempt(o) {
			break
		}
		time.Sleep(loadInterval)
	}
	if rand.IntN(4) == 0 {
		l.attempt(o)
	}
	duplicate.Wait()
}

// attempt sends an order once and returns whether it was answered.
func (l *load) attempt(o *order) bool {
	headers := member(o.worker) // idempotency keys are scoped to a member
	headers["Idempotency-Key"], headers["Order-Id"] = o.key, o.id
	call := time.Since(l.startedAt)
	r, err := l.call(httpRequest{method: consts.MethodPost, url: "/orders", host: ordersHost, body: o.id, headers: headers, timeout: callTimeout})
	result := observed{kind: outcomeUnknown}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil || r.status != consts.StatusOK:
		if err == nil && r.outcome == "not-run" {
			result.kind = outcomeNotRun
			l.refused++
		}
		l.recordFailure("order", r, err)
	case !strings.Contains(r.Echo, o.id) || r.Run == "":
		l.mismatches = append(l.mismatches, fmt.Sprintf("order %s: response without its ID or a run: %q", o.id, r.body))
	default:
		result = observed{kind: outcomeAnswered, run: r.Run}
	}
	o.record(result, call, time.Since(l.startedAt))
	return result.kind == outcomeAnswered
}

// retryUnanswered sends each unanswered order again, like callers that retry much
// later, and returns their number.
func (l *load) retryUnanswered() int {
	l.stopWorkers()
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, orderWorkers)
	sent := 0
	for _, o := range l.orders {
		if o.answered() {
			continue
		}
		sent++
		semaphore <- struct{}{}
		wg.Go(func() {
			l.attempt(o)
			<-semaphore
		})
	}
	wg.Wait()
	l.stoppedAt = time.Now()
	return sent
}

// homeDeparted is part of the reason for an outcome that stays unknown because
// the key's home has departed, which the design allows.
const homeDeparted = "home departed"

// recordFailure records a call without an answer.
func (l *load) recordFailure(kind string, r *httpResponse, err error) {
	text := kind + ": "
	switch {
	case err != nil:
		text += err.Error()
	case r.outcome == "":
		text += fmt.Sprintf("status %d of a target of version %s", r.status, r.Version)
	default:
		text += fmt.Sprintf("status %d %s %s", r.status, r.outcome, strings.TrimSpace(string(r.body)))
	}
	l.failures[text]++
	allowed := err == nil && kind == "order" && (r.outcome == "not-run" || strings.Contains(text, homeDeparted))
	if !allowed {
		l.interrupted = append(l.interrupted, text)
	}
}

// checkAnswers checks that each answer is complete and belongs to its call.
func (l *load) checkAnswers() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.logf("answers: %d look-ups, %d orders, %d refused as not run; unanswered: %s", l.lookups, len(l.orders), l.refused, l.failureSummary())
	if len(l.mismatches) > 0 {
		return fmt.Errorf("%d answers did not match their calls, first: %s", len(l.mismatches), l.mismatches[0])
	}
	if l.lookups == 0 {
		return errors.New("no look-up was answered")
	}
	return nil
}

// checkUninterrupted checks that no look-up failed, and that an attempt of an order
// failed only as "not run" or because the key's home had departed.
func (l *load) checkUninterrupted() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.interrupted) > 0 {
		return fmt.Errorf("%d calls were interrupted, first: %s", len(l.interrupted), l.interrupted[0])
	}
	return nil
}

func (l *load) failureSummary() string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(l.failures)) {
		parts = append(parts, fmt.Sprintf("%d × %s", l.failures[kind], kind))
	}
	if parts == nil {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// checkOrders checks the history of each key against the runs in the targets'
// journals.
func (l *load) checkOrders() error {
	l.stopWorkers()
	time.Sleep(time.Until(l.stoppedAt.Add(orderDeadline)))
	runs, err := l.m.executedRuns()
	if err != nil {
		return err
	}
	answered, unknown := 0, 0
	for _, o := range l.orders {
		if err := o.check(runs[o.id]); err != nil {
			return err
		}
		if o.answered() {
			answered++
		} else if len(runs[o.id]) > 0 {
			unknown++
		}
	}
	l.m.logf("orders: %d keys, %d answered, %d run but not answered", len(l.orders), answered, unknown)
	if answered == 0 {
		return errors.New("no order was answered")
	}
	return nil
}

// executedRuns returns the run IDs of each order, from the journals of all
// targets.
func (m *mesh) executedRuns() (map[string][]string, error) {
	runs := map[string][]string{}
	for _, v := range m.all() {
		err := m.readJournal(v, func(fields []string) error {
			if fields[0] == "order" && len(fields) == 3 {
				runs[fields[1]] = append(runs[fields[1]], fields[2])
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return runs, nil
}

// readJournal calls line for each line in the journal of a VM's target.
func (m *mesh) readJournal(v *vm, line func(fields []string) error) error {
	file, err := os.Open(filepath.Join(m.dir, v.name+".orders"))
	if err != nil {
		return err
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if fields := strings.Fields(scanner.Text()); len(fields) > 0 {
			if err := line(fields); err != nil {
				return err
			}
		}
	}
	return scanner.Err()
}
