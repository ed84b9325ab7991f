package route

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// maxSeries limits the number of time series. Beyond it, further members are counted
// under overflowMember. It is below the limit at which the metrics library merges
// arbitrary series (2,000 for each instrument).
const maxSeries = 1500

// counters are the metrics of the caller side.
type counters struct {
	calls    metric.Int64Counter // calls that enter the mesh at this daemon, each counted once, by member
	inner    metric.Int64Counter // calls made by the local target
	outcomes metric.Int64Counter
	attempts metric.Int64Counter
	retries  metric.Int64Counter

	mu   sync.RWMutex
	sets map[seriesKey]metric.MeasurementOption
}

type seriesKey struct{ service, route, member, outcome string }

func newCounters(meter metric.Meter) (*counters, error) {
	c := &counters{sets: map[seriesKey]metric.MeasurementOption{}}
	for _, counter := range []struct {
		field             *metric.Int64Counter
		name, description string
	}{
		{&c.calls, "nutmegstand.calls", "Calls that entered the mesh, once each, by member."},
		{&c.inner, "nutmegstand.inner_calls", "Calls of the local target to other services."},
		{&c.outcomes, "nutmegstand.call_outcomes", "Calls by outcome, inner calls included."},
		{&c.attempts, "nutmegstand.attempts", "Attempts sent to target sides."},
		{&c.retries, "nutmegstand.retries", "Attempts after the first of a call."},
	} {
		var err error
		if *counter.field, err = meter.Int64Counter(counter.name, metric.WithDescription(counter.description)); err != nil {
			return nil, &MetricsError{Name: counter.name, Cause: err}
		}
	}
	return c, nil
}

// MetricsError reports an instrument that could not be created.
type MetricsError struct {
	Name  string
	Cause error
}

func (e *MetricsError) Error() string { return "route: metric " + e.Name + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MetricsError) Unwrap() error { return e.Cause }

// call counts a completed call.
func (c *counters) call(ctx context.Context, d *Decision, inner bool, outcome string) {
	if inner {
		c.inner.Add(ctx, 1, c.attributeSet(seriesKey{service: d.Service, route: d.Route}))
	} else {
		c.calls.Add(ctx, 1, c.attributeSet(seriesKey{service: d.Service, route: d.Route, member: d.Member}))
	}
	c.outcomes.Add(ctx, 1, c.attributeSet(seriesKey{service: d.Service, route: d.Route, outcome: outcome}))
}

func (c *counters) attempt(ctx context.Context, d *Decision, retry bool) {
	option := c.attributeSet(seriesKey{service: d.Service, route: d.Route})
	c.attempts.Add(ctx, 1, option)
	if retry {
		c.retries.Add(ctx, 1, option)
	}
}

// attributeSet returns the attributes of a series. Attribute sets are cached, because
// building one costs more than adding to the counter.
func (c *counters) attributeSet(key seriesKey) metric.MeasurementOption {
	c.mu.RLock()
	option, ok := c.sets[key]
	full := len(c.sets) >= maxSeries
	c.mu.RUnlock()
	if ok {
		return option
	}
	if full && key.member != "" && key.member != overflowMember {
		key.member = overflowMember
		return c.attributeSet(key)
	}
	attributes := []attribute.KeyValue{attribute.String("service", key.service), attribute.String("route", key.route)}
	if key.member != "" {
		attributes = append(attributes, attribute.String("member", key.member))
	}
	if key.outcome != "" {
		attributes = append(attributes, attribute.String("outcome", key.outcome))
	}
	option = metric.WithAttributeSet(attribute.NewSet(attributes...))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sets[key] = option
	return option
}
