package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/telemetry"
)

// metrics are the owner's instruments.
type metrics struct {
	runsEnded       metric.Int64Counter
	startsRefused   metric.Int64Counter
	runsLost        metric.Int64Counter
	supersededEnds  metric.Int64Counter
	jobsEnded       metric.Int64Counter
	appendDuration  metric.Float64Histogram
	jobWait         metric.Float64Histogram
	jobDuration     metric.Float64Histogram
	ownedShards     metric.Int64Gauge
	liveJobs        metric.Int64Gauge
	attachedAgents  metric.Int64Gauge
	workersExamined metric.Int64Counter
	// evacuatedDomains counts failure domains.
	evacuatedDomains metric.Int64Gauge
}

// newMetrics makes the instruments. Their names are constants that the library
// accepts, so its errors can't occur.
func newMetrics(provider metric.MeterProvider) metrics {
	meter := telemetry.Meter(provider, "owner")
	var made metrics
	made.runsEnded, _ = meter.Int64Counter("ambertiller.run.ended", metric.WithDescription("Runs that ended, by reason."))
	made.startsRefused, _ = meter.Int64Counter("ambertiller.run.not_started", metric.WithDescription("Starts that were refused, by outcome."))
	made.runsLost, _ = meter.Int64Counter("ambertiller.run.lost", metric.WithDescription("Runs that were over without an end, by reason."))
	made.supersededEnds, _ = meter.Int64Counter("ambertiller.run.ended_earlier", metric.WithDescription("Ends of runs as done whose task had been started again."))
	made.jobsEnded, _ = meter.Int64Counter("ambertiller.job.ended", metric.WithDescription("Jobs that ended, by state."))
	made.appendDuration, _ = meter.Float64Histogram("ambertiller.shard.append.duration", metric.WithUnit("s"), metric.WithDescription("Time until the store had a shard's records, with retries."))
	made.jobWait, _ = meter.Float64Histogram("ambertiller.job.wait", metric.WithUnit("s"), metric.WithDescription("Time from handing a job in to its first start."))
	made.jobDuration, _ = meter.Float64Histogram("ambertiller.job.duration", metric.WithUnit("s"), metric.WithDescription("Time from handing a job in to its end."))
	made.ownedShards, _ = meter.Int64Gauge("ambertiller.shard.owned", metric.WithDescription("Shards that this entry owns and has read."))
	made.liveJobs, _ = meter.Int64Gauge("ambertiller.job.live", metric.WithDescription("Jobs of the shards that have not ended."))
	made.attachedAgents, _ = meter.Int64Gauge("ambertiller.agent.attached", metric.WithDescription("Agents that this owner is connected to."))
	made.workersExamined, _ = meter.Int64Counter("ambertiller.place.looked", metric.WithDescription("Workers that were looked at for a place, once for each job."))
	made.evacuatedDomains, _ = meter.Int64Gauge("ambertiller.failure_domain.evacuated", metric.WithDescription("Failure domains that operators have evacuated, as this owner knows."))
	return made
}

func (made *metrics) recordJobEnd(ctx context.Context, of *job.Job) {
	made.jobsEnded.Add(ctx, 1, telemetry.WithAttribute("state", of.State().String()))
	made.jobDuration.Record(ctx, of.EndedAt().Sub(time.UnixMilli(of.Submission().GetSubmittedMs())).Seconds(), telemetry.WithAttribute("queue", of.Submission().GetQueue()))
}

// gaugeInterval is how often the gauges are set: metrics are read every few seconds.
const gaugeInterval = time.Second

// recordGauges sets the gauges.
func (owner *Owner) recordGauges(now time.Time) {
	if now.Sub(owner.gaugesRecordedAt) < gaugeInterval {
		return
	}
	owner.gaugesRecordedAt = now
	shards, live, attached := int64(0), int64(0), int64(0)
	for _, held := range owner.shards {
		if held.loaded {
			shards++
		}
		live += int64(len(held.live))
	}
	for _, view := range owner.agents {
		if view.conn != nil {
			attached++
		}
	}
	owner.metrics.ownedShards.Record(owner.ctx, shards)
	owner.metrics.liveJobs.Record(owner.ctx, live)
	owner.metrics.attachedAgents.Record(owner.ctx, attached)
	owner.metrics.workersExamined.Add(owner.ctx, owner.workersExamined)
	owner.workersExamined = 0
}
