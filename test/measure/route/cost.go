package route

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"nutmegstand.example/nutmegstand/pkg/config"
	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/route"
	"nutmegstand.example/nutmegstand/pkg/route/routetest"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

// instantSender answers without a network, so that only the cost of the router is
// measured.
type instantSender struct{ reply *route.Reply }

func (s *instantSender) Send(context.Context, string, *pb.CallHead, []byte) (*route.Reply, error) {
	return s.reply, nil
}

func newInstantSender() *instantSender {
	return &instantSender{reply: &route.Reply{Head: &pb.AnswerHead{
		Outcome: pb.Outcome_OUTCOME_ANSWERED, Status: http.StatusOK, Load: &pb.Load{Slots: 10, InUse: 3},
	}}}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatalf("getrusage: %v", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// emitCost runs calls from several workers and emits the calls per second of CPU
// time and the bytes allocated per call.
func emitCost(tb testing.TB, name string, workers, callsPerWorker int, makeCall func() error) {
	tb.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu := cpuTime(tb)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range callsPerWorker {
				if err := makeCall(); err != nil {
					tb.Errorf("%s: %v", name, err)
					return
				}
			}
		})
	}
	group.Wait()
	cpu = cpuTime(tb) - cpu
	runtime.ReadMemStats(&after)
	calls := float64(workers * callsPerWorker)
	report.Emit(tb, report.Line{Measure: "calls_per_core_second", Case: name, Value: calls / cpu.Seconds(), Unit: "calls/s", OK: !tb.Failed()})
	report.Emit(tb, report.Line{
		Measure: "alloc_per_call", Case: name, Value: float64(after.TotalAlloc-before.TotalAlloc) / calls, Unit: "bytes", OK: !tb.Failed(),
	})
}

// measureRouterCost measures the router without a network, with 20 endpoints.
func measureRouterCost(tb testing.TB, calls int, logged bool) {
	tb.Helper()
	var s routetest.Fakes
	s.Config.Snapshot.Store(routetest.Snapshot(tb, []string{"hop"}, hopService()))
	s.Endpoints.Set("hop", routetest.ReadyEndpoints("hop", "v1", "a", 20, 10)...)
	options := s.Options(newInstantSender(), "a")
	options.Logger = fileLogger(tb, logged)
	options.Versions = discardAttempts{&s.Versions}
	router, err := route.New(options)
	if err != nil {
		tb.Fatalf("create router: %v", err)
	}
	const workers = 4
	emitCost(tb, fmt.Sprintf("router alone, log %t", logged), workers, calls/workers, func() error {
		_, err := router.Route(context.Background(), &route.Call{Method: "GET", Host: host, Path: "/", Target: "/"})
		return err
	})
}

// discardAttempts discards the reported attempts, which the fake would otherwise
// store for the whole run.
type discardAttempts struct{ *routetest.Versions }

// Report discards an attempt.
func (discardAttempts) Report(*config.Bundle, *config.Route, route.Attempt) {}

// measurePathCost measures the whole path. The cost includes the caller, the
// target side and the target, which run in the same process.
func measurePathCost(tb testing.TB, calls int) {
	tb.Helper()
	p := newPath(tb, true)
	const workers = 4
	makeCall := func(address string) func() error {
		return func() error { return call(context.Background(), p.client, address, http.Header{}) }
	}
	emitCost(tb, "direct call with its caller and target", workers, calls/workers, makeCall(p.target))
	emitCost(tb, "whole path with its caller and target", workers, calls/workers, makeCall(p.entry))
}

// measureIdleConnections measures the memory of caller connections that have made
// one call each. It includes the callers' sockets, which are in the same process.
func measureIdleConnections(tb testing.TB, connections int) {
	tb.Helper()
	p := newPath(tb, false)
	conns := make([]net.Conn, 0, connections)
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	openConnection := func() {
		conn, err := net.Dial("tcp", p.entry)
		if err != nil {
			tb.Fatalf("dial: %v", err)
		}
		conns = append(conns, conn)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			tb.Fatalf("read response: %v", err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	for range 20 {
		openConnection()
	}
	before := memoryInUse()
	for range connections {
		openConnection()
	}
	perConnection := float64(memoryInUse()-before) / float64(connections)
	report.Emit(tb, report.Line{
		Measure: "idle_connection_memory", Case: fmt.Sprintf("%d connections", connections), Value: perConnection, Unit: "bytes", OK: true,
	})
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC() // frees the objects in pools, which survive one collection
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
