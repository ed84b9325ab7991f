package telemetry

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Decision lines are buffered: one write for each call would cost a system
// call a line at 50 calls/s and more in a return of all clients.
const (
	logBufferBytes   = 64 << 10
	logFlushInterval = 200 * time.Millisecond
	// logPending is the number of buffers that wait for a slow reader of the
	// logs; further ones are dropped, since a call must not wait for its line.
	logPending = 16
	// logLinesPerSecond bounds the lines of one event: several times the calls
	// that a daemon carries.
	logLinesPerSecond = 500
	// logFlushTimeout bounds the wait for the last lines at the end.
	logFlushTimeout = 500 * time.Millisecond
)

var eventLinesDropped = NewEvent(900, "log_lines_dropped", zapcore.WarnLevel,
	"Lines were left out since the last such line: above the rate of their event, or because standard output did not take them.")

// NewLogger returns a logger that writes JSON lines to w, and a function that
// flushes what is buffered. A write never waits for w: lines that cannot be
// taken are dropped and counted.
func NewLogger(w io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	queue := newLineQueue(w)
	sink := &zapcore.BufferedWriteSyncer{WS: queue, Size: logBufferBytes, FlushInterval: logFlushInterval}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, level)
	count := func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			queue.dropped.Add(1)
		}
	}
	limited := zapcore.NewSamplerWithOptions(core, time.Second, logLinesPerSecond, 0, zapcore.SamplerHook(count))
	queue.report = func(lines int64) { eventLinesDropped.Log(zap.New(core), zap.Int64("lines", lines)) }
	return zap.New(limited), func() {
		queue.reportDropped()
		_ = sink.Stop() // what could not be written is counted
		queue.close()
	}
}

// lineQueue passes buffers of lines to a writer by one goroutine.
type lineQueue struct {
	buffers chan []byte
	done    chan struct{}
	dropped atomic.Int64
	report  func(lines int64)
	closed  sync.Once
}

func newLineQueue(w io.Writer) *lineQueue {
	q := &lineQueue{buffers: make(chan []byte, logPending), done: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *lineQueue) run(w io.Writer) {
	defer close(q.done)
	for buffer := range q.buffers {
		if _, err := w.Write(buffer); err != nil {
			q.dropped.Add(int64(bytes.Count(buffer, []byte{'\n'})))
		} else {
			q.reportDropped()
		}
	}
}

func (q *lineQueue) reportDropped() {
	if lines := q.dropped.Swap(0); lines > 0 {
		q.report(lines)
	}
}

// Write implements io.Writer.
func (q *lineQueue) Write(p []byte) (int, error) {
	select {
	case q.buffers <- bytes.Clone(p):
	default:
		q.dropped.Add(int64(bytes.Count(p, []byte{'\n'})))
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer.
func (q *lineQueue) Sync() error { return nil }

func (q *lineQueue) close() {
	q.closed.Do(func() { close(q.buffers) })
	select {
	case <-q.done:
	case <-time.After(logFlushTimeout):
	}
}
