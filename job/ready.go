package job

import (
	"time"
)

// Ready returns the tasks that may start now.
func (job *Job) Ready(now time.Time) []*Task {
	if job.Ended() {
		return nil
	}
	var ready []*Task
	for _, task := range job.tasks {
		if task.state == TaskState_TASK_WAITING && job.mayStart(task, now) {
			ready = append(ready, task)
		}
	}
	return ready
}

func (job *Job) mayStart(task *Task, now time.Time) bool {
	if now.Before(task.retryAt) || now.Before(job.due(task.round)) {
		return false
	}
	steps := len(job.submission.GetSteps())
	for _, before := range task.Spec().GetAfter() {
		if int(before) >= steps || job.left[int(task.round)*steps+int(before)] > 0 {
			return false
		}
	}
	return !task.Spec().GetGang() || job.gangIdle(task)
}

// gangIdle reports whether no member of the task's gang runs: members start
// together, under one attempt.
func (job *Job) gangIdle(task *Task) bool {
	for _, member := range job.Members(task) {
		if member.state == TaskState_TASK_STARTED {
			return false
		}
	}
	return true
}

// Members returns the tasks of the task's step in the same round.
func (job *Job) Members(task *Task) []*Task {
	var members []*Task
	for _, other := range job.tasks {
		if other.round == task.round && other.step == task.step {
			members = append(members, other)
		}
	}
	return members
}

// due returns when a round may begin.
func (job *Job) due(round int32) time.Time {
	if !job.Scheduled() {
		return time.Time{}
	}
	return time.UnixMilli(job.submission.GetFirstDueMs() + int64(round)*job.submission.GetIntervalMs())
}
