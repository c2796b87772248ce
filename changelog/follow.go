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

// follow restores a snapshot and then reads the log until ctx ends or the journal
// halts. After a failure it backs off with jitter, so that the instances do not
// all send requests at once when the log recovers from an outage.
func (j *Journal) follow(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minReadRetryDelay
	retry.MaxInterval = maxReadRetryDelay
	restored := false
	for ctx.Err() == nil {
		if err := j.followOnce(ctx, &restored); err != nil {
			if errors.Is(err, ErrHalted) {
				return
			}
			j.logEvent(ctx, event.ReadFailed, slog.String("error", err.Error()))
			j.sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
	}
}

// followOnce reads one page: of the snapshots if none has been restored yet, otherwise of the log. If records were
// trimmed before this instance has read them, it clears restored, so that the next call begins to restore a newer
// snapshot.
func (j *Journal) followOnce(ctx context.Context, restored *bool) error {
	if !*restored {
		isDone, err := j.continueRestoring(ctx)
		*restored = isDone
		return err
	}
	startedAt := j.options.Clock.Now()
	page, err := j.service.Read(ctx, RecordStream, j.readOptions())
	j.recordLimit.adjust(err)
	var trimmed *logservice.TrimmedError
	if errors.As(err, &trimmed) {
		*restored = false
		return errors.Wrap(err, "the log was trimmed beyond this instance's offset; restoring a newer snapshot")
	}
	if err != nil {
		return err
	}
	if err := j.applyPage(ctx, page); err != nil {
		return err
	}
	j.updateProgress(startedAt, page)
	j.writeSnapshotIfDue(ctx)
	return nil
}

// readOptions returns the options of the next read. The read waits for new entries
// only if the instance has reached the end of the log before. A new instance
// whose log holds nothing new would otherwise become ready only after the whole
// wait.
func (j *Journal) readOptions() logservice.ReadOptions {
	j.mu.Lock()
	defer j.mu.Unlock()
	options := logservice.ReadOptions{From: j.state.NextOffset(), Max: j.recordLimit.entries}
	if j.caughtUp {
		options.Wait = readWait
	}
	return options
}

func (j *Journal) nextOffset() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.state.NextOffset()
}

// applyPage applies the entries of a page and completes the proposals that wait for
// their records. An entry that does not decode is skipped, as by every reader.
func (j *Journal) applyPage(ctx context.Context, page logservice.Page) error {
	for _, entry := range page.Entries {
		batch := &record.Batch{}
		if err := proto.Unmarshal(entry.Data, batch); err != nil {
			j.logEvent(ctx, event.BatchUnreadable, slog.Int64("offset", entry.Offset), slog.String("error", err.Error()))
			j.skipEntry(entry.Offset)
			continue
		}
		if err := j.applyBatch(ctx, entry.Offset, batch); err != nil {
			return err
		}
	}
	return nil
}

func (j *Journal) skipEntry(offset int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.state.Skip(offset)
}

func (j *Journal) applyBatch(ctx context.Context, offset int64, batch *record.Batch) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	outcomes, err := j.state.Apply(offset, batch)
	if err != nil {
		j.haltErr = errors.Wrap(ErrHalted, err.Error())
		j.logEvent(ctx, event.FormatTooNew, slog.Int64("offset", offset), slog.String("error", err.Error()))
		return j.haltErr
	}
	for _, outcome := range outcomes {
		j.deliverOutcome(outcome)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	return nil
}

// deliverOutcome adds an outcome to the proposal that waits for it. The outcome of
// a duplicate is ignored, because the first copy determines the result. The
// caller holds the lock.
func (j *Journal) deliverOutcome(outcome state.Outcome) {
	p, found := j.pendingProposals[outcome.RecordID()]
	if !found || outcome.Reason() == state.ReasonDuplicate {
		return
	}
	delete(j.pendingProposals, outcome.RecordID())
	p.addOutcome(outcome)
}

// updateProgress records the end of the log as of a read, and whether the state has
// reached it.
func (j *Journal) updateProgress(startedAt time.Time, page logservice.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.endOffset = page.Next
	if j.state.NextOffset() >= page.Next {
		j.syncedAt = startedAt
		j.caughtUp = true
	}
}

// sleep waits for the duration or until ctx ends.
func (j *Journal) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-j.options.Clock.After(wait):
	}
}
