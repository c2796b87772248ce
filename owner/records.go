package owner

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

func (owner *Owner) applySubmission(held *shard, record platform.Record, now time.Time) {
	if len(record.Value) == 0 {
		return
	}
	submission := &job.Submission{}
	if err := proto.Unmarshal(record.Value, submission); err != nil {
		owner.logUnreadable(held, record, err)
		return
	}
	if held.jobs[submission.GetId()] != nil {
		return
	}
	made := job.New(submission, held.number)
	held.jobs[made.ID()] = made
	held.live[made.ID()] = made
	if held.loaded {
		made.RebaseObjective(now)
		owner.placementChanges.addJob(made)
	}
	if held.cancelled[made.ID()] {
		owner.cancelJob(held, made, now)
	}
	if held.loaded {
		owner.log(event.JobTaken, slog.String("job", made.ID()), slog.String("queue", submission.GetQueue()),
			slog.Int("tasks", len(made.Tasks())), slog.Duration("age", now.Sub(time.UnixMilli(submission.GetSubmittedMs()))),
			slog.Time("objective", made.Objective()), slog.Duration("allowed", made.TargetDuration()), slog.Bool("lasting", made.IsLasting()),
			slog.Int64("core_ms", made.CoreMs()))
	}
}

func (owner *Owner) applyProgress(held *shard, record platform.Record, now time.Time) {
	if len(record.Value) == 0 {
		return
	}
	kept := &job.Progress{}
	if err := proto.Unmarshal(record.Value, kept); err != nil {
		owner.logUnreadable(held, record, err)
		return
	}
	made, found := held.jobs[kept.GetId()]
	if !found {
		return
	}
	made.Restore(kept, now)
	if made.HasEnded() {
		held.endStoredAt[made.ID()] = now
	}
	held.removeIfSettled(made)
}

// removeIfSettled keeps a job among the live ones while anything may still happen.
func (held *shard) removeIfSettled(made *job.Job) {
	if made.HasEnded() && len(made.RunningTasks()) == 0 {
		delete(held.live, made.ID())
	}
}

func (owner *Owner) applyCancellation(held *shard, record platform.Record, now time.Time) {
	if len(record.Value) == 0 {
		return
	}
	cancellation := &job.Cancellation{}
	if err := proto.Unmarshal(record.Value, cancellation); err != nil {
		owner.logUnreadable(held, record, err)
		return
	}
	held.cancelled[cancellation.GetId()] = true
	if made, found := held.jobs[cancellation.GetId()]; found {
		owner.cancelJob(held, made, now)
	}
}

func (owner *Owner) cancelJob(held *shard, made *job.Job, now time.Time) {
	if !made.Cancel(now) {
		return
	}
	owner.markDirty(held, made)
	owner.reportEndOnceStored(held, made)
	held.removeIfSettled(made)
}

func (owner *Owner) logUnreadable(held *shard, record platform.Record, err error) {
	owner.log(event.RecordUnreadable, slog.Int("shard", held.number),
		slog.String("key", record.Key), slog.Int64("offset", record.Offset), slog.Any("error", err))
}

// markDirty has the job's progress written.
func (owner *Owner) markDirty(held *shard, made *job.Job) {
	held.dirty[made.ID()] = made
}

// markRunOver has the job's progress written after a run is over, and places looked for what may start now.
func (owner *Owner) markRunOver(held *shard, made *job.Job, view *agentView) {
	owner.markDirty(held, made)
	owner.placementChanges.addJob(made)
	owner.placementChanges.addWorker(view)
}

func (owner *Owner) reportEndOnceStored(held *shard, made *job.Job) {
	held.afterFlush = append(held.afterFlush, func(now time.Time) {
		held.endStoredAt[made.ID()] = now
		owner.metrics.recordJobEnd(owner.ctx, made)
		owner.log(event.JobEnded, slog.String("job", made.ID()), slog.String("state", made.State().String()),
			slog.Duration("took", made.EndedAt().Sub(time.UnixMilli(made.Submission().GetSubmittedMs()))),
			slog.Duration("past_objective", made.EndedAt().Sub(made.Objective())))
	})
}
