package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/state"
)

const meterName = "ambertiller.example/ambertiller/entry"

// latencyBounds are the bounds of the latency histogram, in seconds.
var latencyBounds = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// metrics are the instruments of an entry. Without a meter provider they count
// nothing.
type metrics struct {
	latency  metric.Float64Histogram
	problems metric.Int64Counter
	late     metric.Int64Counter
	placed   metric.Int64Counter
	ended    metric.Int64Counter
}

func newMetrics(entry *Entry) *metrics {
	meter := entry.options.Meters.Meter(meterName)
	made := &metrics{}
	// The errors speak of names and bounds, which are constants.
	made.latency, _ = meter.Float64Histogram("ambertiller.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time to a whole answer, by service."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	made.problems, _ = meter.Int64Counter("ambertiller.request.problems", metric.WithDescription("Requests without an answer, by service and problem type."))
	made.late, _ = meter.Int64Counter("ambertiller.request.over_target", metric.WithDescription("Answers that took longer than the service's target_p99."))
	made.placed, _ = meter.Int64Counter("ambertiller.placement.decisions", metric.WithDescription("Placement decisions, by outcome."))
	made.ended, _ = meter.Int64Counter("ambertiller.task.attempts_ended", metric.WithDescription("Attempts recorded as ended, by outcome."))
	observe(meter, entry)
	return made
}

// observe registers the gauges that are read off the entry's state.
func observe(meter metric.Meter, entry *Entry) {
	gauges := []struct {
		name, unit, description string
		read                    func() int64
	}{
		{"ambertiller.log.lag", "", "Entries of the log that are not folded yet.", entry.log.Lag},
		{"ambertiller.log.age", "ms", "Time since the log was last read to its end.", func() int64 {
			return entry.now().Sub(entry.log.SyncedAt()).Milliseconds()
		}},
		{"ambertiller.tasks.pending", "", "Tasks that wait for a worker.", func() (count int64) {
			entry.log.View(func(folded *state.State) { count = int64(folded.PendingCount()) })
			return count
		}},
		{"ambertiller.requests.in_flight", "", "Requests this entry carries.", entry.inFlight.Load},
	}
	for _, gauge := range gauges {
		_, _ = meter.Int64ObservableGauge(gauge.name, metric.WithUnit(gauge.unit), metric.WithDescription(gauge.description),
			metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
				observer.Observe(gauge.read())
				return nil
			}))
	}
	_, _ = meter.Int64ObservableGauge("ambertiller.requests.queued", metric.WithDescription("Requests that wait for a slot, by service."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			if settings := entry.shelf.Config(); settings != nil {
				for service := range settings.Services() {
					observer.Observe(int64(entry.table.Queued(service)), metric.WithAttributes(attribute.String("service", service)))
				}
			}
			return nil
		}))
	_, _ = meter.Int64ObservableGauge("ambertiller.document.version", metric.WithDescription("Document versions in force on this entry."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for _, each := range entry.shelf.Versions() {
				observer.Observe(int64(each.Version), metric.WithAttributes(attribute.String("document", each.Name)))
			}
			return nil
		}))
}

func (counted *metrics) answered(ctx context.Context, service string, took, target time.Duration) {
	named := metric.WithAttributes(attribute.String("service", service))
	counted.latency.Record(ctx, took.Seconds(), named)
	if target > 0 && took > target {
		counted.late.Add(ctx, 1, named)
	}
}

func (counted *metrics) gaveUp(ctx context.Context, service, kind string) {
	counted.problems.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service), attribute.String("type", kind)))
}

func (counted *metrics) decided(ctx context.Context, outcome string) {
	counted.placed.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (counted *metrics) attemptEnded(ctx context.Context, outcome string) {
	counted.ended.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
