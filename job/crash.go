package job

import (
	"slices"
	"time"
)

// crashesBorne is under how many of its runs in a row a worker may crash just after the start
// until a task is given up: each crash costs all that the worker runs, and the worker for
// seconds. Chance victims are many, since every run on a crashed worker is lost with it: where
// one task brought its workers down others were lost up to six times. Two crashes in a row
// gave up one on a day on which a fifth of the workers crashed every 3 s or so.
const crashesBorne = 3

// doubtsBorne bounds the crashes together with those that a suspect beside the run is the likelier cause
// of. Such a crash makes the task a suspect too, which is started apart from others from then on: so a
// task that brings its workers down has one of them, and is given up at the fourth crash. A victim
// would have to begin just before a crash five times in a row.
const doubtsBorne = 5

// Crashes counts the runs of the task under which a worker may have crashed because of it,
// since the last one that outlived its start.
func (task *Task) Crashes() int { return len(task.crashed) }

// Doubts counts the runs of the task, since then, under which a worker crashed while a suspect had just
// begun beside them.
func (task *Task) Doubts() int { return len(task.doubted) }

// Suspect reports whether a worker may have crashed because of the task.
func (task *Task) Suspect() bool { return task.Crashes()+task.Doubts() > 0 }

// CrashedAt reports whether the worker beside an agent crashed under a run of the task while
// its shard was with its present owner.
func (task *Task) CrashedAt(agent string) bool { return slices.Contains(task.crashedAt, agent) }

// Outlived notes that a run went on after its start: a task that brings down each worker that
// starts it would not have, so crashes up to then had another cause.
func (task *Task) Outlived(attempt int32) {
	task.proven = max(task.proven, attempt)
	innocent := func(crashed int32) bool { return crashed <= task.proven }
	task.crashed = slices.DeleteFunc(task.crashed, innocent)
	task.doubted = slices.DeleteFunc(task.doubted, innocent)
}

// crash notes that a worker crashed under a run and may have done so because of it. The
// crash counts when it is heard late too, after the run was found to be over or another one
// has begun: an owner that takes the shard over may hear of the end of the incarnation first.
func (job *Job) crash(task *Task, attempt int32, reason EndReason, now time.Time) bool {
	counts := attempt > task.proven && !slices.Contains(task.crashed, attempt) && !slices.Contains(task.doubted, attempt)
	if counts && reason == EndCrashed {
		task.crashed = append(task.crashed, attempt)
	}
	if counts && reason == EndCrashedBeside {
		task.doubted = append(task.doubted, attempt)
	}
	interrupted := attempt == task.attempt && task.state == TaskState_TASK_STARTED
	if interrupted {
		task.crashedAt = append(task.crashedAt, task.place.Agent)
		job.interrupt(task, now)
		task.retryAt = now.Add(failureBackoff)
	}
	if counts && (task.Crashes() >= crashesBorne || task.Crashes()+task.Doubts() >= doubtsBorne) {
		job.giveUp(task, now)
	}
	return counts || interrupted
}
