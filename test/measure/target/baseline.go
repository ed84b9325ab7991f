package target

import (
	"context"
	"sync"
	"time"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
)

// fifo is the baseline scheduler: one first-in, first-out queue, with or without a
// bound, that ignores members and deadlines.
type fifo struct {
	mu      sync.Mutex
	bound   int // maximum queue length; 0 for no bound
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
		return target.NewSlot(f.release), nil
	}
	if f.bound > 0 && len(f.waiting) >= f.bound {
		f.mu.Unlock()
		return nil, &target.RefusedError{Refusal: pb.Refusal_REFUSAL_OVERLOAD, Reason: "the queue is full"}
	}
	ready := make(chan struct{})
	f.waiting = append(f.waiting, ready)
	f.mu.Unlock()
	<-ready
	return target.NewSlot(f.release), nil
}

func (f *fifo) release(bool) {
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
