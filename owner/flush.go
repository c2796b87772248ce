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
func (owner *Owner) flushShard(s *shard, now time.Time) {
	if !s.loaded || s.writing {
		return
	}
	after := s.afterFlush
	s.afterFlush = nil
	if len(s.dirty)+len(s.tombstones) == 0 {
		for _, callback := range after {
			callback(now)
		}
		return
	}
	records := owner.takeDirtyRecords(s)
	s.writing = true
	go func() {
		if !owner.appendUntilStored(s, records) {
			return
		}
		owner.eventLoop.Post(func(now time.Time) {
			if owner.shards[s.number] != s {
				return
			}
			s.writing = false
			for _, callback := range after {
				callback(now)
			}
		})
	}()
}

func (owner *Owner) takeDirtyRecords(s *shard) []platform.Record {
	records := s.tombstones
	s.tombstones = nil
	for id, j := range s.dirty {
		value, err := proto.Marshal(j.Progress())
		if err != nil {
			// A message that was just built always encodes.
			owner.log(event.RecordUnreadable, slog.String("job", id), slog.Any("error", err))
			continue
		}
		records = append(records, platform.Record{Key: id, Value: value})
	}
	s.dirty = map[string]*job.Job{}
	return records
}

// appendUntilStored appends records under the shard's epoch until the store has them. It
// reports false when the shard is no longer owned.
func (owner *Owner) appendUntilStored(s *shard, records []platform.Record) bool {
	s.sequence++
	request := platform.Append{
		Topic: job.TopicRuns, Part: s.number, Records: records,
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
		if errors.As(err, &refused) && !refused.Busy() {
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

// slowAppendThreshold is what an append takes at least to be logged: the store's usual
// answer comes within 10 ms.
const slowAppendThreshold = 200 * time.Millisecond

func (owner *Owner) recordAppend(s *shard, request platform.Append, took time.Duration) {
	owner.metrics.appendDuration.Record(owner.ctx, took.Seconds())
	if took >= slowAppendThreshold {
		owner.log(event.StoreSlow, slog.Int("shard", s.number), slog.Int64("sequence", request.Sequence), slog.Duration("took", took))
	}
}

// handleFenced gives up a shard that another owner has written to.
func (owner *Owner) handleFenced(s *shard, refused *platform.RefusedError, now time.Time) {
	if owner.shards[s.number] != s {
		return
	}
	owner.fencedEpochs[s.number] = s.epoch
	if !refused.Fenced() {
		// Somebody wrote under this very epoch: only another one helps.
		owner.leaveBeforeJoin.Store(true)
	}
	owner.releaseShard(s, refused.Error(), now)
}
