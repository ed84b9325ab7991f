package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the instrumentation scope of all metrics.
const meterName = "nutmegstand"

// Metrics is the metrics pipeline of a daemon.
type Metrics struct {
	Meter   metric.Meter
	Handler http.Handler // serves the Prometheus text format
}

// MetricsError reports that the metrics pipeline cannot be set up.
type MetricsError struct{ Cause error }

func (e *MetricsError) Error() string { return "telemetry: metrics: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MetricsError) Unwrap() error { return e.Cause }

// NewMetrics sets up OpenTelemetry with a Prometheus exporter.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, &MetricsError{Cause: err}
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	return &Metrics{
		Meter:   provider.Meter(meterName),
		Handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, nil
}
