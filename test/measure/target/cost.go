package target

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/pb"
	"nutmegstand.example/nutmegstand/pkg/target"
	"nutmegstand.example/nutmegstand/pkg/target/faketarget"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
	"nutmegstand.example/nutmegstand/test/measure/report"
)

const (
	// controlHeapBoundMB is the bound on the control memory of a daemon, in MB
	// (section 2.3 of the design). The control memory includes the key table.
	controlHeapBoundMB = 32
	costCalls          = 20_000
	// storedBodySize is the body size of the answers in the key table, in bytes.
	storedBodySize = 2 << 10
)

func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}

// measureKeyTable emits the memory of a key table at its bounds. Orders with dated
// and undated keys alternate and arrive faster than the table can retain them.
func measureKeyTable(t testing.TB, virtual func(func())) {
	virtual(func() {
		before := heapMB()
		gate := faketarget.NewDaemon(faketarget.Config{Name: "vm-1"}).Gate
		table := gate.Keys()
		keys := 300_000
		if report.Full() {
			keys = 600_000
		}
		for i := range keys {
			created := int64(0)
			if i%2 == 0 {
				created = time.Now().UnixMilli()
			}
			key := fmt.Sprintf("orderdesk-shop-17-018f6f0e-7a3c-7000-8000-%012d", i)
			table.AddFinished(key, uint64(i), created, &target.Response{Status: 200, Body: make([]byte, storedBodySize)})
			time.Sleep(time.Millisecond)
		}
		used := heapMB() - before
		report.Emit(t, report.Line{
			Measure: "control_heap", Case: fmt.Sprintf("key table at its bounds, %d keys offered", keys), Value: used,
			Unit: "MB", Bound: report.Bound(controlHeapBoundMB), OK: used <= controlHeapBoundMB,
		})
		t.Logf("table: %+v", table.Size())
	})
}

// measureGateTime emits the mean time that the gate adds to a call, including
// decision log lines, in real time.
func measureGateTime(t testing.TB) {
	logger, flush := telemetry.NewLogger(io.Discard, zapcore.InfoLevel)
	defer flush()
	d := faketarget.NewDaemon(faketarget.Config{Name: "vm-1", Logger: logger})
	for _, kind := range []string{"idempotent", "keyed"} {
		start := time.Now()
		for i := range costCalls {
			head := faketarget.Call("c", "/stock", time.Second)
			if kind == "keyed" {
				head = faketarget.Order("c", faketarget.Key(time.Now(), uint64(i)), time.Second)
			}
			if answer, _ := d.Gate.Do(context.Background(), head, nil); answer.GetOutcome() != pb.Outcome_OUTCOME_ANSWERED {
				t.Fatalf("call %d: %s", i, answer.GetReason())
			}
		}
		perCall := float64(time.Since(start).Microseconds()) / costCalls
		emit(t, "gate_time", kind+" call, mean of 20000, one at a time", 0, perCall, "us")
	}
}
