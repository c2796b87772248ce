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
	maxBatchRecords = 512
	// maxBatchBytes is half the limit of a log entry, because collectBatch may
	// add one more proposal of this size to a batch that is almost as large.
	maxBatchBytes       = logservice.MaxEntryBytes / 2
	appendTimeout       = 2 * time.Second
	minAppendRetryDelay = 50 * time.Millisecond
	maxAppendRetryDelay = time.Second
)

// proposal holds the records of one call of Append until their outcomes are known.
// The journal's lock guards outcomes, err and sent. done is closed when the call
// can return.
type proposal struct {
	ctx      context.Context
	records  []*record.Record
	bytes    int
	outcomes map[string]state.Outcome
	done     chan struct{}
	err      error
	sent     bool
}

// addOutcome adds the outcome of one record and completes the proposal with the
// last one. The caller holds the journal's lock.
func (p *proposal) addOutcome(outcome state.Outcome) {
	p.outcomes[outcome.RecordID()] = outcome
	if len(p.outcomes) == len(p.records) {
		close(p.done)
	}
}

// Append proposes records and returns their outcomes, in the order of the
// records, once this instance has applied them. All records of one call are
// appended in the same batch.
func (j *Journal) Append(ctx context.Context, records ...*record.Record) ([]state.Outcome, error) {
	p := &proposal{
		ctx:      ctx,
		records:  records,
		outcomes: make(map[string]state.Outcome, len(records)),
		done:     make(chan struct{}),
	}
	for _, rec := range records {
		p.bytes += proto.Size(rec)
	}
	if p.bytes > maxBatchBytes || len(records) > maxBatchRecords {
		return nil, &NotAppendedError{cause: errors.Errorf("%d records of %d bytes are too many for one append", len(records), p.bytes)}
	}
	if err := j.enqueue(p); err != nil {
		return nil, err
	}
	select {
	case <-p.done:
		return j.orderedOutcomes(p)
	case <-ctx.Done():
		return nil, j.abandon(p)
	}
}

func (j *Journal) enqueue(p *proposal) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.haltErr != nil {
		return &NotAppendedError{cause: j.haltErr}
	}
	select {
	case j.queue <- p:
	default:
		return &NotAppendedError{cause: errors.New("too many appends are waiting; try again later")}
	}
	for _, rec := range p.records {
		j.pendingProposals[rec.GetId()] = p
	}
	return nil
}

func (j *Journal) orderedOutcomes(p *proposal) ([]state.Outcome, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p.err != nil {
		return nil, p.err
	}
	ordered := make([]state.Outcome, 0, len(p.records))
	for _, rec := range p.records {
		ordered = append(ordered, p.outcomes[rec.GetId()])
	}
	return ordered, nil
}

// abandon stops waiting for a proposal because its context has ended. The
// error says whether the records may still take effect.
func (j *Journal) abandon(p *proposal) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, rec := range p.records {
		delete(j.pendingProposals, rec.GetId())
	}
	cause := errors.WithStack(p.ctx.Err())
	if p.sent {
		return &UnsettledError{cause: cause}
	}
	return &NotAppendedError{cause: cause}
}

// sendProposals sends the queued proposals, several in a batch, at most as fast as
// the append rate allows.
func (j *Journal) sendProposals(ctx context.Context) {
	for {
		var first *proposal
		select {
		case <-ctx.Done():
			return
		case first = <-j.queue:
		}
		if err := j.limiter.Wait(ctx); err != nil {
			return
		}
		j.sendBatch(ctx, j.collectBatch(first))
	}
}

// collectBatch takes the proposals that have been queued by now and adds them to
// the first one, until the batch is full.
func (j *Journal) collectBatch(first *proposal) []*proposal {
	collected := []*proposal{first}
	count, bytes := len(first.records), first.bytes
	for count < maxBatchRecords && bytes < maxBatchBytes {
		select {
		case p := <-j.queue:
			collected = append(collected, p)
			count += len(p.records)
			bytes += p.bytes
		default:
			return collected
		}
	}
	return collected
}

// sendBatch appends one batch. It retries until the append succeeds, the platform
// refuses it, an outcome was read from the log, or no caller waits any more.
func (j *Journal) sendBatch(ctx context.Context, proposals []*proposal) {
	proposals = j.markSent(proposals)
	if len(proposals) == 0 {
		return
	}
	batch := &record.Batch{Id: uuid.NewString(), Writer: j.options.Writer}
	for _, p := range proposals {
		batch.Records = append(batch.Records, p.records...)
	}
	data, err := proto.Marshal(batch)
	if err != nil {
		j.failProposals(proposals, &NotAppendedError{cause: err})
		return
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minAppendRetryDelay
	retry.MaxInterval = maxAppendRetryDelay
	for ctx.Err() == nil {
		err := j.appendWithTimeout(ctx, data)
		if err == nil {
			return
		}
		var throttled *logservice.ThrottledError
		switch {
		case errors.As(err, &throttled):
			j.logEvent(ctx, event.AppendFailed, slog.String("error", err.Error()))
			j.sleep(ctx, throttled.RetryAfter)
		case errors.Is(err, logservice.ErrRefused):
			j.logEvent(ctx, event.AppendFailed, slog.String("error", err.Error()))
			j.failProposals(proposals, &NotAppendedError{cause: err})
			return
		default:
			j.logEvent(ctx, event.AppendUnsettled, slog.String("batch", batch.GetId()), slog.String("error", err.Error()))
			j.sleep(ctx, retry.NextBackOff())
		}
		if !j.needsRetry(proposals) {
			return
		}
	}
}

func (j *Journal) appendWithTimeout(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := j.service.Append(ctx, RecordStream, data)
	return err
}

// markSent marks the proposals as sent and returns them. It drops those whose
// context has ended: they were never sent, so they cannot take effect.
func (j *Journal) markSent(proposals []*proposal) []*proposal {
	j.mu.Lock()
	defer j.mu.Unlock()
	live := proposals[:0]
	for _, p := range proposals {
		if p.ctx.Err() != nil {
			continue
		}
		p.sent = true
		live = append(live, p)
	}
	return live
}

// needsRetry reports whether no outcome of the batch is known yet and a caller
// still waits for it.
func (j *Journal) needsRetry(proposals []*proposal) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, p := range proposals {
		if len(p.outcomes) > 0 {
			return false
		}
		if p.ctx.Err() == nil {
			return true
		}
	}
	return false
}

// failProposals completes the proposals with an error.
func (j *Journal) failProposals(proposals []*proposal, failure error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, p := range proposals {
		for _, rec := range p.records {
			delete(j.pendingProposals, rec.GetId())
		}
		p.err = failure
		close(p.done)
	}
}
