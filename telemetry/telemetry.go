// Package telemetry exports the OpenTelemetry metrics of a process. They are served in the Prometheus text
// format and, if an endpoint is set, pushed by OTLP over HTTP.
//
// # Usage
//
//	metrics, err := telemetry.New(ctx, telemetry.Options{Role: "entry", Name: "entry-1"})
//	mux.Handle("/metrics", metrics.Handler())
//	defer metrics.Shutdown(ctx)
package telemetry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// Options configures Metrics.
type Options struct {
	// Role and Name identify the process in the resource attributes of its metrics.
	Role string
	Name string
	// OTLPEndpoint is the URL to which metrics are pushed. If it is empty, metrics are not pushed.
	OTLPEndpoint string
}

// Metrics creates and exports the metrics of one process.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
}

// New sets up the exporters, and registers the standard metrics of the Go runtime and the process.
func New(ctx context.Context, options Options) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	prometheusExporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "set up the Prometheus exporter")
	}
	providerOptions := []sdk.Option{
		sdk.WithReader(prometheusExporter),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "ambertiller-"+options.Role),
			attribute.String("service.instance.id", options.Name),
		)),
	}
	if options.OTLPEndpoint != "" {
		otlpExporter, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(options.OTLPEndpoint))
		if err != nil {
			return nil, errors.Wrap(err, "set up the OTLP exporter")
		}
		providerOptions = append(providerOptions, sdk.WithReader(sdk.NewPeriodicReader(otlpExporter)))
	}
	return &Metrics{provider: sdk.NewMeterProvider(providerOptions...), registry: registry}, nil
}

// Provider returns the provider of the meters with which instruments are created.
func (metrics *Metrics) Provider() metric.MeterProvider { return metrics.provider }

// Handler returns the handler of Prometheus scrapes.
func (metrics *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(metrics.registry, promhttp.HandlerOpts{})
}

// Shutdown pushes the metrics not pushed yet and stops the exporters.
func (metrics *Metrics) Shutdown(ctx context.Context) error {
	return errors.Wrap(metrics.provider.Shutdown(ctx), "shut down the metrics provider")
}
