package owner

import (
	"context"
	"log/slog"
	"time"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

const (
	// pruneInterval is how often ended jobs are looked through.
	pruneInterval = 10 * time.Second
	// retentionMargin is added to the time for which a state must be known, for
	// clients that ask late and clocks that differ.
	retentionMargin = time.Minute
	// maxPrunedJobs bounds the jobs that are dropped at a time.
	maxPrunedJobs = 200
)

// pruneJobs drops jobs that ended long ago, here and in the store.
//
// What was handed in goes first, and what became of it only once the store has taken that: the other
// way round an owner that comes in between would read a job without progress and start it again.
func (owner *Owner) pruneJobs(s *shard, now time.Time) {
	if !s.loaded || s.pruning || now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	var expired []string
	var records []platform.Record
	for id := range s.jobs {
		if !owner.isExpired(s, id, now) {
			continue
		}
		expired = append(expired, id)
		records = append(records, platform.Record{Key: job.SubmissionKey(id)})
		if s.cancelled[id] {
			records = append(records, platform.Record{Key: job.CancellationKey(id)})
		}
		if len(expired) == maxPrunedJobs {
			break
		}
	}
	if len(expired) > 0 {
		s.pruning = true
		go owner.deleteSubmissions(s, expired, records)
	}
}

// isExpired reports whether nobody asks for a job any more. The time counts from when this process found the
// end in the store, on its steady clock: the time of day, which the record has, may jump.
func (owner *Owner) isExpired(s *shard, id string, now time.Time) bool {
	durableAt, durable := s.endStoredAt[id]
	return durable && s.live[id] == nil && now.Sub(durableAt) >= owner.options.JobRetention+retentionMargin
}

// deleteSubmissions drops submissions and cancellations from the store.
func (owner *Owner) deleteSubmissions(s *shard, ids []string, records []platform.Record) {
	request := platform.Append{Topic: job.TopicJobs, Part: s.number, Records: records}
	for attempt := 1; s.ctx.Err() == nil; attempt++ {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		_, err := owner.options.Store.Append(ctx, request)
		cancel()
		if err == nil {
			owner.eventLoop.Post(func(time.Time) { owner.removePruned(s, ids) })
			return
		}
		if attempt == 1 {
			owner.log(event.AppendRetried, slog.String("call", "drop"), slog.Int("shard", s.number), slog.Any("error", err))
		}
		owner.sleep(s.ctx, storeRetryDelay)
	}
}

// removePruned forgets jobs whose submissions are dropped; their progress goes with the next append.
func (owner *Owner) removePruned(s *shard, ids []string) {
	if owner.shards[s.number] != s {
		return
	}
	s.pruning = false
	for _, id := range ids {
		delete(s.jobs, id)
		delete(s.endStoredAt, id)
		delete(s.cancelled, id)
		s.deleteProgress(id)
	}
}

// deleteProgress drops the record of what became of a job that is no longer in the store.
func (s *shard) deleteProgress(id string) {
	s.tombstones = append(s.tombstones, platform.Record{Key: id})
}
