package quota

import (
	"math"
	"slices"
	"time"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// resendAfter is the time after which a request without an answer is sent again.
	resendAfter = 20 * time.Millisecond
	// answerWait is the time for which accountants are asked before requests are
	// refused.
	answerWait = 60 * time.Millisecond
	// demandTime is the time constant of the average demand.
	demandTime = 5 * time.Second
	// maxSpare bounds the spare permits of one request.
	maxSpare = 64
	// minRefill is the number of requests that are expected while spare permits are
	// valid, from which on the stock is refilled when its last permit is taken. Below
	// it, most refills would lapse.
	minRefill = 1.5
	// refillPause is the time without refills after one that was not granted.
	refillPause = time.Second
	// maxHold is the longest time for which requests are refused without asking the
	// accountant, after it refused one.
	maxHold = 100 * time.Millisecond
	// holdingIdle is the time without requests after which a workspace is removed.
	holdingIdle = 15 * time.Second
)

// Permit is the permission to run one request.
type Permit struct {
	Workspace string // empty if the request needs no permit
	Lapse     clock.Instant
}

// Result is the result of a request for a permit.
type Result struct {
	Permit     Permit
	Granted    bool
	RetryAfter time.Duration // if the workspace is over its limit; 0 if no accountant answered
}

// Waiter is a request that waits for a permit. Its channel gets one result.
type Waiter struct{ done chan Result }

// Ask is a message to an accountant.
type Ask struct {
	To      string
	Request *pb.PermitRequest
}

// Stock holds the permits of a daemon and its requests for more. It is not safe for
// concurrent use.
type Stock struct {
	accountants func(now clock.Instant, workspace string) [2]string
	holdings    map[string]*holding
	sequence    uint64
	sweptAt     clock.Instant
}

// NewStock returns an empty Stock. The first sequence number must be above all of
// earlier processes of the daemon.
func NewStock(accountants func(clock.Instant, string) [2]string, sequence uint64) *Stock {
	return &Stock{accountants: accountants, holdings: make(map[string]*holding), sequence: sequence}
}

// holding is the state of one workspace.
type holding struct {
	permits   []lot // ordered by lapse
	waiters   []*Waiter
	ask       *ask // last request to the accountants
	demand    float64
	demandAt  clock.Instant
	validity  time.Duration // of the spare permits granted last
	refillAt  clock.Instant // when the stock may be refilled before a request needs it
	heldUntil clock.Instant // requests are refused until then
	retryAt   clock.Instant // when the accountant expects a permit
}

// ask is a request to the accountants.
type ask struct {
	request     *pb.PermitRequest
	accountants [2]string
	sentAt      clock.Instant // first message
	step        int           // number of the current message in steps
	open        bool          // an answer is awaited
	answered    bool
}

// steps are the accountants that get the messages of one ask: two to the first, then
// two to the second if the first says that it cannot decide.
var steps = [...]int{0, 0, 1, 1}

// Acquire takes a permit from the stock, or refuses the request, or returns a waiter.
// The asks are to be sent.
func (s *Stock) Acquire(now clock.Instant, workspace string) (Result, *Waiter, []Ask) {
	s.sweep(now)
	h := s.holdings[workspace]
	if h == nil {
		h = &holding{demandAt: now, validity: longLapse}
		s.holdings[workspace] = h
	}
	h.recordDemand(now)
	if lapse, ok := h.take(now); ok {
		return Result{Permit: Permit{workspace, lapse}, Granted: true}, nil, s.refill(now, workspace, h)
	}
	if now < h.heldUntil {
		return Result{RetryAfter: h.retryAt.Sub(now)}, nil, nil
	}
	w := &Waiter{done: make(chan Result, 1)}
	h.waiters = append(h.waiters, w)
	if h.ask != nil && h.ask.open {
		return Result{}, w, nil
	}
	return Result{}, w, s.ask(now, workspace, h)
}

// Release returns the permit of a request that did not run.
func (s *Stock) Release(now clock.Instant, p Permit) {
	h := s.holdings[p.Workspace]
	if h == nil || p.Lapse <= now {
		return
	}
	h.put(lot{p.Lapse, 1})
	h.serve(now, p.Workspace)
}

// Cancel removes a waiter. It returns the permit that the waiter may have got.
func (s *Stock) Cancel(now clock.Instant, workspace string, w *Waiter) {
	select {
	case r := <-w.done:
		s.Release(now, r.Permit)
		return
	default:
	}
	if h := s.holdings[workspace]; h != nil {
		h.waiters = slices.DeleteFunc(h.waiters, func(other *Waiter) bool { return other == w })
	}
}

// Resend continues an ask for which resendAfter has passed since its message to an
// accountant.
func (s *Stock) Resend(now clock.Instant, workspace string, sequence uint64, to string) []Ask {
	h := s.holdings[workspace]
	if h == nil || h.ask == nil || !h.ask.open || h.ask.request.GetSequence() != sequence {
		return nil
	}
	if to != h.ask.accountants[steps[h.ask.step]] {
		return nil // another accountant was asked since
	}
	return h.next(now, h.ask.step+1)
}

// next sends the message of a step, or refuses the waiting requests if there is none.
func (h *holding) next(now clock.Instant, step int) []Ask {
	a := h.ask
	if step < len(steps) && a.accountants[steps[step]] == "" {
		step = len(steps)
	}
	if step >= len(steps) || now.Sub(a.sentAt) >= answerWait {
		a.open = false
		h.refuse(Result{})
		return nil
	}
	a.step = step
	return []Ask{{a.accountants[steps[step]], a.request}}
}

