package agent

import (
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/telemetry"
)

// meters are the agent's instruments.
type meters struct {
	orders  metric.Int64Counter
	ended   metric.Int64Counter
	lost    metric.Int64Counter
	evicted metric.Int64Counter
	paced   metric.Int64Counter
	margin  metric.Float64Gauge
	running metric.Int64Gauge
	unseen  metric.Int64Gauge
}

// newMeters makes the instruments. Their names are constants that the library
// accepts, so its errors can't occur.
func newMeters(provider metric.MeterProvider) meters {
	meter := telemetry.Meter(provider, "agent")
	var made meters
	made.orders, _ = meter.Int64Counter("ambertiller.order.judged", metric.WithDescription("Starts that owners ordered, by outcome."))
	made.ended, _ = meter.Int64Counter("ambertiller.worker.ends", metric.WithDescription("Ends that the worker listed, by how."))
	made.lost, _ = meter.Int64Counter("ambertiller.worker.lost", metric.WithDescription("Incarnations of the worker that are over, by how it became known."))
	made.evicted, _ = meter.Int64Counter("ambertiller.fill.evicted", metric.WithDescription("Filling runs that were stopped for a serving one."))
	made.paced, _ = meter.Int64Counter("ambertiller.fill.paced", metric.WithDescription("Changes of the pace of filling runs."))
	made.margin, _ = meter.Float64Gauge("ambertiller.lease.margin", metric.WithUnit("s"), metric.WithDescription("Time until the worker's lease has run out on the slowest clock."))
	made.running, _ = meter.Int64Gauge("ambertiller.worker.runs", metric.WithDescription("Runs on the worker."))
	made.unseen, _ = meter.Int64Gauge("ambertiller.worker.unseen_ends", metric.WithDescription("Ends that no owner has made durable yet."))
	return made
}

// gaugeEvery is how often the gauges are set: metrics are read every few seconds.
const gaugeEvery = time.Second

// gauge sets the gauges.
func (agent *Agent) gauge(now time.Time) {
	if agent.worker == nil || now.Sub(agent.gaugedAt) < gaugeEvery {
		return
	}
	agent.gaugedAt = now
	agent.meters.margin.Record(agent.ctx, agent.worker.lapseBy.Sub(now).Seconds())
	agent.meters.running.Record(agent.ctx, int64(len(agent.worker.runs)))
	agent.meters.unseen.Record(agent.ctx, int64(len(agent.worker.ends)))
}
