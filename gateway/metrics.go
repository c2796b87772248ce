package gateway

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/telemetry"
)

// metrics are the gateway's instruments.
type metrics struct {
	answers       metric.Int64Counter
	duration      metric.Float64Histogram
	configuration metric.Int64Gauge
}

// newMetrics makes the instruments. Their names are constants that the library
// accepts, so its errors can't occur.
func newMetrics(provider metric.MeterProvider) metrics {
	meter := telemetry.Meter(provider, "gateway")
	var made metrics
	made.answers, _ = meter.Int64Counter("ambertiller.request.answered", metric.WithDescription("Clients' requests, by kind and outcome."))
	made.duration, _ = meter.Float64Histogram("ambertiller.request.duration", metric.WithUnit("s"), metric.WithDescription("Time to the answer, by kind."))
	made.configuration, _ = meter.Int64Gauge("ambertiller.configuration.version", metric.WithDescription("Version of the configuration in force."))
	return made
}

// recordAnswer counts one answer.
func (made *metrics) recordAnswer(ctx context.Context, kind, outcome string, took time.Duration) {
	made.answers.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcome)))
	made.duration.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("kind", kind)))
}
