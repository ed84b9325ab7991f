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

// Log lines are buffered, since each call logs its routing decision: one system
// call for each line would be costly at 50 calls/s, and more so during a reconnect
// storm.
const (
	logBufferBytes   = 64 << 10
	logFlushInterval = 200 * time.Millisecond
	// maxPendingBuffers bounds the buffers that wait for a slow log reader.
	// Further buffers are dropped, since a call must not block on logging.
	maxPendingBuffers = 16
	// logLinesPerSecond is the rate limit of each event: several times the call
	// rate of a daemon.
	logLinesPerSecond = 500
	// logFlushTimeout bounds the final flush.
	logFlushTimeout = 500 * time.Millisecond
)

var eventLinesDropped = NewEvent(900, "log_lines_dropped", zapcore.WarnLevel,
	"Log lines were dropped since the previous event of this kind, because they exceeded the rate limit of their event or because standard output was blocked or failed.")

// NewLogger returns a logger that writes JSON lines to w, and a function that
// flushes the buffered lines. Logging never blocks on w: lines that w cannot accept
// in time are dropped and counted.
func NewLogger(w io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	queue := newLineQueue(w)
	sink := &zapcore.BufferedWriteSyncer{WS: queue, Size: logBufferBytes, FlushInterval: logFlushInterval}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, level)
	countDropped := func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			queue.dropped.Add(1)
		}
	}
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, logLinesPerSecond, 0, zapcore.SamplerHook(countDropped))
	queue.report = func(lines int64) { eventLinesDropped.Log(zap.New(core), zap.Int64("lines", lines)) }
	return zap.New(sampled), func() {
		queue.reportDropped()
		_ = sink.Stop() // lineQueue counts lines that cannot be written
		queue.close()
	}
}

// lineQueue passes buffers of lines to a writer in a separate goroutine.
type lineQueue struct {
	buffers chan []byte
	done    chan struct{}
	dropped atomic.Int64
	report  func(lines int64)
	closed  sync.Once
}

func newLineQueue(w io.Writer) *lineQueue {
	q := &lineQueue{buffers: make(chan []byte, maxPendingBuffers), done: make(chan struct{})}
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
