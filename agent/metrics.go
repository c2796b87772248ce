package agent

import (
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/telemetry"
)

// metrics holds the agent's metric instruments.
type metrics struct {
	startOrders      metric.Int64Counter
	runEnds          metric.Int64Counter
	lostIncarnations metric.Int64Counter
	evictions        metric.Int64Counter
	paceChanges      metric.Int64Counter
	moveOffers       metric.Int64Counter
	leaseMargin      metric.Float64Gauge
	runs             metric.Int64Gauge
	pendingEnds      metric.Int64Gauge
}

// newMetrics creates the instruments. It ignores their errors, which the library returns only for invalid
// names.
func newMetrics(provider metric.MeterProvider) metrics {
	meter := telemetry.Meter(provider, "agent")
	var m metrics
	m.startOrders, _ = meter.Int64Counter("ambertiller.order.judged", metric.WithDescription("Starts that owners ordered, by outcome."))
	m.runEnds, _ = meter.Int64Counter("ambertiller.worker.ends", metric.WithDescription("Ends that the worker listed, by how."))
	m.lostIncarnations, _ = meter.Int64Counter("ambertiller.worker.lost", metric.WithDescription("Incarnations of the worker that are over, by how it became known."))
	m.evictions, _ = meter.Int64Counter("ambertiller.fill.evicted", metric.WithDescription("Filling runs that were stopped for a serving one."))
	m.paceChanges, _ = meter.Int64Counter("ambertiller.fill.paced", metric.WithDescription("Changes of the pace of filling runs."))
	m.moveOffers, _ = meter.Int64Counter("ambertiller.move.offers", metric.WithDescription("Offers of slowed fill runs to their owners, by outcome."))
	m.leaseMargin, _ = meter.Float64Gauge("ambertiller.lease.margin", metric.WithUnit("s"), metric.WithDescription("Time until the worker's lease has run out on the slowest clock."))
	m.runs, _ = meter.Int64Gauge("ambertiller.worker.runs", metric.WithDescription("Runs on the worker."))
	m.pendingEnds, _ = meter.Int64Gauge("ambertiller.worker.unseen_ends", metric.WithDescription("Ends that no owner has made durable yet."))
	return m
}

// gaugeInterval is how often the gauges are recorded. Metrics are collected every few seconds.
const gaugeInterval = time.Second

// recordGauges records the state of the worker, once per gaugeInterval.
func (agent *Agent) recordGauges(now time.Time) {
	if agent.worker == nil || now.Sub(agent.gaugesRecordedAt) < gaugeInterval {
		return
	}
	agent.gaugesRecordedAt = now
	agent.metrics.leaseMargin.Record(agent.ctx, agent.worker.leaseOverBy.Sub(now).Seconds())
	agent.metrics.runs.Record(agent.ctx, int64(len(agent.worker.runs)))
	agent.metrics.pendingEnds.Record(agent.ctx, int64(len(agent.worker.pendingEnds)))
}
