package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/feature"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

// flushShard writes the changed jobs of a shard to the store, and then runs the callbacks that wait for that.
// Only one write of a shard is in progress at a time.
//
// If there are callbacks but no changed jobs, it appends no records. The store refuses that too once the next owner
// has begun, so a callback only ever runs if this entry still owned the shard after the callback was queued.
func (owner *Owner) flushShard(s *shard, now time.Time) {
	if !s.loaded || s.writing || len(s.afterFlush)+len(s.dirty)+len(s.tombstones) == 0 {
		return
	}
	after := s.afterFlush
	s.afterFlush = nil
	records := owner.takeDirtyRecords(s)
	s.writing = true
	beganAt, suspendedBefore := now, owner.eventLoop.SuspendedFor()
	go func() {
		for _, batch := range splitRecords(records, maxAppendBytes) {
			if !owner.appendUntilStored(s, batch) {
				return
			}
		}
		owner.eventLoop.Post(func(now time.Time) {
			if owner.shards[s.number] != s {
				return
			}
			s.writing = false
			owner.handleAppended(s, beganAt.Add(suspendedBefore-owner.eventLoop.SuspendedFor()), now)
			s.stored = append(s.stored, after...)
			owner.runStored(s, now)
		})
	}()
}

// maxStoredCallbacks bounds how many callbacks of a shard run in one turn of the event loop.
const maxStoredCallbacks = 256

// runStored runs the oldest callbacks that wait no more for the store, as many as fit a turn.
func (owner *Owner) runStored(s *shard, now time.Time) {
	due := s.stored[:min(len(s.stored), maxStoredCallbacks)]
	s.stored = s.stored[len(due):]
	for _, callback := range due {
		callback(now)
	}
	if len(s.stored) > 0 {
		owner.eventLoop.Wake()
	}
}

// maxAppendBytes limits the records of one append. Within storeTimeout it must arrive over a slow link, and the store
// refuses larger appends for good.
const maxAppendBytes = 512 << 10

// splitRecords splits records into batches of up to maxBytes, with at least one record each.
func splitRecords(records []platform.Record, maxBytes int) [][]platform.Record {
	var batches [][]platform.Record
	begin, size := 0, 0
	for index, record := range records {
		if index > begin && size+record.Size() > maxBytes {
			batches = append(batches, records[begin:index])
			begin, size = index, 0
		}
		size += record.Size()
	}
	return append(batches, records[begin:])
}

// takeDirtyRecords returns the records to write, and resets what has changed.
func (owner *Owner) takeDirtyRecords(s *shard) []platform.Record {
	records := s.tombstones
	s.tombstones = nil
	divide := owner.options.Features.Has(feature.DividedProgress)
	for id, j := range s.dirty {
		for key, progress := range j.TakeProgress(divide) {
			value, err := proto.Marshal(progress)
			if err != nil {
				// Unreachable: a newly built message can always be encoded.
				owner.log(event.RecordUnreadable, slog.String("job", id), slog.Any("error", err))
				continue
			}
			records = append(records, platform.Record{Key: key, Value: value})
		}
	}
	s.dirty = map[string]*job.Job{}
	return records
}

// appendUntilStored appends records under the shard's epoch, and retries until the store has them. It reports
// false if the shard is no longer owned. Without records, it only finds out whether that is so: such an append takes
// no sequence number from the ones that follow.
func (owner *Owner) appendUntilStored(s *shard, records []platform.Record) bool {
	if len(records) > 0 {
		s.sequence++
	}
	request := platform.Append{
		Topic: job.TopicRuns, Partition: s.number, Records: records,
		Producer: producer, Epoch: s.epoch, Sequence: s.sequence,
	}
	startedAt := owner.options.Clock.Now()
	for attempt := 1; s.ctx.Err() == nil; attempt++ {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		_, err := owner.options.Store.Append(ctx, request)
		cancel()
		if err == nil {
			owner.recordAppend(s, request, owner.options.Clock.Since(startedAt))
			return true
		}
		var refused *platform.RefusedError
		if errors.As(err, &refused) && !refused.IsRetryable() {
			owner.eventLoop.Post(func(now time.Time) { owner.handleFenced(s, refused, now) })
			return false
		}
		if attempt == 1 {
			owner.log(event.AppendRetried, slog.String("call", "append"), slog.Int("shard", s.number),
				slog.Int64("sequence", request.Sequence), slog.Any("error", err))
		}
		owner.sleep(s.ctx, storeRetryDelay)
	}
	return false
}

// slowAppendThreshold is the duration from which an append is logged as slow. The store usually answers
// within 10 ms.
const slowAppendThreshold = 200 * time.Millisecond

// recordAppend records how long an append took.
func (owner *Owner) recordAppend(s *shard, request platform.Append, took time.Duration) {
	owner.metrics.appendDuration.Record(owner.ctx, took.Seconds())
	if took >= slowAppendThreshold {
		owner.log(event.StoreSlow, slog.Int("shard", s.number), slog.Int64("sequence", request.Sequence), slog.Duration("took", took))
	}
}

// handleFenced releases a shard after the store has refused a write for good, since another owner has written
// to it.
func (owner *Owner) handleFenced(s *shard, refused *platform.RefusedError, now time.Time) {
	if owner.shards[s.number] != s {
		return
	}
	owner.fencedEpochs[s.number] = s.epoch
	if !refused.IsFenced() {
		// The epoch is still valid, so the store refused the sequence number: another process has written
		// under the same epoch. Only a new epoch helps.
		owner.leaveBeforeJoin.Store(true)
	}
	owner.releaseShard(s, refused.Error(), now)
}
