// Package memtest helps tests of what bytes without end cost in memory.
package memtest

import (
	"bytes"
	"fmt"
	"runtime"
	"time"
)

// sampleInterval is the time between two samples of the heap.
const sampleInterval = 5 * time.Millisecond

// PeakHeap runs a function and returns the most bytes in use on the heap meanwhile.
func PeakHeap(run func()) uint64 {
	done := make(chan struct{})
	go func() { defer close(done); run() }()
	var peak uint64
	for {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		select {
		case <-done:
			return peak
		case <-time.After(sampleInterval):
		}
	}
}

// ShortFields returns header fields with different names of few bytes and without values.
// Decoded, they take some 20 times their size, which is the given one or a little more.
func ShortFields(size int) []byte {
	var fields bytes.Buffer
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "%x:\n", i)
	}
	return fields.Bytes()
}
