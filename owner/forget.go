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
	// forgetEvery is how often ended jobs are looked through.
	forgetEvery = 10 * time.Second
	// forgetLater is added to the time for which a state must be known, for
	// clients that ask late and clocks that differ.
	forgetLater = time.Minute
	// forgetMost bounds the jobs that are dropped at a time.
	forgetMost = 200
)

// forgetOld drops jobs that ended long ago, here and in the store.
//
// What was handed in goes first, and what became of it only once the store has taken that: the other
// way round an owner that comes in between would read a job without progress and start it again.
func (owner *Owner) forgetOld(held *shard, now time.Time) {
	if !held.active || held.forgetting || now.Sub(held.forgotAt) < forgetEvery {
		return
	}
	held.forgotAt = now
	var old []string
	var handed []platform.Record
	for id := range held.jobs {
		if !owner.isOld(held, id, now) {
			continue
		}
		old = append(old, id)
		handed = append(handed, platform.Record{Key: job.SubmissionKey(id)})
		if held.cancelled[id] {
			handed = append(handed, platform.Record{Key: job.CancellationKey(id)})
		}
		if len(old) == forgetMost {
			break
		}
	}
	if len(old) > 0 {
		held.forgetting = true
		go owner.dropHanded(held, old, handed)
	}
}

// isOld reports whether nobody asks for a job any more. The time counts from when this process found the
// end in the store, on its steady clock: the time of day, which the record has, may jump.
func (owner *Owner) isOld(held *shard, id string, now time.Time) bool {
	durableAt, durable := held.durable[id]
	return durable && held.live[id] == nil && now.Sub(durableAt) >= owner.options.StatusKept+forgetLater
}

// dropHanded drops submissions and cancellations from the store.
func (owner *Owner) dropHanded(held *shard, old []string, records []platform.Record) {
	add := platform.Append{Topic: job.TopicJobs, Part: held.number, Records: records}
	for tries := 1; held.ctx.Err() == nil; tries++ {
		ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
		_, err := owner.options.Store.Append(ctx, add)
		cancel()
		if err == nil {
			owner.decisions.Post(func(time.Time) { owner.noteDropped(held, old) })
			return
		}
		if tries == 1 {
			owner.log(event.AppendRetried, slog.String("call", "drop"), slog.Int("shard", held.number), slog.Any("error", err))
		}
		owner.sleep(held.ctx, storePause)
	}
}

// noteDropped forgets jobs whose submissions are dropped; their progress goes with the next append.
func (owner *Owner) noteDropped(held *shard, old []string) {
	if owner.shards[held.number] != held {
		return
	}
	held.forgetting = false
	for _, id := range old {
		delete(held.jobs, id)
		delete(held.durable, id)
		delete(held.cancelled, id)
		held.dropProgress(id)
	}
}

// dropProgress drops the record of what became of a job that is no longer in the store.
func (held *shard) dropProgress(id string) {
	held.dropped = append(held.dropped, platform.Record{Key: id})
}
