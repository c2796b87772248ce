// Package telemetry sets up the metrics of one process: OpenTelemetry
// instruments that are scraped in the Prometheus format and, if an endpoint is
// set, pushed by OTLP over HTTP.
//
// # Usage
//
//	metering, err := telemetry.New(ctx, telemetry.Options{Role: "entry", Name: "entry-1"})
//	mux.Handle("/metrics", metering.Handler())
//	defer metering.Shutdown(ctx)
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

// Options sets up Metering.
type Options struct {
	// Role and Name tell the process apart from others.
	Role string
	Name string
	// OTLPEndpoint is the URL that metrics are pushed to, empty for none.
	OTLPEndpoint string
}

// Metrics holds the metrics of one process.
type Metrics struct {
	provider *sdk.MeterProvider
	registry *prometheus.Registry
}

// New sets metrics up.
func New(ctx context.Context, options Options) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	scraped, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, errors.Wrap(err, "set up the metrics scrape")
	}
	providerOptions := []sdk.Option{
		sdk.WithReader(scraped),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "ambertiller-"+options.Role),
			attribute.String("service.instance.id", options.Name),
		)),
	}
	if options.OTLPEndpoint != "" {
		pushed, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(options.OTLPEndpoint))
		if err != nil {
			return nil, errors.Wrap(err, "set up the metrics push")
		}
		providerOptions = append(providerOptions, sdk.WithReader(sdk.NewPeriodicReader(pushed)))
	}
	return &Metrics{provider: sdk.NewMeterProvider(providerOptions...), registry: registry}, nil
}

// Provider returns what instruments are made of.
func (metering *Metrics) Provider() metric.MeterProvider { return metering.provider }

// Handler answers scrapes.
func (metering *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(metering.registry, promhttp.HandlerOpts{})
}

// Shutdown pushes what is left and stops.
func (metering *Metrics) Shutdown(ctx context.Context) error {
	return errors.Wrap(metering.provider.Shutdown(ctx), "stop metrics")
}
