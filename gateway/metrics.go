package gateway

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/telemetry"
)

// metrics holds the gateway's metric instruments.
type metrics struct {
	answers       metric.Int64Counter
	duration      metric.Float64Histogram
	configuration metric.Int64Gauge
}

// newMetrics creates the instruments. Errors are ignored because the library returns them only for invalid
// names, and these names are valid constants. configurationAge returns the time since the configuration was
// confirmed as the newest one.
func newMetrics(provider metric.MeterProvider, configurationAge func() time.Duration) metrics {
	meter := telemetry.Meter(provider, "gateway")
	var instruments metrics
	instruments.answers, _ = meter.Int64Counter("ambertiller.request.answered", metric.WithDescription("Clients' requests, by kind and outcome."))
	instruments.duration, _ = meter.Float64Histogram("ambertiller.request.duration", metric.WithUnit("s"), metric.WithDescription("Time to the answer, by kind."))
	instruments.configuration, _ = meter.Int64Gauge("ambertiller.configuration.version", metric.WithDescription("Version of the configuration in force."))
	_, _ = meter.Float64ObservableGauge("ambertiller.configuration.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the configuration in force was confirmed as the newest one."),
		metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
			observer.Observe(configurationAge().Seconds())
			return nil
		}))
	return instruments
}

// recordAnswer counts a response and records its duration.
func (instruments *metrics) recordAnswer(ctx context.Context, kind, outcome string, duration time.Duration) {
	instruments.answers.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
	instruments.duration.Record(ctx, duration.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}
