package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/state"
)

const meterName = "ambertiller.example/ambertiller/entry"

// latencyBuckets are the bounds of the latency histogram, in seconds.
var latencyBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// metrics are the instruments of an entry. Without a meter provider they count
// nothing.
type metrics struct {
	latency       metric.Float64Histogram
	problems      metric.Int64Counter
	overTarget    metric.Int64Counter
	decisions     metric.Int64Counter
	attemptsEnded metric.Int64Counter
}

func newMetrics(entry *Entry) *metrics {
	meter := entry.options.Meters.Meter(meterName)
	made := &metrics{}
	// The errors speak of names and bounds, which are constants.
	made.latency, _ = meter.Float64Histogram("ambertiller.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time to a whole answer, by service."), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	made.problems, _ = meter.Int64Counter("ambertiller.request.problems", metric.WithDescription("Requests without an answer, by service and problem type."))
	made.overTarget, _ = meter.Int64Counter("ambertiller.request.over_target", metric.WithDescription("Answers that took longer than the service's target_p99."))
	made.decisions, _ = meter.Int64Counter("ambertiller.placement.decisions", metric.WithDescription("Placement decisions, by outcome."))
	made.attemptsEnded, _ = meter.Int64Counter("ambertiller.task.attempts_ended", metric.WithDescription("Attempts recorded as ended, by outcome."))
	registerGauges(meter, entry)
	return made
}

// registerGauges registers the gauges that are read off the entry's state.
func registerGauges(meter metric.Meter, entry *Entry) {
	gauges := []struct {
		name, unit, description string
		read                    func() int64
	}{
		{"ambertiller.log.lag", "", "Entries of the log that are not folded yet.", entry.journal.Lag},
		{"ambertiller.log.age", "ms", "Time since the log was last read to its end.", func() int64 {
			return entry.now().Sub(entry.journal.SyncedAt()).Milliseconds()
		}},
		{"ambertiller.tasks.pending", "", "Tasks that wait for a worker.", func() (count int64) {
			entry.journal.View(func(folded *state.State) { count = int64(folded.PendingCount()) })
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
			if settings := entry.documents.Config(); settings != nil {
				for service := range settings.Services() {
					observer.Observe(int64(entry.routes.QueueLength(service)), metric.WithAttributes(attribute.String("service", service)))
				}
			}
			return nil
		}))
	_, _ = meter.Int64ObservableGauge("ambertiller.document.version", metric.WithDescription("Document versions in force on this entry."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for _, each := range entry.documents.Versions() {
				observer.Observe(int64(each.Version), metric.WithAttributes(attribute.String("document", each.Name)))
			}
			return nil
		}))
}

func (counted *metrics) recordAnswer(ctx context.Context, service string, took, target time.Duration) {
	named := metric.WithAttributes(attribute.String("service", service))
	counted.latency.Record(ctx, took.Seconds(), named)
	if target > 0 && took > target {
		counted.overTarget.Add(ctx, 1, named)
	}
}

func (counted *metrics) countProblem(ctx context.Context, service, kind string) {
	counted.problems.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service), attribute.String("type", kind)))
}

func (counted *metrics) countDecision(ctx context.Context, outcome string) {
	counted.decisions.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (counted *metrics) countEndedAttempt(ctx context.Context, outcome string) {
	counted.attemptsEnded.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
