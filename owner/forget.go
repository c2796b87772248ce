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
func (owner *Owner) pruneJobs(held *shard, now time.Time) {
	if !held.loaded || held.pruning || now.Sub(held.prunedAt) < pruneInterval {
		return
	}
	held.prunedAt = now
	var old []string
	var handed []platform.Record
	for id := range held.jobs {
		if !owner.isExpired(held, id, now) {
			continue
		}
		old = append(old, id)
		handed = append(handed, platform.Record{Key: job.SubmissionKey(id)})
		if held.cancelled[id] {
			handed = append(handed, platform.Record{Key: job.CancellationKey(id)})
		}
		if len(old) == maxPrunedJobs {
			break
		}
	}
	if len(old) > 0 {
		held.pruning = true
		go owner.deleteSubmissions(held, old, handed)
	}
}

// isExpired reports whether nobody asks for a job any more. The time counts from when this process found the
// end in the store, on its steady clock: the time of day, which the record has, may jump.
func (owner *Owner) isExpired(held *shard, id string, now time.Time) bool {
	durableAt, durable := held.endStoredAt[id]
	return durable && held.live[id] == nil && now.Sub(durableAt) >= owner.options.JobRetention+retentionMargin
}

// deleteSubmissions drops submissions and cancellations from the store.
func (owner *Owner) deleteSubmissions(held *shard, old []string, records []platform.Record) {
	add := platform.Append{Topic: job.TopicJobs, Partition: held.number, Records: records}
	for tries := 1; held.ctx.Err() == nil; tries++ {
		ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
		_, err := owner.options.Store.Append(ctx, add)
		cancel()
		if err == nil {
			owner.eventLoop.Post(func(time.Time) { owner.removePruned(held, old) })
			return
		}
		if tries == 1 {
			owner.log(event.AppendRetried, slog.String("call", "drop"), slog.Int("shard", held.number), slog.Any("error", err))
		}
		owner.sleep(held.ctx, storeRetryDelay)
	}
}

// removePruned forgets jobs whose submissions are dropped; their progress goes with the next append.
func (owner *Owner) removePruned(held *shard, old []string) {
	if owner.shards[held.number] != held {
		return
	}
	held.pruning = false
	for _, id := range old {
		delete(held.jobs, id)
		delete(held.endStoredAt, id)
		delete(held.cancelled, id)
		held.deleteProgress(id)
	}
}

// deleteProgress drops the record of what became of a job that is no longer in the store.
func (held *shard) deleteProgress(id string) {
	held.tombstones = append(held.tombstones, platform.Record{Key: id})
}
