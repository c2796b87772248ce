package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/telemetry"
)

// metrics holds the owner's metric instruments.
type metrics struct {
	runsEnded        metric.Int64Counter
	startsRefused    metric.Int64Counter
	runsLost         metric.Int64Counter
	supersededEnds   metric.Int64Counter
	jobsEnded        metric.Int64Counter
	appendDuration   metric.Float64Histogram
	jobWait          metric.Float64Histogram
	jobDuration      metric.Float64Histogram
	ownedShards      metric.Int64Gauge
	liveJobs         metric.Int64Gauge
	attachedAgents   metric.Int64Gauge
	workersExamined  metric.Int64Counter
	evacuatedDomains metric.Int64Gauge
	forecastRatio    metric.Float64Histogram
	moveOffers       metric.Int64Counter
	moveReservations metric.Int64Counter
	moveGap          metric.Float64Histogram
	unconfirmed      metric.Int64Gauge
}

// newMetrics creates the instruments. Errors are ignored: the library returns them only for invalid names,
// and these are valid constants.
func newMetrics(provider metric.MeterProvider) metrics {
	meter := telemetry.Meter(provider, "owner")
	var m metrics
	m.runsEnded, _ = meter.Int64Counter("ambertiller.run.ended", metric.WithDescription("Runs that ended, by reason."))
	m.startsRefused, _ = meter.Int64Counter("ambertiller.run.not_started", metric.WithDescription("Starts that were refused, by outcome."))
	m.runsLost, _ = meter.Int64Counter("ambertiller.run.lost", metric.WithDescription("Runs that were over without an end, by reason."))
	m.supersededEnds, _ = meter.Int64Counter("ambertiller.run.ended_earlier", metric.WithDescription("Ends of runs as done whose task had been started again."))
	m.jobsEnded, _ = meter.Int64Counter("ambertiller.job.ended", metric.WithDescription("Jobs that ended, by state."))
	m.appendDuration, _ = meter.Float64Histogram("ambertiller.shard.append.duration", metric.WithUnit("s"), metric.WithDescription("Time until the store had a shard's records, with retries."))
	m.jobWait, _ = meter.Float64Histogram("ambertiller.job.wait", metric.WithUnit("s"), metric.WithDescription("Time from handing a job in to its first start."))
	m.jobDuration, _ = meter.Float64Histogram("ambertiller.job.duration", metric.WithUnit("s"), metric.WithDescription("Time from handing a job in to its end."))
	m.ownedShards, _ = meter.Int64Gauge("ambertiller.shard.owned", metric.WithDescription("Shards that this entry owns and has read."))
	m.liveJobs, _ = meter.Int64Gauge("ambertiller.job.live", metric.WithDescription("Jobs of the shards that have not ended."))
	m.attachedAgents, _ = meter.Int64Gauge("ambertiller.agent.attached", metric.WithDescription("Agents that this owner is connected to."))
	m.workersExamined, _ = meter.Int64Counter("ambertiller.place.looked", metric.WithDescription("Workers that were looked at for a place, once for each job."))
	m.evacuatedDomains, _ = meter.Int64Gauge("ambertiller.failure_domain.evacuated", metric.WithDescription("Failure domains that operators have evacuated, as this owner knows."))
	m.forecastRatio, _ = meter.Float64Histogram("ambertiller.job.forecast.ratio",
		metric.WithDescription("Time that jobs took, divided by the time that was forecast, by queue."),
		metric.WithExplicitBucketBoundaries(forecastRatioBuckets...))
	m.moveOffers, _ = meter.Int64Counter("ambertiller.move.judged", metric.WithDescription("Offers of slowed fill runs that were answered, by verdict."))
	m.moveReservations, _ = meter.Int64Counter("ambertiller.move.reservations", metric.WithDescription("Reservations of workers for fill runs that ended, by how."))
	m.moveGap, _ = meter.Float64Histogram("ambertiller.move.gap", metric.WithUnit("s"), metric.WithDescription("Time from the end of a run that was stopped for a move to the next start of its task."))
	m.unconfirmed, _ = meter.Int64Gauge("ambertiller.shard.unconfirmed", metric.WithDescription("Shards that the store may have assigned to another entry, so that none of their runs is considered lost."))
	return m
}

// forecastRatioBuckets are finer around 1, where the forecast is right.
var forecastRatioBuckets = []float64{0.1, 0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5, 10}

// recordJobEnd counts a job that has ended, and records the time since it was submitted.
func (m *metrics) recordJobEnd(ctx context.Context, j *job.Job) {
	m.jobsEnded.Add(ctx, 1, telemetry.WithAttribute("state", j.State().String()))
	m.jobDuration.Record(ctx, j.EndedAt().Sub(time.UnixMilli(j.Submission().GetSubmittedMs())).Seconds(), telemetry.WithAttribute("queue", j.Submission().GetQueue()))
}

// gaugeInterval is how often the gauges are recorded. Metrics are collected every few seconds.
const gaugeInterval = time.Second

// recordGauges records the gauges, and the workers examined since the last time, once per gaugeInterval.
func (owner *Owner) recordGauges(now time.Time) {
	if now.Sub(owner.gaugesRecordedAt) < gaugeInterval {
		return
	}
	owner.gaugesRecordedAt = now
	live, attached := int64(0), int64(0)
	for _, s := range owner.shards {
		live += int64(len(s.live))
	}
	for _, view := range owner.agents {
		if view.conn != nil {
			attached++
		}
	}
	owner.metrics.ownedShards.Record(owner.ctx, int64(owner.loadedShards()))
	owner.metrics.liveJobs.Record(owner.ctx, live)
	if owner.options.Features.Has(feature.Confirmation) {
		unconfirmed := 0
		if !owner.isConfirmed(now) {
			unconfirmed = len(owner.shards)
		}
		owner.metrics.unconfirmed.Record(owner.ctx, int64(unconfirmed))
	}
	owner.metrics.attachedAgents.Record(owner.ctx, attached)
	owner.metrics.workersExamined.Add(owner.ctx, owner.workersExamined)
	owner.workersExamined = 0
}
