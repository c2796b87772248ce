package changelog

import (
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/logservice"
	"ambertiller.example/ambertiller/record"
	"ambertiller.example/ambertiller/state"
)

const (
	maxBatchRecords     = 512
	maxBatchBytes       = logservice.MaxEntryBytes / 2
	appendTimeout       = 2 * time.Second
	minAppendRetryDelay = 50 * time.Millisecond
	maxAppendRetryDelay = time.Second
)

// proposal is one call of Append.
type proposal struct {
	ctx      context.Context
	records  []*record.Record
	bytes    int
	outcomes map[string]state.Outcome
	done     chan struct{}
	err      error
	sent     bool
}

// addOutcome notes one outcome; the journal's lock is held.
func (proposed *proposal) addOutcome(outcome state.Outcome) {
	proposed.outcomes[outcome.RecordID()] = outcome
	if len(proposed.outcomes) == len(proposed.records) {
		close(proposed.done)
	}
}

// Append proposes records and returns their outcomes, in the same order, once
// they are folded. All records of one call are in the same append.
func (log *Journal) Append(ctx context.Context, records ...*record.Record) ([]state.Outcome, error) {
	proposed := &proposal{
		ctx:      ctx,
		records:  records,
		outcomes: make(map[string]state.Outcome, len(records)),
		done:     make(chan struct{}),
	}
	for _, rec := range records {
		proposed.bytes += proto.Size(rec)
	}
	if proposed.bytes > maxBatchBytes || len(records) > maxBatchRecords {
		return nil, &NotAppendedError{cause: errors.Errorf("%d records of %d bytes are too many for one append", len(records), proposed.bytes)}
	}
	if err := log.enqueue(proposed); err != nil {
		return nil, err
	}
	select {
	case <-proposed.done:
		return log.orderedOutcomes(proposed)
	case <-ctx.Done():
		return nil, log.abandon(proposed)
	}
}

func (log *Journal) enqueue(proposed *proposal) error {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.haltErr != nil {
		return &NotAppendedError{cause: log.haltErr}
	}
	select {
	case log.queue <- proposed:
	default:
		return &NotAppendedError{cause: errors.New("too many appends are waiting; try again later")}
	}
	for _, rec := range proposed.records {
		log.pendingProposals[rec.GetId()] = proposed
	}
	return nil
}

func (log *Journal) orderedOutcomes(proposed *proposal) ([]state.Outcome, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if proposed.err != nil {
		return nil, proposed.err
	}
	ordered := make([]state.Outcome, 0, len(proposed.records))
	for _, rec := range proposed.records {
		ordered = append(ordered, proposed.outcomes[rec.GetId()])
	}
	return ordered, nil
}

func (log *Journal) abandon(proposed *proposal) error {
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, rec := range proposed.records {
		delete(log.pendingProposals, rec.GetId())
	}
	cause := errors.WithStack(proposed.ctx.Err())
	if proposed.sent {
		return &UnsettledError{cause: cause}
	}
	return &NotAppendedError{cause: cause}
}

// sendProposals takes proposals off the queue, several to a batch, as fast as the bound
// on appends lets it.
func (log *Journal) sendProposals(ctx context.Context) {
	for {
		var first *proposal
		select {
		case <-ctx.Done():
			return
		case first = <-log.queue:
		}
		if err := log.limiter.Wait(ctx); err != nil {
			return
		}
		log.sendBatch(ctx, log.collectBatch(first))
	}
}

// collectBatch adds what has queued up meanwhile to the first proposal.
func (log *Journal) collectBatch(first *proposal) []*proposal {
	collected := []*proposal{first}
	count, bytes := len(first.records), first.bytes
	for count < maxBatchRecords && bytes < maxBatchBytes {
		select {
		case more := <-log.queue:
			collected = append(collected, more)
			count += len(more.records)
			bytes += more.bytes
		default:
			return collected
		}
	}
	return collected
}

// sendBatch appends one batch, again and again while its fate is open and
// somebody still waits for it.
func (log *Journal) sendBatch(ctx context.Context, proposals []*proposal) {
	proposals = log.markSent(proposals)
	if len(proposals) == 0 {
		return
	}
	batch := &record.Batch{Id: uuid.NewString(), Writer: log.options.Writer}
	for _, proposed := range proposals {
		batch.Records = append(batch.Records, proposed.records...)
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		log.failProposals(proposals, &NotAppendedError{cause: err})
		return
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minAppendRetryDelay
	retry.MaxInterval = maxAppendRetryDelay
	for ctx.Err() == nil {
		err := log.appendWithTimeout(ctx, data)
		if err == nil {
			return
		}
		var throttled *logservice.ThrottledError
		switch {
		case errors.As(err, &throttled):
			log.logEvent(ctx, event.AppendFailed, slog.String("error", err.Error()))
			log.sleep(ctx, throttled.RetryAfter)
		case errors.Is(err, logservice.ErrRefused):
			log.logEvent(ctx, event.AppendFailed, slog.String("error", err.Error()))
			log.failProposals(proposals, &NotAppendedError{cause: err})
			return
		default:
			log.logEvent(ctx, event.AppendUnsettled, slog.String("batch", batch.GetId()), slog.String("error", err.Error()))
			log.sleep(ctx, retry.NextBackOff())
		}
		if !log.needsRetry(proposals) {
			return
		}
	}
}

func (log *Journal) appendWithTimeout(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := log.service.Append(ctx, RecordStream, data)
	return err
}

// markSent leaves out the proposals whose callers have gone: what was never
// sent can be withdrawn.
func (log *Journal) markSent(proposals []*proposal) []*proposal {
	log.mu.Lock()
	defer log.mu.Unlock()
	kept := proposals[:0]
	for _, proposed := range proposals {
		if proposed.ctx.Err() != nil {
			continue
		}
		proposed.sent = true
		kept = append(kept, proposed)
	}
	return kept
}

// needsRetry reports whether the batch is unsettled and a caller waits for it.
func (log *Journal) needsRetry(proposals []*proposal) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, proposed := range proposals {
		if len(proposed.outcomes) > 0 {
			return false
		}
		if proposed.ctx.Err() == nil {
			return true
		}
	}
	return false
}

func (log *Journal) failProposals(proposals []*proposal, failure error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, proposed := range proposals {
		for _, rec := range proposed.records {
			delete(log.pendingProposals, rec.GetId())
		}
		proposed.err = failure
		close(proposed.done)
	}
}
