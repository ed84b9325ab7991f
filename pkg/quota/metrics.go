package quota

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// maxLabels bounds the workspaces with a label of their own; all others share
	// otherLabel. Each label costs memory in each daemon and at the collector.
	maxLabels  = 50
	otherLabel = "other"
)

// Outcomes of a request for a permit, as labels.
const (
	outcomeStock   = "stock"   // a permit was in stock
	outcomeGranted = "granted" // an accountant was asked
	outcomeLimited = "limited" // the workspace is over its limit
	outcomeUnknown = "unknown" // no accountant answered
)

// Metrics holds the metric instruments of the permits. Methods of a nil *Metrics do
// nothing.
type Metrics struct {
	permits metric.Int64Counter
	refused metric.Int64Counter
	asks    metric.Int64Counter

	mu     sync.Mutex
	labels map[string]bool
}

// NewMetrics creates the instruments with the given meter.
func NewMetrics(meter metric.Meter) (*Metrics, error) {
	m := &Metrics{labels: make(map[string]bool)}
	var err error
	if m.permits, err = meter.Int64Counter("nutmegstand_permits",
		metric.WithDescription("Requests of limited workspaces by the outcome of their request for a permit.")); err != nil {
		return nil, err
	}
	if m.refused, err = meter.Int64Counter("nutmegstand_permits_refused",
		metric.WithDescription("Refused requests of limited workspaces by workspace.")); err != nil {
		return nil, err
	}
	m.asks, err = meter.Int64Counter("nutmegstand_permit_messages",
		metric.WithDescription("Requests for permits that were sent to accountants, repetitions included."))
	return m, err
}

func (m *Metrics) outcome(workspace, outcome string) {
	if m == nil {
		return
	}
	m.permits.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
	if outcome == outcomeLimited || outcome == outcomeUnknown {
		m.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("workspace", m.label(workspace))))
	}
}

func (m *Metrics) asked(n int) {
	if m != nil {
		m.asks.Add(context.Background(), int64(n))
	}
}

// label returns the label of a workspace.
func (m *Metrics) label(workspace string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labels[workspace] {
		if len(m.labels) >= maxLabels {
			return otherLabel
		}
		m.labels[workspace] = true
	}
	return workspace
}
