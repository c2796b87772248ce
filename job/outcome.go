package job

import (
	"slices"
	"time"
)

// EndReason is the reason why a run ended.
type EndReason int

// The reasons why a run ends. Only EndFailed counts against the number of attempts that the submission
// allows.
const (
	EndDone EndReason = iota + 1
	EndFailed
	EndInterrupted // stopped, lease expired, or lost with its worker
	EndCrashed     // lost with a worker that crashed just after the start
	// EndCrashedBesideSuspect is like EndCrashed, but a suspect had just started on the worker as well and is
	// the more likely cause.
	EndCrashedBesideSuspect
)

const (
	// failureBackoff keeps a task that fails immediately from being restarted in a tight loop. It is short
	// compared to the objectives of jobs, which are seconds.
	failureBackoff = 50 * time.Millisecond
	// longRunningBackoff is the same for long-running tasks, whose number of attempts is not limited.
	longRunningBackoff = 200 * time.Millisecond
)

// IsCrash reports whether the worker crashed under the run.
func (reason EndReason) IsCrash() bool {
	return reason == EndCrashed || reason == EndCrashedBesideSuspect
}

// StartRun records that a task is started at a place, under the next attempt number. The members of a gang
// are started one after another, under the attempt number of the first.
func (job *Job) StartRun(task *Task, place Place, now time.Time) {
	job.setAttempt(task, job.nextAttempt(task))
	task.place = place
	job.setState(task, TaskState_TASK_STARTED)
	task.startedAt = now
	task.unplacedSince, task.obstacle = time.Time{}, ""
}

// MarkRunning records that a run of the job has certainly started. It reports whether it is the first one.
func (job *Job) MarkRunning(now time.Time) bool {
	if job.state != State_STATE_QUEUED {
		return false
	}
	job.state = State_STATE_RUNNING
	job.runningAt = now
	return true
}

func (job *Job) nextAttempt(task *Task) int32 {
	if !task.Spec().GetGang() {
		return task.attempt + 1
	}
	step := job.stepOf(task)
	if step.started > 0 {
		return step.highestAttempt
	}
	return step.highestAttempt + 1
}

// Requeue makes a started task wait again, because its current run never started or is certainly over without
// a reported end.
func (job *Job) Requeue(task *Task, now time.Time) {
	if task.state != TaskState_TASK_STARTED {
		return
	}
	job.setState(task, TaskState_TASK_WAITING)
	task.retryAt = now
}

// SetCheckpoint records the newest checkpoint of the current run. It reports whether anything changed.
func (job *Job) SetCheckpoint(task *Task, attempt int32, checkpoint string) bool {
	if task.attempt != attempt || checkpoint == "" || task.checkpoint == checkpoint {
		return false
	}
	job.setCheckpoint(task, checkpoint)
	return true
}

// ResumeCheckpoint returns the checkpoint from which the next run of the task resumes. All members of a gang
// resume from the newest checkpoint of any member. Checkpoints start with the amount of work done, so the
// greatest string is the newest checkpoint.
func (job *Job) ResumeCheckpoint(task *Task) string {
	if !task.Spec().GetGang() {
		return task.checkpoint
	}
	return job.stepOf(task).newestCheckpoint
}

// EndRun records that a run ended. It reports whether anything changed.
//
// The end may be that of an earlier run than the current one. It is taken into account as far as it is
// conclusive: a failure counts against the allowed attempts, a crash of the worker counts against the task,
// and a task that waits is done if an earlier run turns out to have completed it.
func (job *Job) EndRun(task *Task, attempt int32, reason EndReason, checkpoint string, now time.Time) bool {
	return job.endRun(task, attempt, reason, checkpoint, true, now)
}

// EndUnansweredRun is like [Job.EndRun] for a run that was interrupted or lost in a crash and may not have begun, since
// nothing is known of it but that its start was sent. A job that waits goes on waiting then.
func (job *Job) EndUnansweredRun(task *Task, attempt int32, reason EndReason, now time.Time) bool {
	return job.endRun(task, attempt, reason, "", false, now)
}

