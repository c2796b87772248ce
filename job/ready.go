package job

import (
	"time"
)

// ReadyTasks returns the tasks that may start now: their round is due, the steps that they depend on are
// done, no other member of their gang is running, and their backoff is over.
func (job *Job) ReadyTasks(now time.Time) []*Task {
	if job.HasEnded() {
		return nil
	}
	var ready []*Task
	for _, task := range job.tasks {
		if task.state == TaskState_TASK_WAITING && job.canStart(task, now) {
			ready = append(ready, task)
		}
	}
	return ready
}

// IsDue reports whether the task's round may start.
func (task *Task) IsDue(now time.Time) bool { return !now.Before(task.job.roundDueAt(task.round)) }

func (job *Job) canStart(task *Task, now time.Time) bool {
	if now.Before(task.retryAt) || now.Before(job.roundDueAt(task.round)) {
		return false
	}
	steps := len(job.submission.GetSteps())
	for _, dependency := range task.Spec().GetAfter() {
		if int(dependency) >= steps || job.remaining[int(task.round)*steps+int(dependency)] > 0 {
			return false
		}
	}
	return !task.Spec().GetGang() || job.isGangIdle(task)
}

// isGangIdle reports whether no member of the task's gang is running. The members of a gang start together,
// under the same attempt number.
func (job *Job) isGangIdle(task *Task) bool {
	for _, member := range job.StepTasks(task) {
		if member.state == TaskState_TASK_STARTED {
			return false
		}
	}
	return true
}

// StepTasks returns all tasks of the same step and round as task, including task itself.
func (job *Job) StepTasks(task *Task) []*Task {
	var members []*Task
	for _, member := range job.tasks {
		if member.round == task.round && member.step == task.step {
			members = append(members, member)
		}
	}
	return members
}

// roundDueAt returns the time from which a round may start.
func (job *Job) roundDueAt(round int32) time.Time {
	if !job.IsScheduled() {
		return time.Time{}
	}
	return time.UnixMilli(job.submission.GetFirstDueMs() + int64(round)*job.submission.GetIntervalMs())
}
