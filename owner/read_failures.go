package owner

import (
	"context"
	"log/slog"

	"ambertiller.example/ambertiller/event"
)

// readFailures logs when reads of a partition of the store begin to fail, and when they succeed again. It must be used by
// one goroutine only.
type readFailures struct {
	owner     *Owner
	topic     string
	partition int
	count     int // in a row
}

// record records the outcome of a read. A read that fails because ctx has ended doesn't count.
func (failures *readFailures) record(ctx context.Context, err error) {
	switch {
	case err == nil && failures.count > 0:
		failures.owner.log(event.RecordsReadAgain, slog.String("topic", failures.topic), slog.Int("partition", failures.partition), slog.Int("reads", failures.count))
		failures.count = 0
	case err != nil && ctx.Err() == nil:
		failures.count++
		if failures.count == 1 {
			failures.owner.log(event.RecordsUnread, slog.String("topic", failures.topic), slog.Int("partition", failures.partition), slog.Any("error", err))
		}
	}
}