// endRun implements EndRun and EndUnansweredRun. begun is set if the run has certainly begun.
func (job *Job) endRun(task *Task, attempt int32, reason EndReason, checkpoint string, begun bool, now time.Time) bool {
	isCurrent := attempt == task.attempt
	if task.state == TaskState_TASK_DONE || task.state == TaskState_TASK_FAILED {
		return false
	}
	if isCurrent && task.state != TaskState_TASK_STARTED && reason != EndDone && !reason.IsCrash() {
		return false
	}
	if checkpoint != "" && isCurrent {
		job.setCheckpoint(task, checkpoint)
	}
	if begun {
		job.MarkRunning(now)
	}
	switch reason {
	case EndDone:
		return job.recordSuccess(task, isCurrent, now)
	case EndFailed:
		if task.Spec().GetLasting() {
			return job.recordLastingFailure(task, isCurrent, now)
		}
		if slices.Contains(task.failedAttempts, attempt) {
			// Agents report an end repeatedly until they know that it is stored.
			return false
		}
		job.setFailedAttempts(task, append(task.failedAttempts, attempt))
		job.recordFailure(task, isCurrent, now)
		return true
	case EndInterrupted:
		if !isCurrent {
			return false
		}
		job.recordInterruption(task, now)
		return true
	case EndCrashed, EndCrashedBesideSuspect:
		return job.recordCrash(task, attempt, reason, now)
	}
	return false
}

func (job *Job) recordSuccess(task *Task, isCurrent bool, now time.Time) bool {
	if !isCurrent && task.state == TaskState_TASK_STARTED {
		// The current run goes on, and its own end decides.
		return false
	}
	if task.Spec().GetLasting() {
		job.Requeue(task, now)
		task.retryAt = now.Add(longRunningBackoff)
		return true
	}
	members := []*Task{task}
	if task.Spec().GetGang() {
		members = job.StepTasks(task)
	}
	for _, member := range members {
		job.markDone(member)
	}
	if job.allDone() && !job.HasEnded() {
		job.finish(State_STATE_COMPLETED, now)
	}
	return true
}

func (job *Job) markDone(task *Task) {
	if task.state == TaskState_TASK_DONE {
		return
	}
	job.setState(task, TaskState_TASK_DONE)
}

func (job *Job) allDone() bool {
	return !slices.ContainsFunc(job.steps, func(step stepState) bool { return step.remaining > 0 })
}

func (job *Job) recordFailure(task *Task, isCurrent bool, now time.Time) {
	if isCurrent {
		job.Requeue(task, now)
		task.retryAt = now.Add(failureBackoff)
	}
	if job.failureCount(task) < max(1, int(job.submission.GetAttempts())) {
		return
	}
	job.failPermanently(task, now)
}

// recordLastingFailure records a failure of a long-running task, which is started again however often it fails. The attempt
// is not kept: the list of them would grow for as long as the task lasts, and with it the record of the job's progress.
func (job *Job) recordLastingFailure(task *Task, isCurrent bool, now time.Time) bool {
	if !isCurrent {
		return false
	}
	job.Requeue(task, now)
	task.retryAt = now.Add(longRunningBackoff)
	return true
}

// failPermanently records that a task will not be started again, and thereby fails its job.
func (job *Job) failPermanently(task *Task, now time.Time) {
	job.setState(task, TaskState_TASK_FAILED)
	if !job.HasEnded() {
		job.finish(State_STATE_FAILED, now)
	}
}

func (job *Job) recordInterruption(task *Task, now time.Time) {
	task.interruptions++
	job.Requeue(task, now)
}

// failureCount returns the number of failed attempts of the task, or of its gang.
func (job *Job) failureCount(task *Task) int {
	if !task.Spec().GetGang() {
		return len(task.failedAttempts)
	}
	return len(job.stepOf(task).failedAttempts)
}

// Cancel records that the client cancelled the job. It reports whether anything changed.
func (job *Job) Cancel(now time.Time) bool {
	if job.HasEnded() {
		return false
	}
	job.finish(State_STATE_CANCELLED, now)
	return true
}

func (job *Job) finish(state State, now time.Time) {
	job.state = state
	job.endedAt = now
}
