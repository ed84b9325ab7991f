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

	lookupWorkers = 6
	orderWorkers  = 6
	loadPause     = 50 * time.Millisecond
	callTimeout   = 4 * time.Second
	orderTries    = 5
	members       = 10
	// orderDeadline is that of the route in testdata/config; no call runs on
	// beyond it.
	orderDeadline = 2 * time.Second
)

// load sends look-ups and orders to random daemons and checks every answer.
type load struct {
	m    *mesh
	wg   sync.WaitGroup
	stop context.CancelFunc

	mu       sync.Mutex
	start    time.Time
	ended    time.Time
	orders   []*order
	lookups  int // answered
	wrong    []string
	problems map[string]int // calls without an answer, by what was seen
	cut      []string       // those that a planned stop must not cause
	refused  int            // calls refused as "not run"
}

func newLoad(m *mesh) *load {
	return &load{m: m, start: time.Now(), problems: map[string]int{}}
}

func (l *load) begin() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
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
		time.Sleep(loadPause)
	}
}

// end stops the load and waits for the calls under way.
func (l *load) end() {
	if l.stop != nil {
		l.stop()
		l.wg.Wait()
		l.stop, l.ended = nil, time.Now()
	}
}

// call sends a call to a random daemon. A daemon that refuses the connection is
// left out, as one that asked to go elsewhere.
func (l *load) call(e exchange) (*reply, error) {
	for {
		up := l.m.up()
		if len(up) == 0 {
			return nil, errors.New("no daemon is up")
		}
		v := up[rand.IntN(len(up))]
		e.url = "http://" + v.address(portCalls) + e.url
		r, err := l.m.do(e)
		if err == nil && r.closing {
			v.avoided.Store(true)
		}
		if err != nil && errors.Is(err, syscall.ECONNREFUSED) && v.avoided.Load() {
			e.url = strings.TrimPrefix(e.url, "http://"+v.address(portCalls))
			continue // nothing was sent
		}
		return r, err
	}
}

func member(worker int) map[string]string {
	return map[string]string{memberHeader: fmt.Sprintf("shop-%d", worker%members)}
}

// lookup sends an idempotent call whose answer must repeat its identity.
func (m *mesh) lookup(v *vm, id string) (*reply, error) {
	return m.do(exchange{
		method: consts.MethodGet, url: "http://" + v.address(portCalls) + "/fish?id=" + id, host: catalogueHost,
		headers: member(0), timeout: callTimeout,
	})
}

// order sends an order with a new key.
func (m *mesh) order(v *vm, id string) (*reply, error) {
	headers := member(0)
	headers["Order-Id"] = id
	return m.do(exchange{
		method: consts.MethodPost, url: "http://" + v.address(portCalls) + "/orders", host: ordersHost, body: id,
		headers: headers, timeout: callTimeout,
	})
}

func (l *load) lookup(worker int) {
	id := uuid.NewString()
	r, err := l.call(exchange{method: consts.MethodGet, url: "/fish?id=" + id, host: catalogueHost, headers: member(worker), timeout: callTimeout})
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil || r.status != consts.StatusOK:
		l.unanswered("look-up", r, err)
	case !strings.Contains(r.Echo, id):
		l.wrong = append(l.wrong, fmt.Sprintf("look-up %s got %q", id, r.body))
	default:
		l.lookups++
	}
}

// order sends an order and repeats it with the same key, mostly at another
// daemon, until it has an answer. Some orders are sent twice at once, and some
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
	var twin sync.WaitGroup
	if rand.IntN(4) == 0 {
		twin.Go(func() { l.attempt(o) })
	}
	for range orderTries {
		if l.attempt(o) {
			break
		}
		time.Sleep(loadPause)
	}
	if rand.IntN(4) == 0 {
		l.attempt(o)
	}
	twin.Wait()
}

