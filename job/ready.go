package job

import (
	"time"
)

// Ready returns the tasks that may start now.
func (made *Job) Ready(now time.Time) []*Task {
	if made.Ended() {
		return nil
	}
	var ready []*Task
	for _, task := range made.tasks {
		if task.state == TaskState_TASK_WAITING && made.mayStart(task, now) {
			ready = append(ready, task)
		}
	}
	return ready
}

func (made *Job) mayStart(task *Task, now time.Time) bool {
	if now.Before(task.retryAt) || now.Before(made.due(task.round)) {
		return false
	}
	steps := len(made.submission.GetSteps())
	for _, before := range task.Spec().GetAfter() {
		if int(before) >= steps || made.left[int(task.round)*steps+int(before)] > 0 {
			return false
		}
	}
	return !task.Spec().GetGang() || made.gangIdle(task)
}

// gangIdle reports whether no member of the task's gang runs: members start
// together, under one attempt.
func (made *Job) gangIdle(task *Task) bool {
	for _, member := range made.Members(task) {
		if member.state == TaskState_TASK_STARTED {
			return false
		}
	}
	return true
}

// Members returns the tasks of the task's step in the same round.
func (made *Job) Members(task *Task) []*Task {
	var members []*Task
	for _, other := range made.tasks {
		if other.round == task.round && other.step == task.step {
			members = append(members, other)
		}
	}
	return members
}

// due returns when a round may begin.
func (made *Job) due(round int32) time.Time {
	if !made.Scheduled() {
		return time.Time{}
	}
	return time.UnixMilli(made.submission.GetFirstDueMs() + int64(round)*made.submission.GetIntervalMs())
}
