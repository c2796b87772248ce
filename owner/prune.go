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
	// pruneInterval is how often a shard is searched for expired jobs.
	pruneInterval = 10 * time.Second
	// retentionMargin is added to Options.JobRetention, for clients that ask late and for clocks that
	// differ.
	retentionMargin = time.Minute
	// maxPrunedJobs bounds how many jobs of a shard are deleted at a time.
	maxPrunedJobs = 200
)

// pruneJobs deletes expired jobs, in memory and in the store.
//
// The submissions are deleted first, and the progress of the jobs only once the store has done that. In the
// reverse order, an owner that loads the shard in between would read a job without progress and start it
// again.
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

// isExpired reports whether a job ended so long ago that it may be deleted. The time is measured on the
// monotonic clock, from when this process knew that the end was in the store: the time of day in the job's
// record is not used since it may jump.
func (owner *Owner) isExpired(s *shard, id string, now time.Time) bool {
	durableAt, durable := s.endStoredAt[id]
	return durable && s.live[id] == nil && now.Sub(durableAt) >= owner.options.JobRetention+retentionMargin
}

// deleteSubmissions deletes submissions and cancellations from the store, and retries until it succeeds or
// the shard is released.
func (owner *Owner) deleteSubmissions(s *shard, ids []string, records []platform.Record) {
	request := platform.Append{Topic: job.TopicJobs, Partition: s.number, Records: records}
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

// removePruned removes jobs whose submissions have been deleted. Their progress is deleted with the next
// append.
func (owner *Owner) removePruned(s *shard, ids []string) {
	if owner.shards[s.number] != s {
		return
	}
	s.pruning = false
	for _, id := range ids {
		s.deleteProgress(s.jobs[id].ProgressKeys()...)
		delete(s.jobs, id)
		delete(s.endStoredAt, id)
		delete(s.cancelled, id)
	}
}

// deleteProgress has the next append delete records of the progress of jobs whose submission is no longer in the store.
func (s *shard) deleteProgress(keys ...string) {
	for _, key := range keys {
		s.tombstones = append(s.tombstones, platform.Record{Key: key})
	}
}
