// Package traffic counts the messages and bytes that a process sends to other processes of
// ambertiller, by kind of content and by whether they stay in its failure domain. Traffic
// across failure domains is expensive, and growth with the size of the fleet shows up in
// these counts first.
//
// A message is counted by its parts, since most messages carry several. The size is that
// of the encoded parts, without RPC framing and TCP overhead.
//
// # Usage
//
//	counter := traffic.New(provider)
//	counter.Add(ctx, traffic.KindRuns, sameDomain, proto.Size(part))
//	counter.LogIfDue(ctx, events, now)
package traffic

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/telemetry"
)

// logInterval is the interval at which a process logs its counts, a few lines each time.
const logInterval = 10 * time.Second

// Kind is the kind of content of a part of a message.
type Kind string

// The kinds of content.
const (
	KindStatus       Kind = "state"   // full status of a worker
	KindStatusChange Kind = "change"  // changes of a worker's status since the last message
	KindRuns         Kind = "runs"    // list of all runs of an owner
	KindRunEnds      Kind = "ends"    // ends of runs, and results of start orders
	KindLearned      Kind = "learned" // learned interference between tasks
	KindOrders       Kind = "orders"  // orders to start, stop and preempt runs, and acknowledgements of their ends
	KindClaims       Kind = "claims"  // claims of shards
	KindOther        Kind = "rest"    // grants and the fields that each message carries
)

// countKey identifies a count.
type countKey struct {
	kind       Kind
	sameDomain bool
}

// Count holds the number and size of the parts of one kind that were sent within the
// failure domain, or out of it.
type Count struct {
	kind       Kind
	sameDomain bool
	messages   int64
	bytes      int64
}

// LogAttributes returns the attributes of the count's log line.
func (count Count) LogAttributes() []slog.Attr {
	return []slog.Attr{
		slog.String("kind", string(count.kind)), slog.Bool("near", count.sameDomain),
		slog.Int64("messages", count.messages), slog.Int64("bytes", count.bytes),
	}
}

// Counter counts what one process sends. It is not safe for concurrent use.
type Counter struct {
	counts         map[countKey]Count
	loggedAt       time.Time
	messageCounter metric.Int64Counter
	byteCounter    metric.Int64Counter
}

// New returns an empty counter that also records its counts as metrics, unless the provider
// is nil. Errors of the instruments are ignored: their names are valid constants.
func New(provider metric.MeterProvider) *Counter {
	meter := telemetry.Meter(provider, "traffic")
	counter := &Counter{counts: map[countKey]Count{}}
	counter.messageCounter, _ = meter.Int64Counter("ambertiller.message.sent", metric.WithDescription("Messages to other processes, by kind of content and failure domain."))
	counter.byteCounter, _ = meter.Int64Counter("ambertiller.message.size", metric.WithUnit("By"), metric.WithDescription("Bytes of messages to other processes, by kind of content and failure domain."))
	return counter
}

// Add counts one part of a message; sameDomain says whether the receiving process is in the
// same failure domain. Empty parts are not counted.
func (counter *Counter) Add(ctx context.Context, kind Kind, sameDomain bool, size int) {
	if size <= 0 {
		return
	}
	key := countKey{kind: kind, sameDomain: sameDomain}
	count := counter.counts[key]
	count.kind, count.sameDomain = kind, sameDomain
	count.messages++
	count.bytes += int64(size)
	counter.counts[key] = count
	labels := metric.WithAttributes(attribute.String("kind", string(kind)), attribute.Bool("near", sameDomain))
	counter.messageCounter.Add(ctx, 1, labels)
	counter.byteCounter.Add(ctx, int64(size), labels)
}

// LogIfDue logs and resets the counts if logInterval has passed since the last time.
func (counter *Counter) LogIfDue(ctx context.Context, events *event.Logger, now time.Time) {
	if now.Sub(counter.loggedAt) < logInterval {
		return
	}
	counter.loggedAt = now
	for _, count := range counter.TakeCounts() {
		events.Log(ctx, event.MessagesSent, count.LogAttributes()...)
	}
}

// TakeCounts returns the counts since its last call, ordered by decreasing size, and resets
// them.
func (counter *Counter) TakeCounts() []Count {
	counts := make([]Count, 0, len(counter.counts))
	for _, count := range counter.counts {
		counts = append(counts, count)
	}
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.kind, b.kind))
	})
	counter.counts = map[countKey]Count{}
	return counts
}
