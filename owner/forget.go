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
func (owner *Owner) forgetOld(held *shard, now time.Time) {
	if !held.active || now.Sub(held.forgotAt) < forgetEvery {
		return
	}
	held.forgotAt = now
	var handed []platform.Record
	for id, made := range held.jobs {
		if !held.durable[id] || held.live[id] != nil || now.Sub(made.EndedAt()) < owner.options.StatusKept+forgetLater || len(handed) >= forgetMost {
			continue
		}
		delete(held.jobs, id)
		delete(held.durable, id)
		held.dropped = append(held.dropped, platform.Record{Key: id})
		handed = append(handed, platform.Record{Key: job.SubmissionKey(id)})
		if held.cancelled[id] {
			delete(held.cancelled, id)
			handed = append(handed, platform.Record{Key: job.CancellationKey(id)})
		}
	}
	if len(handed) > 0 {
		go owner.dropHanded(held, handed)
	}
}

// dropHanded drops submissions and cancellations from the store. It is tried
// once: what stays is found and dropped by the next owner.
func (owner *Owner) dropHanded(held *shard, records []platform.Record) {
	ctx, cancel := context.WithTimeout(held.ctx, storeTimeout)
	defer cancel()
	add := platform.Append{Topic: job.TopicJobs, Part: held.number, Records: records}
	if _, err := owner.options.Store.Append(ctx, add); err != nil {
		owner.log(event.AppendRetried, slog.String("call", "drop"), slog.Int("shard", held.number), slog.Any("error", err))
	}
}
