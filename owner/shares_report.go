package owner

import (
	"log/slog"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/share"
)

// sharesLogInterval is the minimum time between two log lines about shares.
const sharesLogInterval = time.Second

// queueRow is the entry of one queue in the log.
type queueRow struct {
	Service  string `json:"service"`
	Queue    string `json:"queue"`
	Priority int32  `json:"priority"`
	Room     int64  `json:"room_milli_cpu"`
	Share    int64  `json:"share_milli_cpu"`
	Used     int64  `json:"used_milli_cpu"`
	Demand   int64  `json:"demand_milli_cpu"`
	Lag      int64  `json:"lag_milli_cpu_ms"`
}

// publishShares logs the shares if they have changed, and records the gauges, once per sharesLogInterval.
func (owner *Owner) publishShares(now time.Time) {
	shares := owner.shares
	if now.Sub(shares.loggedAt) < sharesLogInterval {
		return
	}
	shares.loggedAt = now
	var rows []queueRow
	current := map[share.Key]bool{}
	for _, row := range shares.table.Rows() {
		current[row.Key] = true
		owner.recordShareGauges(row.Key, row.ShareMilliCPU, row.UsedMilliCPU)
		rows = append(rows, queueRow{
			Service: row.Key.Service, Queue: row.Key.Queue.Name, Priority: row.Key.Queue.Priority,
			Room: row.CapacityMilliCPU, Share: row.ShareMilliCPU, Used: row.UsedMilliCPU, Demand: row.DemandMilliCPU,
			Lag: int64(row.Lag),
		})
	}
	owner.clearShareGauges(current)
	if !shares.changed || len(rows) == 0 {
		return
	}
	shares.changed = false
	owner.log(event.SharesChanged, slog.Any("queues", rows),
		slog.Int("peers", shares.peers), slog.Duration("peers_age", shares.peersAge))
}

// recordShareGauges records the gauges of a queue.
func (owner *Owner) recordShareGauges(key share.Key, shareMilliCPU, usedMilliCPU int64) {
	attributes := metric.WithAttributes(
		attribute.String("service", key.Service),
		attribute.String("queue", key.Queue.Name),
		attribute.Int("priority", int(key.Queue.Priority)),
	)
	owner.shares.shareGauge.Record(owner.ctx, shareMilliCPU, attributes)
	owner.shares.useGauge.Record(owner.ctx, usedMilliCPU, attributes)
	owner.shares.gauged[key] = true
}

// clearShareGauges sets the gauges of all queues except the current ones to 0.
func (owner *Owner) clearShareGauges(current map[share.Key]bool) {
	for key := range owner.shares.gauged {
		if !current[key] {
			owner.recordShareGauges(key, 0, 0)
			delete(owner.shares.gauged, key)
		}
	}
}
