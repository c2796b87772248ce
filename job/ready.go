package job

import (
	"iter"
	"slices"
	"time"
)

// ReadyTasks returns the tasks that may start now: their round is due, the steps that they depend on are
// done, no other member of their gang is running, and their backoff is over.
func (job *Job) ReadyTasks(now time.Time) []*Task { return slices.Collect(job.Ready(now)) }

// Ready returns an iterator over the tasks that [Job.ReadyTasks] returns. The caller may start them meanwhile; members of
// a gang are returned only while none of them is started.
func (job *Job) Ready(now time.Time) iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for round := range int32(job.Rounds()) {
			if job.HasEnded() {
				return
			}
			if now.Before(job.roundDueAt(round)) {
				continue
			}
			for step := range int32(len(job.submission.GetSteps())) {
				if !job.readyOfStep(round, step, now, yield) {
					return
				}
			}
		}
	}
}

// readyOfStep yields the ready tasks of a step of a round that is due. It returns false once yield has.
func (job *Job) readyOfStep(round, step int32, now time.Time, yield func(*Task) bool) bool {
	state := &job.steps[job.stepIndex(round, step)]
	if state.waiting == 0 || !job.isUnblocked(round, step) {
		return true
	}
	tasks := job.stepTasks(round, step)
	for state.firstWaiting < len(tasks) && tasks[state.firstWaiting].state != TaskState_TASK_WAITING {
		state.firstWaiting++
	}
	for _, task := range tasks[state.firstWaiting:] {
		if state.waiting == 0 {
			return true
		}
		if task.state == TaskState_TASK_WAITING && task.mayStart(state, now) && !yield(task) {
			return false
		}
	}
	return true
}

// IsReady reports whether a task is one of the ready ones.
func (job *Job) IsReady(task *Task, now time.Time) bool {
	return !job.HasEnded() && task.state == TaskState_TASK_WAITING && task.IsDue(now) &&
		job.isUnblocked(task.round, task.step) && task.mayStart(job.stepOf(task), now)
}

// IsDue reports whether the task's round may start.
func (task *Task) IsDue(now time.Time) bool { return !now.Before(task.job.roundDueAt(task.round)) }

// isUnblocked reports whether the steps that a step depends on are done in a round.
func (job *Job) isUnblocked(round, step int32) bool {
	steps := job.submission.GetSteps()
	for _, dependency := range steps[step].GetAfter() {
		if int(dependency) >= len(steps) || job.steps[job.stepIndex(round, dependency)].remaining > 0 {
			return false
		}
	}
	return true
}

// mayStart reports whether the backoff of a waiting task is over and, for a member of a gang, no member is running:
// the members of a gang start together, under the same attempt number.
func (task *Task) mayStart(step *stepState, now time.Time) bool {
	return !now.Before(task.retryAt) && (!task.Spec().GetGang() || step.started == 0)
}

// roundDueAt returns the time from which a round may start.
func (job *Job) roundDueAt(round int32) time.Time {
	if !job.IsScheduled() {
		return time.Time{}
	}
	return time.UnixMilli(job.submission.GetFirstDueMs() + int64(round)*job.submission.GetIntervalMs())
}
