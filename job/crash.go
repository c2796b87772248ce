package job

import (
	"slices"
	"time"
)

// maxCrashes is under how many of its runs in a row a worker may crash just after the start
// until a task is given up: each crash costs all that the worker runs, and the worker for
// seconds. Chance victims are many, since every run on a crashed worker is lost with it: where
// one task brought its workers down others were lost up to six times. Two crashes in a row
// gave up one on a day on which a fifth of the workers crashed every 3 s or so.
const maxCrashes = 3

// maxTotalCrashes bounds the crashes together with those that a suspect beside the run is the likelier cause
// of. Such a crash makes the task a suspect too, which is started apart from others from then on: so a
// task that brings its workers down has one of them, and is given up at the fourth crash. A victim
// would have to begin just before a crash five times in a row.
const maxTotalCrashes = 5

// Crashes counts the runs of the task under which a worker may have crashed because of it,
// since the last one that outlived its start.
func (task *Task) Crashes() int { return len(task.crashedAttempts) }

// AmbiguousCrashes counts the runs of the task, since then, under which a worker crashed while a suspect had just
// begun beside them.
func (task *Task) AmbiguousCrashes() int { return len(task.ambiguousAttempts) }

// IsSuspect reports whether a worker may have crashed because of the task.
func (task *Task) IsSuspect() bool { return task.Crashes()+task.AmbiguousCrashes() > 0 }

// HasCrashedWorkerOf reports whether the worker beside an agent crashed under a run of the task while
// its shard was with its present owner.
func (task *Task) HasCrashedWorkerOf(agent string) bool {
	return slices.Contains(task.crashedAgents, agent)
}

// MarkSurvivedStart notes that a run went on after its start: a task that brings down each worker that
// starts it would not have, so crashes up to then had another cause.
func (task *Task) MarkSurvivedStart(attempt int32) {
	task.survivedAttempt = max(task.survivedAttempt, attempt)
	innocent := func(crashed int32) bool { return crashed <= task.survivedAttempt }
	task.crashedAttempts = slices.DeleteFunc(task.crashedAttempts, innocent)
	task.ambiguousAttempts = slices.DeleteFunc(task.ambiguousAttempts, innocent)
}

// recordCrash notes that a worker crashed under a run and may have done so because of it. The
// recordCrash counts when it is heard late too, after the run was found to be over or another one
// has begun: an owner that takes the shard over may hear of the end of the incarnation first.
func (job *Job) recordCrash(task *Task, attempt int32, reason EndReason, now time.Time) bool {
	counts := attempt > task.survivedAttempt && !slices.Contains(task.crashedAttempts, attempt) && !slices.Contains(task.ambiguousAttempts, attempt)
	if counts && reason == EndCrashed {
		task.crashedAttempts = append(task.crashedAttempts, attempt)
	}
	if counts && reason == EndCrashedBesideSuspect {
		task.ambiguousAttempts = append(task.ambiguousAttempts, attempt)
	}
	interrupted := attempt == task.attempt && task.state == TaskState_TASK_STARTED
	if interrupted {
		task.crashedAgents = append(task.crashedAgents, task.place.AgentAddress)
		job.recordInterruption(task, now)
		task.retryAt = now.Add(failureBackoff)
	}
	if counts && (task.Crashes() >= maxCrashes || task.Crashes()+task.AmbiguousCrashes() >= maxTotalCrashes) {
		job.failPermanently(task, now)
	}
	return counts || interrupted
}
