package guard

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/wire"
)

const meterName = "ambertiller.example/ambertiller/guard"

// metrics are the instruments of a guard. Without a meter provider they count
// nothing.
type metrics struct {
	refusals metric.Int64Counter
}

func newMetrics(meters metric.MeterProvider) *metrics {
	meter := meters.Meter(meterName)
	// The error speaks of the name, which is a constant.
	refusals, _ := meter.Int64Counter("ambertiller.guard.refusals", metric.WithDescription("Work refused, by reason."))
	return &metrics{refusals: refusals}
}

func (counted *metrics) countRefusal(ctx context.Context, reason wire.RefusalReason) {
	counted.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", reason.String())))
}
