package target

import (
	"context"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
)

// fifo is the baseline scheduler: one queue in order of arrival, with a bound
// or without one, that knows neither members nor deadlines.
type fifo struct {
	mu      sync.Mutex
	bound   int // 0 for none
	slots   int
	inUse   int
	waiting []chan struct{}
}

// Acquire implements target.Scheduler.
func (f *fifo) Acquire(context.Context, *target.Work) (*target.Slot, error) {
	f.mu.Lock()
	if f.inUse < f.slots {
		f.inUse++
		f.mu.Unlock()
		return target.NewSlot(f.done), nil
	}
	if f.bound > 0 && len(f.waiting) >= f.bound {
		f.mu.Unlock()
		return nil, &target.RefusedError{Refusal: pb.Refusal_REFUSAL_OVERLOAD, Reason: "the queue is full"}
	}
	turn := make(chan struct{})
	f.waiting = append(f.waiting, turn)
	f.mu.Unlock()
	<-turn
	return target.NewSlot(f.done), nil
}

func (f *fifo) done(bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiting) == 0 {
		f.inUse--
		return
	}
	close(f.waiting[0])
	f.waiting = f.waiting[1:]
}

// Load implements target.Scheduler.
func (f *fifo) Load() *pb.Load { return &pb.Load{} }

// Close implements target.Scheduler.
func (f *fifo) Close(*target.RefusedError) {}

// Open implements target.Scheduler.
func (f *fifo) Open(slots func(now time.Time) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slots = slots(time.Now())
}
