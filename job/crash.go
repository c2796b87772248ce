package job

import (
	"slices"
	"time"
)

const (
	// crashesBorne is under how many of its runs in a row a worker may crash until a task is
	// given up: each crash costs all that the worker runs, and the worker for seconds.
	crashesBorne = 3
	// crashesBorneAlone is the same where no other run can have been why the last worker
	// crashed.
	crashesBorneAlone = 2
)

// Crashes counts the runs of the task under which a worker may have crashed because of it,
// since the last one that outlived its start.
func (task *Task) Crashes() int {
	count := 0
	for _, attempt := range task.crashed {
		if attempt > task.proven {
			count++
		}
	}
	return count
}

// Suspect reports whether a worker may have crashed because of the task.
func (task *Task) Suspect() bool { return task.Crashes() > 0 }

// Outlived notes that a run went on after its start: a task that brings down each worker that
// starts it would not have, so crashes up to then had another cause.
func (task *Task) Outlived(attempt int32) { task.proven = max(task.proven, attempt) }

// crash notes that a worker crashed under a run and may have done so because of it. The
// crash counts when it is heard late too, after the run was found to be over or another one
// has begun: an owner that takes the shard over may hear of the end of the incarnation first.
func (job *Job) crash(task *Task, attempt int32, alone bool, now time.Time) bool {
	counts := attempt > task.proven && !slices.Contains(task.crashed, attempt)
	if counts {
		task.crashed = append(task.crashed, attempt)
	}
	interrupted := attempt == task.attempt && task.state == TaskState_TASK_STARTED
	if interrupted {
		job.interrupt(task, now)
		task.retryAt = now.Add(failureBackoff)
	}
	if counts && task.crashesTooOften(alone) {
		job.giveUp(task, now)
	}
	return counts || interrupted
}

// crashesTooOften reports whether a task is given up. Every run on a crashed worker is lost
// with it, and where one task brings its workers down others are lost up to six times by
// chance: only runs that had just begun count, those in a row, and before two are enough the
// last one must have begun apart from all others.
func (task *Task) crashesTooOften(alone bool) bool {
	if alone {
		return task.Crashes() >= crashesBorneAlone
	}
	return task.Crashes() >= crashesBorne
}
