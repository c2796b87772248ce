package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/telemetry"
)

// meters are the owner's instruments.
type meters struct {
	ended   metric.Int64Counter
	refused metric.Int64Counter
	lost    metric.Int64Counter
	earlier metric.Int64Counter
	jobs    metric.Int64Counter
	appends metric.Float64Histogram
	waited  metric.Float64Histogram
	ran     metric.Float64Histogram
	shards  metric.Int64Gauge
	waiting metric.Int64Gauge
	agents  metric.Int64Gauge
	looked  metric.Int64Counter
	// evacuated counts failure domains.
	evacuated metric.Int64Gauge
}

// newMeters makes the instruments. Their names are constants that the library
// accepts, so its errors can't occur.
func newMeters(provider metric.MeterProvider) meters {
	meter := telemetry.Meter(provider, "owner")
	var made meters
	made.ended, _ = meter.Int64Counter("ambertiller.run.ended", metric.WithDescription("Runs that ended, by reason."))
	made.refused, _ = meter.Int64Counter("ambertiller.run.not_started", metric.WithDescription("Starts that were refused, by outcome."))
	made.lost, _ = meter.Int64Counter("ambertiller.run.lost", metric.WithDescription("Runs that were over without an end, by reason."))
	made.earlier, _ = meter.Int64Counter("ambertiller.run.ended_earlier", metric.WithDescription("Ends of runs as done whose task had been started again."))
	made.jobs, _ = meter.Int64Counter("ambertiller.job.ended", metric.WithDescription("Jobs that ended, by state."))
	made.appends, _ = meter.Float64Histogram("ambertiller.shard.append.duration", metric.WithUnit("s"), metric.WithDescription("Time until the store had a shard's records, with retries."))
	made.waited, _ = meter.Float64Histogram("ambertiller.job.wait", metric.WithUnit("s"), metric.WithDescription("Time from handing a job in to its first start."))
	made.ran, _ = meter.Float64Histogram("ambertiller.job.duration", metric.WithUnit("s"), metric.WithDescription("Time from handing a job in to its end."))
	made.shards, _ = meter.Int64Gauge("ambertiller.shard.owned", metric.WithDescription("Shards that this entry owns and has read."))
	made.waiting, _ = meter.Int64Gauge("ambertiller.job.live", metric.WithDescription("Jobs of the shards that have not ended."))
	made.agents, _ = meter.Int64Gauge("ambertiller.agent.attached", metric.WithDescription("Agents that this owner is connected to."))
	made.looked, _ = meter.Int64Counter("ambertiller.place.looked", metric.WithDescription("Workers that were looked at for a place, once for each job."))
	made.evacuated, _ = meter.Int64Gauge("ambertiller.failure_domain.evacuated", metric.WithDescription("Failure domains that operators have evacuated, as this owner knows."))
	return made
}

func (made *meters) jobEnded(ctx context.Context, of *job.Job) {
	made.jobs.Add(ctx, 1, telemetry.By("state", of.State().String()))
	made.ran.Record(ctx, of.EndedAt().Sub(time.UnixMilli(of.Submission().GetSubmittedMs())).Seconds(), telemetry.By("queue", of.Submission().GetQueue()))
}

// gaugeEvery is how often the gauges are set: metrics are read every few seconds.
const gaugeEvery = time.Second

// gauge sets the gauges.
func (owner *Owner) gauge(now time.Time) {
	if now.Sub(owner.gaugedAt) < gaugeEvery {
		return
	}
	owner.gaugedAt = now
	shards, live, attached := int64(0), int64(0), int64(0)
	for _, held := range owner.shards {
		if held.active {
			shards++
		}
		live += int64(len(held.live))
	}
	for _, view := range owner.agents {
		if view.link != nil {
			attached++
		}
	}
	owner.meters.shards.Record(owner.ctx, shards)
	owner.meters.waiting.Record(owner.ctx, live)
	owner.meters.agents.Record(owner.ctx, attached)
	owner.meters.looked.Add(owner.ctx, owner.looked)
	owner.looked = 0
}
