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
//	sent.Note(ctx, traffic.Runs, near, proto.Size(part))
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

// logEvery is how often a process logs what it has sent: a handful of lines each time.
const logEvery = 10 * time.Second

// Kind is what a part of a message is about.
type Kind string

// The kinds.
const (
	State   Kind = "state"   // of a worker, whole
	Change  Kind = "change"  // of a worker since the last message
	Runs    Kind = "runs"    // all runs of an owner
	Ends    Kind = "ends"    // of runs, and whether starts were carried out
	Learned Kind = "learned" // of interference
	Orders  Kind = "orders"  // to start, to stop, to make room, to forget ends
	Claims  Kind = "claims"  // of shards
	Rest    Kind = "rest"    // grants, and what each message carries
)

// place is where messages of a kind went.
type place struct {
	kind Kind
	near bool
}

// Count is what was sent of one kind, within the failure domain or out of it.
type Count struct {
	kind     Kind
	near     bool
	messages int64
	bytes    int64
}

// Attributes returns what a log line says of a count.
func (count Count) Attributes() []slog.Attr {
	return []slog.Attr{
		slog.String("kind", string(count.kind)), slog.Bool("near", count.near),
		slog.Int64("messages", count.messages), slog.Int64("bytes", count.bytes),
	}
}

// Sent counts what one process sends. It is not for use by several goroutines at once.
type Sent struct {
	counts   map[place]Count
	loggedAt time.Time
	messages metric.Int64Counter
	bytes    metric.Int64Counter
}

// New returns an empty count. The names of its instruments are constants that the library
// accepts, so its errors can't occur. A nil provider makes none that are served.
func New(provider metric.MeterProvider) *Sent {
	meter := telemetry.Meter(provider, "traffic")
	sent := &Sent{counts: map[place]Count{}}
	sent.messages, _ = meter.Int64Counter("ambertiller.message.sent", metric.WithDescription("Messages to other processes, by kind of content and failure domain."))
	sent.bytes, _ = meter.Int64Counter("ambertiller.message.size", metric.WithUnit("By"), metric.WithDescription("Bytes of messages to other processes, by kind of content and failure domain."))
	return sent
}

// Note counts a part of a message to a process in the same failure domain, or in another. A
// part of no bytes is none.
func (sent *Sent) Note(ctx context.Context, kind Kind, near bool, size int) {
	if size <= 0 {
		return
	}
	at := place{kind: kind, near: near}
	count := sent.counts[at]
	count.kind, count.near = kind, near
	count.messages++
	count.bytes += int64(size)
	sent.counts[at] = count
	labels := metric.WithAttributes(attribute.String("kind", string(kind)), attribute.Bool("near", near))
	sent.messages.Add(ctx, 1, labels)
	sent.bytes.Add(ctx, int64(size), labels)
}

// Log logs what has been sent since it was last logged, if that is due.
func (sent *Sent) Log(ctx context.Context, events *event.Logger, now time.Time) {
	if now.Sub(sent.loggedAt) < logEvery {
		return
	}
	sent.loggedAt = now
	for _, count := range sent.Take() {
		events.Log(ctx, event.MessagesSent, count.Attributes()...)
	}
}

// Take returns what has been sent since it was last called, the most bytes first.
func (sent *Sent) Take() []Count {
	taken := make([]Count, 0, len(sent.counts))
	for _, count := range sent.counts {
		taken = append(taken, count)
	}
	slices.SortFunc(taken, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.kind, b.kind))
	})
	sent.counts = map[place]Count{}
	return taken
}
