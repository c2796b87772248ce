package owner

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

// flushShard writes what has changed. What waits for it is done once it is in the
// store.
func (owner *Owner) flushShard(held *shard, now time.Time) {
	if !held.loaded || held.writing {
		return
	}
	after := held.afterFlush
	held.afterFlush = nil
	if len(held.dirty)+len(held.tombstones) == 0 {
		for _, done := range after {
			done(now)
		}
		return
	}
	records := owner.takeDirtyRecords(held)
	held.writing = true
	go func() {
		if !owner.appendUntilStored(held, records) {
			return
		}
		owner.eventLoop.Post(func(now time.Time) {
			if owner.shards[held.number] != held {
				return
			}
			held.writing = false
			for _, done := range after {
				done(now)
			}
		})
	}()
}

func (owner *Owner) takeDirtyRecords(held *shard) []platform.Record {
	records := held.tombstones
	held.tombstones = nil
	for id, made := range held.dirty {
		value, err := proto.Marshal(made.Progress())
		if err != nil {
			// A message that was just built always encodes.
			owner.log(event.RecordUnreadable, slog.String("job", id), slog.Any("error", err))
			continue
		}
		records = append(records, platform.Record{Key: id, Value: value})
	}
	held.dirty = map[string]*job.Job{}
	return records
}

// appendUntilStored appends records under the shard's epoch until the store has them. It
// reports false when the shard is no longer owned.
func (owner *Owner) appendUntilStored(held *shard, records []platform.Record) bool {
	held.sequence++
	add := platform.Append{
		Topic: job.TopicRuns, Partition: held.number, Records: records,
		Producer: producer, Epoch: held.epoch, Sequence: held.sequence,
	}
	began := owner.options.Clock.Now()
	for tries := 1; held.ctx.Err() == nil; tries++ {
		ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
		_, err := owner.options.Store.Append(ctx, add)
		cancel()
		if err == nil {
			owner.recordAppend(held, add, owner.options.Clock.Since(began))
			return true
		}
		var refused *platform.RefusedError
		if errors.As(err, &refused) && !refused.IsRetryable() {
			owner.eventLoop.Post(func(now time.Time) { owner.handleFenced(held, refused, now) })
			return false
		}
		if tries == 1 {
			owner.log(event.AppendRetried, slog.String("call", "append"), slog.Int("shard", held.number),
				slog.Int64("sequence", add.Sequence), slog.Any("error", err))
		}
		owner.sleep(held.ctx, storeRetryDelay)
	}
	return false
}

// slowAppendThreshold is what an append takes at least to be logged: the store's usual
// answer comes within 10 ms.
const slowAppendThreshold = 200 * time.Millisecond

func (owner *Owner) recordAppend(held *shard, add platform.Append, took time.Duration) {
	owner.metrics.appendDuration.Record(owner.ctx, took.Seconds())
	if took >= slowAppendThreshold {
		owner.log(event.StoreSlow, slog.Int("shard", held.number), slog.Int64("sequence", add.Sequence), slog.Duration("took", took))
	}
}

// handleFenced gives up a shard that another owner has written to.
func (owner *Owner) handleFenced(held *shard, refused *platform.RefusedError, now time.Time) {
	if owner.shards[held.number] != held {
		return
	}
	owner.fencedEpochs[held.number] = held.epoch
	if !refused.IsFenced() {
		// Somebody wrote under this very epoch: only another one helps.
		owner.leaveBeforeJoin.Store(true)
	}
	owner.releaseShard(held, refused.Error(), now)
}
