package agent

import (
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/telemetry"
)

// metrics are the agent's instruments.
type metrics struct {
	startOrders      metric.Int64Counter
	runEnds          metric.Int64Counter
	lostIncarnations metric.Int64Counter
	evictions        metric.Int64Counter
	paceChanges      metric.Int64Counter
	leaseMargin      metric.Float64Gauge
	runs             metric.Int64Gauge
	pendingEnds      metric.Int64Gauge
}

// newMetrics makes the instruments. Their names are constants that the library
// accepts, so its errors can't occur.
func newMetrics(provider metric.MeterProvider) metrics {
	meter := telemetry.Meter(provider, "agent")
	var made metrics
	made.startOrders, _ = meter.Int64Counter("ambertiller.order.judged", metric.WithDescription("Starts that owners ordered, by outcome."))
	made.runEnds, _ = meter.Int64Counter("ambertiller.worker.ends", metric.WithDescription("Ends that the worker listed, by how."))
	made.lostIncarnations, _ = meter.Int64Counter("ambertiller.worker.lost", metric.WithDescription("Incarnations of the worker that are over, by how it became known."))
	made.evictions, _ = meter.Int64Counter("ambertiller.fill.evicted", metric.WithDescription("Filling runs that were stopped for a serving one."))
	made.paceChanges, _ = meter.Int64Counter("ambertiller.fill.paced", metric.WithDescription("Changes of the pace of filling runs."))
	made.leaseMargin, _ = meter.Float64Gauge("ambertiller.lease.margin", metric.WithUnit("s"), metric.WithDescription("Time until the worker's lease has run out on the slowest clock."))
	made.runs, _ = meter.Int64Gauge("ambertiller.worker.runs", metric.WithDescription("Runs on the worker."))
	made.pendingEnds, _ = meter.Int64Gauge("ambertiller.worker.unseen_ends", metric.WithDescription("Ends that no owner has made durable yet."))
	return made
}

// gaugeInterval is how often the gauges are set: metrics are read every few seconds.
const gaugeInterval = time.Second

// recordGauges sets the gauges.
func (agent *Agent) recordGauges(now time.Time) {
	if agent.worker == nil || now.Sub(agent.gaugesRecordedAt) < gaugeInterval {
		return
	}
	agent.gaugesRecordedAt = now
	agent.metrics.leaseMargin.Record(agent.ctx, agent.worker.leaseOverBy.Sub(now).Seconds())
	agent.metrics.runs.Record(agent.ctx, int64(len(agent.worker.runs)))
	agent.metrics.pendingEnds.Record(agent.ctx, int64(len(agent.worker.pendingEnds)))
}
