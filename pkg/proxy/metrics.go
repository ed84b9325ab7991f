package proxy

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// latencyBuckets are the bucket bounds of the latency histogram in seconds.
// They range from a response of the local target to the longest time that a
// caller waits.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, .8, 1, 1.5, 2, 3, 5}

// Metrics holds the metric instruments of the caller side. Methods of a nil
// *Metrics do nothing.
type Metrics struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	latency  metric.Float64Histogram
}

// NewMetrics creates the instruments with the given meter.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{}
	var err error
	if m.requests, err = meter.Int64Counter("nutmegstand_requests",
		metric.WithDescription("Requests of callers by result.")); err != nil {
		return nil, err
	}
	if m.attempts, err = meter.Int64Counter("nutmegstand_attempts",
		metric.WithDescription("Attempts at targets by service and outcome.")); err != nil {
		return nil, err
	}
	m.latency, err = meter.Float64Histogram("nutmegstand_request_duration_seconds",
		metric.WithDescription("Time from a request to its answer."), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBuckets...))
	return m, err
}

func (m *Metrics) request(result string, took time.Duration) {
	if m == nil {
		return
	}
	set := metric.WithAttributes(attribute.String("result", result))
	m.requests.Add(context.Background(), 1, set)
	m.latency.Record(context.Background(), took.Seconds(), set)
}

func (m *Metrics) attempt(service string, outcome Outcome) {
	if m == nil {
		return
	}
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("outcome", string(outcome))))
}
