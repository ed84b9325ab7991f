package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
)

type discard struct{}

func (discard) Publish(*pb.Record)                 {}
func (discard) PublishSuspect(string, *pb.Suspect) {}

// startDaemon runs a target side on real sockets and returns its gate and the
// address of its announcement listener.
func startDaemon(t *testing.T) (*target.Gate, *target.Local, string) {
	backend := target.NewHTTPBackend()
	local := target.NewLocal(target.LocalOptions{
		Name: "vm-1", Limits: func(string) target.Limits { return target.Limits{Slots: 8, Connections: 16} },
		Connector: backend, Records: discard{}, Logger: zap.NewNop(),
	})
	gate := target.NewGate(target.Options{
		Name: "vm-1", Backend: backend, Lease: func() time.Time { return time.Now().Add(time.Hour) },
		TakenBack: func(string, string) bool { return false }, Holds: func(string) bool { return true },
		Endpoints:     func(string) []*pb.Endpoint { return []*pb.Endpoint{{Name: "vm-1", EligibleSinceMs: 1}} },
		ConfigVersion: func() uint64 { return 1 }, Suspects: discard{}, Down: local.Down, Logger: zap.NewNop(),
	})
	local.SetGate(gate)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := target.NewAnnounceServer(listener, local)
	go func() { _ = server.Run() }()
	t.Cleanup(func() {
		backend.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Close(ctx)
	})
	return gate, local, listener.Addr().String()
}

// TestOrdersAndDrain guards the whole path on real sockets: orders run once each
// with the answer of their own, and a stop by signal cuts none of them.
func TestOrdersAndDrain(t *testing.T) {
	gate, local, daemon := startDaemon(t)
	o, err := parseFlags([]string{"-service", faketarget.Service, "-daemon", daemon, "-latency", "5ms", "-jitter", "3ms"})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, o) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if local.Endpoint().GetState() == pb.EndpointState_ENDPOINT_READY {
			return poll.Success()
		}
		return poll.Continue("not announced")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	var answered, refused, other atomic.Int32
	var wait sync.WaitGroup
	for i := range 600 {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			key := faketarget.Key(time.Now(), uint64(i))
			for range 2 { // a repeat must not run again
				answer, body := gate.Do(context.Background(), faketarget.Order(fmt.Sprint(i), key, 2*time.Second), nil)
				want := fmt.Sprintf(`{"service":%q,"version":"v1","path":"/orders/%s","key":%q}`, faketarget.Service, key, key)
				switch {
				case answer.GetOutcome() == pb.Outcome_OUTCOME_ANSWERED && string(body) == want:
					answered.Add(1)
				case answer.GetRefusal() == pb.Refusal_REFUSAL_LEAVING || answer.GetRefusal() == pb.Refusal_REFUSAL_OVERLOAD:
					refused.Add(1)
				default:
					other.Add(1)
					t.Logf("%s %s: %s", answer.GetOutcome(), answer.GetReason(), body)
				}
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	stop()
	assert.NilError(t, <-ended)
	wait.Wait()
	t.Logf("%d answered, %d refused", answered.Load(), refused.Load())
	assert.Equal(t, other.Load(), int32(0))
	assert.Assert(t, answered.Load() > 100 && refused.Load() > 0)
}

// TestFaults guards when the scripted faults apply.
func TestFaults(t *testing.T) {
	o, err := parseFlags([]string{"-fault-error-rate", "1", "-fault-path", "/bad", "-fault-beyond-load", "2", "-fault-slowness", "1s"})
	assert.NilError(t, err)
	s, err := newService(o)
	assert.NilError(t, err)
	assert.Assert(t, s.faulty("/bad/1", 3))
	assert.Assert(t, !s.faulty("/good", 3))
	assert.Assert(t, !s.faulty("/bad/1", 2))
	duration, failing := s.draw(true)
	assert.Assert(t, failing && duration >= time.Second)
	duration, failing = s.draw(false)
	assert.Assert(t, !failing && duration < time.Second)
	s.options.faults.after = time.Hour
	assert.Assert(t, !s.faulty("/bad/1", 3))
}
