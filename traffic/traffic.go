// Package traffic counts what a process sends to other processes of ambertiller: messages
// and bytes by kind of content, and whether they stay in its failure domain. Bytes that
// cross failure domains are dear, and what grows with the fleet shows here first.
//
// A message is counted by its parts, since most carry several. Bytes are those of the
// encoded parts; frames and what TCP adds are left out.
//
// # Usage
//
//	sent := traffic.New(meters)
//	sent.Note(ctx, traffic.KindRuns, near, proto.Size(part))
//	sent.Log(ctx, events, now)
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

// logInterval is how often a process logs what it has sent: a handful of lines each time.
const logInterval = 10 * time.Second

// Kind is what a part of a message is about.
type Kind string

// The kinds.
const (
	KindStatus       Kind = "state"   // of a worker, whole
	KindStatusChange Kind = "change"  // of a worker since the last message
	KindRuns         Kind = "runs"    // all runs of an owner
	KindRunEnds      Kind = "ends"    // of runs, and whether starts were carried out
	KindLearned      Kind = "learned" // of interference
	KindOrders       Kind = "orders"  // to start, to stop, to make room, to forget ends
	KindClaims       Kind = "claims"  // of shards
	KindOther        Kind = "rest"    // grants, and what each message carries
)

// countKey is where messages of a kind went.
type countKey struct {
	kind       Kind
	sameDomain bool
}

// Count is what was sent of one kind, within the failure domain or out of it.
type Count struct {
	kind       Kind
	sameDomain bool
	messages   int64
	bytes      int64
}

// LogAttributes returns what a log line says of a count.
func (count Count) LogAttributes() []slog.Attr {
	return []slog.Attr{
		slog.String("kind", string(count.kind)), slog.Bool("near", count.sameDomain),
		slog.Int64("messages", count.messages), slog.Int64("bytes", count.bytes),
	}
}

// Counter counts what one process sends. It is not for use by several goroutines at once.
type Counter struct {
	counts         map[countKey]Count
	loggedAt       time.Time
	messageCounter metric.Int64Counter
	byteCounter    metric.Int64Counter
}

// New returns an empty count. The names of its instruments are constants that the library
// accepts, so its errors can't occur. A nil provider makes none that are served.
func New(provider metric.MeterProvider) *Counter {
	meter := telemetry.Meter(provider, "traffic")
	sent := &Counter{counts: map[countKey]Count{}}
	sent.messageCounter, _ = meter.Int64Counter("ambertiller.message.sent", metric.WithDescription("Messages to other processes, by kind of content and failure domain."))
	sent.byteCounter, _ = meter.Int64Counter("ambertiller.message.size", metric.WithUnit("By"), metric.WithDescription("Bytes of messages to other processes, by kind of content and failure domain."))
	return sent
}

// Add counts a part of a message to a process in the same failure domain, or in another. A
// part of no bytes is none.
func (sent *Counter) Add(ctx context.Context, kind Kind, near bool, size int) {
	if size <= 0 {
		return
	}
	at := countKey{kind: kind, sameDomain: near}
	count := sent.counts[at]
	count.kind, count.sameDomain = kind, near
	count.messages++
	count.bytes += int64(size)
	sent.counts[at] = count
	labels := metric.WithAttributes(attribute.String("kind", string(kind)), attribute.Bool("near", near))
	sent.messageCounter.Add(ctx, 1, labels)
	sent.byteCounter.Add(ctx, int64(size), labels)
}

// LogIfDue logs what has been sent since it was last logged, if that is due.
func (sent *Counter) LogIfDue(ctx context.Context, events *event.Logger, now time.Time) {
	if now.Sub(sent.loggedAt) < logInterval {
		return
	}
	sent.loggedAt = now
	for _, count := range sent.TakeCounts() {
		events.Log(ctx, event.MessagesSent, count.LogAttributes()...)
	}
}

// TakeCounts returns what has been sent since it was last called, the most bytes first.
func (sent *Counter) TakeCounts() []Count {
	taken := make([]Count, 0, len(sent.counts))
	for _, count := range sent.counts {
		taken = append(taken, count)
	}
	slices.SortFunc(taken, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.kind, b.kind))
	})
	sent.counts = map[countKey]Count{}
	return taken
}