// attempt sends an order once and reports whether it was answered.
func (l *load) attempt(o *order) bool {
	headers := member(o.worker) // a key counts within its member
	headers["Idempotency-Key"], headers["Order-Id"] = o.key, o.id
	call := time.Since(l.start)
	r, err := l.call(exchange{method: consts.MethodPost, url: "/orders", host: ordersHost, body: o.id, headers: headers, timeout: callTimeout})
	seen := observed{kind: outcomeUnknown}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil || r.status != consts.StatusOK:
		if err == nil && r.outcome == "not-run" {
			seen.kind = outcomeNotRun
			l.refused++
		}
		l.unanswered("order", r, err)
	case !strings.Contains(r.Echo, o.id) || r.Run == "":
		l.wrong = append(l.wrong, fmt.Sprintf("order %s got %q", o.id, r.body))
	default:
		seen = observed{kind: outcomeAnswered, run: r.Run}
	}
	o.record(seen, call, time.Since(l.start))
	return seen.kind == outcomeAnswered
}

// repeatUnanswered sends each order without an answer again, as callers do that
// come back later, and returns how many.
func (l *load) repeatUnanswered() int {
	l.end()
	var wg sync.WaitGroup
	places := make(chan struct{}, orderWorkers)
	sent := 0
	for _, o := range l.orders {
		if o.answered() {
			continue
		}
		sent++
		places <- struct{}{}
		wg.Go(func() {
			l.attempt(o)
			<-places
		})
	}
	wg.Wait()
	l.ended = time.Now()
	return sent
}

// homeDeparted is the reason of an outcome that stays unknown because the home
// of the key has left, by the rule for keys of the design.
const homeDeparted = "home departed"

// unanswered counts a call without an answer.
func (l *load) unanswered(kind string, r *reply, err error) {
	text := kind + ": "
	switch {
	case err != nil:
		text += err.Error()
	case r.outcome == "":
		text += fmt.Sprintf("status %d of a target of version %s", r.status, r.Version)
	default:
		text += fmt.Sprintf("status %d %s %s", r.status, r.outcome, strings.TrimSpace(string(r.body)))
	}
	l.problems[text]++
	refused := err == nil && kind == "order" && (r.outcome == "not-run" || strings.Contains(text, homeDeparted))
	if !refused {
		l.cut = append(l.cut, text)
	}
}

// checkAnswers checks that each caller got its own whole answer.
func (l *load) checkAnswers() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.logf("answers: %d look-ups, %d orders, %d refused as not run, without answer: %s", l.lookups, len(l.orders), l.refused, l.problemText())
	if len(l.wrong) > 0 {
		return fmt.Errorf("%d wrong answers, the first: %s", len(l.wrong), l.wrong[0])
	}
	if l.lookups == 0 {
		return errors.New("no look-up was answered")
	}
	return nil
}

// checkUncut checks that every look-up was answered, and every order answered,
// refused as "not run", or left unknown because its home had departed before.
func (l *load) checkUncut() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cut) > 0 {
		return fmt.Errorf("%d calls were cut, the first: %s", len(l.cut), l.cut[0])
	}
	return nil
}

func (l *load) problemText() string {
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(l.problems)) {
		parts = append(parts, fmt.Sprintf("%d × %s", l.problems[kind], kind))
	}
	if parts == nil {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// checkOrders checks the history of each key against what the targets ran.
func (l *load) checkOrders() error {
	l.end()
	time.Sleep(time.Until(l.ended.Add(orderDeadline)))
	runs, err := l.m.runs()
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
	l.m.logf("orders: %d keys, %d answered, %d run without an answer", len(l.orders), answered, unknown)
	if answered == 0 {
		return errors.New("no order was answered")
	}
	return nil
}

// runs returns the runs of each order, from the journals of all targets.
func (m *mesh) runs() (map[string][]string, error) {
	runs := map[string][]string{}
	for _, v := range m.all() {
		err := m.journal(v, func(fields []string) error {
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

// journal reads the journal of the target of a VM.
func (m *mesh) journal(v *vm, line func(fields []string) error) error {
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
