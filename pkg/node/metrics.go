package node

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
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
	if err != nil {
		return err
	}
	if err := n.registerOutstandingWork(meter); err != nil {
		return err
	}
	return n.registerConnections(meter)
}

// registerOutstandingWork registers the gauge of what the local target still has to do.
func (n *Node) registerOutstandingWork(meter metric.Meter) error {
	_, err := meter.Float64ObservableGauge("nutmegstand_outstanding_work_seconds",
		metric.WithDescription("Expected time that the running and waiting requests still need in the local target, added up."), metric.WithUnit("s"),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			if load := n.gate.Load(); load != nil {
				o.Observe(load.Backlog.Seconds())
			}
			return nil
		}))
	return err
}

// registerConnections registers the gauges of the connections by listener.
func (n *Node) registerConnections(meter metric.Meter) error {
	connections, err := meter.Int64ObservableGauge("nutmegstand_connections",
		metric.WithDescription("Open connections by listener, and by whether they have completed a request."))
	if err != nil {
		return err
	}
	memory, err := meter.Int64ObservableGauge("nutmegstand_head_memory_bytes",
		metric.WithDescription("Memory of heads and of requests that were read ahead, by listener."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for name, pool := range n.pools {
			listener, usage := attribute.String("listener", name), pool.Usage()
			o.ObserveInt64(connections, int64(usage.Fresh), metric.WithAttributes(listener, attribute.Bool("served", false)))
			o.ObserveInt64(connections, int64(usage.Served), metric.WithAttributes(listener, attribute.Bool("served", true)))
			o.ObserveInt64(memory, usage.Memory, metric.WithAttributes(listener))
		}
		return nil
	}, connections, memory)
	return err
}
