package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

var eventOfTest = NewEvent(999999, "line_of_test", zapcore.InfoLevel, "A line of the tests.")

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	content bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.content.Write(p)
}

// TestLoggerNeverBlocks guards against calls that block because the log reader has
// stopped reading, and against dropped lines that are not counted.
func TestLoggerNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	logger, flush := NewLogger(w, zapcore.InfoLevel)
	filler := strings.Repeat("x", 8<<10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range logLinesPerSecond {
			eventOfTest.Log(logger, zap.String("filler", filler))
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocks on the writer")
	}
	close(w.release)
	time.Sleep(2 * logFlushInterval)
	flush()
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(t, strings.Contains(w.content.String(), eventLinesDropped.Name))
}

// TestLoggerBoundsEachEvent guards against one event that floods the log under
// load.
func TestLoggerBoundsEachEvent(t *testing.T) {
	var w bytes.Buffer
	logger, flush := NewLogger(&w, zapcore.InfoLevel)
	const logged = 3 * logLinesPerSecond
	for range logged {
		eventOfTest.Log(logger)
	}
	flush()
	// The burst may span two sampling intervals of one second.
	written := strings.Count(w.String(), eventOfTest.Name)
	assert.Assert(t, written >= logLinesPerSecond && written <= 2*logLinesPerSecond, "%d lines", written)
	assert.Assert(t, strings.Contains(w.String(), eventLinesDropped.Name))
}
