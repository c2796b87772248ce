package telemetry

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// meterPrefix is the prefix of all meter names of the project.
const meterPrefix = "ambertiller.example/ambertiller/"

// Meter returns the meter of the named package. If provider is nil, its instruments record nothing.
func Meter(provider metric.MeterProvider, name string) metric.Meter {
	if provider == nil {
		provider = noop.NewMeterProvider()
	}
	return provider.Meter(meterPrefix + name)
}

// WithAttribute returns a measurement option that sets one string attribute.
func WithAttribute(key, value string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(key, value))
}
