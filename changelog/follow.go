package changelog

import (
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

const (
	readRetryFirst = 20 * time.Millisecond
	readRetryMax   = 2 * time.Second
)

// follow restores and then reads the log until ctx ends. After failures it
// backs off with jitter, so that a log that comes back is not met by every
// instance at once.
func (log *Journal) follow(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = readRetryFirst
	retry.MaxInterval = readRetryMax
	restored := false
	for ctx.Err() == nil {
		if err := log.followOnce(ctx, &restored); err != nil {
			if errors.Is(err, ErrHalted) {
				return
			}
			log.event(ctx, event.ReadFailed, slog.String("error", err.Error()))
			log.pause(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
}

func (log *Journal) followOnce(ctx context.Context, restored *bool) error {
	if !*restored {
		if err := log.restore(ctx); err != nil {
			return err
		}
		*restored = true
	}
	began := log.options.Clock.Now()
	page, err := log.service.Read(ctx, RecordStream, log.nextRead())
	var trimmed *logservice.TrimmedError
	if errors.As(err, &trimmed) {
		*restored = false
		return errors.Wrap(err, "records this instance has not read are gone; looking for a newer snapshot")
	}
	if err != nil {
		return err
	}
	if err := log.fold(ctx, page); err != nil {
		return err
	}
	log.noteFresh(began, page)
	log.snapshotIfDue(ctx)
	return nil
}

// nextRead says what to read. An instance that has not reached the end of the
// log does not wait there: with nothing new in the log, a new instance would
// otherwise be held up for as long as the platform holds a read.
func (log *Journal) nextRead() logservice.ReadOptions {
	log.mu.Lock()
	defer log.mu.Unlock()
	options := logservice.ReadOptions{From: log.folded.Next(), Max: readMax}
	if log.caughtUp {
		options.Wait = readWait
	}
	return options
}

func (log *Journal) next() int64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.folded.Next()
}

// fold applies a page and wakes those who wait for its records.
func (log *Journal) fold(ctx context.Context, page logservice.Page) error {
	for _, entry := range page.Entries {
		batch := &record.Batch{}
		if err := proto.Unmarshal(entry.Data, batch); err != nil {
			log.event(ctx, event.BatchUnreadable, slog.Int64("offset", entry.Offset), slog.String("error", err.Error()))
			log.skip(entry.Offset)
			continue
		}
		if err := log.apply(ctx, entry.Offset, batch); err != nil {
			return err
		}
	}
	return nil
}

func (log *Journal) skip(offset int64) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.folded.Skip(offset)
}

func (log *Journal) apply(ctx context.Context, offset int64, batch *record.Batch) error {
	log.mu.Lock()
	defer log.mu.Unlock()
	outcomes, err := log.folded.Apply(offset, batch)
	if err != nil {
		log.halted = errors.Wrap(ErrHalted, err.Error())
		log.event(ctx, event.FormatTooNew, slog.Int64("offset", offset), slog.String("error", err.Error()))
		return log.halted
	}
	for _, outcome := range outcomes {
		log.settle(outcome)
	}
	close(log.changed)
	log.changed = make(chan struct{})
	return nil
}

// settle hands an outcome to the proposal that waits for it. A duplicate
// settles nothing: its first copy did.
func (log *Journal) settle(outcome state.Outcome) {
	waiting, found := log.waiting[outcome.RecordID()]
	if !found || outcome.Reason() == state.ReasonDuplicate {
		return
	}
	delete(log.waiting, outcome.RecordID())
	waiting.settled(outcome)
}

func (log *Journal) noteFresh(began time.Time, page logservice.Page) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.head = page.Next
	if log.folded.Next() >= page.Next {
		log.freshAt = began
		log.caughtUp = true
	}
}

func (log *Journal) pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-log.options.Clock.After(wait):
	}
}