// Receive applies the answer of an accountant.
func (s *Stock) Receive(now clock.Instant, from string, grant *pb.PermitGrant) []Ask {
	h := s.holdings[grant.GetWorkspace()]
	if h == nil || h.ask == nil || h.ask.answered || h.ask.request.GetSequence() != grant.GetSequence() {
		return nil
	}
	switch {
	case grant.GetGranted() > 0:
		h.add(now, grant)
	case grant.GetRetryAfterMs() == 0:
		return h.undecided(now, from)
	case needed(h.ask) == 0:
		h.ask.open, h.ask.answered = false, true
		h.refillAt = now.Add(refillPause)
	default:
		h.ask.open, h.ask.answered = false, true
		h.hold(now, time.Duration(grant.GetRetryAfterMs())*time.Millisecond)
	}
	h.serve(now, grant.GetWorkspace())
	if len(h.waiters) == 0 {
		return nil
	}
	return s.ask(now, grant.GetWorkspace(), h)
}

// needed returns the number of waiting requests for which an ask was made.
func needed(a *ask) int {
	n, _ := unpackWanted(a.request.GetWanted())
	return n
}

// add adds granted permits to the stock. Their validity starts with the first message
// of the ask, before the accountant's, so that a delayed answer cannot be used late.
func (h *holding) add(now clock.Instant, grant *pb.PermitGrant) {
	a := h.ask
	a.open, a.answered = false, true
	validity := time.Duration(grant.GetLapseMs()) * time.Millisecond
	if validity > shortLapse {
		h.validity = validity
	}
	if lapse := a.sentAt.Add(validity); lapse > now {
		h.put(lot{lapse, int(grant.GetGranted())})
	}
}

// undecided continues with the next accountant if the current one cannot decide.
func (h *holding) undecided(now clock.Instant, from string) []Ask {
	at := steps[h.ask.step]
	if !h.ask.open || from != h.ask.accountants[at] {
		return nil // a late answer
	}
	next := len(steps)
	if at == 0 {
		next = slices.Index(steps[:], 1)
	}
	return h.next(now, next)
}

// hold refuses the waiting requests and those of the next moment.
func (h *holding) hold(now clock.Instant, retryAfter time.Duration) {
	h.retryAt, h.heldUntil = now.Add(retryAfter), now.Add(min(retryAfter, maxHold))
	h.refuse(Result{RetryAfter: retryAfter})
}

func (h *holding) refuse(r Result) {
	for _, w := range h.waiters {
		w.done <- r
	}
	h.waiters = nil
}

// serve gives permits to the waiting requests.
func (h *holding) serve(now clock.Instant, workspace string) {
	for len(h.waiters) > 0 {
		lapse, ok := h.take(now)
		if !ok {
			return
		}
		h.waiters[0].done <- Result{Permit: Permit{workspace, lapse}, Granted: true}
		h.waiters = h.waiters[1:]
	}
}

// take takes the permit that lapses first.
func (h *holding) take(now clock.Instant) (clock.Instant, bool) {
	for len(h.permits) > 0 {
		first := &h.permits[0]
		if first.lapse > now && first.count > 0 {
			first.count--
			return first.lapse, true
		}
		h.permits = h.permits[1:]
	}
	return 0, false
}

func (h *holding) put(l lot) {
	at, _ := slices.BinarySearchFunc(h.permits, l, func(a, b lot) int { return int(a.lapse - b.lapse) })
	h.permits = slices.Insert(h.permits, at, l)
}

// stocked reports whether a permit is in stock.
func (h *holding) stocked(now clock.Instant) bool {
	return slices.ContainsFunc(h.permits, func(l lot) bool { return l.lapse > now && l.count > 0 })
}

// recordDemand counts a request in the average demand.
func (h *holding) recordDemand(now clock.Instant) {
	h.demand = h.demand*math.Exp(-now.Sub(h.demandAt).Seconds()/demandTime.Seconds()) + 1/demandTime.Seconds()
	h.demandAt = now
}

// spare returns the number of permits to request beyond the waiting requests: those
// that are probably used while they are valid.
func (h *holding) spare() int {
	return min(maxSpare, int(math.Round(h.demand*h.validity.Seconds())))
}

// refill asks for permits before the next request needs one.
func (s *Stock) refill(now clock.Instant, workspace string, h *holding) []Ask {
	if h.demand*h.validity.Seconds() < minRefill || now < h.refillAt || h.stocked(now) || h.ask != nil && h.ask.open {
		return nil
	}
	return s.ask(now, workspace, h)
}

// ask starts a request to the accountants.
func (s *Stock) ask(now clock.Instant, workspace string, h *holding) []Ask {
	s.sequence++
	h.ask = &ask{
		request:     &pb.PermitRequest{Workspace: workspace, Sequence: s.sequence, Wanted: packWanted(len(h.waiters), h.spare())},
		accountants: s.accountants(now, workspace), sentAt: now, open: true,
	}
	return h.next(now, 0)
}

// sweep removes the workspaces without requests for holdingIdle.
func (s *Stock) sweep(now clock.Instant) {
	if now.Sub(s.sweptAt) < holdingIdle {
		return
	}
	s.sweptAt = now
	for workspace, h := range s.holdings {
		if len(h.waiters) == 0 && now.Sub(h.demandAt) > holdingIdle {
			delete(s.holdings, workspace)
		}
	}
}
