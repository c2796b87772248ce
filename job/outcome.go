package job

import (
	"slices"
	"time"
)

// EndReason says how a run ended.
type EndReason int

// The ways in which a run ends. Only EndFailed counts against the attempts.
const (
	EndDone EndReason = iota + 1
	EndFailed
	EndInterrupted // stopped, lapsed, or lost with its worker
	EndCrashed     // lost with a worker that crashed just after the start
	// EndCrashedBesideSuspect is the same where a suspect had just begun there too, which is the likelier
	// cause.
	EndCrashedBesideSuspect
)

const (
	// failureBackoff keeps a task that fails at once from being started over
	// and over; it is short against the objectives, which are seconds.
	failureBackoff = 50 * time.Millisecond
	// lastingBackoff is the same for lasting tasks, which have no bound on
	// attempts.
	lastingBackoff = 200 * time.Millisecond
)

// IsCrash reports whether a worker crashed under the run.
func (reason EndReason) IsCrash() bool {
	return reason == EndCrashed || reason == EndCrashedBesideSuspect
}

// StartRun notes that a task is started at a place, under the next attempt. The
// members of a gang are started one after another under the attempt of the first.
func (job *Job) StartRun(task *Task, place Place, now time.Time) {
	task.attempt = job.nextAttempt(task)
	task.state = TaskState_TASK_STARTED
	task.place = place
	task.startedAt = now
	task.unplacedSince, task.obstacle = time.Time{}, ""
}

// MarkRunning notes that a run has started for certain and reports whether it is the
// job's first.
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
	highest := int32(0)
	for _, member := range job.StepTasks(task) {
		if member.state == TaskState_TASK_STARTED {
			return member.attempt
		}
		highest = max(highest, member.attempt)
	}
	return highest + 1
}

// Requeue notes that the present run never was, or is over for certain without
// an end: the task waits again.
func (job *Job) Requeue(task *Task, now time.Time) {
	if task.state != TaskState_TASK_STARTED {
		return
	}
	task.state = TaskState_TASK_WAITING
	task.retryAt = now
}

// SetCheckpoint notes the newest checkpoint of the present run.
func (job *Job) SetCheckpoint(task *Task, attempt int32, checkpoint string) bool {
	if task.attempt != attempt || checkpoint == "" || task.checkpoint == checkpoint {
		return false
	}
	task.checkpoint = checkpoint
	return true
}

// ResumeCheckpoint returns the checkpoint that a start of the task brings: its own,
// or for a gang the one that all members bring. Checkpoints begin with the work
// done, so the greatest is the newest.
func (job *Job) ResumeCheckpoint(task *Task) string {
	if !task.Spec().GetGang() {
		return task.checkpoint
	}
	newest := ""
	for _, member := range job.StepTasks(task) {
		newest = max(newest, member.checkpoint)
	}
	return newest
}

// EndRun notes that a run ended and reports whether anything changed. The end of
// an earlier run than the present one counts where it can't be doubted: a
// failure counts against the attempts, a crash of the worker against the task, and a
// task that waits and turns out to be done is done.
func (job *Job) EndRun(task *Task, attempt int32, reason EndReason, checkpoint string, now time.Time) bool {
	present := attempt == task.attempt
	if task.state == TaskState_TASK_DONE || task.state == TaskState_TASK_FAILED {
		return false
	}
	if present && task.state != TaskState_TASK_STARTED && reason != EndDone && !reason.IsCrash() {
		return false
	}
	if checkpoint != "" && present {
		task.checkpoint = checkpoint
	}
	job.MarkRunning(now)
	switch reason {
	case EndDone:
		return job.recordSuccess(task, present, now)
	case EndFailed:
		if slices.Contains(task.failedAttempts, attempt) {
			// Ends are told again until they are known to be in the store.
			return false
		}
		task.failedAttempts = append(task.failedAttempts, attempt)
		job.recordFailure(task, present, now)
		return true
	case EndInterrupted:
		if !present {
			return false
		}
		job.recordInterruption(task, now)
		return true
	case EndCrashed, EndCrashedBesideSuspect:
		return job.recordCrash(task, attempt, reason, now)
	}
	return false
}

func (job *Job) recordSuccess(task *Task, present bool, now time.Time) bool {
	if !present && task.state == TaskState_TASK_STARTED {
		// The present run goes on: its own end decides.
		return false
	}
	if task.Spec().GetLasting() {
		job.Requeue(task, now)
		task.retryAt = now.Add(lastingBackoff)
		return true
	}
	finished := []*Task{task}
	if task.Spec().GetGang() {
		finished = job.StepTasks(task)
	}
	for _, member := range finished {
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
	task.state = TaskState_TASK_DONE
	job.remaining[int(task.round)*len(job.submission.GetSteps())+int(task.step)]--
}

func (job *Job) allDone() bool {
	for _, count := range job.remaining {
		if count > 0 {
			return false
		}
	}
	return true
}

func (job *Job) recordFailure(task *Task, present bool, now time.Time) {
	if present {
		job.Requeue(task, now)
		task.retryAt = now.Add(failureBackoff)
	}
	if task.Spec().GetLasting() {
		task.retryAt = now.Add(lastingBackoff)
		return
	}
	if job.failureCount(task) < max(1, int(job.submission.GetAttempts())) {
		return
	}
	job.failPermanently(task, now)
}

// failPermanently notes that a task will not be started again, and with it its job.
func (job *Job) failPermanently(task *Task, now time.Time) {
	task.state = TaskState_TASK_FAILED
	if !job.HasEnded() {
		job.finish(State_STATE_FAILED, now)
	}
}

func (job *Job) recordInterruption(task *Task, now time.Time) {
	task.interruptions++
	job.Requeue(task, now)
}

// failureCount counts the failures of the task, or of its gang.
func (job *Job) failureCount(task *Task) int {
	if !task.Spec().GetGang() {
		return len(task.failedAttempts)
	}
	var attempts []int32
	for _, member := range job.StepTasks(task) {
		attempts = append(attempts, member.failedAttempts...)
	}
	slices.Sort(attempts)
	return len(slices.Compact(attempts))
}

// Cancel notes that the client cancelled the job and reports whether that
// changed anything.
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
