package telemetry

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Decision lines are buffered: one write for each call would cost a system
// call a line at 50 calls/s and more in a return of all clients.
const (
	logBufferBytes   = 64 << 10
	logFlushInterval = 200 * time.Millisecond
)

// NewLogger returns a logger that writes JSON lines to w through a buffer, and
// a function that flushes the buffer and stops its timer.
func NewLogger(w io.Writer, level zapcore.Level) (*zap.Logger, func()) {
	sink := &zapcore.BufferedWriteSyncer{
		WS:            zapcore.Lock(zapcore.AddSync(w)),
		Size:          logBufferBytes,
		FlushInterval: logFlushInterval,
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, level)
	return zap.New(core), func() { _ = sink.Stop() }
}
