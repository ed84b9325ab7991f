package node

import (
	"testing"

	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"gotest.tools/v3/assert"

	"nutmegstand.example/nutmegstand/pkg/clock"
	"nutmegstand.example/nutmegstand/pkg/proxy"
	"nutmegstand.example/nutmegstand/pkg/routing"
)

// TestOutstandingWorkGauge guards against a scrape that fails while there is no target, and
// against a gauge that is missing once there is one.
func TestOutstandingWorkGauge(t *testing.T) {
	reader := sdk.NewManualReader()
	n := &Node{gate: proxy.NewGate(proxy.GateOptions{Clock: clock.Boot{}, Config: &routing.Current{}, Uplink: proxy.NewUplink(0)})}
	assert.NilError(t, n.registerOutstandingWork(sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("test")))
	points := func() int {
		var all metricdata.ResourceMetrics
		assert.NilError(t, reader.Collect(t.Context(), &all))
		count := 0
		for _, scope := range all.ScopeMetrics {
			for _, m := range scope.Metrics {
				count += len(m.Data.(metricdata.Gauge[float64]).DataPoints)
			}
		}
		return count
	}
	assert.Equal(t, points(), 0)
	n.gate.SetTarget(proxy.LocalTarget{ID: "t", Service: "s", Slots: 4})
	assert.Equal(t, points(), 1)
}
