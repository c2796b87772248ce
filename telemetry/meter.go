package telemetry

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// meterPrefix begins the names of the project's meters.
const meterPrefix = "ambertiller.example/ambertiller/"

// Meter returns the meter of a package. Without a provider its instruments count
// nothing.
func Meter(provider metric.MeterProvider, name string) metric.Meter {
	if provider == nil {
		provider = noop.NewMeterProvider()
	}
	return provider.Meter(meterPrefix + name)
}

// WithAttribute returns the attribute that tells one count from another.
func WithAttribute(key, value string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(key, value))
}
