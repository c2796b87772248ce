package guard

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/wire"
)

const meterName = "ambertiller.example/ambertiller/guard"

// metrics holds a guard's metric instruments. They record nothing unless a real meter
// provider is set up.
type metrics struct {
	refusals metric.Int64Counter
}

func newMetrics(provider metric.MeterProvider) *metrics {
	meter := provider.Meter(meterName)
	// The only possible error is an invalid name, and the name is a valid constant.
	refusals, _ := meter.Int64Counter("ambertiller.guard.refusals", metric.WithDescription("Work refused, by reason."))
	return &metrics{refusals: refusals}
}

func (m *metrics) countRefusal(ctx context.Context, reason wire.RefusalReason) {
	m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", reason.String())))
}
