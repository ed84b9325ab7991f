package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
)

// queueFactor is the number of queued calls per slot beyond which a simulated
// target side refuses calls.
const queueFactor = 2

// queueTarget simulates a target side with slots, a bounded queue and a service
// time, in virtual time.
type queueTarget struct {
	slots   chan struct{}
	service time.Duration // mean service time
	failing bool          // answers with status 500 immediately

	mu     sync.Mutex
	random *rand.Rand
	queued int
}

func newQueueTarget(slots int, service time.Duration, failing bool, seed uint64) *queueTarget {
	return &queueTarget{slots: make(chan struct{}, slots), service: service, failing: failing, random: rand.New(rand.NewPCG(seed, 7))}
}

func (q *queueTarget) load() *pb.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &pb.Load{Slots: int32(cap(q.slots)), InUse: int32(len(q.slots)), Queued: int32(q.queued)}
}

func (q *queueTarget) reply(outcome pb.Outcome, status int32) *route.Reply {
	return &route.Reply{Head: &pb.AnswerHead{Outcome: outcome, Status: status, Load: q.load()}}
}

// enqueue adds a call to the queue and returns its service time, or false if the
// queue is full.
func (q *queueTarget) enqueue() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queued >= queueFactor*cap(q.slots) {
		return 0, false
	}
	q.queued++
	// Half of the service time is fixed and half is exponential.
	return q.service/2 + time.Duration(q.random.ExpFloat64()*float64(q.service)/2), true
}

func (q *queueTarget) dequeue() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queued--
}

// serve handles one attempt.
func (q *queueTarget) serve(ctx context.Context, address string) (*route.Reply, error) {
	if q.failing {
		return q.reply(pb.Outcome_OUTCOME_ANSWERED, 500), nil
	}
	serviceTime, ok := q.enqueue()
	if !ok {
		reply := q.reply(pb.Outcome_OUTCOME_NOT_RUN, 0)
		reply.Head.Refusal = pb.Refusal_REFUSAL_OVERLOAD
		return reply, nil
	}
	select {
	case q.slots <- struct{}{}:
		q.dequeue()
	case <-ctx.Done():
		q.dequeue()
		return nil, &route.IncompleteReplyError{Address: address, Cause: ctx.Err()}
	}
	defer func() { <-q.slots }()
	select {
	case <-time.After(serviceTime):
		return q.reply(pb.Outcome_OUTCOME_ANSWERED, 200), nil
	case <-ctx.Done():
		return nil, &route.IncompleteReplyError{Address: address, Cause: ctx.Err()}
	}
}

// fleet is a set of simulated targets by address. All policies use it as their
// sender.
type fleet struct {
	targets  map[string]*queueTarget
	mu       sync.Mutex
	attempts int
}

// Send makes one attempt at the target with the address.
func (f *fleet) Send(ctx context.Context, address string, _ *pb.CallHead, _ []byte) (*route.Reply, error) {
	f.mu.Lock()
	f.attempts++
	f.mu.Unlock()
	return f.targets[address].serve(ctx, address)
}
