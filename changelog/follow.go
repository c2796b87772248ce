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
	minReadRetryDelay = 20 * time.Millisecond
	maxReadRetryDelay = 2 * time.Second
)

// follow restores and then reads the log until ctx ends. After failures it
// backs off with jitter, so that a log that comes back is not met by every
// instance at once.
func (log *Journal) follow(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minReadRetryDelay
	retry.MaxInterval = maxReadRetryDelay
	restored := false
	for ctx.Err() == nil {
		if err := log.followOnce(ctx, &restored); err != nil {
			if errors.Is(err, ErrHalted) {
				return
			}
			log.logEvent(ctx, event.ReadFailed, slog.String("error", err.Error()))
			log.sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
}

func (log *Journal) followOnce(ctx context.Context, restored *bool) error {
	if !*restored {
		if err := log.restoreSnapshot(ctx); err != nil {
			return err
		}
		*restored = true
	}
	began := log.options.Clock.Now()
	page, err := log.service.Read(ctx, RecordStream, log.readOptions())
	var trimmed *logservice.TrimmedError
	if errors.As(err, &trimmed) {
		*restored = false
		return errors.Wrap(err, "records this instance has not read are gone; looking for a newer snapshot")
	}
	if err != nil {
		return err
	}
	if err := log.applyPage(ctx, page); err != nil {
		return err
	}
	log.updateProgress(began, page)
	log.writeSnapshotIfDue(ctx)
	return nil
}

// readOptions says what to read. An instance that has not reached the end of the
// log does not wait there: with nothing new in the log, a new instance would
// otherwise be held up for as long as the platform holds a read.
func (log *Journal) readOptions() logservice.ReadOptions {
	log.mu.Lock()
	defer log.mu.Unlock()
	options := logservice.ReadOptions{From: log.state.NextOffset(), Max: maxReadEntries}
	if log.caughtUp {
		options.Wait = readWait
	}
	return options
}

func (log *Journal) nextOffset() int64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.state.NextOffset()
}

// applyPage applies a page and wakes those who wait for its records.
func (log *Journal) applyPage(ctx context.Context, page logservice.Page) error {
	for _, entry := range page.Entries {
		batch := &record.Batch{}
		if err := proto.Unmarshal(entry.Data, batch); err != nil {
			log.logEvent(ctx, event.BatchUnreadable, slog.Int64("offset", entry.Offset), slog.String("error", err.Error()))
			log.skipEntry(entry.Offset)
			continue
		}
		if err := log.applyBatch(ctx, entry.Offset, batch); err != nil {
			return err
		}
	}
	return nil
}

func (log *Journal) skipEntry(offset int64) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.state.Skip(offset)
}

func (log *Journal) applyBatch(ctx context.Context, offset int64, batch *record.Batch) error {
	log.mu.Lock()
	defer log.mu.Unlock()
	outcomes, err := log.state.Apply(offset, batch)
	if err != nil {
		log.haltErr = errors.Wrap(ErrHalted, err.Error())
		log.logEvent(ctx, event.FormatTooNew, slog.Int64("offset", offset), slog.String("error", err.Error()))
		return log.haltErr
	}
	for _, outcome := range outcomes {
		log.deliverOutcome(outcome)
	}
	close(log.changed)
	log.changed = make(chan struct{})
	return nil
}

// deliverOutcome hands an outcome to the proposal that waits for it. A duplicate
// settles nothing: its first copy did.
func (log *Journal) deliverOutcome(outcome state.Outcome) {
	waiting, found := log.pendingProposals[outcome.RecordID()]
	if !found || outcome.Reason() == state.ReasonDuplicate {
		return
	}
	delete(log.pendingProposals, outcome.RecordID())
	waiting.addOutcome(outcome)
}

func (log *Journal) updateProgress(began time.Time, page logservice.Page) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.endOffset = page.Next
	if log.state.NextOffset() >= page.Next {
		log.syncedAt = began
		log.caughtUp = true
	}
}

func (log *Journal) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-log.options.Clock.After(wait):
	}
}
