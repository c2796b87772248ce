package entry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/state"
)

const meterName = "ambertiller.example/ambertiller/entry"

// latencyBuckets are the bucket bounds of the latency histogram, in seconds.
var latencyBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10}

// metrics holds the instruments of an entry. They record nothing unless a meter
// provider is installed.
type metrics struct {
	latency       metric.Float64Histogram
	problems      metric.Int64Counter
	overTarget    metric.Int64Counter
	decisions     metric.Int64Counter
	attemptsEnded metric.Int64Counter
}

func newMetrics(entry *Entry) *metrics {
	meter := entry.options.Meters.Meter(meterName)
	m := &metrics{}
	// An instrument fails only for an invalid name or invalid bounds, and both are
	// constants here.
	m.latency, _ = meter.Float64Histogram("ambertiller.request.duration", metric.WithUnit("s"),
		metric.WithDescription("Time to a whole answer, by service."), metric.WithExplicitBucketBoundaries(latencyBuckets...))
	m.problems, _ = meter.Int64Counter("ambertiller.request.problems", metric.WithDescription("Requests without an answer, by service and problem type."))
	m.overTarget, _ = meter.Int64Counter("ambertiller.request.over_target", metric.WithDescription("Answers that took longer than the service's target_p99."))
	m.decisions, _ = meter.Int64Counter("ambertiller.placement.decisions", metric.WithDescription("Placement decisions, by outcome."))
	m.attemptsEnded, _ = meter.Int64Counter("ambertiller.task.attempts_ended", metric.WithDescription("Attempts recorded as ended, by outcome."))
	registerGauges(meter, entry)
	return m
}

// registerGauges registers the gauges whose values are read when they are collected.
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
			entry.journal.View(func(st *state.State) { count = int64(st.PendingCount()) })
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
			for _, version := range entry.documents.Versions() {
				observer.Observe(int64(version.Version), metric.WithAttributes(attribute.String("document", version.Name)))
			}
			return nil
		}))
}

// recordAnswer records the latency of a complete response, and counts it if it
// exceeds the target. A target of zero is never exceeded.
func (m *metrics) recordAnswer(ctx context.Context, service string, duration, target time.Duration) {
	attributes := metric.WithAttributes(attribute.String("service", service))
	m.latency.Record(ctx, duration.Seconds(), attributes)
	if target > 0 && duration > target {
		m.overTarget.Add(ctx, 1, attributes)
	}
}

func (m *metrics) countProblem(ctx context.Context, service, kind string) {
	m.problems.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service), attribute.String("type", kind)))
}

func (m *metrics) countDecision(ctx context.Context, outcome string) {
	m.decisions.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (m *metrics) countEndedAttempt(ctx context.Context, outcome string) {
	m.attemptsEnded.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}
