package gateway

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/backlog"
	"ambertiller.example/ambertiller/telemetry"
)

// backlogMetrics holds the metric instruments of the backlog.
type backlogMetrics struct {
	age     metric.Float64Gauge
	jobs    metric.Int64Gauge
	waiting metric.Float64Gauge
	// recorded holds the queues that were recorded last. A queue that is no longer in the sum is recorded with zeros
	// once.
	recorded map[string]bool
}

// newBacklogMetrics creates the instruments. Errors are ignored as in newMetrics.
func newBacklogMetrics(provider metric.MeterProvider) backlogMetrics {
	meter := telemetry.Meter(provider, "gateway")
	instruments := backlogMetrics{recorded: map[string]bool{}}
	instruments.age, _ = meter.Float64Gauge("ambertiller.backlog.age", metric.WithUnit("s"),
		metric.WithDescription("Age of the oldest backlog of an owner that forecasts are based on."))
	instruments.jobs, _ = meter.Int64Gauge("ambertiller.backlog.jobs",
		metric.WithDescription("Jobs of all owners that have not ended, by queue."))
	instruments.waiting, _ = meter.Float64Gauge("ambertiller.backlog.waiting", metric.WithUnit("s"),
		metric.WithDescription("Estimated work of all owners that waits for workers, in seconds of one core, by queue."))
	return instruments
}

// record records the sum of all backlogs and its age.
func (instruments *backlogMetrics) record(ctx context.Context, sum backlog.Sum, age time.Duration) {
	if !sum.IsKnown() {
		return
	}
	jobs, waiting := map[string]int64{}, map[string]time.Duration{}
	for _, row := range sum.Summary().Messages() {
		instruments.recorded[row.GetQueue()] = true
		jobs[row.GetQueue()] += int64(row.GetOpenJobs())
		waiting[row.GetQueue()] += time.Duration(row.GetWaitingCoreMs()) * time.Millisecond
	}
	instruments.age.Record(ctx, age.Seconds())
	for queue := range instruments.recorded {
		instruments.jobs.Record(ctx, jobs[queue], telemetry.WithAttribute("queue", queue))
		instruments.waiting.Record(ctx, waiting[queue].Seconds(), telemetry.WithAttribute("queue", queue))
		if _, found := jobs[queue]; !found {
			delete(instruments.recorded, queue)
		}
	}
}
