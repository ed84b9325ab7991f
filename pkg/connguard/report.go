package connguard

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"nutmegstand.example/nutmegstand/pkg/connlimit"
	"nutmegstand.example/nutmegstand/pkg/telemetry"
)

var (
	eventClosed = telemetry.NewEvent(2300, "connections_closed", zapcore.WarnLevel,
		"A listener closed connections because of a limit (reason connections, memory, size or time); count is their number since the previous event, which is at most one a second for each reason.")
	eventRefused = telemetry.NewEvent(2301, "connections_refused", zapcore.WarnLevel,
		"A listener refused new connections or requests because of a limit; count is their number since the previous event, which is at most one a second for each reason.")
	eventAcceptFailed = telemetry.NewEvent(2302, "accept_failed", zapcore.WarnLevel,
		"A listener could not accept a connection, such as for a shortage of file descriptors; it tries again.")
)

// reportInterval is the smallest interval between two events of the same kind.
const reportInterval = time.Second

// Metrics are the instruments of all listeners.
type Metrics struct{ closed, refused metric.Int64Counter }

// NewMetrics registers the instruments.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{}
	var err error
	if m.closed, err = meter.Int64Counter("nutmegstand_connections_closed",
		metric.WithDescription("Connections that were closed because of a limit, by listener and reason.")); err != nil {
		return nil, err
	}
	m.refused, err = meter.Int64Counter("nutmegstand_connections_refused",
		metric.WithDescription("Connections and requests that were refused because of a limit, by listener and reason."))
	return m, err
}

// Reporter logs and counts the closed and refused connections of a listener. A nil
// Reporter does nothing.
type Reporter struct {
	listener string
	metrics  *Metrics
	logger   *zap.Logger

	mu     sync.Mutex
	counts map[reportKey]*count
}

type reportKey struct {
	event  string
	reason connlimit.Reason
}

// count is the number of occurrences since the last event.
type count struct {
	number int
	at     time.Time
}

// NewReporter returns a reporter for the listener with the given name.
func NewReporter(listener string, metrics *Metrics, logger *zap.Logger) *Reporter {
	return &Reporter{listener: listener, metrics: metrics, logger: logger, counts: make(map[reportKey]*count)}
}

// Closed reports a connection that was closed.
func (r *Reporter) Closed(reason connlimit.Reason) {
	if r != nil {
		r.report(eventClosed, r.metrics.closed, reason)
	}
}

// Refused reports a connection or a request that was refused.
func (r *Reporter) Refused(reason connlimit.Reason) {
	if r != nil {
		r.report(eventRefused, r.metrics.refused, reason)
	}
}

// AcceptFailed reports a connection that could not be accepted.
func (r *Reporter) AcceptFailed(err error) {
	if r == nil {
		return
	}
	if r.due(eventAcceptFailed, "") > 0 {
		eventAcceptFailed.Log(r.logger, zap.String("listener", r.listener), zap.Error(err))
	}
}

func (r *Reporter) report(event telemetry.Event, counter metric.Int64Counter, reason connlimit.Reason) {
	counter.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("listener", r.listener), attribute.String("reason", string(reason))))
	if n := r.due(event, reason); n > 0 {
		event.Log(r.logger, zap.String("listener", r.listener), zap.String("reason", string(reason)), zap.Int("count", n))
	}
}

// due counts an occurrence, and returns the number to log, 0 if the last event is too
// recent.
func (r *Reporter) due(event telemetry.Event, reason connlimit.Reason) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := reportKey{event.Name, reason}
	c := r.counts[key]
	if c == nil {
		c = &count{}
		r.counts[key] = c
	}
	c.number++
	if time.Since(c.at) < reportInterval {
		return 0
	}
	n := c.number
	*c = count{at: time.Now()}
	return n
}
