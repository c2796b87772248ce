package telemetry

import (
	"context"
	"log/slog"
	"time"

	"go.opentelemetry.io/otel/metric"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/loop"
)

const (
	// slowTurn is the duration from which a turn of an event loop is logged.
	slowTurn = 100 * time.Millisecond
	// slowTurnLogInterval is the shortest time between two such lines.
	slowTurnLogInterval = time.Second
)

// turnBuckets are in seconds.
var turnBuckets = []float64{0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10}

// Turns records how long the turns of an event loop take. Its methods are called on that loop.
type Turns struct {
	duration metric.Float64Histogram
	events   *event.Logger
	slow     int64 // slow turns since the last line
	loggedAt time.Time
}

// NewTurns returns a recorder for the event loop of the named package.
func NewTurns(provider metric.MeterProvider, name string, events *event.Logger) *Turns {
	turns := &Turns{events: events}
	turns.duration, _ = Meter(provider, name).Float64Histogram("ambertiller.loop.turn.duration", metric.WithUnit("s"),
		metric.WithDescription("Time that one turn of the event loop took."), metric.WithExplicitBucketBoundaries(turnBuckets...))
	return turns
}

// Record records a turn, and logs it if it was slow.
func (turns *Turns) Record(ctx context.Context, turn loop.Turn, now time.Time) {
	turns.duration.Record(ctx, turn.Took().Seconds())
	if turn.Took() < slowTurn {
		return
	}
	turns.slow++
	if now.Sub(turns.loggedAt) < slowTurnLogInterval {
		return
	}
	turns.events.Log(ctx, event.TurnSlow, slog.Duration("functions_took", turn.FunctionsTook), slog.Duration("tick_took", turn.TickTook),
		slog.Int("functions", turn.Functions), slog.Int("queued", turn.Queued), slog.Int64("slow", turns.slow))
	turns.slow, turns.loggedAt = 0, now
}
