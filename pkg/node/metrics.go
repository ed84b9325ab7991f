package node

import (
	"context"

	"go.opentelemetry.io/otel/metric"
)

// registerMetrics registers the gauges of the daemon with the given meter.
func (n *Node) registerMetrics(meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge("nutmegstand_config_version",
		metric.WithDescription("Version of the configuration in force."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(n.config.Load().Version()))
			return nil
		}))
	if err != nil {
		return err
	}
	_, err = meter.Float64ObservableGauge("nutmegstand_store_contact_age_seconds",
		metric.WithDescription("Time since the last successful watch or read of the operator's entries by this daemon."), metric.WithUnit("s"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(n.store.contactAge().Seconds())
			return nil
		}))
	return err
}
