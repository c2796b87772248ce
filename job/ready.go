package job

import (
	"time"
)

// ReadyTasks returns the tasks that may start now.
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

func (job *Job) canStart(task *Task, now time.Time) bool {
	if now.Before(task.retryAt) || now.Before(job.roundDueAt(task.round)) {
		return false
	}
	steps := len(job.submission.GetSteps())
	for _, before := range task.Spec().GetAfter() {
		if int(before) >= steps || job.remaining[int(task.round)*steps+int(before)] > 0 {
			return false
		}
	}
	return !task.Spec().GetGang() || job.isGangIdle(task)
}

// isGangIdle reports whether no member of the task's gang runs: members start
// together, under one attempt.
func (job *Job) isGangIdle(task *Task) bool {
	for _, member := range job.StepTasks(task) {
		if member.state == TaskState_TASK_STARTED {
			return false
		}
	}
	return true
}

// StepTasks returns the tasks of the task's step in the same round.
func (job *Job) StepTasks(task *Task) []*Task {
	var members []*Task
	for _, other := range job.tasks {
		if other.round == task.round && other.step == task.step {
			members = append(members, other)
		}
	}
	return members
}

// roundDueAt returns when a round may begin.
func (job *Job) roundDueAt(round int32) time.Time {
	if !job.IsScheduled() {
		return time.Time{}
	}
	return time.UnixMilli(job.submission.GetFirstDueMs() + int64(round)*job.submission.GetIntervalMs())
}
