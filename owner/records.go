package owner

import (
	"log/slog"
	"time"

	"google.golang.org/protobuf/proto"

	"ambertiller.example/ambertiller/event"
	"ambertiller.example/ambertiller/job"
	"ambertiller.example/ambertiller/platform"
)

// applySubmission adds a submitted job to a shard. Empty records, which mark deletions, and jobs that are
// known already are ignored.
func (owner *Owner) applySubmission(s *shard, record platform.Record, now time.Time) {
	if len(record.Value) == 0 {
		return
	}
	submission := &job.Submission{}
	if err := proto.Unmarshal(record.Value, submission); err != nil {
		owner.logUnreadable(s, record, err)
		return
	}
	if s.jobs[submission.GetId()] != nil {
		return
	}
	j := job.New(submission, s.number)
	if s.loaded {
		owner.forecastJob(j, now)
	}
	s.jobs[j.ID()] = j
	s.live[j.ID()] = j
	if s.loaded {
		j.RebaseObjective(now)
		owner.placementChanges.addJob(j)
		owner.recordStoredJob(j, now)
	}
	if s.cancelled[j.ID()] {
		owner.cancelJob(s, j, now)
	}
	if s.loaded {
		owner.log(event.JobTaken, slog.String("job", j.ID()), slog.String("queue", submission.GetQueue()),
			slog.Int("tasks", len(j.Tasks())), slog.Duration("age", now.Sub(time.UnixMilli(submission.GetSubmittedMs()))),
			slog.Time("objective", j.Objective()), slog.Duration("allowed", j.TargetDuration()), slog.Bool("lasting", j.IsLongRunning()),
			slog.Int64("core_ms", j.CoreMs()))
	}
}

// applyProgress restores the progress of a job that an earlier owner has stored.
func (owner *Owner) applyProgress(s *shard, record platform.Record, now time.Time) {
	if len(record.Value) == 0 {
		return
	}
	progress := &job.Progress{}
	if err := proto.Unmarshal(record.Value, progress); err != nil {
		owner.logUnreadable(s, record, err)
		return
	}
	j, found := s.jobs[progress.GetId()]
	if !found {
		return
	}
	j.Restore(progress, now)
	if j.HasEnded() {
		s.endStoredAt[j.ID()] = now
	}
	s.removeIfSettled(j)
}

// removeIfSettled removes a job from the live ones if it has ended and none of its runs is left.
func (s *shard) removeIfSettled(j *job.Job) {
	if j.HasEnded() && !j.HasRunningTasks() {
		delete(s.live, j.ID())
	}
}

// applyCancellation cancels a job, or has it cancelled once its submission is read.
func (owner *Owner) applyCancellation(s *shard, record platform.Record, now time.Time) {
	if len(record.Value) == 0 {
		return
	}
	cancellation := &job.Cancellation{}
	if err := proto.Unmarshal(record.Value, cancellation); err != nil {
		owner.logUnreadable(s, record, err)
		return
	}
	s.cancelled[cancellation.GetId()] = true
	if j, found := s.jobs[cancellation.GetId()]; found {
		owner.cancelJob(s, j, now)
	}
}

// cancelJob cancels a job that has not ended yet.
func (owner *Owner) cancelJob(s *shard, j *job.Job, now time.Time) {
	if !j.Cancel(now) {
		return
	}
	owner.markDirty(s, j)
	owner.reportEndOnceStored(s, j)
	s.removeIfSettled(j)
}

// logUnreadable logs a record of the store that can't be decoded.
func (owner *Owner) logUnreadable(s *shard, record platform.Record, err error) {
	owner.log(event.RecordUnreadable, slog.Int("shard", s.number),
		slog.String("key", record.Key), slog.Int64("offset", record.Offset), slog.Any("error", err))
}

// markDirty has the job's progress written to the store with the next flush.
func (owner *Owner) markDirty(s *shard, j *job.Job) {
	s.dirty[j.ID()] = j
}

// markRunOver has the job's progress written after one of its runs is over. It also has tasks placed: those
// of the job that may start now, and others on the worker where the run was.
func (owner *Owner) markRunOver(s *shard, j *job.Job, view *agentView) {
	owner.markDirty(s, j)
	owner.placementChanges.addJob(j)
	owner.placementChanges.addWorker(view)
}

// reportEndOnceStored logs and counts the end of a job once it is in the store.
func (owner *Owner) reportEndOnceStored(s *shard, j *job.Job) {
	owner.backlogs.outcomes.RecordEnd(j.ID(), j.EndedAt())
	s.afterFlush = append(s.afterFlush, func(now time.Time) {
		s.endStoredAt[j.ID()] = now
		owner.metrics.recordJobEnd(owner.ctx, j)
		owner.recordOutcome(s, j, now)
		owner.log(event.JobEnded, slog.String("job", j.ID()), slog.String("state", j.State().String()),
			slog.Duration("took", j.EndedAt().Sub(time.UnixMilli(j.Submission().GetSubmittedMs()))),
			slog.Duration("past_objective", j.EndedAt().Sub(j.Objective())))
	})
}
